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
		synopsis: "show the version of this tool and of the formats it knows",
		help:     "Prints the version of the build, and the formats of declarations and of the store.",
	}
	c.run = func(_ context.Context, args []string) (outcome, error) {
		if _, err := arguments(args); err != nil {
			return nil, err
		}
		return buildInfo(), nil
	}
	return c
}

type build struct {
	Build    string `json:"build"`
	Go       string `json:"go"`
	Document int    `json:"documentFormat"`
	Stored   int    `json:"storedFormat"`
}

func buildInfo() build {
	b := build{Build: "unknown", Document: config.DocumentFormat, Stored: config.StoredFormat}
	if info, found := debug.ReadBuildInfo(); found {
		b.Build = info.Main.Version
		b.Go = info.GoVersion
	}
	return b
}

// Text prints one line.
func (b build) Text(w io.Writer) {
	fmt.Fprintf(w, "balsamfork %s (%s), declaration format %d, stored format %d\n", b.Build, b.Go, b.Document, b.Stored)
}
