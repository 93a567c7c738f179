package cli

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"balsamfork/internal/audit"
)

// defaultEntries is the default of -n, the number of entries to print and verify.
const defaultEntries = 20

func auditCommand(env Env) *command {
	var access storeFlags
	limit := defaultEntries
	c := &command{
		name: "audit", env: env,
		synopsis: "show and verify the audit trail of accepted changes",
		help: `Prints the newest entries of the audit trail and verifies that none of them was
altered, removed or inserted. Older entries are not verified.

Exit codes: 0 these entries are intact; 1 they are not, or could not be read.`,
		flags: func(f flagSet) {
			access.register(f)
			f.IntVar(&limit, "n", defaultEntries, "number of entries to print and verify; 0 for all")
		},
	}
	c.run = func(ctx context.Context, args []string) (outcome, error) {
		if _, err := checkArgs(args); err != nil {
			return nil, err
		}
		repository, err := access.open()
		if err != nil {
			return nil, err
		}
		entries, err := repository.Audit(ctx, limit)
		return auditResult{Entries: entries, Whole: err == nil}, err
	}
	return c
}

type auditResult struct {
	Entries []audit.Entry `json:"entries"`
	Whole   bool          `json:"whole"`
}

// Text writes one line per entry, and a last line if they are intact.
func (r auditResult) Text(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "VERSION\tWHEN\tWHO\tCOMMIT\tWHAT")
	for _, e := range r.Entries {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n", e.Version, e.When.Format(time.RFC3339), e.Who, e.Commit, e.What)
	}
	_ = table.Flush()
	if r.Whole {
		fmt.Fprintln(w, "The trail is whole.")
	}
}
