package cli

import (
	"context"
	"strings"

	"balsamfork/internal/config"
)

// readMark reads what a command's argument names.
type readMark func(argument string) (config.Mark, error)

const markHelp = `

The mark is kept apart from the declaration: apply of a declaration leaves it in
effect, and plan shows it.`

const markExit = `

Exit codes: 0 accepted, or so already; 3 another change came first; 4 not confirmed,
or it needs -force; 5 it may have been accepted: run the same command again.`

const unmarkExit = `

Exit codes: 0 accepted, or so already; 3 another change came first; 4 the declaration
itself says so and has to be changed; 5 it may have been accepted: run the same
command again.`

func drainCommand(env Env) *command {
	return markCommand(env, "drain", "SERVICE/SERVER", "stop new work at a backend server",
		`The backend server gets no new flow or request; established flows stay until they
end. Nothing is cut. undrain stops it again, also half way.`+markHelp+markExit, serverMark, config.SetMark)
}

func undrainCommand(env Env) *command {
	return markCommand(env, "undrain", "SERVICE/SERVER", "give a backend server new work again",
		`Removes the mark that drain set, also half way. Flows placed elsewhere meanwhile
stay there.`+unmarkExit, serverMark, config.RemoveMark)
}

func takeoutCommand(env Env) *command {
	return markCommand(env, "takeout", "DATACENTRE", "take a data centre out of service",
		`No packet and no request goes to the backend servers of the data centre any more.
Established flows there end: the command asks first, unless -yes.`+markHelp+markExit, dataCentreMark, config.SetMark)
}

func returnCommand(env Env) *command {
	return markCommand(env, "return", "DATACENTRE", "bring a data centre back",
		`Removes the mark that takeout set. The backend servers of the data centre take new
work again, by their ramps. No flow elsewhere moves.`+unmarkExit, dataCentreMark, config.RemoveMark)
}

func markCommand(env Env, name, args, synopsis, help string, read readMark, propose func(config.Mark) config.Proposal) *command {
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
		mark, err := read(given[0])
		if err != nil {
			return nil, err
		}
		e, err := openEditor(ctx, env, access, ask)
		if err != nil {
			return nil, err
		}
		return e.apply(ctx, propose(mark))
	}
	return c
}

func serverMark(argument string) (config.Mark, error) {
	service, server, found := strings.Cut(argument, "/")
	if !found {
		return config.Mark{}, usageError.New("%q is not of the form SERVICE/SERVER", argument)
	}
	return config.Mark{Service: service, Server: server}, nil
}

func dataCentreMark(argument string) (config.Mark, error) {
	if argument == "" {
		return config.Mark{}, usageError.New("the data centre has no name")
	}
	return config.Mark{DataCentre: argument}, nil
}
