//go:build deps

// Package deps holds the libraries declared before their first use.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/dchest/siphash"
	_ "github.com/fsnotify/fsnotify"
	_ "github.com/google/subcommands"
	_ "github.com/gopacket/gopacket"
	_ "github.com/gopacket/gopacket/layers"
	_ "github.com/hashicorp/golang-lru/v2"
	_ "github.com/hashicorp/golang-lru/v2/expirable"
	_ "github.com/invopop/jsonschema"
	_ "github.com/matryer/is"
	_ "github.com/santhosh-tekuri/jsonschema/v6"
	_ "github.com/sony/gobreaker/v2"
	_ "github.com/sourcegraph/jsonrpc2"
	_ "github.com/uber-go/tally/v4"
	_ "github.com/uber-go/tally/v4/prometheus"
	_ "github.com/zeebo/errs"
	_ "github.com/zeebo/xxh3"
	_ "go.uber.org/fx"
	_ "go.uber.org/fx/fxtest"
	_ "go.uber.org/goleak"
	_ "golang.org/x/net/ipv4"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sync/singleflight"
	_ "golang.org/x/sys/unix"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
