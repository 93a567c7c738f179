package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"balsamfork/internal/keys"
)

// defaultValidity is the default validity period of development certificates.
const defaultValidity = 90 * 24 * time.Hour

func keysCommand(env Env) *command {
	var dir, operators string
	validity := defaultValidity
	c := &command{
		name: "keys", args: "INSTANCE...", env: env,
		synopsis: "generate certificates for development",
		help: `Writes the certificate of a new authority, and a certificate and key for each
instance and operator. The authority's key is not stored. For development only: in
production, use your own authority and the names given in docs/operations/keys.md.

Exit codes: 0 the files were written; 1 they were not.`,
		flags: func(f flagSet) {
			f.StringVar(&dir, "dir", ".", "directory to write to")
			f.StringVar(&operators, "operators", "operator", "names of operators, separated by commas")
			f.DurationVar(&validity, "valid", defaultValidity, "validity period of the certificates")
		},
	}
	c.run = func(_ context.Context, args []string) (outcome, error) {
		if len(args) == 0 {
			return nil, errUsage.New("at least one INSTANCE is required")
		}
		now := time.Now()
		files, err := keys.WriteDevelopmentSet(dir, identities(args, operators), now, now.Add(validity))
		if err != nil {
			return nil, err
		}
		return keysResult{Holders: listHolders(files)}, nil
	}
	return c
}

func identities(instances []string, operators string) []keys.Identity {
	var all []keys.Identity
	for _, name := range instances {
		all = append(all, keys.Identity{Role: keys.Instance, Name: name})
	}
	for name := range strings.SplitSeq(operators, ",") {
		all = append(all, keys.Identity{Role: keys.Operator, Name: name})
	}
	return all
}

type keysResult struct {
	Holders []holderFiles `json:"holders"`
}

type holderFiles struct {
	Holder string `json:"holder"`
	keys.Files
}

// listHolders returns the files of all holders, in the order of their names.
func listHolders(files map[keys.Identity]keys.Files) []holderFiles {
	var all []holderFiles
	for identity, f := range files {
		all = append(all, holderFiles{Holder: identity.URI().String(), Files: f})
	}
	slices.SortFunc(all, func(a, b holderFiles) int { return strings.Compare(a.Holder, b.Holder) })
	return all
}

// Text writes the paths of each holder's certificate and key.
func (r keysResult) Text(w io.Writer) {
	for _, h := range r.Holders {
		fmt.Fprintf(w, "%s: %s %s\n", h.Holder, h.Certificate, h.Key)
	}
}
