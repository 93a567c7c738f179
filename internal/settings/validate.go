package settings

import (
	"log/slog"
	"net/netip"
	"net/url"
	"time"

	"balsamfork/internal/fleet"
	"balsamfork/internal/strictjson"
)

// Valid holds validated settings, converted to the types that the daemon uses.
type Valid struct {
	Self         fleet.Instance
	Packets      Endpoint
	Requests     Endpoint
	Control      Endpoint
	Admin        Endpoint
	Workers      int
	TLS          *TLS
	Pprof        bool
	StoreURL     string
	Peers        []fleet.Instance
	LogLevel     slog.Level
	LogJSON      bool
	DrainTimeout time.Duration
}

// Endpoint is a validated Listener. Advertise is the zero value if others reach
// the endpoint at the address listened on.
type Endpoint struct {
	Listen    netip.AddrPort
	Advertise netip.AddrPort
}

// AdvertisedAddr returns the address under which others reach the endpoint:
// Advertise if it is set, otherwise the bound address.
func (e Endpoint) AdvertisedAddr(bound netip.AddrPort) netip.AddrPort {
	if e.Advertise.IsValid() {
		return e.Advertise
	}
	return bound
}

// validator collects problems while settings are converted to Valid.
type validator struct {
	problems strictjson.Problems
}

// Validate checks every field and converts the settings. The error is of class
// Error and wraps a strictjson.Problems.
func (s Settings) Validate() (*Valid, error) {
	v, problems := s.validate()
	if err := problems.Err(); err != nil {
		return nil, Error.Wrap(err)
	}
	return v, nil
}

// validate checks every field and returns all problems.
func (s Settings) validate() (*Valid, strictjson.Problems) {
	var c validator
	v := &Valid{
		Self:     s.self(&c),
		Packets:  c.endpoint("packets", s.Packets.Listener),
		Requests: c.endpoint("requests", s.Requests),
		Control:  c.endpoint("control", s.Control.Listener),
		Admin:    c.endpoint("admin", s.Admin.Listener),
		Workers:  c.workers(s.Packets.Workers),
		TLS:      s.Control.TLS,
		Pprof:    s.Admin.Pprof,
		StoreURL: s.Store.URL,
		Peers:    c.peers(s),
		LogLevel: c.level(s.Log.Level),
		LogJSON:  c.jsonFormat(s.Log.Format),
	}
	v.DrainTimeout = c.duration("drainTimeout", s.DrainTimeout, DefaultDrainTimeout)
	c.url("store.url", s.Store.URL)
	c.distinctListeners(s)
	c.controlSecurity(s.Control)
	return v, c.problems
}

func (s Settings) self(c *validator) fleet.Instance {
	c.notEmpty("id", s.ID)
	c.notEmpty("dataCentre", s.DataCentre)
	c.notEmpty("region", s.Region)
	return fleet.Instance{ID: fleet.ID(s.ID), DataCentre: s.DataCentre, Region: s.Region}
}

func (c *validator) workers(n int) int {
	if n == 0 {
		return DefaultWorkers
	}
	if n < 1 || n > MaxWorkers {
		c.problems.Add("packets.workers", "must be from 1 to %d, is %d", MaxWorkers, n)
	}
	return n
}

func (c *validator) jsonFormat(format string) bool {
	if format != "" && format != "text" && format != "json" {
		c.problems.Add("log.format", "must be text or json, is %q", format)
	}
	return format == "json"
}

func (c *validator) notEmpty(path, value string) {
	if value == "" {
		c.problems.Add(path, "must not be empty")
	}
}

func (c *validator) address(path, value string) netip.AddrPort {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		c.problems.Add(path, "%q is not an address of the form ip:port", value)
	}
	return address
}

func (c *validator) endpoint(path string, l Listener) Endpoint {
	e := Endpoint{Listen: c.address(path+".listen", l.Listen)}
	if l.Advertise != "" {
		e.Advertise = c.address(path+".advertise", l.Advertise)
	}
	if e.Listen.IsValid() && e.Listen.Addr().IsUnspecified() && l.Advertise == "" {
		c.problems.Add(path+".advertise", "required, because listen is an unspecified address")
	}
	return e
}

func (c *validator) peers(s Settings) []fleet.Instance {
	var peers []fleet.Instance
	seen := map[string]bool{s.ID: true}
	for i, p := range s.Peers {
		path := strictjson.Index("peers", i)
		c.notEmpty(path+".id", p.ID)
		if seen[p.ID] {
			c.problems.Add(path+".id", "%q is a duplicate", p.ID)
		}
		seen[p.ID] = true
		address := c.address(path+".control", p.Control)
		peers = append(peers, fleet.Instance{
			ID: fleet.ID(p.ID), DataCentre: p.DataCentre, Region: p.Region, Control: address,
		})
	}
	return peers
}

func (c *validator) level(text string) slog.Level {
	var level slog.Level
	if text == "" {
		return level
	}
	if err := level.UnmarshalText([]byte(text)); err != nil {
		c.problems.Add("log.level", "%q is not a log level", text)
	}
	return level
}

func (c *validator) duration(path, text string, fallback time.Duration) time.Duration {
	if text == "" {
		return fallback
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		c.problems.Add(path, "%q is not a positive duration such as 30s", text)
	}
	return d
}

func (c *validator) url(path, text string) {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.problems.Add(path, "%q is not an http or https URL", text)
	}
}

// distinctListeners reports TCP listeners that share an address.
func (c *validator) distinctListeners(s Settings) {
	seen := map[string]string{}
	listeners := []struct{ path, listen string }{
		{"requests.listen", s.Requests.Listen},
		{"control.listen", s.Control.Listen},
		{"admin.listen", s.Admin.Listen},
	}
	for _, l := range listeners {
		address, err := netip.ParseAddrPort(l.listen)
		if err != nil || address.Port() == 0 {
			continue
		}
		if other, taken := seen[l.listen]; taken {
			c.problems.Add(l.path, "%s is already used by %s", l.listen, other)
		}
		seen[l.listen] = l.path
	}
}

func (c *validator) controlSecurity(control Control) {
	switch {
	case control.TLS == nil && !control.PlainText:
		c.problems.Add("control.tls", "required; set control.plainText to run without encryption and authentication")
	case control.TLS != nil && control.PlainText:
		c.problems.Add("control.plainText", "must not be set together with control.tls")
	case control.TLS != nil:
		c.notEmpty("control.tls.certificate", control.TLS.Certificate)
		c.notEmpty("control.tls.key", control.TLS.Key)
		if len(control.TLS.Authorities) == 0 {
			c.problems.Add("control.tls.authorities", "must not be empty")
		}
	}
}
