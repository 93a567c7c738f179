package explain

import (
	"fmt"
	"io"
	"strings"
)

// timeFormat shows a time of day to the millisecond.
const timeFormat = "15:04:05.000"

// Text prints the story of a flow.
func (r Report) Text(w io.Writer) {
	if len(r.Decisions) == 0 {
		fmt.Fprintln(w, "No decision about this flow is in the logs.")
		r.incomplete(w)
		return
	}
	context := r.Context
	for i := range r.Decisions {
		d := &r.Decisions[i]
		for len(context) > 0 && !context[0].Time.After(d.Time) {
			fmt.Fprintln(w, "  "+context[0].believed())
			context = context[1:]
		}
		fmt.Fprintln(w, d.decided())
	}
	for i := range context {
		fmt.Fprintln(w, "  "+context[i].believed())
	}
	r.incomplete(w)
}

func (r Report) incomplete(w io.Writer) {
	for i := range r.Gaps {
		g := &r.Gaps[i]
		fmt.Fprintf(w, "gap: %s %s left out %d lines.\n", g.Time.Format(timeFormat), g.Instance, g.Count+g.Lines)
	}
	for _, instance := range r.Silent {
		fmt.Fprintf(w, "gap: %s has no line after the last decision.\n", instance)
	}
}

// decided tells of a decision and what it was based on.
func (l *Line) decided() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s, %s", l.Time.Format(timeFormat), l.Instance, l.Action, l.Reason)
	optional(&b, "copy %d", &l.Copy, l.Copy > 0)
	word(&b, "to", l.Server)
	word(&b, "tier", l.Tier)
	word(&b, "unanswered before by", l.Unanswered)
	number(&b, "load", l.Load)
	number(&b, "configuration", l.Version)
	number(&b, "revision", l.Revision)
	number(&b, "known ms ago:", l.AgeMS)
	return b.String()
}

// believed tells what an instance learned or lost.
func (l *Line) believed() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s", l.Time.Format(timeFormat), l.Instance, l.Message)
	word(&b, "server", l.Server)
	word(&b, "state", l.State)
	word(&b, "data centre", l.DataCentre)
	word(&b, "evidence", l.Evidence)
	word(&b, "from", l.Source)
	word(&b, "error", l.Error)
	number(&b, "configuration", l.Version)
	number(&b, "revision", l.Revision)
	number(&b, "evacuated", l.Evacuated)
	number(&b, "reaches servers", l.Reaches)
	number(&b, "accounts", l.Accounts)
	number(&b, "silent ms", l.SilentMS)
	number(&b, "age ms", l.AgeMS)
	number(&b, "after ms", l.AfterMS)
	return b.String()
}

func word(b *strings.Builder, name, value string) {
	optional(b, name+" %s", &value, value != "")
}

func number[T any](b *strings.Builder, name string, value *T) {
	optional(b, name+" %v", value, value != nil)
}

func optional[T any](b *strings.Builder, format string, value *T, shown bool) {
	if shown {
		b.WriteString(", ")
		fmt.Fprintf(b, format, *value)
	}
}
