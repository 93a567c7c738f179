package health

import (
	"cmp"
	"slices"
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/rendezvous"
	"balsamfork/internal/table"
)

// Server is the part of a backend server's configuration that health checking
// needs.
type Server struct {
	Number     config.Number
	Service    string
	DataCentre string
	URL        string
	// Ramp is how long the server remains cold after it was down.
	Ramp time.Duration
}

// Servers returns the backend servers of a configuration whose health is checked,
// in order of Number: those that are active and in a data centre that is not marked
// out.
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

// probers is the number of instances that probe a backend server.
const probers = 2

// Probers returns those of the usable instances of its data centre that probe a
// backend server, the primary prober first.
func Probers(instances []fleet.ID, n config.Number) []fleet.ID {
	return rendezvous.Top(instances, table.Mix(uint64(n)), probers)
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
