package main

import (
	"context"
	"slices"
	"strings"

	"citrongauge.example/citrongauge/admin"
	"citrongauge.example/citrongauge/result"

	"github.com/urfave/cli/v3"
)

const clearWarning = `Clear only entry hosts that certainly run no more: their process has ended or their machine is off.
If one still runs, the guarantees are broken: work could go on under an old bundle, with withdrawn keys or in a zone
that was taken out, and a team could exceed its cap.`

// clearOutcome is the JSON output of a clearing.
type clearOutcome struct {
	Hosts   []admin.MemberStatus `json:"hosts"`
	Warning string               `json:"warning"`
	Report  *admin.ClearReport   `json:"report,omitempty"`
	Error   *admin.ErrorReport   `json:"error,omitempty"`
}

func entryCommand() *cli.Command {
	return &cli.Command{
		Name: "entry", Usage: "look after entry hosts",
		Commands: []*cli.Command{{
			Name: "clear", Usage: "state that evicted entry hosts run no more", ArgsUsage: "ID...",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "reason", Usage: "`REASON`, for the log", Required: true},
				&cli.StringSliceFlag{Name: "confirm", Usage: "`ID,...` again; without it nothing is changed"},
			},
			Action: action(clearEntryHosts),
		}},
	}
}

func clearEntryHosts(ctx context.Context, cmd *cli.Command, p *printer) error {
	ids := cmd.Args().Slice()
	if len(ids) == 0 {
		return usageError{"want arguments: " + cmd.ArgsUsage}
	}
	s, err := openSession(cmd, p)
	if err != nil {
		return err
	}
	request := admin.ClearRequest{Hosts: ids, Confirm: cmd.StringSlice("confirm"), Reason: cmd.String("reason")}
	out := &clearOutcome{Hosts: []admin.MemberStatus{}, Warning: clearWarning}
	err = s.clear(ctx, out, request)
	if err != nil {
		report := admin.NewErrorReport(err)
		out.Error = &report
	}
	if printErr := s.object(out); err == nil {
		return printErr
	}
	return err
}

func (s *session) clear(ctx context.Context, out *clearOutcome, request admin.ClearRequest) error {
	status, err := s.client.Status(ctx)
	if err != nil {
		return err
	}
	for _, id := range request.Hosts {
		member, err := departedMember(status, id)
		if err != nil {
			return err
		}
		out.Hosts = append(out.Hosts, member)
		s.showDeparted(status, member)
	}
	s.line("%s", s.warn.Render(clearWarning))
	if request.Check() != nil {
		return usageError{"nothing was changed; to go on, give each ID once and repeat them with --confirm " + strings.Join(request.Hosts, ",")}
	}
	report, err := s.client.ClearDeparted(ctx, request)
	if err != nil {
		return err
	}
	out.Report = &report
	s.line("cleared with revision %d: %s", report.Revision, strings.Join(report.Cleared, ", "))
	return nil
}

// departedMember returns a host of the departed list.
func departedMember(status admin.StatusReport, id string) (admin.MemberStatus, error) {
	i := slices.IndexFunc(status.Members, func(m admin.MemberStatus) bool { return m.ID == id })
	switch {
	case i < 0:
		return admin.MemberStatus{}, result.Errorf(result.AdminNotFound, "entry host %q is not on the departed list", id)
	case !status.Members[i].Departed:
		return admin.MemberStatus{}, result.Errorf(result.AdminNotFound, "entry host %q is still in the roster and not on the departed list", id)
	}
	return status.Members[i], nil
}

// showDeparted shows what is known of a host of the departed list.
func (s *session) showDeparted(status admin.StatusReport, member admin.MemberStatus) {
	s.line("entry host %s: zone %s, address %s, on the departed list for at least %s as seen by %s",
		member.ID, member.Zone, member.Address, age(member.DepartedMS), status.HostID)
	for _, other := range status.Members {
		if other.Address == member.Address && !other.Departed {
			s.line("  its address is used by member %s now", other.ID)
		}
	}
	for _, zone := range status.Settling {
		if zone.Zone != member.Zone || !slices.Contains(zone.WaitingFor, member.ID) {
			continue
		}
		if zone.LatestEndMS >= 0 {
			s.line("  it is waited for; without clearing, the wait for its zone ends within %s", age(zone.LatestEndMS))
		} else {
			s.line("  it is waited for, and it is not known when the wait for its zone ends")
		}
	}
}
