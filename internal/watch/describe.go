package watch

import "balsamfork/internal/catalogue"

// maxLines limits the log lines for one change of the catalogue; a change of more
// records is logged in a single line.
const maxLines = 24

// describe returns the log attributes of a record.
func describe(r *catalogue.Record) []any {
	out := []any{"epoch", r.Epoch, "revision", r.Revision}
	switch r.Kind {
	case catalogue.KindServer:
		out = append(out, "server", r.Name, "state", serverState(r))
		if r.Server != nil {
			out = append(out, "started", r.Server.Started)
		}
		return out
	case catalogue.KindEvacuation:
		return append(out, "data_centre", r.Name, "evacuated", !r.Removed)
	}
	if r.Configuration != nil {
		out = append(out, "version", r.Configuration.Version, "routes", len(r.Configuration.Routes))
	}
	return out
}

// serverState returns the state of the backend server that a record describes.
func serverState(r *catalogue.Record) string {
	switch {
	case r.Removed:
		return "gone"
	case r.Server == nil:
		return "unreadable"
	case r.Server.Draining:
		return "draining"
	case r.Server.Warmup > 0:
		return "cold"
	}
	return "ready"
}
