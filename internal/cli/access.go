package cli

import (
	"flag"
	"io"
	"net/netip"
	"os"
	"os/user"
	"strings"

	"balsamfork/internal/confstore"
	"balsamfork/internal/keys"
	"balsamfork/internal/storeclient"
	"balsamfork/platform"
)

// The environment variables that stand in for flags.
const (
	storeVariable    = "BALSAMFORK_STORE"
	operatorVariable = "BALSAMFORK_OPERATOR"
)

// storeFlags say how to reach the platform's store, and in whose name.
type storeFlags struct {
	url string
	who string
}

func (s *storeFlags) declare(f *flag.FlagSet) {
	f.StringVar(&s.url, "store", os.Getenv(storeVariable), "address of the store, http://ip:port (or $"+storeVariable+")")
	f.StringVar(&s.who, "operator", operatorName(), "name for the audit trail (or $"+operatorVariable+")")
}

func operatorName() string {
	if name := os.Getenv(operatorVariable); name != "" {
		return name
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

// open returns the configuration in the store.
func (s *storeFlags) open() (*confstore.Repository, error) {
	if s.url == "" {
		return nil, usageError.New("-store is missing")
	}
	return confstore.New(storeclient.New(storeclient.Options{
		Service: platform.NewStore(platform.StoreOptions{URL: s.url}),
		Fleet:   1,
	})), nil
}

// controlFlags say how to reach an instance as an operator.
type controlFlags struct {
	instance    string
	authorities string
	certificate string
	key         string
	plain       bool
}

func (c *controlFlags) declare(f *flag.FlagSet) {
	f.StringVar(&c.instance, "instance", "", "control address of an instance, ip:port")
	f.StringVar(&c.authorities, "authorities", "", "PEM files of the trusted authorities, with commas between")
	f.StringVar(&c.certificate, "certificate", "", "PEM file of the operator's certificate")
	f.StringVar(&c.key, "key", "", "PEM file of the operator's key")
	f.BoolVar(&c.plain, "plain-text", false, "use no TLS, for instances whose settings say so too")
}

func (c *controlFlags) address() (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(c.instance)
	if err != nil {
		return address, usageError.New("-instance %q is not of the form ip:port", c.instance)
	}
	return address, nil
}

// load returns nil with -plain-text.
func (c *controlFlags) load() (*keys.Reloader, error) {
	if c.plain {
		return nil, nil
	}
	if c.authorities == "" || c.certificate == "" || c.key == "" {
		return nil, usageError.New("-authorities, -certificate and -key are needed, or -plain-text")
	}
	return keys.Load(keys.Files{
		Authorities: strings.Split(c.authorities, ","),
		Certificate: c.certificate,
		Key:         c.key,
	})
}

// readFile reads a file, or standard input for "-".
func (e Env) readFile(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(e.In)
	}
	return os.ReadFile(path)
}
