package catalogue

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/zeebo/errs"
)

// HistoryGone is the class of errors for changes that the store no longer holds:
// everything has to be read again.
var HistoryGone = errs.Class("catalogue: history gone")

// Kind says what a record describes.
type Kind uint8

// The kinds of records.
const (
	KindServer Kind = iota + 1
	KindConfiguration
	KindEvacuation
	// KindOther is anything else in the store. Its records only show that no
	// revision is missing.
	KindOther
)

// ID identifies a record: its kind, and the backend server or data centre it
// describes. There is one configuration; its name is empty.
type ID struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name,omitempty"`
}

// Record is one entity at one revision of the store. A record that is neither
// removed nor carries its entity could not be decoded.
type Record struct {
	ID
	Revision uint64 `json:"revision"`
	// Created is the revision at which the entity was created; 0 in a removal.
	Created       uint64         `json:"created,omitempty"`
	Removed       bool           `json:"removed,omitempty"`
	Server        *Server        `json:"server,omitempty"`
	Configuration *Configuration `json:"configuration,omitempty"`
}

// Server is a backend server as it describes itself.
type Server struct {
	// Number is the identity in the form that packets to the server carry.
	Number     uint64         `json:"number"`
	Address    netip.AddrPort `json:"address"`
	Service    string         `json:"service"`
	DataCentre string         `json:"dataCentre"`
	Slots      int            `json:"slots"`
	Draining   bool           `json:"draining,omitempty"`
	// Warmup is how much longer the server stays cold, counted from the moment
	// that the record was read.
	Warmup time.Duration `json:"warmup,omitempty"`
}

// Destination is the address and port to which callers send.
type Destination struct {
	Address netip.Addr `json:"address"`
	Port    uint16     `json:"port"`
}

// String returns the destination as address and port.
func (d Destination) String() string { return netip.AddrPortFrom(d.Address, d.Port).String() }

// Share is a part of a route's flows.
type Share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Route sends the flows to one destination to one or more services.
type Route struct {
	Destination Destination `json:"destination"`
	Shares      []Share     `json:"shares"`
}

// Service holds the limits of a service's backend servers.
type Service struct {
	Name string `json:"name"`
	// WarmupRate is what a cold server bears, in requests a second; 0 means that
	// no rate is stated.
	WarmupRate float64 `json:"warmupRate"`
}

// Configuration is one version of what the operator has declared.
type Configuration struct {
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
}

// Delta holds the changes that lead to a revision.
type Delta struct {
	// Complete says that Records are all that exist at Revision.
	Complete bool `json:"complete,omitempty"`
	// Since is the revision from which the changes lead on, if not Complete.
	Since    uint64   `json:"since"`
	Revision uint64   `json:"revision"`
	Records  []Record `json:"records,omitempty"`
}

func byRevision(a, b Record) int {
	return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}
