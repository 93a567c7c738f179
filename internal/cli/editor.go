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

// consent says what the operator agrees to beforehand.
type consent struct {
	yes   bool
	force bool
}

func (c *consent) declare(f *flag.FlagSet) {
	f.BoolVar(&c.yes, "yes", false, "do not ask before flows are cut")
	f.BoolVar(&c.force, "force", false, "allow a change that stops a service or the last data centre")
}

// editor makes one change to the configuration that it was opened on.
type editor struct {
	env    Env
	store  *confstore.Repository
	base   confstore.Snapshot
	who    string
	commit string
	ask    consent
}

func openEditor(ctx context.Context, env Env, access storeFlags, ask consent) (*editor, error) {
	repository, err := access.open()
	if err != nil {
		return nil, err
	}
	base, err := repository.Read(ctx, confstore.Snapshot{})
	if err != nil {
		return nil, err
	}
	return &editor{env: env, store: repository, base: base, who: access.who, ask: ask}, nil
}

// change returns what is asked of the store. Its ID is new: repeated attempts of
// one change go through the same value.
func (e *editor) change() config.Change {
	c := config.Change{
		ID:     rand.Text(),
		Seen:   e.base.Version(),
		Force:  e.ask.force,
		Who:    e.who,
		When:   time.Now(),
		Commit: e.commit,
	}
	_, _ = rand.Read(c.HashKey[:])
	return c
}

// share returns the share of buckets on which the tables of the sets disagree.
func share(sets ...config.Set) float64 {
	views := make([]table.View, len(sets))
	for i, set := range sets {
		views[i] = table.View{Set: set, Table: table.Build(set)}
	}
	unsettled := table.Unsettled(views, func(config.Number) bool { return false })
	return float64(unsettled.Count()) / table.Buckets
}

func (e *editor) plan(doc config.Document) (*config.Diff, error) {
	return config.Plan(e.base.State, doc, e.change(), share)
}

// apply plans, asks and writes.
func (e *editor) apply(ctx context.Context, doc config.Document) (outcome, error) {
	diff, err := e.plan(doc)
	if err != nil && diff == nil {
		return nil, err
	}
	if err != nil {
		return planned{Diff: diff}, err
	}
	if err := e.confirm(diff); err != nil {
		return planned{Diff: diff}, err
	}
	result, err := e.store.Apply(ctx, doc, e.change())
	if err != nil {
		return nil, err
	}
	return applied{Version: result.Version, Already: result.Already, Diff: result.Diff}, nil
}

// confirm asks the operator if the change cuts flows.
func (e *editor) confirm(diff *config.Diff) error {
	cuts := diff.Cuts()
	if len(cuts) == 0 || e.ask.yes {
		return nil
	}
	fmt.Fprintln(e.env.Err, "This change ends established flows:")
	for _, cut := range cuts {
		fmt.Fprintln(e.env.Err, "  "+cut)
	}
	fmt.Fprint(e.env.Err, "Go on? [y/N] ")
	answer, _ := bufio.NewReader(e.env.In).ReadString('\n')
	if strings.EqualFold(strings.TrimSpace(answer), "y") {
		return nil
	}
	return refused.New("not confirmed; nothing was changed")
}

type planned struct {
	*config.Diff
}

// Text prints one line for each step.
func (p planned) Text(w io.Writer) {
	if p.Empty() {
		fmt.Fprintln(w, "Nothing to change.")
		return
	}
	fmt.Fprintf(w, "Version %d -> %d\n", p.From, p.To)
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

func printStep(w io.Writer, indent string, step config.Step) {
	line := fmt.Sprintf("%s%s %s", indent, step.Action, step.Name)
	if step.Detail != "" {
		line += " (" + step.Detail + ")"
	}
	fmt.Fprintln(w, line)
}

type applied struct {
	Version config.Version `json:"version"`
	Already bool           `json:"already"`
	Diff    *config.Diff   `json:"diff,omitempty"`
}

// Text says which version holds the change.
func (a applied) Text(w io.Writer) {
	if a.Already {
		fmt.Fprintf(w, "Nothing to change: version %d has it already.\n", a.Version)
		return
	}
	fmt.Fprintf(w, "Accepted as version %d.\n", a.Version)
}
