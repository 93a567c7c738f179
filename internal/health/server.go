package health

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
)

// Server is what health needs to know of a backend server.
type Server struct {
	Number     config.Number
	Service    string
	DataCentre string
	URL        string
	// Ramp is how long the server is cold after it was down.
	Ramp time.Duration
}

// Servers returns the backend servers of a configuration that are probed, in
// order of Number: those that are active in a data centre that is not out.
func Servers(c *config.Config) []Server {
	out := make(map[string]bool)
	for _, d := range c.DataCentres {
		out[d.Name] = d.Out
	}
	var list []Server
	for _, service := range c.Services {
		for _, s := range service.Servers {
			if s.State != config.Active || out[s.DataCentre] {
				continue
			}
			list = append(list, Server{
				Number:     s.Number,
				Service:    service.Name,
				DataCentre: s.DataCentre,
				URL:        s.Health,
				Ramp:       service.Ramp.Duration,
			})
		}
	}
	slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.Number, b.Number) })
	return list
}

// probers is how many instances probe a backend server.
const probers = 2

// Probers returns which of the usable instances of its data centre probe a
// backend server, the keeper first: the first by rendezvous.
func Probers(instances []fleet.ID, n config.Number) []fleet.ID {
	var best [probers]candidate
	for _, id := range instances {
		c := candidate{id: id, score: score(id, n)}
		for at := range best {
			if c.beats(best[at]) {
				c, best[at] = best[at], c
			}
		}
	}
	var out []fleet.ID
	for _, c := range best {
		if c.id != "" {
			out = append(out, c.id)
		}
	}
	return out
}

// usable returns the usable instances of each data centre, in order of ID.
func usable(v *fleet.View) map[string][]fleet.ID {
	out := make(map[string][]fleet.ID)
	for _, i := range v.Instances {
		if i.Usable() {
			out[i.DataCentre] = append(out[i.DataCentre], i.ID)
		}
	}
	return out
}

type candidate struct {
	id    fleet.ID
	score uint64
}

func (c candidate) beats(o candidate) bool {
	if c.id == "" || o.id == "" {
		return o.id == "" && c.id != ""
	}
	return c.score > o.score || (c.score == o.score && c.id < o.id)
}

func score(id fleet.ID, n config.Number) uint64 {
	b := make([]byte, 0, 64)
	b = binary.BigEndian.AppendUint32(b, uint32(n))
	b = append(b, id...)
	return xxh3.Hash(b)
}
