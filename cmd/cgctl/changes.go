package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/result"

	"github.com/urfave/cli/v3"
)

const flagRunningWork = "running-work"

func runningWorkFlag() cli.Flag {
	return &cli.StringFlag{Name: flagRunningWork, Value: string(bundle.WorkFinish), Usage: "finish, checkpoint or stop"}
}

func hostCommand() *cli.Command {
	return &cli.Command{
		Name: "host", Usage: "take upstream hosts out of service and return them",
		Commands: []*cli.Command{
			{
				Name: "drain", Usage: "drain a host for some time", ArgsUsage: "HOST",
				Flags:  editFlags(&cli.DurationFlag{Name: "for", Required: true, Usage: "`TIME` until the host returns, such as 2h"}),
				Action: editAction(1, makeDrain),
			},
			{
				Name: "return", Usage: "end the drains of a host", ArgsUsage: "HOST",
				Flags: editFlags(), Action: editAction(1, makeReturn),
			},
		},
	}
}

func makeDrain(cmd *cli.Command, args []string) (edit, error) {
	duration := cmd.Duration("for")
	if duration <= 0 {
		return nil, usageError{"--for must be positive"}
	}
	return func(ctx context.Context, s *session, b *bundle.Bundle, _ *outcome) ([]string, error) {
		assignments, err := s.client.Assignments(ctx)
		if err != nil {
			return nil, err
		}
		now := s.now()
		effects, err := drainEffect(b, assignments, args[0], now)
		if err != nil {
			return nil, err
		}
		b.Interventions = slices.DeleteFunc(b.Interventions, func(n bundle.Intervention) bool {
			return ended(n, now) || isDrainOf(n, args[0])
		})
		b.Interventions = append(b.Interventions, bundle.Intervention{
			ID:     fmt.Sprintf("drain-%d", b.Version),
			Kind:   bundle.InterventionDrain,
			Target: args[0],
			Author: b.Author,
			Reason: b.Reason,
			Until:  now.Add(duration).UTC().Format(time.RFC3339),
		})
		return effects, nil
	}, nil
}

func isDrainOf(n bundle.Intervention, host string) bool {
	return n.Kind == bundle.InterventionDrain && n.Target == host
}

func makeReturn(_ *cli.Command, args []string) (edit, error) {
	return func(_ context.Context, s *session, b *bundle.Bundle, _ *outcome) ([]string, error) {
		if bundle.NewIndex(b).Host(args[0]) == nil {
			return nil, result.Errorf(result.BundleUnknownName, "no host has the ID %q", args[0])
		}
		b.Interventions = slices.DeleteFunc(b.Interventions, func(n bundle.Intervention) bool {
			return isDrainOf(n, args[0])
		})
		return nil, nil
	}, nil
}

func zoneCommand() *cli.Command {
	return &cli.Command{
		Name: "zone", Usage: "take availability zones out of service and bring them back",
		Commands: []*cli.Command{
			{
				Name: "out", Usage: "start no more tasks in a zone", ArgsUsage: "ZONE",
				Flags: editFlags(runningWorkFlag()), Action: editAction(1, makeZoneOut),
			},
			{
				Name: "in", Usage: "bring a zone back", ArgsUsage: "ZONE",
				Flags:  editFlags(&cli.DurationFlag{Name: "ramp", Usage: "`TIME` until the zone has its full load again (default: unchanged)"}),
				Action: editAction(1, makeZoneIn),
			},
		},
	}
}

// editZone returns an edit of the zone with the given name.
func editZone(name string, change func(b *bundle.Bundle, zone *bundle.Zone) []string) edit {
	return func(_ context.Context, _ *session, b *bundle.Bundle, _ *outcome) ([]string, error) {
		for i := range b.Zones {
			if b.Zones[i].Name == name {
				return change(b, &b.Zones[i]), nil
			}
		}
		return nil, result.Errorf(result.BundleUnknownName, "no availability zone has the name %q", name)
	}
}

