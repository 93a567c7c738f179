package cli

import (
	"errors"

	"github.com/google/subcommands"

	"balsamfork/internal/config"
	"balsamfork/internal/store"
	"balsamfork/internal/strictjson"
)

// exitCode returns the exit code for the error of a command.
func exitCode(err error) subcommands.ExitStatus {
	var problems strictjson.Problems
	switch {
	case err == nil:
		return subcommands.ExitSuccess
	case errUsage.Has(err), errors.As(err, &problems):
		return subcommands.ExitUsageError
	case config.Conflict.Has(err):
		return ExitConflict
	case errRefused.Has(err), config.NeedsForce.Has(err), config.AlreadyDeclared.Has(err),
		config.NothingToRestore.Has(err):
		return ExitRefused
	case store.OutcomeUnknown.Has(err):
		return ExitUnknown
	}
	return subcommands.ExitFailure
}
