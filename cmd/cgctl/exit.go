package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"citrongauge.example/citrongauge/admin"
	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/result"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// Exit codes.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitBudget      = 4
	exitNotAccepted = 5
)

// usageError is an error in the arguments.
type usageError struct{ text string }

func (e usageError) Error() string { return e.text }

// actionError marks errors of actions. All other errors come from reading the arguments.
type actionError struct {
	error
	// printed: the action has printed the error as part of its JSON output.
	printed bool
}

func (e actionError) Unwrap() error { return e.error }

// action wraps the action of a command.
func action(run func(context.Context, *cli.Command, *printer) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		p, err := newPrinter(cmd)
		if err != nil {
			return err
		}
		if err := run(ctx, cmd, p); err != nil {
			return actionError{err, p.printed}
		}
		return nil
	}
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var usage usageError
	var inAction actionError
	if errors.As(err, &usage) || !errors.As(err, &inAction) {
		return exitUsage
	}
	var coded *result.Error
	if !errors.As(err, &coded) {
		return exitFailed
	}
	switch coded.Code {
	case result.RolloutConflict, result.VersionNotHigher:
		return exitConflict
	case result.BudgetExceeded:
		return exitBudget
	case result.RolloutWaiting:
		return exitNotAccepted
	}
	return exitFailed
}

// reportError prints an error, as JSON if that was asked for, and returns the exit code.
func reportError(err error, args []string, out, errOut io.Writer) int {
	var inAction actionError
	printed := errors.As(err, &inAction) && inAction.printed
	if wantsJSON(args) && !printed {
		_ = json.NewEncoder(out).Encode(map[string]any{"error": admin.NewErrorReport(err)})
	}
	var problems bundle.Problems
	if errors.As(err, &problems) {
		_, _ = fmt.Fprintln(errOut, problems.Error())
	} else {
		_, _ = fmt.Fprintln(errOut, "cgctl:", err)
	}
	return exitCode(err)
}

// wantsJSON looks for the output flag itself, since arguments with an error are not parsed.
func wantsJSON(args []string) bool {
	for i, arg := range args {
		if arg == "--output=json" || (arg == "--output" && i+1 < len(args) && args[i+1] == "json") {
			return true
		}
	}
	return false
}
