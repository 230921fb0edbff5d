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
	return &cli.StringFlag{Name: flagRunningWork, Value: string(bundle.WorkFinish), Usage: "what happens to running work: finish, checkpoint or stop"}
}

func hostCommand() *cli.Command {
	return &cli.Command{
		Name: "host", Usage: "drain upstream hosts and return them to service",
		Commands: []*cli.Command{
			{
				Name: "drain", Usage: "drain a host for a limited time", ArgsUsage: "HOST",
				Flags:  editFlags(&cli.DurationFlag{Name: "for", Required: true, Usage: "`TIME` until the host returns to service, such as 2h"}),
				Action: editAction(1, hostDrainEdit),
			},
			{
				Name: "return", Usage: "end all drains of a host", ArgsUsage: "HOST",
				Flags: editFlags(), Action: editAction(1, hostReturnEdit),
			},
		},
	}
}

func hostDrainEdit(cmd *cli.Command, args []string) (bundleEdit, error) {
	duration := cmd.Duration("for")
	if duration <= 0 {
		return nil, usageError{"--for must be positive"}
	}
	return func(ctx context.Context, s *session, b *bundle.Bundle, _ *rolloutOutput) ([]string, error) {
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
			return expired(n, now) || isDrainOf(n, args[0])
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

func hostReturnEdit(_ *cli.Command, args []string) (bundleEdit, error) {
	return func(_ context.Context, s *session, b *bundle.Bundle, _ *rolloutOutput) ([]string, error) {
		if bundle.NewIndex(b).Host(args[0]) == nil {
			return nil, result.Errorf(result.BundleUnknownName, "no host with ID %q in the bundle", args[0])
		}
		b.Interventions = slices.DeleteFunc(b.Interventions, func(n bundle.Intervention) bool {
			return isDrainOf(n, args[0])
		})
		return nil, nil
	}, nil
}

func zoneCommand() *cli.Command {
	return &cli.Command{
		Name: "zone", Usage: "take availability zones out of service and return them to service",
		Commands: []*cli.Command{
			{
				Name: "out", Usage: "take a zone out of service; no more tasks are started there", ArgsUsage: "ZONE",
				Flags: editFlags(runningWorkFlag()), Action: editAction(1, zoneOutEdit),
			},
			{
				Name: "in", Usage: "return a zone to service", ArgsUsage: "ZONE",
				Flags:  editFlags(&cli.DurationFlag{Name: "ramp", Usage: "`TIME` until the zone carries its full load again (default: unchanged)"}),
				Action: editAction(1, zoneInEdit),
			},
		},
	}
}

// zoneEdit returns a bundle edit that applies change to the zone with the given name.
func zoneEdit(name string, change func(b *bundle.Bundle, zone *bundle.Zone) []string) bundleEdit {
	return func(_ context.Context, _ *session, b *bundle.Bundle, _ *rolloutOutput) ([]string, error) {
		for i := range b.Zones {
			if b.Zones[i].Name == name {
				return change(b, &b.Zones[i]), nil
			}
		}
		return nil, result.Errorf(result.BundleUnknownName, "no availability zone named %q in the bundle", name)
	}
}

func zoneOutEdit(cmd *cli.Command, args []string) (bundleEdit, error) {
	work := bundle.RunningWorkPolicy(cmd.String(flagRunningWork))
	return zoneEdit(args[0], func(b *bundle.Bundle, zone *bundle.Zone) []string {
		zone.OutOfService, zone.RunningWork = true, work
		return zoneEffect(b, zone.Name)
	}), nil
}

func zoneInEdit(cmd *cli.Command, args []string) (bundleEdit, error) {
	return zoneEdit(args[0], func(_ *bundle.Bundle, zone *bundle.Zone) []string {
		zone.OutOfService = false
		if cmd.IsSet("ramp") {
			zone.RampMS = cmd.Duration("ramp").Milliseconds()
		}
		return []string{fmt.Sprintf("zone %s takes up its load within %s", zone.Name, formatMS(zone.RampMS))}
	}), nil
}

func keyCommand() *cli.Command {
	return &cli.Command{
		Name: "key", Usage: "grant and withdraw team keys",
		Commands: []*cli.Command{
			{
				Name: "withdraw", Usage: "withdraw a team key; requests with it are rejected", ArgsUsage: "TEAM KEY-ID",
				Flags: editFlags(runningWorkFlag()), Action: editAction(2, keyWithdrawEdit),
			},
			{
				Name: "grant", Usage: "grant a team a new key, or grant a withdrawn key again", ArgsUsage: "TEAM KEY-ID",
				Flags:  editFlags(&cli.StringFlag{Name: "sha256", Usage: "`HASH` of a key that the team has generated (default: generate a key)"}),
				Action: editAction(2, keyGrantEdit),
			},
		},
	}
}

// findTeamKey returns the team and its key with the given ID. The key is nil if the team has none with that ID.
func findTeamKey(b *bundle.Bundle, name, keyID string) (*bundle.Team, *bundle.Key, error) {
	team := bundle.NewIndex(b).Team(name)
	if team == nil {
		return nil, nil, result.Errorf(result.BundleUnknownName, "no team named %q in the bundle", name)
	}
	for i := range team.Keys {
		if team.Keys[i].ID == keyID {
			return team, &team.Keys[i], nil
		}
	}
	return team, nil, nil
}

func keyWithdrawEdit(cmd *cli.Command, args []string) (bundleEdit, error) {
	work := bundle.RunningWorkPolicy(cmd.String(flagRunningWork))
	return func(_ context.Context, _ *session, b *bundle.Bundle, _ *rolloutOutput) ([]string, error) {
		_, key, err := findTeamKey(b, args[0], args[1])
		if err != nil {
			return nil, err
		}
		if key == nil {
			return nil, result.Errorf(result.BundleUnknownName, "team %q has no key with ID %q", args[0], args[1])
		}
		key.Withdrawn, key.RunningWork = true, work
		return nil, nil
	}, nil
}

func keyGrantEdit(cmd *cli.Command, args []string) (bundleEdit, error) {
	hash := cmd.String("sha256")
	return func(_ context.Context, s *session, b *bundle.Bundle, out *rolloutOutput) ([]string, error) {
		team, key, err := findTeamKey(b, args[0], args[1])
		if err != nil {
			return nil, err
		}
		if key != nil {
			if hash != "" && hash != key.SHA256 {
				return nil, result.Errorf(result.BundleKeyRepeated, "key %q already exists with a different hash", args[1])
			}
			key.Withdrawn = false
			return nil, nil
		}
		newKey := bundle.Key{ID: args[1], SHA256: hash, RunningWork: bundle.WorkFinish}
		if hash == "" {
			newKey.SHA256 = s.newTeamKey(out)
		}
		team.Keys = append(team.Keys, newKey)
		return nil, nil
	}, nil
}

// newTeamKey generates a team key, prints it and returns its hash. The key cannot be recovered from the hash. It is
// printed before the rollout, so that it is not lost if the response to the rollout is lost.
func (s *session) newTeamKey(out *rolloutOutput) string {
	key, hash := bundle.NewTeamKey()
	if !out.DryRun {
		out.NewKey = key
		s.printLine("new key, valid once the roll-out is accepted: %s", key)
	}
	return hash
}
