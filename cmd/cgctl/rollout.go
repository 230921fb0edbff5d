package main

import (
	"context"
	"os"
	"reflect"
	"strings"
	"time"

	"citrongauge.example/citrongauge/admin"
	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/result"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// progressInterval is the time between questions for the progress of a roll-out.
const progressInterval = 200 * time.Millisecond

// outcome is the JSON output of a roll-out.
type outcome struct {
	Version   uint64               `json:"version"`
	DryRun    bool                 `json:"dry_run,omitempty"`
	Unchanged bool                 `json:"unchanged,omitempty"`
	Changes   []bundle.Change      `json:"changes"`
	Effects   []string             `json:"effects,omitempty"`
	NewKey    string               `json:"new_key,omitempty"`
	Report    *admin.RolloutReport `json:"report,omitempty"`
	// Conflict holds what was changed by others since the base.
	Conflict []bundle.Change    `json:"conflict,omitempty"`
	Error    *admin.ErrorReport `json:"error,omitempty"`
}

func rolloutCommand() *cli.Command {
	return &cli.Command{
		Name: "rollout", Usage: "sign a bundle, or take a signed one, and put it in force", ArgsUsage: "FILE",
		Flags:  []cli.Flag{dryRunFlag()},
		Action: action(rolloutFile),
	}
}

func dryRunFlag() cli.Flag {
	return &cli.BoolFlag{Name: "dry-run", Usage: "show the changes and their effect, and change nothing"}
}

func rolloutFile(ctx context.Context, cmd *cli.Command, p *printer) error {
	args, err := arguments(cmd, 1)
	if err != nil {
		return err
	}
	s, err := openSession(cmd, p)
	if err != nil {
		return err
	}
	signed, b, err := s.readForRollout(args[0])
	if err != nil {
		return err
	}
	current, err := s.fetch(ctx, 0)
	if err != nil && !hasCode(err, result.AdminNotFound) {
		return err
	}
	out := &outcome{Version: b.Version, DryRun: cmd.Bool("dry-run")}
	if current != nil {
		out.Changes = bundle.Diff(current, b)
	}
	return s.finish(out, s.deliver(ctx, out, signed, b, current))
}

// readForRollout reads a bundle in text form, which it signs, or a signed one.
func (s *session) readForRollout(file string) (bundle.Signed, *bundle.Bundle, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return bundle.Signed{}, nil, errors.Wrap(err, "read the bundle")
	}
	if signed, err := bundle.DecodeSigned(data); err == nil {
		b, err := bundle.VerifySigned(data, s.trusted)
		return signed, b, err
	}
	b, problems := bundle.Parse(file, data)
	if err := problems.Err(); err != nil {
		return bundle.Signed{}, nil, err
	}
	return bundle.Sign(b, s.key, s.operator), b, nil
}

// deliver shows the changes and, unless it is a dry run, sends the bundle and waits until it is accepted. current
// is the bundle in force, nil if there is none.
func (s *session) deliver(ctx context.Context, out *outcome, signed bundle.Signed, b, current *bundle.Bundle) error {
	s.changes(out.Changes)
	for _, effect := range out.Effects {
		s.line("effect: %s", effect)
	}
	if current != nil && current.Version != b.Base && !sameBundle(current, b) {
		return s.conflict(ctx, out, b, result.Errorf(result.RolloutConflict, "the bundle is based on version %d, in force is %d", b.Base, current.Version))
	}
	if out.DryRun {
		s.line("dry run: nothing was changed")
		return nil
	}
	report, err := s.client.Rollout(ctx, signed, b)
	if hasCode(err, result.RolloutConflict, result.VersionNotHigher) {
		return s.conflict(ctx, out, b, err)
	}
	if err != nil {
		return err
	}
	s.line("version %d is committed", b.Version)
	return s.watch(ctx, out, report)
}

func sameBundle(a, b *bundle.Bundle) bool {
	return a.Digest() == b.Digest()
}

// conflict shows what others changed since the base of b. A first bundle has no base; what it would change is
// already shown.
func (s *session) conflict(ctx context.Context, out *outcome, b *bundle.Bundle, cause error) error {
	current, err := s.fetch(ctx, 0)
	if err != nil {
		return errors.Wrapf(cause, "the difference could not be fetched (%v)", err)
	}
	s.line("version %d by %s is in force: %s", current.Version, current.Author, current.Reason)
	if b.Base > 0 {
		base, err := s.fetch(ctx, b.Base)
		if err != nil {
			return errors.Wrapf(cause, "the difference could not be fetched (%v)", err)
		}
		out.Conflict = bundle.Diff(base, current)
		s.line("since version %d it changed:", base.Version)
		s.changes(out.Conflict)
	}
	s.line("nothing was changed")
	return cause
}

// watch prints the progress of a committed version until it is accepted or the time is over.
func (s *session) watch(ctx context.Context, out *outcome, report admin.RolloutReport) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	var shown []admin.ZoneProgress
	for {
		out.Report = &report
		if !sameProgress(shown, report.Zones) {
			shown = report.Zones
			s.zones(report.Zones)
		}
		if report.Accepted {
			s.line("confirmed everywhere%s", afterCommit(report.ConfirmedMS))
			s.line("%s", s.good.Render("accepted"+afterCommit(report.AcceptedMS)))
			return nil
		}
		select {
		case <-ctx.Done():
			return notAccepted(report, s.timeout)
		case <-time.After(progressInterval):
		}
		if next, err := s.client.RolloutProgress(ctx, report.Version); err == nil {
			report = next
		}
	}
}

// afterCommit returns the time of a step of a roll-out, nothing if it is not known.
func afterCommit(ms int64) string {
	if ms < 0 {
		return ""
	}
	return " " + age(ms) + " after the commit"
}

// sameProgress compares what an operator sees of the progress; the remaining time changes all the time.
func sameProgress(a, b []admin.ZoneProgress) bool {
	return reflect.DeepEqual(withoutTimes(a), withoutTimes(b))
}

func withoutTimes(zones []admin.ZoneProgress) []admin.ZoneProgress {
	copied := append([]admin.ZoneProgress{}, zones...)
	for i := range copied {
		copied[i].LatestEndMS = 0
	}
	return copied
}

func notAccepted(report admin.RolloutReport, timeout time.Duration) error {
	var waiting []string
	for _, zone := range report.Zones {
		if zone.Confirmed < zone.Members {
			waiting = append(waiting, zone.Zone)
		}
	}
	return result.Errorf(result.RolloutWaiting, "not accepted after %s, waiting for zones: %s", timeout, strings.Join(waiting, ", "))
}

// finish prints the JSON output and returns err.
func (s *session) finish(out *outcome, err error) error {
	if err != nil {
		report := admin.NewErrorReport(err)
		out.Error = &report
	}
	if printErr := s.object(out); err == nil {
		return printErr
	}
	return err
}
