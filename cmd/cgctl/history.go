package main

import (
	"context"
	"slices"
	"strconv"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/result"

	"github.com/urfave/cli/v3"
)

// historyEntry describes one bundle version in the JSON output of the history command.
type historyEntry struct {
	Version uint64 `json:"version"`
	Base    uint64 `json:"base"`
	Author  string `json:"author"`
	Reason  string `json:"reason"`
	// Started lists the interventions that are in this version but not in its base, Removed those that are in the base
	// but not in this version. A changed intervention is in both lists.
	Started []bundle.Intervention `json:"started,omitempty"`
	Removed []bundle.Intervention `json:"removed,omitempty"`
}

func historyCommand() *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "list the latest bundle versions and interventions with author and reason",
		Flags:  []cli.Flag{&cli.IntFlag{Name: "number", Aliases: []string{"n"}, Value: 20, Usage: "`COUNT` of versions"}},
		Action: action(showHistory),
	}
}

func showHistory(ctx context.Context, cmd *cli.Command, p *printer) error {
	s, err := openSession(cmd, p)
	if err != nil {
		return err
	}
	entries, err := s.fetchHistory(ctx, cmd.Int("number"))
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
	s.printTable(rows)
	s.printTable(interventions)
	return s.printJSON(entries)
}

func interventionRow(e historyEntry, change string, n bundle.Intervention) []string {
	return []string{strconv.FormatUint(e.Version, 10), change, string(n.Kind), n.Target, n.Until, n.Author, n.Reason}
}

// fetchHistory returns up to number versions, the latest first. It follows the base of each version; this finds every
// version, because a bundle is accepted as the next version only if its base is the current one.
func (s *session) fetchHistory(ctx context.Context, number int) ([]historyEntry, error) {
	entries := []historyEntry{}
	if number <= 0 {
		return entries, nil
	}
	b, err := s.fetchBundle(ctx, 0)
	for err == nil && b != nil && len(entries) < number {
		entry := historyEntry{Version: b.Version, Base: b.Base, Author: b.Author, Reason: b.Reason}
		var base *bundle.Bundle
		if b.Base != 0 {
			base, err = s.fetchBundle(ctx, b.Base)
		}
		if err != nil && !hasCode(err, result.AdminNotFound) {
			return nil, err
		}
		// If the base is no longer stored, the changes of this version are unknown.
		if err == nil {
			entry.Started, entry.Removed = addedInterventions(base, b), addedInterventions(b, base)
		}
		entries = append(entries, entry)
		b = base
	}
	if err != nil && !hasCode(err, result.AdminNotFound) {
		return nil, err
	}
	return entries, nil
}

// addedInterventions returns the interventions that are in b but not in a. Either may be nil.
func addedInterventions(a, b *bundle.Bundle) []bundle.Intervention {
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
