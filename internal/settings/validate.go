package settings

import (
	"log/slog"
	"net/netip"
	"net/url"
	"time"

	"balsamfork/internal/fleet"
	"balsamfork/internal/strictjson"
)

// Valid is settings that have been checked, in the types the daemon uses.
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

// Endpoint is a validated Listener. Advertise is the zero value if it is the
// address listened on.
type Endpoint struct {
	Listen    netip.AddrPort
	Advertise netip.AddrPort
}

// Reached returns the address that others use, given the one that was bound.
func (e Endpoint) Reached(bound netip.AddrPort) netip.AddrPort {
	if e.Advertise.IsValid() {
		return e.Advertise
	}
	return bound
}

// check gathers problems while settings are turned into Valid.
type check struct {
	problems strictjson.Problems
}

// Validate checks every field. The error is a strictjson.Problems of class Error.
func (s Settings) Validate() (*Valid, error) {
	v, problems := s.validate()
	if err := problems.Err(); err != nil {
		return nil, Error.Wrap(err)
	}
	return v, nil
}

// validate checks every field and returns all problems at once.
func (s Settings) validate() (*Valid, strictjson.Problems) {
	var c check
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
		LogJSON:  c.asJSON(s.Log.Format),
	}
	v.DrainTimeout = c.duration("drainTimeout", s.DrainTimeout, DefaultDrainTimeout)
	c.url("store.url", s.Store.URL)
	c.distinct(s)
	c.protection(s.Control)
	return v, c.problems
}

func (s Settings) self(c *check) fleet.Instance {
	c.name("id", s.ID)
	c.name("dataCentre", s.DataCentre)
	c.name("region", s.Region)
	return fleet.Instance{ID: fleet.ID(s.ID), DataCentre: s.DataCentre, Region: s.Region}
}

func (c *check) workers(n int) int {
	if n == 0 {
		return DefaultWorkers
	}
	if n < 1 || n > MaxWorkers {
		c.problems.Add("packets.workers", "must be from 1 to %d, is %d", MaxWorkers, n)
	}
	return n
}

func (c *check) asJSON(format string) bool {
	if format != "" && format != "text" && format != "json" {
		c.problems.Add("log.format", "must be text or json, is %q", format)
	}
	return format == "json"
}

func (c *check) name(path, value string) {
	if value == "" {
		c.problems.Add(path, "must not be empty")
	}
}

func (c *check) address(path, value string) netip.AddrPort {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		c.problems.Add(path, "%q is not an address of the form ip:port", value)
	}
	return address
}

func (c *check) endpoint(path string, l Listener) Endpoint {
	e := Endpoint{Listen: c.address(path+".listen", l.Listen)}
	if l.Advertise != "" {
		e.Advertise = c.address(path+".advertise", l.Advertise)
	}
	if e.Listen.IsValid() && e.Listen.Addr().IsUnspecified() && l.Advertise == "" {
		c.problems.Add(path+".advertise", "needed, since listen names no single address")
	}
	return e
}

func (c *check) peers(s Settings) []fleet.Instance {
	var peers []fleet.Instance
	seen := map[string]bool{s.ID: true}
	for i, p := range s.Peers {
		path := strictjson.Index("peers", i)
		c.name(path+".id", p.ID)
		if seen[p.ID] {
			c.problems.Add(path+".id", "%q is named twice", p.ID)
		}
		seen[p.ID] = true
		address := c.address(path+".control", p.Control)
		peers = append(peers, fleet.Instance{
			ID: fleet.ID(p.ID), DataCentre: p.DataCentre, Region: p.Region, Control: address,
		})
	}
	return peers
}

func (c *check) level(text string) slog.Level {
	var level slog.Level
	if text == "" {
		return level
	}
	if err := level.UnmarshalText([]byte(text)); err != nil {
		c.problems.Add("log.level", "%q is not a level", text)
	}
	return level
}

func (c *check) duration(path, text string, otherwise time.Duration) time.Duration {
	if text == "" {
		return otherwise
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		c.problems.Add(path, "%q is not a positive duration such as 30s", text)
	}
	return d
}

func (c *check) url(path, text string) {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.problems.Add(path, "%q is not an http or https address", text)
	}
}

// distinct refuses two TCP listeners on one address.
func (c *check) distinct(s Settings) {
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
			c.problems.Add(l.path, "%s is already the address of %s", l.listen, other)
		}
		seen[l.listen] = l.path
	}
}

func (c *check) protection(control Control) {
	switch {
	case control.TLS == nil && !control.PlainText:
		c.problems.Add("control.tls", "missing; set control.plainText to run without protection")
	case control.TLS != nil && control.PlainText:
		c.problems.Add("control.plainText", "contradicts control.tls")
	case control.TLS != nil:
		c.name("control.tls.certificate", control.TLS.Certificate)
		c.name("control.tls.key", control.TLS.Key)
		if len(control.TLS.Authorities) == 0 {
			c.problems.Add("control.tls.authorities", "must not be empty")
		}
	}
}
