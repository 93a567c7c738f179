package watch

import "balsamfork/internal/catalogue"

// maxLines bounds the lines about one change of the catalogue; a larger one is
// logged as a whole.
const maxLines = 24

// describe returns the attributes of a log line about a record.
func describe(r *catalogue.Record) []any {
	out := []any{"revision", r.Revision}
	switch r.Kind {
	case catalogue.KindServer:
		return append(out, "server", r.Name, "state", state(r))
	case catalogue.KindEvacuation:
		return append(out, "data_centre", r.Name, "evacuated", !r.Removed)
	}
	if r.Configuration != nil {
		out = append(out, "version", r.Configuration.Version, "routes", len(r.Configuration.Routes))
	}
	return out
}

// state names the condition of a backend server that a record describes.
func state(r *catalogue.Record) string {
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
