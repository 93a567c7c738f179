package cli

import (
	"context"

	"balsamfork/internal/demo"
	"balsamfork/internal/localfleet"
)

// violated is the error of a demonstration in which a promise was not kept.
func violated(r *demo.Result) error {
	if len(r.Violations) == 0 {
		return nil
	}
	return errViolation.New("%d promises were not kept", len(r.Violations))
}

func demoCommand(env Env) *command {
	deployment, seed := "kernhaven", uint64(1)
	quiet := false
	c := &command{
		name: "demo", env: env,
		synopsis: "run a whole deployment on loopback, under traffic and faults",
		help: `Runs 13 instances, backend servers, callers, a fabric and a store in this process, and
under traffic: a drain, a join and a replacement; a data centre out and back; the
store away while an instance starts; an instance killed. It takes under a minute.
Every figure is counted at the callers and the backend servers.

Exit codes: 0 every promise was kept; 1 one was not.`,
		flags: func(f flagSet) {
			f.StringVar(&deployment, "deployment", "kernhaven", "kernhaven or vitols")
			f.Uint64Var(&seed, "seed", 1, "makes the traffic and the faults repeat")
			f.BoolVar(&quiet, "quiet", false, "show no progress")
		},
	}
	c.run = func(ctx context.Context, args []string) (outcome, error) {
		if _, err := arguments(args); err != nil {
			return nil, err
		}
		plan, err := demo.Find(deployment)
		if err != nil {
			return nil, usageError.Wrap(err)
		}
		options := demo.Options{Deployment: plan, Seed: seed, Scale: 1, Progress: env.Err}
		if quiet {
			options.Progress = nil
		}
		return runDemo(ctx, env, options)
	}
	return c
}

func runDemo(ctx context.Context, env Env, o demo.Options) (outcome, error) {
	fleet, err := localfleet.New(env.Err)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	o.RequestsPerSecond = demo.DefaultRequestsPerSecond
	result, err := demo.Run(ctx, o, demo.NewPlatform(fleet.Start))
	if err != nil {
		return nil, err
	}
	return result, violated(result)
}
