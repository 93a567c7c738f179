package link

import (
	"context"
	"net/netip"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/uber-go/tally/v4"

	"balsamfork/internal/fleet"
	"balsamfork/internal/keys"
)

// Client is an operator's connection to one instance.
type Client struct {
	conn *jsonrpc2.Conn
	to   fleet.ID
}

// Dial connects an operator to the instance at an address. Nil keys mean plain
// text, with the operator known as "operator".
func Dial(ctx context.Context, to netip.AddrPort, k *keys.Reloader) (*Client, error) {
	self := keys.Identity{Role: keys.Operator, Name: "operator"}
	if k != nil {
		self = k.Identity()
	}
	conn, err := dial(ctx, to, "", self, k, newTraffic(tally.NoopScope))
	if err != nil {
		return nil, Refused.New("%s: %v", to, err)
	}
	return &Client{conn: conn, to: fleet.ID(to.String())}, nil
}

// Call asks the instance and decodes its answer into result, which may be nil.
func (c *Client) Call(ctx context.Context, name string, params, result any) error {
	return asUnreachable(c.to, c.conn.Call(ctx, name, params, result))
}

// Close closes the connection.
func (c *Client) Close() error { return c.conn.Close() }
