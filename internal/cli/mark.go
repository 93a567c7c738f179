package cli

import (
	"context"
	"strings"

	"balsamfork/internal/config"
)

// markParser parses the argument of a command into a mark.
type markParser func(argument string) (config.Mark, error)

const markHelp = `

The mark is stored separately from the declaration: applying a declaration leaves it
in effect, and plan lists it.`

const markExitCodes = `

Exit codes: 0 accepted, or already in effect; 3 another change was accepted first;
4 not confirmed, or it needs -force; 5 it may have been accepted: run the same
command again.`

const unmarkExitCodes = `

Exit codes: 0 accepted, or already removed; 3 another change was accepted first;
4 the declaration itself sets this state and has to be changed; 5 it may have been
accepted: run the same command again.`

func drainCommand(env Env) *command {
	return markCommand(env, "drain", "SERVICE/SERVER", "stop sending new flows and requests to a backend server",
		`The backend server gets no new flows or requests; established flows continue until
they end, and none is cut. undrain reverts it at any time.`+markHelp+markExitCodes, parseServerMark, config.SetMark)
}

func undrainCommand(env Env) *command {
	return markCommand(env, "undrain", "SERVICE/SERVER", "resume sending new flows and requests to a backend server",
		`Removes the mark set by drain, even while flows are still draining. Flows that were
assigned to other backend servers in the meantime stay there.`+unmarkExitCodes, parseServerMark, config.RemoveMark)
}

func takeoutCommand(env Env) *command {
	return markCommand(env, "takeout", "DATACENTRE", "take a data centre out of service",
		`Packets and requests are no longer sent to the backend servers of the data centre.
Established flows there end: the command asks for confirmation unless -yes is set.`+markHelp+markExitCodes, parseDataCentreMark, config.SetMark)
}

func returnCommand(env Env) *command {
	return markCommand(env, "return", "DATACENTRE", "return a data centre to service",
		`Removes the mark set by takeout. The backend servers of the data centre get new flows
and requests again, increasing over their ramps. Flows at other data centres stay
where they are.`+unmarkExitCodes, parseDataCentreMark, config.RemoveMark)
}

func markCommand(env Env, name, args, synopsis, help string, parse markParser, propose func(config.Mark) config.Proposal) *command {
	var access storeFlags
	var confirm confirmFlags
	c := &command{
		name: name, args: args, env: env, synopsis: synopsis, help: help,
		flags: func(f flagSet) {
			access.register(f)
			confirm.register(f)
		},
	}
	c.run = func(ctx context.Context, given []string) (outcome, error) {
		given, err := checkArgs(given, args)
		if err != nil {
			return nil, err
		}
		mark, err := parse(given[0])
		if err != nil {
			return nil, err
		}
		e, err := openEditor(ctx, env, access, confirm)
		if err != nil {
			return nil, err
		}
		return e.apply(ctx, propose(mark))
	}
	return c
}

func parseServerMark(argument string) (config.Mark, error) {
	service, server, found := strings.Cut(argument, "/")
	if !found {
		return config.Mark{}, errUsage.New("%q must be of the form SERVICE/SERVER", argument)
	}
	return config.Mark{Service: service, Server: server}, nil
}

func parseDataCentreMark(argument string) (config.Mark, error) {
	if argument == "" {
		return config.Mark{}, errUsage.New("the name of the data centre must not be empty")
	}
	return config.Mark{DataCentre: argument}, nil
}
