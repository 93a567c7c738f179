// Package settings reads the settings of one instance: who it is, where it
// listens, and which keys and store it uses. What it serves is configuration
// and comes from the store.
package settings

import (
	"os"
	"time"

	"github.com/zeebo/errs"

	"balsamfork/internal/strictjson"
)

// Error is the class of errors of a settings file. Its cause is a
// strictjson.Problems where the file could be read.
var Error = errs.Class("settings")

// MaxWorkers bounds Packets.Workers.
const MaxWorkers = 64

// Defaults of optional settings.
const (
	DefaultWorkers      = 2
	DefaultDrainTimeout = 30 * time.Second
)

// Settings is the settings file of an instance.
type Settings struct {
	// ID names the instance; it is unique in the fleet and stays the same over
	// restarts.
	ID         string `json:"id"`
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`

	Packets  Packets  `json:"packets"`
	Requests Listener `json:"requests"`
	Control  Control  `json:"control"`
	Admin    Admin    `json:"admin"`
	Store    Store    `json:"store"`

	// Peers seeds the fleet's table where the platform's list can't be read.
	Peers []Peer `json:"peers,omitempty"`
	Log   Log    `json:"log,omitzero"`
	// DrainTimeout bounds a graceful shutdown, as a Go duration such as "30s".
	DrainTimeout string `json:"drainTimeout,omitempty"`
}

// Listener is an address to listen on, as ip:port. Advertise is the address that
// others reach it by, if it is another.
type Listener struct {
	Listen    string `json:"listen"`
	Advertise string `json:"advertise,omitempty"`
}

// Packets is where encapsulated packets arrive.
type Packets struct {
	Listener
	// Workers is the number of sockets and goroutines that read packets.
	Workers int `json:"workers,omitempty"`
}

// Control is the link between instances and towards operators. Either TLS is
// set, or PlainText says that the link is not protected.
type Control struct {
	Listener
	TLS       *TLS `json:"tls,omitempty"`
	PlainText bool `json:"plainText,omitempty"`
}

// TLS names PEM files. They are read again when they change.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Authorities lists every authority that is trusted: two while one replaces
	// the other.
	Authorities []string `json:"authorities"`
}

// Admin serves metrics, readiness and liveness over HTTP.
type Admin struct {
	Listener
	// Pprof adds the Go profiler.
	Pprof bool `json:"pprof,omitempty"`
}

// Store is the platform's key-value service.
type Store struct {
	URL string `json:"url"`
}

// Peer is another instance that may be asked for the fleet's table. ID is the
// name in its certificate.
type Peer struct {
	ID         string `json:"id"`
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`
	Control    string `json:"control"`
}

// Log says what is logged, and how.
type Log struct {
	Level  string `json:"level,omitempty"`
	Format string `json:"format,omitempty"`
}

// Load reads and validates a settings file.
func Load(path string) (*Valid, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return Parse(data)
}

// Parse validates the text of a settings file. The error names every faulty
// field.
func Parse(data []byte) (*Valid, error) {
	var s Settings
	var problems strictjson.Problems
	if err := strictjson.Decode(data, &s); err != nil {
		problems = err.(strictjson.Problems)
	}
	valid, faults := s.validate()
	problems.AddNew(faults)
	if err := problems.Err(); err != nil {
		return nil, Error.Wrap(err)
	}
	return valid, nil
}
