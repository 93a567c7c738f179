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

// Environment variables that give the defaults of flags.
const (
	storeVariable    = "BALSAMFORK_STORE"
	operatorVariable = "BALSAMFORK_OPERATOR"
)

// storeFlags are the flags of commands that use the platform's store.
type storeFlags struct {
	url      string
	operator string
}

func (s *storeFlags) register(f *flag.FlagSet) {
	f.StringVar(&s.url, "store", os.Getenv(storeVariable), "address of the store, http://ip:port (or $"+storeVariable+")")
	f.StringVar(&s.operator, "operator", operatorName(), "name of the operator in the audit trail (or $"+operatorVariable+")")
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

// open returns the repository of the configuration in the store.
func (s *storeFlags) open() (*confstore.Repository, error) {
	if s.url == "" {
		return nil, errUsage.New("-store is required")
	}
	return confstore.New(storeclient.New(storeclient.Options{
		Service:   platform.NewStore(platform.StoreOptions{URL: s.url}),
		FleetSize: 1,
	})), nil
}

// controlFlags are the flags of commands that call an instance as an operator.
type controlFlags struct {
	instance    string
	authorities string
	certificate string
	key         string
	plainText   bool
}

func (c *controlFlags) register(f *flag.FlagSet) {
	f.StringVar(&c.instance, "instance", "", "control address of an instance, ip:port")
	f.StringVar(&c.authorities, "authorities", "", "PEM files of the trusted certificate authorities, separated by commas")
	f.StringVar(&c.certificate, "certificate", "", "PEM file of the operator's certificate")
	f.StringVar(&c.key, "key", "", "PEM file of the operator's private key")
	f.BoolVar(&c.plainText, "plain-text", false, "do not use TLS; the settings of the instance must match")
}

func (c *controlFlags) address() (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(c.instance)
	if err != nil {
		return address, errUsage.New("-instance %q must be of the form ip:port", c.instance)
	}
	return address, nil
}

// loadKeys loads the operator's certificate and key. It returns nil with
// -plain-text.
func (c *controlFlags) loadKeys() (*keys.Reloader, error) {
	if c.plainText {
		return nil, nil
	}
	if c.authorities == "" || c.certificate == "" || c.key == "" {
		return nil, errUsage.New("-authorities, -certificate and -key are required unless -plain-text is set")
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
