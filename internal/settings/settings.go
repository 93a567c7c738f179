// Package settings reads the settings file of one instance: its identity, the
// addresses it listens on, and the certificates and store it uses. The services
// that it balances are not settings: they belong to the configuration, which it
// reads from the store.
package settings

import (
	"os"
	"time"

	"github.com/zeebo/errs"

	"balsamfork/internal/strictjson"
)

// Error is the class of errors of a settings file. Its cause is a
// strictjson.Problems if the file could be read.
var Error = errs.Class("settings")

// MaxWorkers is the upper bound of Packets.Workers.
const MaxWorkers = 64

// Defaults of optional settings.
const (
	DefaultWorkers      = 2
	DefaultDrainTimeout = 30 * time.Second
)

// Settings is the settings file of an instance.
type Settings struct {
	// ID identifies the instance. It is unique in the fleet and does not change
	// across restarts.
	ID         string `json:"id"`
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`

	Packets  Packets  `json:"packets"`
	Requests Listener `json:"requests"`
	Control  Control  `json:"control"`
	Admin    Admin    `json:"admin"`
	Store    Store    `json:"store"`

	// Peers are the instances to join the fleet through if the platform's list of
	// instances cannot be read.
	Peers []Peer `json:"peers,omitempty"`
	Log   Log    `json:"log,omitzero"`
	// DrainTimeout is the longest duration of a graceful shutdown, as a Go duration
	// such as "30s".
	DrainTimeout string `json:"drainTimeout,omitempty"`
}

// Listener is an address to listen on, as ip:port. Advertise is the address under
// which others reach it, if that differs.
type Listener struct {
	Listen    string `json:"listen"`
	Advertise string `json:"advertise,omitempty"`
}

// Packets configures the listener for encapsulated packets.
type Packets struct {
	Listener
	// Workers is the number of sockets and goroutines that read packets.
	Workers int `json:"workers,omitempty"`
}

// Control configures the control link, which other instances and operators
// connect to. Either TLS or PlainText must be set; with PlainText the link is
// neither encrypted nor authenticated.
type Control struct {
	Listener
	TLS       *TLS `json:"tls,omitempty"`
	PlainText bool `json:"plainText,omitempty"`
}

// TLS contains the paths of PEM files. The files are reloaded when they change.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Authorities lists every trusted authority: two during the rotation from
	// one to the other.
	Authorities []string `json:"authorities"`
}

// Admin configures the HTTP endpoint for metrics, readiness and liveness.
type Admin struct {
	Listener
	// Pprof enables the endpoints of the Go profiler.
	Pprof bool `json:"pprof,omitempty"`
}

// Store configures the connection to the platform's key-value service.
type Store struct {
	URL string `json:"url"`
}

// Peer is another instance from which the table of instances can be fetched. ID
// is the name in its certificate.
type Peer struct {
	ID         string `json:"id"`
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`
	Control    string `json:"control"`
}

// Log configures the level and format of the log.
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

// Parse decodes and validates the text of a settings file. The error names every
// invalid field.
func Parse(data []byte) (*Valid, error) {
	var s Settings
	var problems strictjson.Problems
	if err := strictjson.Decode(data, &s); err != nil {
		problems = err.(strictjson.Problems)
	}
	valid, violations := s.validate()
	problems.AddNew(violations)
	if err := problems.Err(); err != nil {
		return nil, Error.Wrap(err)
	}
	return valid, nil
}
