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
		synopsis: "restore the configuration in force to a store that lost it",
		help: `Reads the configuration in force from one instance and writes it to the store as the
next version, so that further changes can be based on it. Traffic is not affected.
The command is refused if the instance knows of another instance with a newer
version, or if the store holds a version that is not older or that may belong to a
different history; in the last case, -force discards what was accepted in the store.

Exit codes: 0 accepted; 1 the instance did not answer; 3 another change was accepted
first; 4 refused, with the reason; 5 it may have been accepted: run the same command
again.`,
		flags: func(f flagSet) {
			access.register(f)
			control.register(f)
			f.BoolVar(&force, "force", false, "discard the changes accepted in the store since it lost the version")
		},
	}
	c.run = func(ctx context.Context, args []string) (outcome, error) {
		if _, err := checkArgs(args); err != nil {
			return nil, err
		}
		state, from, err := fetchConfiguration(ctx, control)
		if err != nil {
			return nil, err
		}
		e, err := openEditor(ctx, env, access, confirmFlags{force: force})
		if err != nil {
			return nil, err
		}
		change := e.change()
		change.What = fmt.Sprintf("write back version %d as %s serves by it", state.Version, from)
		result, err := e.store.Propose(ctx, config.Restore(state), change)
		if err != nil && result.Diff != nil {
			return planResult{Diff: result.Diff}, err
		}
		if err != nil {
			return nil, err
		}
		return applyResult{Version: result.Version, AlreadyApplied: result.AlreadyApplied, Diff: result.Diff}, nil
	}
	return c
}

// fetchConfiguration returns the configuration in force at an instance, and the ID of
// the instance. It returns an error of class errRefused if the instance has none or
// knows of an instance with a newer version.
func fetchConfiguration(ctx context.Context, control controlFlags) (*config.State, string, error) {
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
		return nil, "", errRefused.New("instance %s has no configuration", r.Instance)
	}
	for _, i := range r.Instances {
		if i.Version > state.Version {
			return nil, "", errRefused.New("instance %s has version %d, newer than that of instance %s, version %d: restore from the newer one",
				i.ID, i.Version, r.Instance, state.Version)
		}
	}
	return state, string(r.Instance), nil
}
