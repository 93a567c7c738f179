package cli

import (
	"context"
	"fmt"
	"io"
	"strconv"

	"balsamfork/internal/config"
)

func validateCommand(env Env) *command {
	c := &command{
		name: "validate", args: "FILE", env: env,
		synopsis: "check a declaration",
		help: `Reads a declaration, as the declare library prints it, and names every field that
is wrong. FILE may be - for standard input. Nothing is contacted.

Exit codes: 0 the declaration is valid; 2 it is not.`,
	}
	c.run = func(_ context.Context, args []string) (outcome, error) {
		doc, err := env.document(args)
		if err != nil {
			return nil, err
		}
		return validated{Services: len(doc.Services), DataCentres: len(doc.DataCentres), Servers: servers(doc)}, nil
	}
	return c
}

// document reads the declaration that the one argument names.
func (e Env) document(args []string) (config.Document, error) {
	args, err := arguments(args, "FILE")
	if err != nil {
		return config.Document{}, err
	}
	data, err := e.readFile(args[0])
	if err != nil {
		return config.Document{}, err
	}
	return config.ParseDocument(data)
}

func servers(doc config.Document) int {
	n := 0
	for _, s := range doc.Services {
		n += len(s.BackendServers)
	}
	return n
}

type validated struct {
	Services    int `json:"services"`
	DataCentres int `json:"dataCentres"`
	Servers     int `json:"backendServers"`
}

// Text prints the sizes of the declaration.
func (v validated) Text(w io.Writer) {
	fmt.Fprintf(w, "Valid: %d services, %d backend servers, %d data centres.\n", v.Services, v.Servers, v.DataCentres)
}

func planCommand(env Env) *command {
	var access storeFlags
	c := &command{
		name: "plan", args: "FILE", env: env, flags: access.declare,
		synopsis: "show what a declaration would change",
		help: `Compares a declaration with the configuration in the store: who joins, drains or
leaves, which share of each service's buckets is unsettled meanwhile, and which
established flows would be cut. Marks, which drain and takeout set, stay in effect
and are listed. Nothing is changed. The first line names the version that the plan
was made against: apply -seen with that version makes this change or none.

Exit codes: 0 the change can be applied; 2 the declaration is faulty; 4 it needs
apply -force.`,
	}
	c.run = func(ctx context.Context, args []string) (outcome, error) {
		doc, err := env.document(args)
		if err != nil {
			return nil, err
		}
		e, err := openEditor(ctx, env, access, consent{})
		if err != nil {
			return nil, err
		}
		diff, err := e.plan(config.Declare(doc))
		if diff == nil {
			return nil, err
		}
		return planned{Diff: diff}, err
	}
	return c
}

func applyCommand(env Env) *command {
	var access storeFlags
	var ask consent
	var commit string
	var seen seenFlag
	c := &command{
		name: "apply", args: "FILE", env: env,
		synopsis: "have a declaration accepted",
		help: `Shows the plan, asks before anything that cuts flows, and writes the declaration
to the store as the next version. If another operator's change comes first, nothing
is written and both are shown. With -seen that holds from the plan on: a declaration
or mark that was accepted after that version makes a conflict. Marks stay in effect,
but for those on what the declaration no longer has.

Exit codes: 0 accepted, or nothing to change; 2 the declaration is faulty; 3 another
change came first; 4 not confirmed, or it needs -force; 5 it may have been accepted:
run the same command again.`,
		flags: func(f flagSet) {
			access.declare(f)
			ask.declare(f)
			f.Func("seen", "the `version` that plan was made against; without it, the newest", seen.parse)
			f.StringVar(&commit, "commit", "", "the declaration's commit, for the audit trail")
		},
	}
	c.run = func(ctx context.Context, args []string) (outcome, error) {
		doc, err := env.document(args)
		if err != nil {
			return nil, err
		}
		e, err := openEditor(ctx, env, access, ask)
		if err != nil {
			return nil, err
		}
		e.commit = commit
		if seen.given {
			e.seen = seen.version
		}
		return e.apply(ctx, config.Declare(doc))
	}
	return c
}

// seenFlag is a version that may be absent.
type seenFlag struct {
	version config.Version
	given   bool
}

func (s *seenFlag) parse(text string) error {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return fmt.Errorf("must be the number of a version")
	}
	*s = seenFlag{version: config.Version(number), given: true}
	return nil
}
