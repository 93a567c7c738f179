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
		synopsis: "explain the decisions about a flow from the logs of instances",
		help: `Reads the logs of balsamfork-flowd, of one or more instances, from files or from
standard input. Prints the decisions about a flow in chronological order, together
with what the instances logged about the state of the backend servers involved, of
the configuration and of the store, and the gaps where lines are missing. A flow is
identified by its caller's address and port, as reported by callers and backend
servers; docs/operations/explain.md describes how to find it.`,
	}
	c.flags = func(f *flag.FlagSet) {
		f.StringVar(&q.Flow, "flow", "", "caller's `address:port`")
		f.StringVar(&q.To, "to", "", "only decisions about flows to this `address:port`")
		f.StringVar(&q.Instance, "instance", "", "only decisions of this instance")
		f.StringVar(&at, "at", "", "only decisions around this `time` (RFC 3339)")
		f.DurationVar(&within, "within", 2*time.Second, "time span before and after -at")
	}
	c.run = func(_ context.Context, files []string) (outcome, error) {
		if q.Flow == "" && at == "" {
			return nil, errUsage.New("-flow or -at is required")
		}
		if at != "" {
			moment, err := time.Parse(time.RFC3339Nano, at)
			if err != nil {
				return nil, errUsage.New("-at: %v", err)
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
			return nil, errUsage.Wrap(err)
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
		fmt.Fprintf(env.Err, "%s: %d lines could not be parsed as log lines.\n", name, unreadable)
	}
	return lines, err
}
