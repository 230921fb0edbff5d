package main

import (
	"context"

	"citrongauge.example/citrongauge/bundle"

	"github.com/urfave/cli/v3"
)

// edit is a change to a bundle. It returns its effects in words, or an error to refuse the change.
type edit func(ctx context.Context, s *session, b *bundle.Bundle, out *outcome) ([]string, error)

// headerPaths change with every version.
var headerPaths = map[string]bool{"version": true, "base": true, "author": true, "reason": true}

// editFlags returns the flags of commands that change the bundle in force.
func editFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "reason", Usage: "`REASON` of the change, for the history", Required: true},
		dryRunFlag(),
	}, more...)
}

// editAction fetches the bundle in force, makes the next version and rolls it out.
func editAction(count int, makeEdit func(cmd *cli.Command, args []string) (edit, error)) cli.ActionFunc {
	return action(func(ctx context.Context, cmd *cli.Command, p *printer) error {
		args, err := arguments(cmd, count)
		if err != nil {
			return err
		}
		change, err := makeEdit(cmd, args)
		if err != nil {
			return err
		}
		s, err := openSession(cmd, p)
		if err != nil {
			return err
		}
		out := &outcome{DryRun: cmd.Bool("dry-run")}
		return s.finish(out, s.apply(ctx, out, change, cmd.String("reason")))
	})
}

func (s *session) apply(ctx context.Context, out *outcome, change edit, reason string) error {
	current, err := s.fetch(ctx, 0)
	if err != nil {
		return err
	}
	next, err := clone(current)
	if err != nil {
		return err
	}
	next.Version, next.Base = current.Version+1, current.Version
	next.Author, next.Reason = s.operator, reason
	if out.Effects, err = change(ctx, s, next, out); err != nil {
		return err
	}
	if next, err = clone(next); err != nil { // checks the changed bundle
		return err
	}
	out.Version, out.Changes = next.Version, bundle.Diff(current, next)
	if onlyHeader(out.Changes) {
		out.Version, out.Unchanged, out.Changes = current.Version, true, nil
		s.line("nothing to change, version %d is as asked for", current.Version)
		return nil
	}
	return s.deliver(ctx, out, bundle.Sign(next, s.key, s.operator), next, current)
}

func onlyHeader(changes []bundle.Change) bool {
	for _, change := range changes {
		if !headerPaths[change.Path] {
			return false
		}
	}
	return true
}
