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
		synopsis: "validate a declaration",
		help: `Reads a declaration, as printed by the declare library, and reports every invalid
field. FILE may be - for standard input. The command makes no network connections.

Exit codes: 0 the declaration is valid; 2 it is not.`,
	}
	c.run = func(_ context.Context, args []string) (outcome, error) {
		doc, err := env.readDocument(args)
		if err != nil {
			return nil, err
		}
		return validateResult{Services: len(doc.Services), DataCentres: len(doc.DataCentres), Servers: countServers(doc)}, nil
	}
	return c
}

// readDocument parses the declaration in the file named by the only argument.
func (e Env) readDocument(args []string) (config.Document, error) {
	args, err := checkArgs(args, "FILE")
	if err != nil {
		return config.Document{}, err
	}
	data, err := e.readFile(args[0])
	if err != nil {
		return config.Document{}, err
	}
	return config.ParseDocument(data)
}

func countServers(doc config.Document) int {
	n := 0
	for _, s := range doc.Services {
		n += len(s.BackendServers)
	}
	return n
}

type validateResult struct {
	Services    int `json:"services"`
	DataCentres int `json:"dataCentres"`
	Servers     int `json:"backendServers"`
}

// Text writes the number of services, backend servers and data centres.
func (v validateResult) Text(w io.Writer) {
	fmt.Fprintf(w, "Valid: %d services, %d backend servers, %d data centres.\n", v.Services, v.Servers, v.DataCentres)
}

func planCommand(env Env) *command {
	var access storeFlags
	c := &command{
		name: "plan", args: "FILE", env: env, flags: access.register,
		synopsis: "show what a declaration would change",
		help: `Compares a declaration with the configuration in the store and prints which data
centres, services and backend servers would be added, changed or removed, which share
of each service's buckets would be unsettled during the change, and which established
flows would be cut. Marks set by drain and takeout stay in effect and are listed.
Nothing is changed. The first line names the version that the plan is based on: apply
-seen with that version makes exactly this change or none.

Exit codes: 0 the change can be applied; 2 the declaration is invalid; 4 it needs
apply -force.`,
	}
	c.run = func(ctx context.Context, args []string) (outcome, error) {
		doc, err := env.readDocument(args)
		if err != nil {
			return nil, err
		}
		e, err := openEditor(ctx, env, access, confirmFlags{})
		if err != nil {
			return nil, err
		}
		diff, err := e.plan(config.Declare(doc))
		if diff == nil {
			return nil, err
		}
		return planResult{Diff: diff}, err
	}
	return c
}

func applyCommand(env Env) *command {
	var access storeFlags
	var confirm confirmFlags
	var commit string
	var seen versionFlag
	c := &command{
		name: "apply", args: "FILE", env: env,
		synopsis: "write a declaration to the store as the next version",
		help: `Asks for confirmation if the change cuts flows, and writes the declaration to the
store as the next version. If another operator's change is accepted first, nothing is
written and the conflicting changes are reported. With -seen, any declaration or mark
accepted after that version is a conflict. Marks stay in effect, except those on
backend servers and data centres that the declaration no longer contains. The plan is
printed if the change is not confirmed or needs -force.

Exit codes: 0 accepted, or nothing to change; 2 the declaration is invalid; 3 another
change was accepted first; 4 not confirmed, or it needs -force; 5 it may have been
accepted: run the same command again.`,
		flags: func(f flagSet) {
			access.register(f)
			confirm.register(f)
			f.Func("seen", "the `version` that the plan is based on (default: the newest)", seen.parse)
			f.StringVar(&commit, "commit", "", "commit of the declaration, for the audit trail")
		},
	}
	c.run = func(ctx context.Context, args []string) (outcome, error) {
		doc, err := env.readDocument(args)
		if err != nil {
			return nil, err
		}
		e, err := openEditor(ctx, env, access, confirm)
		if err != nil {
			return nil, err
		}
		e.commit = commit
		if seen.set {
			e.seen = seen.version
		}
		return e.apply(ctx, config.Declare(doc))
	}
	return c
}

// versionFlag is an optional version number.
type versionFlag struct {
	version config.Version
	set     bool
}

func (v *versionFlag) parse(text string) error {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return fmt.Errorf("must be a version number")
	}
	*v = versionFlag{version: config.Version(number), set: true}
	return nil
}
