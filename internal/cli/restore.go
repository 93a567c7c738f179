package cli

import (
	"context"
	"fmt"

	"balsamfork/internal/config"
	"balsamfork/internal/link"
	"balsamfork/internal/status"
)

func restoreCommand(env Env) *command {
	var access storeFlags
	var control controlFlags
	var force bool
	c := &command{
		name: "restore", env: env,
		synopsis: "write the version in force back into a store that lost it",
		help: `Asks one instance for the configuration that it serves by and writes it to the store
as the next version, so that changes are possible again and go on from there. It
changes nothing about the traffic. It is refused while that instance knows of another
with a newer version, or if the store holds a version that is not older, or one
that may be of another history: then -force undoes what was accepted in the store.

Exit codes: 0 accepted; 1 no answer; 3 another change came first; 4 refused, with the
reason; 5 it may have been accepted: run the same command again.`,
		flags: func(f flagSet) {
			access.declare(f)
			control.declare(f)
			f.BoolVar(&force, "force", false, "undo what was accepted in the store since it lost the version")
		},
	}
	c.run = func(ctx context.Context, args []string) (outcome, error) {
		if _, err := arguments(args); err != nil {
			return nil, err
		}
		state, from, err := askConfiguration(ctx, control)
		if err != nil {
			return nil, err
		}
		e, err := openEditor(ctx, env, access, consent{force: force})
		if err != nil {
			return nil, err
		}
		change := e.change()
		change.What = fmt.Sprintf("write back version %d as %s serves by it", state.Version, from)
		result, err := e.store.Propose(ctx, config.Restore(state), change)
		if err != nil && result.Diff != nil {
			return planned{Diff: result.Diff}, err
		}
		if err != nil {
			return nil, err
		}
		return applied{Version: result.Version, Already: result.Already, Diff: result.Diff}, nil
	}
	return c
}

// askConfiguration returns what an instance serves by, and its name. It refuses
// if the instance knows of a newer version.
func askConfiguration(ctx context.Context, control controlFlags) (*config.State, string, error) {
	var state *config.State
	var r status.Report
	err := control.call(ctx, func(ctx context.Context, client *link.Client) error {
		if err := client.Call(ctx, status.ConfigurationMethod, nil, &state); err != nil {
			return err
		}
		return client.Call(ctx, status.Method, nil, &r)
	})
	if err != nil {
		return nil, "", err
	}
	if state == nil {
		return nil, "", refused.New("instance %s has no configuration", r.Instance)
	}
	for _, i := range r.Instances {
		if i.Version > state.Version {
			return nil, "", refused.New("instance %s serves by version %d, %s by version %d: ask the first",
				i.ID, i.Version, r.Instance, state.Version)
		}
	}
	return state, string(r.Instance), nil
}
