package cli

import (
	"errors"

	"github.com/google/subcommands"

	"balsamfork/internal/config"
	"balsamfork/internal/store"
	"balsamfork/internal/strictjson"
)

// exitCode returns the exit code of an error.
func exitCode(err error) subcommands.ExitStatus {
	var problems strictjson.Problems
	switch {
	case err == nil:
		return subcommands.ExitSuccess
	case usageError.Has(err), errors.As(err, &problems):
		return subcommands.ExitUsageError
	case config.Conflict.Has(err):
		return ExitConflict
	case refused.Has(err), config.NeedsForce.Has(err), config.DeclaredSo.Has(err):
		return ExitRefused
	case store.Unknown.Has(err):
		return ExitUnknown
	}
	return subcommands.ExitFailure
}
