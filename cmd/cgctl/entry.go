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

// clearOutput is the JSON output of the entry clear command.
type clearOutput struct {
	Hosts   []admin.MemberStatus       `json:"hosts"`
	Warning string                     `json:"warning"`
	Report  *admin.ClearDepartedReport `json:"report,omitempty"`
	Error   *admin.ErrorReport         `json:"error,omitempty"`
}

func entryCommand() *cli.Command {
	return &cli.Command{
		Name: "entry", Usage: "manage entry hosts",
		Commands: []*cli.Command{{
			Name: "clear", Usage: "clear the departed list of evicted entry hosts that are no longer running", ArgsUsage: "ID...",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "reason", Usage: "`REASON` of the change, for the log", Required: true},
				&cli.StringSliceFlag{Name: "confirm", Usage: "the same IDs again as `ID,...`; without it nothing is changed"},
			},
			Action: action(clearEntryHosts),
		}},
	}
}

func clearEntryHosts(ctx context.Context, cmd *cli.Command, p *printer) error {
	ids := cmd.Args().Slice()
	if len(ids) == 0 {
		return usageError{"expected arguments: " + cmd.ArgsUsage}
	}
	s, err := openSession(cmd, p)
	if err != nil {
		return err
	}
	request := admin.ClearDepartedRequest{Hosts: ids, Confirm: cmd.StringSlice("confirm"), Reason: cmd.String("reason")}
	out := &clearOutput{Hosts: []admin.MemberStatus{}, Warning: clearWarning}
	err = s.clearDeparted(ctx, out, request)
	if err != nil {
		report := admin.NewErrorReport(err)
		out.Error = &report
	}
	if printErr := s.printJSON(out); err == nil {
		return printErr
	}
	return err
}

func (s *session) clearDeparted(ctx context.Context, out *clearOutput, request admin.ClearDepartedRequest) error {
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
		s.printDeparted(status, member)
	}
	s.printLine("%s", s.warnStyle.Render(clearWarning))
	if request.Check() != nil {
		return usageError{"nothing was changed; to proceed, give each ID once and repeat all IDs with --confirm " + strings.Join(request.Hosts, ",")}
	}
	report, err := s.client.ClearDeparted(ctx, request)
	if err != nil {
		return err
	}
	out.Report = &report
	s.printLine("cleared with revision %d: %s", report.Revision, strings.Join(report.Cleared, ", "))
	return nil
}

// departedMember returns the status of an entry host on the departed list.
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

// printDeparted prints what the responding entry host knows of a host on the departed list.
func (s *session) printDeparted(status admin.StatusReport, member admin.MemberStatus) {
	s.printLine("entry host %s: zone %s, address %s, on the departed list for at least %s as seen by %s",
		member.ID, member.Zone, member.Address, formatMS(member.DepartedMS), status.HostID)
	for _, other := range status.Members {
		if other.Address == member.Address && !other.Departed {
			s.printLine("  its address is used by member %s now", other.ID)
		}
	}
	for _, zone := range status.Settling {
		if zone.Zone != member.Zone || !slices.Contains(zone.WaitingFor, member.ID) {
			continue
		}
		if zone.LatestEndMS >= 0 {
			s.printLine("  it is waited for; without clearing, the wait for its zone ends within %s", formatMS(zone.LatestEndMS))
		} else {
			s.printLine("  it is waited for, and it is not known when the wait for its zone ends")
		}
	}
}