func makeZoneOut(cmd *cli.Command, args []string) (edit, error) {
	work := bundle.RunningWork(cmd.String(flagRunningWork))
	return editZone(args[0], func(b *bundle.Bundle, zone *bundle.Zone) []string {
		zone.OutOfService, zone.RunningWork = true, work
		return zoneEffect(b, zone.Name)
	}), nil
}

func makeZoneIn(cmd *cli.Command, args []string) (edit, error) {
	return editZone(args[0], func(_ *bundle.Bundle, zone *bundle.Zone) []string {
		zone.OutOfService = false
		if cmd.IsSet("ramp") {
			zone.RampMS = cmd.Duration("ramp").Milliseconds()
		}
		return []string{fmt.Sprintf("zone %s takes up its load within %s", zone.Name, age(zone.RampMS))}
	}), nil
}

func keyCommand() *cli.Command {
	return &cli.Command{
		Name: "key", Usage: "withdraw and grant team keys",
		Commands: []*cli.Command{
			{
				Name: "withdraw", Usage: "refuse a team key", ArgsUsage: "TEAM KEY-ID",
				Flags: editFlags(runningWorkFlag()), Action: editAction(2, makeWithdraw),
			},
			{
				Name: "grant", Usage: "grant a team a key: a new one, or a withdrawn one again", ArgsUsage: "TEAM KEY-ID",
				Flags:  editFlags(&cli.StringFlag{Name: "sha256", Usage: "`HASH` of a key that the team has made (default: make a key)"}),
				Action: editAction(2, makeGrant),
			},
		},
	}
}

// findTeam returns the team and its key with the given ID, nil if the team has no such key.
func findTeam(b *bundle.Bundle, name, keyID string) (*bundle.Team, *bundle.Key, error) {
	team := bundle.NewIndex(b).Team(name)
	if team == nil {
		return nil, nil, result.Errorf(result.BundleUnknownName, "no team has the name %q", name)
	}
	for i := range team.Keys {
		if team.Keys[i].ID == keyID {
			return team, &team.Keys[i], nil
		}
	}
	return team, nil, nil
}

func makeWithdraw(cmd *cli.Command, args []string) (edit, error) {
	work := bundle.RunningWork(cmd.String(flagRunningWork))
	return func(_ context.Context, _ *session, b *bundle.Bundle, _ *outcome) ([]string, error) {
		_, key, err := findTeam(b, args[0], args[1])
		if err != nil {
			return nil, err
		}
		if key == nil {
			return nil, result.Errorf(result.BundleUnknownName, "team %q has no key %q", args[0], args[1])
		}
		key.Withdrawn, key.RunningWork = true, work
		return nil, nil
	}, nil
}

func makeGrant(cmd *cli.Command, args []string) (edit, error) {
	hash := cmd.String("sha256")
	return func(_ context.Context, s *session, b *bundle.Bundle, out *outcome) ([]string, error) {
		team, key, err := findTeam(b, args[0], args[1])
		if err != nil {
			return nil, err
		}
		if key != nil {
			if hash != "" && hash != key.SHA256 {
				return nil, result.Errorf(result.BundleKeyRepeated, "key %q has another hash", args[1])
			}
			key.Withdrawn = false
			return nil, nil
		}
		newKey := bundle.Key{ID: args[1], SHA256: hash, RunningWork: bundle.WorkFinish}
		if hash == "" {
			newKey.SHA256 = s.makeKey(out)
		}
		team.Keys = append(team.Keys, newKey)
		return nil, nil
	}, nil
}

// makeKey makes a key, shows it once and returns its hash. It is shown before the roll-out, so that it is not lost
// when the answer to the roll-out is.
func (s *session) makeKey(out *outcome) string {
	key, hash := bundle.NewTeamKey()
	if !out.DryRun {
		out.NewKey = key
		s.line("new key, valid once the roll-out is accepted: %s", key)
	}
	return hash
}
