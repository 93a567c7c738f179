package flowpath

import (
	"log/slog"
	"time"
)

// log writes one line on a decision, with the inputs that it was based on.
func (p *Path) log(packet *Packet, v *Verdict, state CatalogueState, now int64) {
	if !p.recorder.Admit(now) {
		return
	}
	attributes := []slog.Attr{
		slog.String("flow", packet.Flow.From().String()),
		slog.String("to", packet.Flow.To().String()),
		slog.Int("copy", packet.Copy),
		slog.String("action", v.Action.String()),
		slog.String("reason", v.Reason.String()),
		slog.Uint64("epoch", state.Snapshot.Epoch),
		slog.Uint64("revision", state.Snapshot.Revision),
		slog.Int64("age_ms", (now-state.Known)/int64(time.Millisecond)),
	}
	if c := state.Snapshot.Configuration; c != nil {
		attributes = append(attributes, slog.Int64("version", c.Version))
	}
	if v.Service != "" {
		attributes = append(attributes, slog.String("service", v.Service), slog.String("tier", v.Tier.String()))
	}
	if v.Backend != nil {
		attributes = append(attributes, slog.String("server", v.Backend.Name), slog.Float64("load", p.decider.Load(v.Backend)))
	}
	attributes = v.Load.append(attributes)
	if v.Unanswered != nil {
		attributes = append(attributes, slog.String("unanswered", v.Unanswered.Name))
	}
	if packet.Cookie != 0 {
		attributes = append(attributes, slog.Uint64("cookie", uint64(packet.Cookie)))
	}
	p.recorder.Write("Flow decided.", attributes...)
}

// append appends the inputs that apply to a decision.
func (l *LoadInputs) append(attributes []slog.Attr) []slog.Attr {
	if l.Known {
		attributes = append(attributes, slog.Int64("load_age_ms", l.Age.Milliseconds()))
	}
	if l.OverflowFrom != "" {
		attributes = append(attributes, slog.String("overflow_from", l.OverflowFrom))
	}
	if l.Limited {
		attributes = append(attributes, slog.Float64("admitted_part", l.AdmittedPart))
	}
	return attributes
}
