package cli

import (
	"context"

	"balsamfork/internal/demo"
	"balsamfork/internal/localfleet"
)

// violationError returns an error if the demonstration violated a promise.
func violationError(r *demo.Result) error {
	if len(r.Violations) == 0 {
		return nil
	}
	return errViolation.New("%d promises were violated", len(r.Violations))
}

func demoCommand(env Env) *command {
	deployment, seed := "kernhaven", uint64(1)
	quiet := false
	c := &command{
		name: "demo", env: env,
		synopsis: "run a complete deployment on loopback with traffic and injected faults",
		help: `Runs 13 instances, backend servers, callers, a fabric and a store in this process.
Under traffic it drains a backend server, adds another and replaces an instance;
takes a data centre out of service and returns it; starts an instance while the store
is unreachable; and kills an instance. It takes less than a minute. All figures are
measured at the callers and the backend servers.

Exit codes: 0 every promise was kept; 1 at least one was violated.`,
		flags: func(f flagSet) {
			f.StringVar(&deployment, "deployment", "kernhaven", "kernhaven or vitols")
			f.Uint64Var(&seed, "seed", 1, "seed of the random traffic and faults, for repeatable runs")
			f.BoolVar(&quiet, "quiet", false, "do not show progress")
		},
	}
	c.run = func(ctx context.Context, args []string) (outcome, error) {
		if _, err := checkArgs(args); err != nil {
			return nil, err
		}
		d, err := demo.Find(deployment)
		if err != nil {
			return nil, errUsage.Wrap(err)
		}
		options := demo.Options{Deployment: d, Seed: seed, Scale: 1, Progress: env.Err}
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
	return result, violationError(result)
}
