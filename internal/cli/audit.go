package cli

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"balsamfork/internal/audit"
)

// defaultEntries is how many entries audit prints unless told otherwise.
const defaultEntries = 20

func auditCommand(env Env) *command {
	var access storeFlags
	limit := defaultEntries
	c := &command{
		name: "audit", env: env,
		synopsis: "show and verify the trail of accepted changes",
		help: `Prints the newest entries of the audit trail and checks that none was altered,
removed or put in between.

Exit codes: 0 the trail is whole; 1 it is not, or could not be read.`,
		flags: func(f flagSet) {
			access.declare(f)
			f.IntVar(&limit, "n", defaultEntries, "number of entries; 0 for all")
		},
	}
	c.run = func(ctx context.Context, args []string) (outcome, error) {
		if _, err := arguments(args); err != nil {
			return nil, err
		}
		repository, err := access.open()
		if err != nil {
			return nil, err
		}
		entries, err := repository.Audit(ctx, limit)
		return trail{Entries: entries, Whole: err == nil}, err
	}
	return c
}

type trail struct {
	Entries []audit.Entry `json:"entries"`
	Whole   bool          `json:"whole"`
}

// Text prints one line for each entry.
func (t trail) Text(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "VERSION\tWHEN\tWHO\tCOMMIT\tWHAT")
	for _, e := range t.Entries {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n", e.Version, e.When.Format(time.RFC3339), e.Who, e.Commit, e.What)
	}
	_ = table.Flush()
	if t.Whole {
		fmt.Fprintln(w, "The trail is whole.")
	}
}
