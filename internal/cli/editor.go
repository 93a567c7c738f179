package cli

import (
	"bufio"
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/confstore"
	"balsamfork/internal/table"
)

type flagSet = *flag.FlagSet

// confirmFlags are the flags that confirm a change in advance.
type confirmFlags struct {
	yes   bool
	force bool
}

func (c *confirmFlags) register(f *flag.FlagSet) {
	f.BoolVar(&c.yes, "yes", false, "do not ask for confirmation before cutting flows")
	f.BoolVar(&c.force, "force", false, "allow a change that leaves a service without active backend servers or takes out the last data centre")
}

// editor makes one change to the configuration that openEditor read from the store.
type editor struct {
	env   Env
	store *confstore.Repository
	base  confstore.Snapshot
	// seen is the version that the change is based on.
	seen         config.Version
	operator     string
	commit       string
	confirmation confirmFlags
}

func openEditor(ctx context.Context, env Env, access storeFlags, confirmation confirmFlags) (*editor, error) {
	repository, err := access.open()
	if err != nil {
		return nil, err
	}
	base, err := repository.Read(ctx, confstore.Snapshot{})
	if err != nil {
		return nil, err
	}
	return &editor{env: env, store: repository, base: base, seen: base.Version(),
		operator: access.operator, confirmation: confirmation}, nil
}

// change returns a change request with a new ID. Repeated attempts of one change
// must use the same value.
func (e *editor) change() config.Change {
	c := config.Change{
		ID:          rand.Text(),
		BaseVersion: e.seen,
		Force:       e.confirmation.force,
		Who:         e.operator,
		When:        time.Now(),
		Commit:      e.commit,
	}
	_, _ = rand.Read(c.HashKey[:])
	return c
}

// unsettledShare returns the fraction of buckets, 0 to 1, on which the tables of the
// sets disagree.
func unsettledShare(sets ...config.Set) float64 {
	assignments := make([]table.Assignment, len(sets))
	for i, set := range sets {
		assignments[i] = table.Assignment{Set: set, Table: table.Build(set)}
	}
	unsettled := table.Unsettled(assignments, func(config.Number) bool { return false })
	return float64(unsettled.Count()) / table.Buckets
}

func (e *editor) plan(propose config.Proposal) (*config.Diff, error) {
	return config.Plan(e.base.State, propose, e.change(), unsettledShare)
}

// apply plans the change, asks for confirmation if it cuts flows, and writes it to
// the store.
func (e *editor) apply(ctx context.Context, propose config.Proposal) (outcome, error) {
	diff, err := e.plan(propose)
	if config.Conflict.Has(err) { // Propose's error names the changes accepted since
		_, err = e.store.Propose(ctx, propose, e.change())
		return nil, err
	}
	if err != nil && diff == nil {
		return nil, err
	}
	if err != nil {
		return planResult{Diff: diff}, err
	}
	if err := e.confirm(diff); err != nil {
		return planResult{Diff: diff}, err
	}
	result, err := e.store.Propose(ctx, propose, e.change())
	if err != nil {
		return nil, err
	}
	return applyResult{Version: result.Version, AlreadyApplied: result.AlreadyApplied, Diff: result.Diff}, nil
}

// confirm asks the operator for confirmation if the change cuts flows.
func (e *editor) confirm(diff *config.Diff) error {
	cuts := diff.Cuts()
	if len(cuts) == 0 || e.confirmation.yes {
		return nil
	}
	fmt.Fprintln(e.env.Err, "This change ends established flows:")
	for _, cut := range cuts {
		fmt.Fprintln(e.env.Err, "  "+cut)
	}
	fmt.Fprint(e.env.Err, "Continue? [y/N] ")
	answer, _ := bufio.NewReader(e.env.In).ReadString('\n')
	if strings.EqualFold(strings.TrimSpace(answer), "y") {
		return nil
	}
	return errRefused.New("not confirmed; nothing was changed")
}

type planResult struct {
	*config.Diff
}

// Text writes the base version, one line per step, the flows that are cut and the marks
// in effect.
func (p planResult) Text(w io.Writer) {
	defer printMarks(w, p.Marks)
	fmt.Fprintf(w, "Planned against version %d.\n", p.From)
	if p.Empty() {
		fmt.Fprintln(w, "Nothing to change.")
		return
	}
	for _, step := range p.DataCentres {
		printStep(w, "data centre ", step)
	}
	for _, s := range p.Services {
		fmt.Fprintf(w, "%s service %s: %.1f%% of its buckets unsettled meanwhile\n", s.Action, s.Name, 100*s.BucketsUnsettled)
		for _, step := range s.Steps {
			printStep(w, "  ", step)
		}
	}
	for _, cut := range p.Cuts() {
		fmt.Fprintf(w, "CUTS %s\n", cut)
	}
}

// printMarks writes the marks in effect, which override the declaration.
func printMarks(w io.Writer, marks []config.Mark) {
	for _, m := range marks {
		fmt.Fprintf(w, "MARK in effect: %s\n", m)
	}
}

func printStep(w io.Writer, indent string, step config.Step) {
	line := fmt.Sprintf("%s%s %s", indent, step.Action, step.Name)
	if step.Detail != "" {
		line += " (" + step.Detail + ")"
	}
	fmt.Fprintln(w, line)
}

type applyResult struct {
	Version        config.Version `json:"version"`
	AlreadyApplied bool           `json:"already"`
	Diff           *config.Diff   `json:"diff,omitempty"`
}

// Text writes the version that contains the change, and the marks in effect.
func (a applyResult) Text(w io.Writer) {
	if a.AlreadyApplied {
		fmt.Fprintf(w, "Nothing to change: version %d has it already.\n", a.Version)
	} else {
		fmt.Fprintf(w, "Accepted as version %d.\n", a.Version)
	}
	if a.Diff != nil {
		printMarks(w, a.Diff.Marks)
	}
}
