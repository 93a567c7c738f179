package cli

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"

	"balsamfork/internal/config"
)

func versionCommand(env Env) *command {
	c := &command{
		name: "version", env: env,
		synopsis: "show the version of this tool and of the formats it supports",
		help:     "Prints the build version and the format versions of declarations and of the store.",
	}
	c.run = func(_ context.Context, args []string) (outcome, error) {
		if _, err := checkArgs(args); err != nil {
			return nil, err
		}
		return readVersion(), nil
	}
	return c
}

type versionResult struct {
	Build    string `json:"build"`
	Go       string `json:"go"`
	Document int    `json:"documentFormat"`
	Stored   int    `json:"storedFormat"`
}

func readVersion() versionResult {
	r := versionResult{Build: "unknown", Document: config.DocumentFormat, Stored: config.StoredFormat}
	if info, found := debug.ReadBuildInfo(); found {
		r.Build = info.Main.Version
		r.Go = info.GoVersion
	}
	return r
}

// Text writes the versions on one line.
func (r versionResult) Text(w io.Writer) {
	fmt.Fprintf(w, "balsamfork %s (%s), declaration format %d, stored format %d\n", r.Build, r.Go, r.Document, r.Stored)
}
