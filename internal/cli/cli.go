// Package cli implements the subcommands of balsamfork, the operators' command-line
// tool.
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

// Exit codes of the tool, in addition to subcommands.ExitSuccess (0),
// subcommands.ExitFailure (1) and subcommands.ExitUsageError (2).
const (
	// ExitConflict means that another operator's change was accepted first.
	ExitConflict subcommands.ExitStatus = 3
	// ExitRefused means that the change was refused or not confirmed.
	ExitRefused subcommands.ExitStatus = 4
	// ExitUnknown means that the change may or may not have been accepted.
	ExitUnknown subcommands.ExitStatus = 5
)

// Classes of errors that commands return. exitCode maps them to exit codes.
var (
	errUsage     = errs.Class("usage")
	errRefused   = errs.Class("refused")
	errViolation = errs.Class("promise not kept")
)

// Env holds the standard streams of a command.
type Env struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// outcome is the result of a command. It is written by Text, or encoded as JSON
// with -json.
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
	// flags defines the flags of the command other than -json.
	flags func(f *flag.FlagSet)
	// run executes the command. It may return an outcome together with an error;
	// the outcome is then printed first.
	run func(ctx context.Context, args []string) (outcome, error)
}

// Name returns the name of the command.
func (c *command) Name() string { return c.name }

// Synopsis returns the description of the command in the list of commands.
func (c *command) Synopsis() string { return c.synopsis }

// Usage returns the help text that precedes the list of flags.
func (c *command) Usage() string {
	return fmt.Sprintf("balsamfork %s [flags] %s\n\n%s\n\nFlags:\n", c.name, c.args, c.help)
}

// SetFlags defines the flags of the command.
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

// jsonError is an error as printed with -json.
type jsonError struct {
	Error string `json:"error"`
}

func (c *command) printError(err error) {
	if c.asJSON {
		_ = json.NewEncoder(c.env.Err).Encode(jsonError{Error: err.Error()})
		return
	}
	fmt.Fprintf(c.env.Err, "balsamfork %s: %v\n", c.name, err)
}

// checkArgs returns args if there is one for each of the names, and a usage error
// otherwise.
func checkArgs(args []string, names ...string) ([]string, error) {
	if len(args) == len(names) {
		return args, nil
	}
	return nil, errUsage.New("expected %d argument(s) %v, got %d", len(names), names, len(args))
}

// Run runs the tool with the given arguments, without the program name, and returns
// the exit code.
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
