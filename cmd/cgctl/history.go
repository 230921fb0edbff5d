package main

import (
	"context"
	"slices"
	"strconv"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/result"

	"github.com/urfave/cli/v3"
)

// historyEntry is one version of the history.
type historyEntry struct {
	Version uint64 `json:"version"`
	Base    uint64 `json:"base"`
	Author  string `json:"author"`
	Reason  string `json:"reason"`
	// Started and Removed are the interventions that the version has and its base has not, and the other way round.
	// One that was changed is in both.
	Started []bundle.Intervention `json:"started,omitempty"`
	Removed []bundle.Intervention `json:"removed,omitempty"`
}

func historyCommand() *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "list the latest versions and interventions with author and reason",
		Flags:  []cli.Flag{&cli.IntFlag{Name: "number", Aliases: []string{"n"}, Value: 20, Usage: "`COUNT` of versions"}},
		Action: action(showHistory),
	}
}

func showHistory(ctx context.Context, cmd *cli.Command, p *printer) error {
	s, err := openSession(cmd, p)
	if err != nil {
		return err
	}
	entries, err := s.history(ctx, cmd.Int("number"))
	if err != nil {
		return err
	}
	rows := [][]string{{"VERSION", "AUTHOR", "REASON"}}
	interventions := [][]string{{"VERSION", "CHANGE", "KIND", "TARGET", "END", "AUTHOR", "REASON"}}
	for _, e := range entries {
		rows = append(rows, []string{strconv.FormatUint(e.Version, 10), e.Author, e.Reason})
		for _, n := range e.Started {
			interventions = append(interventions, interventionRow(e, "started", n))
		}
		for _, n := range e.Removed {
			interventions = append(interventions, interventionRow(e, "removed", n))
		}
	}
	s.table(rows)
	s.table(interventions)
	return s.object(entries)
}

func interventionRow(e historyEntry, change string, n bundle.Intervention) []string {
	return []string{strconv.FormatUint(e.Version, 10), change, string(n.Kind), n.Target, n.Until, n.Author, n.Reason}
}

// history follows the versions back by their base: only a bundle that is based on the version in force can become the
// next one.
func (s *session) history(ctx context.Context, number int) ([]historyEntry, error) {
	entries := []historyEntry{}
	if number <= 0 {
		return entries, nil
	}
	b, err := s.fetch(ctx, 0)
	for err == nil && b != nil && len(entries) < number {
		entry := historyEntry{Version: b.Version, Base: b.Base, Author: b.Author, Reason: b.Reason}
		var base *bundle.Bundle
		if b.Base != 0 {
			base, err = s.fetch(ctx, b.Base)
		}
		if err != nil && !hasCode(err, result.AdminNotFound) {
			return nil, err
		}
		// What a version started is not known if its base is not kept any more.
		if err == nil {
			entry.Started, entry.Removed = newInterventions(base, b), newInterventions(b, base)
		}
		entries = append(entries, entry)
		b = base
	}
	if err != nil && !hasCode(err, result.AdminNotFound) {
		return nil, err
	}
	return entries, nil
}

// newInterventions returns the interventions that are in b and not in a, which may be nil.
func newInterventions(a, b *bundle.Bundle) []bundle.Intervention {
	if b == nil {
		return nil
	}
	var added []bundle.Intervention
	for _, n := range b.Interventions {
		if a == nil || !slices.Contains(a.Interventions, n) {
			added = append(added, n)
		}
	}
	return added
}
