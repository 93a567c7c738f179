package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"balsamfork/internal/keys"
)

// defaultValidity is how long development certificates are valid.
const defaultValidity = 90 * 24 * time.Hour

func keysCommand(env Env) *command {
	var dir, operators string
	validity := defaultValidity
	c := &command{
		name: "keys", args: "INSTANCE...", env: env,
		synopsis: "make a development set of certificates",
		help: `Writes an authority and a certificate and key for each instance and operator. The
authority's key is not kept. For development only: use your own authority in
production, with the names docs/operations/keys.md tells.

Exit codes: 0 written; 1 not.`,
		flags: func(f flagSet) {
			f.StringVar(&dir, "dir", ".", "directory to write to")
			f.StringVar(&operators, "operators", "operator", "names of operators, with commas between")
			f.DurationVar(&validity, "valid", defaultValidity, "how long the certificates are valid")
		},
	}
	c.run = func(_ context.Context, args []string) (outcome, error) {
		if len(args) == 0 {
			return nil, usageError.New("names no instance")
		}
		now := time.Now()
		files, err := keys.Development(dir, holders(args, operators), now, now.Add(validity))
		if err != nil {
			return nil, err
		}
		return keySet{Files: written(files)}, nil
	}
	return c
}

func holders(instances []string, operators string) []keys.Identity {
	var all []keys.Identity
	for _, name := range instances {
		all = append(all, keys.Identity{Role: keys.Instance, Name: name})
	}
	for name := range strings.SplitSeq(operators, ",") {
		all = append(all, keys.Identity{Role: keys.Operator, Name: name})
	}
	return all
}

type keySet struct {
	Files []holderFiles `json:"holders"`
}

type holderFiles struct {
	Holder string `json:"holder"`
	keys.Files
}

func written(files map[keys.Identity]keys.Files) []holderFiles {
	var all []holderFiles
	for identity, f := range files {
		all = append(all, holderFiles{Holder: identity.URI().String(), Files: f})
	}
	return all
}

// Text prints where each holder's files are.
func (k keySet) Text(w io.Writer) {
	for _, f := range k.Files {
		fmt.Fprintf(w, "%s: %s %s\n", f.Holder, f.Certificate, f.Key)
	}
}
