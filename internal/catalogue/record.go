package catalogue

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/errs"
)

// HistoryGone is the class of errors for reading changes that the store no longer
// holds. The caller has to read everything again.
var HistoryGone = errs.Class("catalogue: history gone")

// Kind is the kind of entity that a record describes.
type Kind uint8

// The kinds of records.
const (
	KindServer Kind = iota + 1
	KindConfiguration
	KindEvacuation
	// KindOther is any other entity in the store. Its records only show that no
	// revision is missing.
	KindOther
)

// ID identifies the entity of a record by its kind and the name of the backend server
// or data centre. There is one configuration; its name is empty.
type ID struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name,omitempty"`
}

// Record is one entity at one revision of the store. If a backend server or the
// configuration could not be decoded, Removed is false and Server and Configuration are
// nil.
type Record struct {
	ID
	// Epoch and Revision are the position of the entity's last change.
	Epoch    uint64 `json:"epoch,omitempty"`
	Revision uint64 `json:"revision"`
	// Created is the revision at which the entity was created; 0 in a removal.
	Created       uint64         `json:"created,omitempty"`
	Removed       bool           `json:"removed,omitempty"`
	Server        *Server        `json:"server,omitempty"`
	Configuration *Configuration `json:"configuration,omitempty"`
}

func (r Record) position() Position { return Position{Epoch: r.Epoch, Revision: r.Revision} }

// Server is a backend server as it describes itself in the store.
type Server struct {
	// Number is the server's identity in the form that is sent in packets to the server.
	Number     uint64         `json:"number"`
	Address    netip.AddrPort `json:"address"`
	Service    string         `json:"service"`
	DataCentre string         `json:"dataCentre"`
	Slots      int            `json:"slots"`
	Draining   bool           `json:"draining,omitempty"`
	// Started is when the server started, as Unix time in milliseconds, and Report the
	// number of its report since then. Both are 0 if the server does not state its start.
	Started int64  `json:"started,omitempty"`
	Report  uint64 `json:"report,omitempty"`
	// Warmup is the remaining warm-up time of the server, counted from when the
	// record was read.
	Warmup time.Duration `json:"warmup,omitempty"`
}

// compareReport compares two reports of a server in the order in which it wrote them. It
// returns false if that order is unknown.
func (s *Server) compareReport(t *Server) (order int, known bool) {
	if s.Started == 0 || t.Started == 0 {
		return 0, false
	}
	return cmp.Or(cmp.Compare(s.Started, t.Started), cmp.Compare(s.Report, t.Report)), true
}

// Destination is the address and port that callers connect to.
type Destination struct {
	Address netip.Addr `json:"address"`
	Port    uint16     `json:"port"`
}

// String returns the destination as address and port.
func (d Destination) String() string { return netip.AddrPortFrom(d.Address, d.Port).String() }

// Share is the weight of a service in a route.
type Share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Route distributes the flows to a destination over one or more services.
type Route struct {
	Destination Destination `json:"destination"`
	Shares      []Share     `json:"shares"`
	Requests    Requests    `json:"requests,omitzero"`
}

// RequestKind says how requests may be repeated.
type RequestKind uint8

// The kinds of requests.
const (
	RequestsUnstated RequestKind = iota
	Idempotent
	NonIdempotent
	Download
)

// LowestPriority is the rank of routes that state no priority.
const LowestPriority = 255

// Requests describes the requests that a route's flows carry. The zero value states
// nothing.
type Requests struct {
	Kind RequestKind `json:"kind,omitempty"`
	// Timeout is the time after which a caller gives up, and Target the latency within
	// which it wants the response; 0 means not stated.
	Timeout time.Duration `json:"timeout,omitempty"`
	Target  time.Duration `json:"target,omitempty"`
	// Priority is 0 for the most urgent requests; nil means not stated.
	Priority *int `json:"priority,omitempty"`
}

// Rank returns the priority, or LowestPriority if none is stated.
func (r *Requests) Rank() int {
	if r.Priority == nil {
		return LowestPriority
	}
	return *r.Priority
}

// Service holds the limits of a service's backend servers.
type Service struct {
	Name string `json:"name"`
	// WarmupRate is the rate that a cold server can handle, in requests a second; 0
	// means that no rate is stated.
	WarmupRate float64 `json:"warmupRate"`
	// Warmup is how long a server is cold after its start; 0 means that this is not stated.
	Warmup time.Duration `json:"warmup,omitempty"`
}

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
}

// HasSplitRoutes reports whether a route has more than one service, so that the services
// can stand in for one another.
func (c *Configuration) HasSplitRoutes() bool {
	return slices.ContainsFunc(c.Routes, func(r Route) bool { return len(r.Shares) > 1 })
}

// RanksRequests reports whether routes of one service state different priorities, so that
// some flows go before others where it runs out of room.
func (c *Configuration) RanksRequests() bool {
	ranks := map[string]int{}
	for i := range c.Routes {
		if c.Routes[i].Requests.Priority == nil {
			continue
		}
		rank := *c.Routes[i].Requests.Priority
		for _, s := range c.Routes[i].Shares {
			if known, found := ranks[s.Service]; found && known != rank {
				return true
			}
			ranks[s.Service] = rank
		}
	}
	return false
}

// Delta holds the changes up to a revision of the store.
type Delta struct {
	// Complete is set if Records holds all records that exist at Revision.
	Complete bool `json:"complete,omitempty"`
	// Since is the revision after which the changes start, if not Complete.
	Since uint64 `json:"since"`
	// Unseen is a range of revisions whose changes the sender has not seen: the delta
	// lacks the removals of entities that were created and removed inside it. The zero
	// value in a complete delta means all up to Revision, as in one read from the store.
	Unseen RevisionRange `json:"unseen,omitzero"`
	// Dropped is the revision up to which removals may be missing from a complete delta.
	Dropped uint64 `json:"dropped,omitempty"`
	// Epoch is the epoch of all revisions of the delta, except those of records that the
	// sender has kept from an earlier one.
	Epoch uint64 `json:"epoch,omitempty"`
	// Revision is the revision to which the changes lead.
	Revision uint64   `json:"revision"`
	Records  []Record `json:"records,omitempty"`
}

// Position returns the position to which the changes lead.
func (d Delta) Position() Position { return Position{Epoch: d.Epoch, Revision: d.Revision} }

// RevisionRange is a range of revisions without its ends: After is the last revision
// before it and Until the first one after it.
type RevisionRange struct {
	After uint64 `json:"after"`
	Until uint64 `json:"until"`
}

// crossedFrom reports whether the changes after a revision cross the range.
func (r RevisionRange) crossedFrom(revision uint64) bool { return revision < r.Until }

// contains reports whether a revision lies inside the range, so that a mirror at that
// revision may hold entities whose removal is unknown.
func (r RevisionRange) contains(revision uint64) bool {
	return revision > r.After && revision < r.Until
}

func byPosition(a, b Record) int {
	return cmp.Or(a.position().Compare(b.position()), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}
