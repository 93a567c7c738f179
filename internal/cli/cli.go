// Package cli holds the commands of the operators' tool, balsamfork.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"
	"github.com/zeebo/errs"
)

// The exit codes of the tool, beside subcommands.ExitSuccess (0),
// subcommands.ExitFailure (1) and subcommands.ExitUsageError (2).
const (
	// ExitConflict says that another operator's change came first.
	ExitConflict subcommands.ExitStatus = 3
	// ExitRefused says that the change was refused or not confirmed.
	ExitRefused subcommands.ExitStatus = 4
	// ExitUnknown says that the change may or may not have been accepted.
	ExitUnknown subcommands.ExitStatus = 5
)

// The classes of errors that commands return; each has an exit code.
var (
	usageError   = errs.Class("usage")
	refused      = errs.Class("refused")
	errViolation = errs.Class("promise not kept")
)

// Env is what commands read and write.
type Env struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// outcome is the result of a command. It prints itself as text, and as JSON.
type outcome interface {
	Text(w io.Writer)
}

// command is one subcommand.
type command struct {
	name     string
	args     string
	synopsis string
	help     string
	env      Env
	asJSON   bool
	// flags declares what the command takes beside -json.
	flags func(f *flag.FlagSet)
	// run does the work. It may return an outcome together with an error, which
	// is then printed first.
	run func(ctx context.Context, args []string) (outcome, error)
}

// Name returns the word that selects the command.
func (c *command) Name() string { return c.name }

// Synopsis returns a line for the list of commands.
func (c *command) Synopsis() string { return c.synopsis }

// Usage returns the help text above the flags.
func (c *command) Usage() string {
	return fmt.Sprintf("balsamfork %s [flags] %s\n\n%s\n\nFlags:\n", c.name, c.args, c.help)
}

// SetFlags declares the flags of the command.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.asJSON, "json", false, "print the result as JSON")
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute runs the command and returns its exit code.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	result, err := c.run(ctx, f.Args())
	if result != nil {
		c.print(result)
	}
	if err != nil {
		c.printError(err)
	}
	return exitCode(err)
}

func (c *command) print(result outcome) {
	if !c.asJSON {
		result.Text(c.env.Out)
		return
	}
	encoder := json.NewEncoder(c.env.Out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(result); err != nil {
		c.printError(err)
	}
}

// failure is the form of an error under -json.
type failure struct {
	Error string `json:"error"`
}

func (c *command) printError(err error) {
	if c.asJSON {
		_ = json.NewEncoder(c.env.Err).Encode(failure{Error: err.Error()})
		return
	}
	fmt.Fprintf(c.env.Err, "balsamfork %s: %v\n", c.name, err)
}

// arguments returns args if there are as many as the names say.
func arguments(args []string, names ...string) ([]string, error) {
	if len(args) == len(names) {
		return args, nil
	}
	return nil, usageError.New("wants %d arguments %v, got %d", len(names), names, len(args))
}

// Run runs the tool with the arguments after its name and returns the exit code.
func Run(ctx context.Context, env Env, args []string) int {
	top := flag.NewFlagSet("balsamfork", flag.ContinueOnError)
	top.SetOutput(env.Err)
	commander := subcommands.NewCommander(top, "balsamfork")
	commander.Output = env.Out
	commander.Error = env.Err
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	for _, g := range groups(env) {
		for _, c := range g.commands {
			commander.Register(c, g.name)
		}
	}
	if err := top.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return int(subcommands.ExitSuccess)
		}
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(ctx))
}
