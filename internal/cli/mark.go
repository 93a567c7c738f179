package cli

import (
	"context"
	"strings"

	"balsamfork/internal/config"
)

// edit derives a document from the one in the store.
type edit func(doc config.Document, name string) (config.Document, error)

const markExit = `

Exit codes: 0 accepted, or so already; 3 another change came first; 4 not confirmed,
or it needs -force; 5 it may have been accepted: run the same command again.`

func drainCommand(env Env) *command {
	return markCommand(env, "drain", "SERVICE/SERVER", "stop new work at a backend server",
		`The backend server gets no new flow or request; established flows stay until they
end. Nothing is cut. undrain stops it again, also half way.`+markExit, setState(config.Draining))
}

func undrainCommand(env Env) *command {
	return markCommand(env, "undrain", "SERVICE/SERVER", "give a backend server new work again",
		`Takes back a drain, also half way. Flows placed elsewhere meanwhile stay there.`+markExit, setState(config.Active))
}

func takeoutCommand(env Env) *command {
	return markCommand(env, "takeout", "DATACENTRE", "take a data centre out of service",
		`No packet and no request goes to the backend servers of the data centre any more.
Established flows there end: the command asks first, unless -yes.`+markExit, setOut(true))
}

func returnCommand(env Env) *command {
	return markCommand(env, "return", "DATACENTRE", "bring a data centre back",
		`The backend servers of the data centre take new work again, by their ramps. No
flow elsewhere moves.`+markExit, setOut(false))
}

func markCommand(env Env, name, args, synopsis, help string, change edit) *command {
	var access storeFlags
	var ask consent
	c := &command{
		name: name, args: args, env: env, synopsis: synopsis, help: help,
		flags: func(f flagSet) {
			access.declare(f)
			ask.declare(f)
		},
	}
	c.run = func(ctx context.Context, given []string) (outcome, error) {
		given, err := arguments(given, args)
		if err != nil {
			return nil, err
		}
		e, err := openEditor(ctx, env, access, ask)
		if err != nil {
			return nil, err
		}
		doc, err := change(e.base.State.Document(), given[0])
		if err != nil {
			return nil, err
		}
		return e.apply(ctx, doc)
	}
	return c
}

func setState(state config.ServerState) edit {
	return func(doc config.Document, name string) (config.Document, error) {
		service, server, found := strings.Cut(name, "/")
		if !found {
			return doc, usageError.New("%q is not of the form SERVICE/SERVER", name)
		}
		return doc.WithServerState(service, server, state)
	}
}

func setOut(out bool) edit {
	return func(doc config.Document, name string) (config.Document, error) {
		return doc.WithOut(name, out)
	}
}
