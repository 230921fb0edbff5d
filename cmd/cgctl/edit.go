package main

import (
	"context"

	"citrongauge.example/citrongauge/bundle"

	"github.com/urfave/cli/v3"
)

// bundleEdit changes b in place and may set fields of out, such as a generated key. It returns descriptions of the
// effects for the operator, or an error that rejects the change.
type bundleEdit func(ctx context.Context, s *session, b *bundle.Bundle, out *rolloutOutput) ([]string, error)

// headerPaths are the paths of the bundle fields that differ in every version, also if nothing else has changed.
var headerPaths = map[string]bool{"version": true, "base": true, "author": true, "reason": true}

// editFlags returns the flags of the commands that change the current bundle, together with more.
func editFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "reason", Usage: "`REASON` of the change, recorded in the history", Required: true},
		dryRunFlag(),
	}, more...)
}

// editAction returns an action that fetches the current bundle, applies the edit and rolls out the result as the next
// version. count is the number of arguments.
func editAction(count int, makeEdit func(cmd *cli.Command, args []string) (bundleEdit, error)) cli.ActionFunc {
	return action(func(ctx context.Context, cmd *cli.Command, p *printer) error {
		args, err := exactArgs(cmd, count)
		if err != nil {
			return err
		}
		edit, err := makeEdit(cmd, args)
		if err != nil {
			return err
		}
		s, err := openSession(cmd, p)
		if err != nil {
			return err
		}
		out := &rolloutOutput{DryRun: cmd.Bool("dry-run")}
		return s.printOutput(out, s.applyEdit(ctx, out, edit, cmd.String("reason")))
	})
}

func (s *session) applyEdit(ctx context.Context, out *rolloutOutput, edit bundleEdit, reason string) error {
	current, err := s.fetchBundle(ctx, 0)
	if err != nil {
		return err
	}
	next, err := cloneBundle(current)
	if err != nil {
		return err
	}
	next.Version, next.Base = current.Version+1, current.Version
	next.Author, next.Reason = s.operator, reason
	if out.Effects, err = edit(ctx, s, next, out); err != nil {
		return err
	}
	if next, err = cloneBundle(next); err != nil { // validates the changed bundle
		return err
	}
	out.Version, out.Changes = next.Version, bundle.Diff(current, next)
	if onlyHeaderChanged(out.Changes) {
		out.Version, out.Unchanged, out.Changes = current.Version, true, nil
		s.printLine("nothing to change, version %d is as asked for", current.Version)
		return nil
	}
	return s.rollOut(ctx, out, bundle.Sign(next, s.key, s.operator), next, current)
}

func onlyHeaderChanged(changes []bundle.Change) bool {
	for _, change := range changes {
		if !headerPaths[change.Path] {
			return false
		}
	}
	return true
}
