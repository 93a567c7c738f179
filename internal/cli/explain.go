package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"balsamfork/internal/explain"
)

func explainCommand(env Env) *command {
	var q explain.Query
	var at string
	var within time.Duration
	c := &command{
		name: "explain", args: "[FILE ...]", env: env,
		synopsis: "show from instances' logs what was decided about a flow, and why",
		help: `Reads logs of balsamfork-flowd, of one or several instances, from files or from
standard input. Prints the decisions about a flow in the order of time, between
them what the instances believed of the servers involved, and where lines are
missing. A flow is named by its caller's address and port, as callers and backend
servers report it; docs/operations/explain.md tells how to find it.`,
	}
	c.flags = func(f *flag.FlagSet) {
		f.StringVar(&q.Flow, "flow", "", "caller's `address:port`")
		f.StringVar(&q.To, "to", "", "destination's `address:port`")
		f.StringVar(&q.Instance, "instance", "", "only decisions of this instance")
		f.StringVar(&at, "at", "", "only decisions around this `time` (RFC 3339)")
		f.DurationVar(&within, "within", 2*time.Second, "how far around -at")
	}
	c.run = func(_ context.Context, files []string) (outcome, error) {
		if q.Flow == "" && at == "" {
			return nil, usageError.New("-flow or -at is needed")
		}
		if at != "" {
			moment, err := time.Parse(time.RFC3339Nano, at)
			if err != nil {
				return nil, usageError.New("-at: %v", err)
			}
			q.From, q.Until = moment.Add(-within), moment.Add(within)
		}
		lines, err := readLogs(env, files)
		if err != nil {
			return nil, err
		}
		return explain.Explain(lines, q), nil
	}
	return c
}

// readLogs reads the files, or standard input if there are none.
func readLogs(env Env, files []string) ([]explain.Line, error) {
	if len(files) == 0 {
		return readLog(env, "standard input", env.In)
	}
	var all []explain.Line
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, usageError.Wrap(err)
		}
		lines, err := readLog(env, name, file)
		_ = file.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(env Env, name string, r io.Reader) ([]explain.Line, error) {
	lines, unreadable, err := explain.Read(r)
	if unreadable > 0 {
		fmt.Fprintf(env.Err, "%s: %d lines are no log lines.\n", name, unreadable)
	}
	return lines, err
}
