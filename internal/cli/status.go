package cli

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"balsamfork/internal/link"
	"balsamfork/internal/status"
)

// controlTimeout bounds the connection to an instance and all calls over it.
const controlTimeout = 5 * time.Second

func statusCommand(env Env) *command {
	var control controlFlags
	c := &command{
		name: "status", env: env, flags: control.register,
		synopsis: "show the state of an instance",
		help: `Asks one instance for its configuration version, the instances it knows with their
versions, the backend servers with their conditions, and its flow counters.

Exit codes: 0 the instance answered; 1 it did not.`,
	}
	c.run = func(ctx context.Context, args []string) (outcome, error) {
		if _, err := checkArgs(args); err != nil {
			return nil, err
		}
		return fetchStatus(ctx, control)
	}
	return c
}

func fetchStatus(ctx context.Context, control controlFlags) (outcome, error) {
	var r statusResult
	err := control.call(ctx, func(ctx context.Context, client *link.Client) error {
		return client.Call(ctx, status.Method, nil, &r.Report)
	})
	if err != nil {
		return nil, err
	}
	return r, nil
}

// call connects to the instance, runs do with the connection and closes it. All of
// it is bounded by controlTimeout.
func (c *controlFlags) call(ctx context.Context, do func(context.Context, *link.Client) error) error {
	address, err := c.address()
	if err != nil {
		return err
	}
	reloader, err := c.loadKeys()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	client, err := link.Dial(ctx, address, reloader)
	if err != nil {
		return err
	}
	defer client.Close()
	return do(ctx, client)
}

type statusResult struct {
	status.Report
}

// Text writes the report as tables.
func (r statusResult) Text(w io.Writer) {
	state := "ready"
	if !r.Ready {
		state = "not ready: " + r.Waiting
	}
	fmt.Fprintf(w, "%s, version %d, %s\n", r.Instance, r.Version, state)
	fmt.Fprintf(w, "packets: %d received, %d forwarded, %d relayed, %d dropped; %d flow records\n",
		r.Flows.Received, r.Flows.Forwarded, r.Flows.Relayed, r.Flows.Dropped, r.Flows.Records)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nINSTANCE\tDATA CENTRE\tSTATE\tVERSION")
	for _, i := range r.Instances {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\n", i.ID, i.DataCentre, i.State, i.Version)
	}
	for _, s := range r.Services {
		printService(table, s)
	}
	_ = table.Flush()
}

func printService(w io.Writer, s status.Service) {
	phase := "settled"
	if !s.Settled {
		phase = "a change is under way"
	}
	fmt.Fprintf(w, "\nSERVICE %s\t%s\t%d slots each\t%s\n", s.Name, s.Address, s.Slots, phase)
	fmt.Fprintln(w, "BACKEND SERVER\tDATA CENTRE\tSTATE\tCONDITION\tWEIGHT")
	for _, b := range s.Servers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", b.Name, b.DataCentre, b.State, b.Condition, b.Weight)
	}
}
