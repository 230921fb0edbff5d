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

// progressInterval is the polling interval for the progress of a rollout.
const progressInterval = 200 * time.Millisecond

// rolloutOutput is the JSON output of the rollout command and of the commands that edit the bundle.
type rolloutOutput struct {
	Version   uint64               `json:"version"`
	DryRun    bool                 `json:"dry_run,omitempty"`
	Unchanged bool                 `json:"unchanged,omitempty"`
	Changes   []bundle.Change      `json:"changes"`
	Effects   []string             `json:"effects,omitempty"`
	NewKey    string               `json:"new_key,omitempty"`
	Report    *admin.RolloutReport `json:"report,omitempty"`
	// Conflict lists the changes that other operators have committed since the base version.
	Conflict []bundle.Change    `json:"conflict,omitempty"`
	Error    *admin.ErrorReport `json:"error,omitempty"`
}

func rolloutCommand() *cli.Command {
	return &cli.Command{
		Name: "rollout", Usage: "sign a bundle, unless it is already signed, and roll it out", ArgsUsage: "FILE",
		Flags:  []cli.Flag{dryRunFlag()},
		Action: action(rolloutFile),
	}
}

func dryRunFlag() cli.Flag {
	return &cli.BoolFlag{Name: "dry-run", Usage: "show the changes and their effects without applying them"}
}

func rolloutFile(ctx context.Context, cmd *cli.Command, p *printer) error {
	args, err := exactArgs(cmd, 1)
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
	current, err := s.fetchBundle(ctx, 0)
	if err != nil && !hasCode(err, result.AdminNotFound) {
		return err
	}
	out := &rolloutOutput{Version: b.Version, DryRun: cmd.Bool("dry-run")}
	if current != nil {
		out.Changes = bundle.Diff(current, b)
	}
	return s.printOutput(out, s.rollOut(ctx, out, signed, b, current))
}

// readForRollout reads a signed bundle and verifies it, or reads a bundle in JSON with comments and signs it.
func (s *session) readForRollout(file string) (bundle.Signed, *bundle.Bundle, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return bundle.Signed{}, nil, errors.Wrap(err, "read bundle file")
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

// rollOut prints the changes and, unless it is a dry run, sends the bundle and waits until it is accepted. current is
// the current bundle, nil if there is none.
func (s *session) rollOut(ctx context.Context, out *rolloutOutput, signed bundle.Signed, b, current *bundle.Bundle) error {
	s.printChanges(out.Changes)
	for _, effect := range out.Effects {
		s.printLine("effect: %s", effect)
	}
	if current != nil && current.Version != b.Base && !sameBundle(current, b) {
		return s.reportConflict(ctx, out, b, result.Errorf(result.RolloutConflict, "the bundle is based on version %d, but version %d is in force", b.Base, current.Version))
	}
	if out.DryRun {
		s.printLine("dry run: nothing was changed")
		return nil
	}
	report, err := s.client.Rollout(ctx, signed, b)
	if hasCode(err, result.RolloutConflict, result.VersionNotHigher) {
		return s.reportConflict(ctx, out, b, err)
	}
	if err != nil {
		return err
	}
	s.printLine("version %d is committed", b.Version)
	return s.awaitAcceptance(ctx, out, report)
}

func sameBundle(a, b *bundle.Bundle) bool {
	return a.Digest() == b.Digest()
}

// reportConflict prints the changes that others have made since the base of b, and returns cause. A first bundle has no
// base; its differences from the current bundle are already printed.
func (s *session) reportConflict(ctx context.Context, out *rolloutOutput, b *bundle.Bundle, cause error) error {
	current, err := s.fetchBundle(ctx, 0)
	if err != nil {
		return errors.Wrapf(cause, "the conflicting changes could not be fetched (%v)", err)
	}
	s.printLine("version %d by %s is in force: %s", current.Version, current.Author, current.Reason)
	if b.Base > 0 {
		base, err := s.fetchBundle(ctx, b.Base)
		if err != nil {
			return errors.Wrapf(cause, "the conflicting changes could not be fetched (%v)", err)
		}
		out.Conflict = bundle.Diff(base, current)
		s.printLine("since version %d it changed:", base.Version)
		s.printChanges(out.Conflict)
	}
	s.printLine("nothing was changed")
	return cause
}

// awaitAcceptance prints the progress of a committed version until it is accepted or the timeout has passed.
func (s *session) awaitAcceptance(ctx context.Context, out *rolloutOutput, report admin.RolloutReport) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	var shown []admin.ZoneProgress
	for {
		out.Report = &report
		if !sameProgress(shown, report.Zones) {
			shown = report.Zones
			s.printZoneProgress(report.Zones)
		}
		if report.Accepted {
			s.printLine("confirmed everywhere%s", afterCommit(report.ConfirmedMS))
			s.printLine("%s", s.okStyle.Render("accepted"+afterCommit(report.AcceptedMS)))
			return nil
		}
		select {
		case <-ctx.Done():
			return notAcceptedError(report, s.timeout)
		case <-time.After(progressInterval):
		}
		if next, err := s.client.RolloutProgress(ctx, report.Version); err == nil {
			report = next
		}
	}
}

// afterCommit formats the time from the commit to a step of the rollout. It returns an empty string if it is unknown.
func afterCommit(ms int64) string {
	if ms < 0 {
		return ""
	}
	return " " + formatMS(ms) + " after the commit"
}

// sameProgress reports whether two reports describe the same progress. It ignores the remaining time, which differs in
// every report.
func sameProgress(a, b []admin.ZoneProgress) bool {
	return reflect.DeepEqual(withoutEndTimes(a), withoutEndTimes(b))
}

func withoutEndTimes(zones []admin.ZoneProgress) []admin.ZoneProgress {
	copied := append([]admin.ZoneProgress{}, zones...)
	for i := range copied {
		copied[i].LatestEndMS = 0
	}
	return copied
}

func notAcceptedError(report admin.RolloutReport, timeout time.Duration) error {
	var waiting []string
	for _, zone := range report.Zones {
		if zone.Confirmed < zone.Members {
			waiting = append(waiting, zone.Zone)
		}
	}
	return result.Errorf(result.RolloutWaiting, "not accepted after %s, waiting for zones: %s", timeout, strings.Join(waiting, ", "))
}

// printOutput prints the JSON output, which includes err if it is not nil, and returns err.
func (s *session) printOutput(out *rolloutOutput, err error) error {
	if err != nil {
		report := admin.NewErrorReport(err)
		out.Error = &report
	}
	if printErr := s.printJSON(out); err == nil {
		return printErr
	}
	return err
}
