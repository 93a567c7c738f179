package demo

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// The bounds that the results of a demonstration must keep.
const (
	// maxImbalance is the maximum ratio of the largest number of flows at a backend
	// server to the mean, in steady state.
	maxImbalance = 1.05
	// maxChangeSeconds is the maximum time until a change is in force at all
	// instances.
	maxChangeSeconds = 4.0
	// maxTakeoutSeconds is the maximum time from the acceptance of a takeout to the
	// last packet to its data centre.
	maxTakeoutSeconds = 2.0
	// maxFreshShare is the maximum ratio of the new flows of a backend server on its
	// ramp to those of a warm one. The mean weight over the ramp is 0.55.
	maxFreshShare = 0.75
)

// Phase is the duration and the traffic of one phase of a demonstration.
type Phase struct {
	Name     string  `json:"name"`
	Seconds  float64 `json:"seconds"`
	Flows    uint64  `json:"flows"`
	Packets  uint64  `json:"packets"`
	Requests int     `json:"requests"`
	// Broken counts the flows that broke unexpectedly.
	Broken uint64 `json:"broken_flows"`
	// Retransmits counts the packets that callers retransmitted.
	Retransmits uint64 `json:"retransmits"`
}

// Result is the result of a demonstration. All figures are counted at the callers
// and the backend servers.
type Result struct {
	Deployment string `json:"deployment"`
	Seed       uint64 `json:"seed"`

	BrokenFlows  uint64             `json:"broken_flows"`
	WrongService uint64             `json:"wrong_service"`
	Imbalance    map[string]float64 `json:"imbalance"`
	// TakeoutSeconds is the time from the acceptance of a data centre's takeout to
	// the last packet at one of its backend servers.
	TakeoutSeconds float64 `json:"takeout_seconds"`
	// ConfigSeconds is the longest time from the acceptance of a configuration
	// until it was in force at the last instance.
	ConfigSeconds float64 `json:"config_seconds"`
	// DrainSeconds is the time from the acceptance of a drain to the last new flow at
	// the draining backend server.
	DrainSeconds float64 `json:"drain_seconds"`
	// FreshShare is the number of new flows at the backend server that joined, during
	// its ramp, over their mean at the warm ones.
	FreshShare float64 `json:"fresh_share"`

	// FirstAnswerSeconds is the time from the start of the demonstration, when no
	// instance is running, until each service has answered a request.
	FirstAnswerSeconds float64 `json:"first_answer_seconds"`

	NonRepeatableRunTwice int `json:"non_repeatable_run_twice"`
	FalseRefusals         int `json:"false_refusals"`
	LostAnswers           int `json:"lost_answers"`
	CrossedAnswers        int `json:"crossed_answers"`
	Unanswered            int `json:"unanswered"`
	// Refused counts requests that were refused, UnknownAfterCrash those whose
	// outcome is unknown because an instance crashed.
	Refused           int `json:"refused"`
	UnknownAfterCrash int `json:"unknown_after_crash"`

	// UnopenedFlows counts flows that never opened, ExcusedFlows those that broke
	// because their data centre was taken out.
	UnopenedFlows uint64 `json:"unopened_flows"`
	ExcusedFlows  uint64 `json:"excused_flows"`

	Phases []Phase `json:"phases"`
	// SuspectRequests describes up to maxSuspectRequests requests that broke a
	// promise.
	SuspectRequests []string `json:"doubtful,omitempty"`
	// Violations describes each promise that was not kept.
	Violations []string `json:"violations"`
}

// checkBounds adds a violation for each figure that is out of bounds.
func (r *Result) checkBounds() {
	requireZero := func(name string, n uint64) {
		if n > 0 {
			r.addViolation("%s: %d", name, n)
		}
	}
	requireAtMost := func(name string, got, bound float64) {
		if got > bound {
			r.addViolation("%s: %.2f, at most %.2f promised", name, got, bound)
		}
	}
	requireZero("broken flows", r.BrokenFlows)
	requireZero("flows never opened", r.UnopenedFlows)
	requireZero("packets at a wrong service", r.WrongService)
	requireZero("requests run twice", uint64(r.NonRepeatableRunTwice))
	requireZero("false refusals", uint64(r.FalseRefusals))
	requireZero("lost answers", uint64(r.LostAnswers))
	requireZero("crossed answers", uint64(r.CrossedAnswers))
	requireZero("unanswered requests", uint64(r.Unanswered))
	for service, ratio := range r.Imbalance {
		requireAtMost("imbalance of "+service, ratio, maxImbalance)
	}
	requireAtMost("seconds of a takeout", r.TakeoutSeconds, maxTakeoutSeconds)
	requireAtMost("seconds until a configuration is in force", r.ConfigSeconds, maxChangeSeconds)
	requireAtMost("seconds of a drain", r.DrainSeconds, maxChangeSeconds)
	requireAtMost("share of a fresh backend server", r.FreshShare, maxFreshShare)
	slices.Sort(r.Violations)
}

func (r *Result) addViolation(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// Text writes the result as a table.
func (r *Result) Text(out io.Writer) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s, seed %d\n\n", r.Deployment, r.Seed)
	fmt.Fprintln(t, "phase\tseconds\tflows\tpackets\trequests\tbroken\trepeated")
	for _, p := range r.Phases {
		fmt.Fprintf(t, "%s\t%.1f\t%d\t%d\t%d\t%d\t%d\n", p.Name, p.Seconds, p.Flows, p.Packets, p.Requests, p.Broken, p.Retransmits)
	}
	fmt.Fprintln(t)
	for _, row := range r.rows() {
		fmt.Fprintf(t, "%s\t%s\n", row[0], row[1])
	}
	fmt.Fprintln(t)
	for _, v := range r.Violations {
		fmt.Fprintf(t, "NOT KEPT: %s\n", v)
	}
	for _, d := range r.SuspectRequests {
		fmt.Fprintf(t, "  %s\n", d)
	}
	if len(r.Violations) == 0 {
		fmt.Fprintln(t, "Every promise was kept.")
	}
	_ = t.Flush()
}

func (r *Result) rows() [][2]string {
	rows := [][2]string{
		{"broken flows", fmt.Sprint(r.BrokenFlows)},
		{"flows ended by the takeout", fmt.Sprint(r.ExcusedFlows)},
		{"packets at a wrong service", fmt.Sprint(r.WrongService)},
	}
	for _, service := range sortedKeys(r.Imbalance) {
		rows = append(rows, [2]string{"imbalance of " + service, fmt.Sprintf("%.3f", r.Imbalance[service])})
	}
	return append(rows, [][2]string{
		{"takeout", seconds(r.TakeoutSeconds)},
		{"drain", seconds(r.DrainSeconds)},
		{"configuration in force", seconds(r.ConfigSeconds)},
		{"share of the fresh backend server", fmt.Sprintf("%.2f", r.FreshShare)},
		{"first answers, after a start of all instances", seconds(r.FirstAnswerSeconds)},
		{"requests run twice", fmt.Sprint(r.NonRepeatableRunTwice)},
		{"refused, of which run", fmt.Sprintf("%d, %d", r.Refused, r.FalseRefusals)},
		{"answers lost, crossed", fmt.Sprintf("%d, %d", r.LostAnswers, r.CrossedAnswers)},
		{"unanswered", fmt.Sprint(r.Unanswered)},
		{"unknown after the crash", fmt.Sprint(r.UnknownAfterCrash)},
	}...)
}

func seconds(s float64) string {
	return time.Duration(s * float64(time.Second)).Round(time.Millisecond).String()
}

func sortedKeys(m map[string]float64) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
