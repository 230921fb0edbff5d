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

// usageError reports invalid command-line arguments.
type usageError struct{ text string }

func (e usageError) Error() string { return e.text }

// actionError marks an error that an action returned. An error without this mark counts as a usage error, since it
// normally comes from parsing the arguments.
type actionError struct {
	error
	// jsonWritten is set if the action has written its JSON output, which then contains the error.
	jsonWritten bool
}

func (e actionError) Unwrap() error { return e.error }

// action adapts run to a cli.ActionFunc: it creates the printer and marks the errors of run as actionError.
func action(run func(context.Context, *cli.Command, *printer) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		p, err := newPrinter(cmd)
		if err != nil {
			return err
		}
		if err := run(ctx, cmd, p); err != nil {
			return actionError{err, p.jsonWritten}
		}
		return nil
	}
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var usage usageError
	var actionErr actionError
	if errors.As(err, &usage) || !errors.As(err, &actionErr) {
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

// reportError prints an error, also as JSON if requested, and returns the exit code.
func reportError(err error, args []string, out, errOut io.Writer) int {
	var actionErr actionError
	jsonWritten := errors.As(err, &actionErr) && actionErr.jsonWritten
	if wantsJSON(args) && !jsonWritten {
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

// wantsJSON reports whether the arguments request JSON output. It searches the raw arguments, since flag values are not
// available after a parsing error.
func wantsJSON(args []string) bool {
	for i, arg := range args {
		if arg == "--output=json" || (arg == "--output" && i+1 < len(args) && args[i+1] == "json") {
			return true
		}
	}
	return false
}
