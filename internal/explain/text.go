package explain

import (
	"fmt"
	"io"
	"strings"
)

// timeFormat is the layout of a time of day with milliseconds.
const timeFormat = "15:04:05.000"

// Text prints the decisions about a flow with their context, and the gaps.
func (r Report) Text(w io.Writer) {
	if len(r.Decisions) == 0 {
		fmt.Fprintln(w, "No decision about this flow is in the logs.")
		r.printGaps(w)
		return
	}
	context := r.Context
	for i := range r.Decisions {
		d := &r.Decisions[i]
		for len(context) > 0 && !context[0].Time.After(d.Time) {
			fmt.Fprintln(w, "  "+context[0].formatContext())
			context = context[1:]
		}
		fmt.Fprintln(w, d.formatDecision())
	}
	for i := range context {
		fmt.Fprintln(w, "  "+context[i].formatContext())
	}
	r.printGaps(w)
}

func (r Report) printGaps(w io.Writer) {
	for i := range r.Gaps {
		g := &r.Gaps[i]
		fmt.Fprintf(w, "gap: %s %s left out %d lines.\n", g.Time.Format(timeFormat), g.Instance, g.Count+g.Lines)
	}
	for _, instance := range r.Silent {
		fmt.Fprintf(w, "gap: %s has no line after the last decision.\n", instance)
	}
}

// formatDecision describes a decision and the data that it was based on.
func (l *Line) formatDecision() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s, %s", l.Time.Format(timeFormat), l.Instance, l.Action, l.Reason)
	writeIf(&b, "copy %d", &l.Copy, l.Copy > 0)
	writeString(&b, "to", l.Server)
	writeString(&b, "tier", l.Tier)
	writeString(&b, "unanswered before by", l.Unanswered)
	writeValue(&b, "load", l.Load)
	writeValue(&b, "load ms ago:", l.LoadAgeMS)
	writeString(&b, "overflow from service", l.OverflowFrom)
	writeValue(&b, "admitted part", l.AdmittedPart)
	writeValue(&b, "configuration", l.Version)
	writeValue(&b, "epoch", l.Epoch)
	writeValue(&b, "revision", l.Revision)
	writeValue(&b, "known ms ago:", l.AgeMS)
	return b.String()
}

// formatContext describes a change of an instance's state.
func (l *Line) formatContext() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s", l.Time.Format(timeFormat), l.Instance, l.Message)
	writeString(&b, "server", l.Server)
	writeString(&b, "service", l.Service)
	writeString(&b, "state", l.State)
	writeValue(&b, "load", l.Load)
	writeValue(&b, "slots", l.Slots)
	writeValue(&b, "senders", l.Senders)
	writeValue(&b, "load ms ago:", l.LoadAgeMS)
	writeValue(&b, "speed", l.Speed)
	writeValue(&b, "response ms", l.ResponseMS)
	writeString(&b, "data centre", l.DataCentre)
	writeString(&b, "evidence", l.Evidence)
	writeString(&b, "from", l.Source)
	writeString(&b, "error", l.Error)
	writeValue(&b, "configuration", l.Version)
	writeValue(&b, "epoch", l.Epoch)
	writeValue(&b, "revision", l.Revision)
	writeValue(&b, "evacuated", l.Evacuated)
	writeValue(&b, "reaches servers", l.ReachesServers)
	writeValue(&b, "accounts", l.Accounts)
	writeValue(&b, "silent ms", l.SilentMS)
	writeValue(&b, "age ms", l.AgeMS)
	writeValue(&b, "after ms", l.AfterMS)
	return b.String()
}

func writeString(b *strings.Builder, name, value string) {
	writeIf(b, name+" %s", &value, value != "")
}

func writeValue[T any](b *strings.Builder, name string, value *T) {
	writeIf(b, name+" %v", value, value != nil)
}

func writeIf[T any](b *strings.Builder, format string, value *T, shown bool) {
	if shown {
		b.WriteString(", ")
		fmt.Fprintf(b, format, *value)
	}
}
