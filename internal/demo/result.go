package demo

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// The promises that a demonstration holds the product to.
const (
	// maxImbalance is the largest ratio of the fullest backend server to the mean,
	// in steady state.
	maxImbalance = 1.05
	// maxSeconds bounds how long a change may take to be in force everywhere.
	maxSeconds = 4.0
	// maxTakeout bounds the time from the acceptance of a takeout until the last
	// packet to its data centre, in seconds.
	maxTakeout = 2.0
	// maxFreshShare bounds the new flows of a backend server on its ramp, as a
	// share of what a warm one gets. The ramp's mean is 0.55.
	maxFreshShare = 0.75
)

// Phase is one part of a demonstration and what was tried in it.
type Phase struct {
	Name     string  `json:"name"`
	Seconds  float64 `json:"seconds"`
	Flows    uint64  `json:"flows"`
	Packets  uint64  `json:"packets"`
	Requests int     `json:"requests"`
	// Broken counts the flows that broke without an excuse.
	Broken uint64 `json:"broken_flows"`
	// Retransmits counts packets that callers had to repeat.
	Retransmits uint64 `json:"retransmits"`
}

// Result is the outcome of a demonstration. All of it is counted at the callers
// and the backend servers.
type Result struct {
	Deployment string `json:"deployment"`
	Seed       uint64 `json:"seed"`

	BrokenFlows  uint64             `json:"broken_flows"`
	WrongService uint64             `json:"wrong_service"`
	Imbalance    map[string]float64 `json:"imbalance"`
	// TakeoutSeconds is from the acceptance of a data centre's takeout to the last
	// packet at one of its backend servers.
	TakeoutSeconds float64 `json:"takeout_seconds"`
	// ConfigSeconds is the longest time from the acceptance of a configuration
	// until it was in force at the last instance.
	ConfigSeconds float64 `json:"config_seconds"`
	// DrainSeconds is from the acceptance of a drain to the last new flow at the
	// draining backend server.
	DrainSeconds float64 `json:"drain_seconds"`
	// FreshShare is the new flows of the backend server that joined during its
	// ramp, over the mean of the warm ones.
	FreshShare float64 `json:"fresh_share"`

	// FirstAnswerSeconds is from the start of the first instance, all of them new,
	// to the first answer of each service to a request.
	FirstAnswerSeconds float64 `json:"first_answer_seconds"`

	NonRepeatableRunTwice int `json:"non_repeatable_run_twice"`
	FalseRefusals         int `json:"false_refusals"`
	LostAnswers           int `json:"lost_answers"`
	CrossedAnswers        int `json:"crossed_answers"`
	Unanswered            int `json:"unanswered"`
	// Refused counts requests that were refused, UnknownAfterCrash those under way
	// at the crash of an instance whose outcome nobody knows.
	Refused           int `json:"refused"`
	UnknownAfterCrash int `json:"unknown_after_crash"`

	// UnopenedFlows counts flows that were never answered, ExcusedFlows those that
	// ended because their data centre was taken out.
	UnopenedFlows uint64 `json:"unopened_flows"`
	ExcusedFlows  uint64 `json:"excused_flows"`

	Phases []Phase `json:"phases"`
	// Doubtful describes the first requests that broke a promise.
	Doubtful []string `json:"doubtful,omitempty"`
	// Violations names each promise that was not kept.
	Violations []string `json:"violations"`
}

// judge fills in Violations.
func (r *Result) judge() {
	none := func(what string, n uint64) {
		if n > 0 {
			r.violate("%s: %d", what, n)
		}
	}
	atMost := func(what string, got, bound float64) {
		if got > bound {
			r.violate("%s: %.2f, at most %.2f promised", what, got, bound)
		}
	}
	none("broken flows", r.BrokenFlows)
	none("flows never opened", r.UnopenedFlows)
	none("packets at a wrong service", r.WrongService)
	none("requests run twice", uint64(r.NonRepeatableRunTwice))
	none("false refusals", uint64(r.FalseRefusals))
	none("lost answers", uint64(r.LostAnswers))
	none("crossed answers", uint64(r.CrossedAnswers))
	none("unanswered requests", uint64(r.Unanswered))
	for service, ratio := range r.Imbalance {
		atMost("imbalance of "+service, ratio, maxImbalance)
	}
	atMost("seconds of a takeout", r.TakeoutSeconds, maxTakeout)
	atMost("seconds until a configuration is in force", r.ConfigSeconds, maxSeconds)
	atMost("seconds of a drain", r.DrainSeconds, maxSeconds)
	atMost("share of a fresh backend server", r.FreshShare, maxFreshShare)
	slices.Sort(r.Violations)
}

func (r *Result) violate(format string, args ...any) {
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
	for _, d := range r.Doubtful {
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
		{"first answers, after a start from nothing", seconds(r.FirstAnswerSeconds)},
		{"requests run twice", fmt.Sprint(r.NonRepeatableRunTwice)},
		{"refused, of them run", fmt.Sprintf("%d, %d", r.Refused, r.FalseRefusals)},
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
