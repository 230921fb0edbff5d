package main

import (
	"context"
	"fmt"
	"strconv"

	"citrongauge.example/citrongauge/admin"

	"github.com/urfave/cli/v3"
)

func statusCommand() *cli.Command {
	return &cli.Command{Name: "status", Usage: "show an entry host's view of the system", Action: action(showStatus)}
}

func showStatus(ctx context.Context, cmd *cli.Command, p *printer) error {
	s, err := openSession(cmd, p)
	if err != nil {
		return err
	}
	status, err := s.client.Status(ctx)
	if err != nil {
		return err
	}
	s.printStatus(status)
	return s.printJSON(status)
}

func (p *printer) printStatus(status admin.StatusReport) {
	confirmation := "never confirmed by the store"
	if status.StoreConfirmedAgeMS >= 0 {
		confirmation = "confirmed by the store " + formatMS(status.StoreConfirmedAgeMS) + " ago"
	}
	p.printLine("host %s in %s, mode %s, record revision %d, %s", status.HostID, status.Zone, status.Mode, status.Revision, confirmation)
	accepted := p.okStyle.Render("accepted")
	if status.AcceptedVersion < status.BundleVersion {
		accepted = p.warnStyle.Render(fmt.Sprintf("last accepted is %d", status.AcceptedVersion))
	}
	p.printLine("bundle version %d, %s", status.BundleVersion, accepted)
	p.printZoneProgress(status.Settling)
	p.printLine("")

	members := [][]string{{"ENTRY HOST", "ZONE", "ADDRESS", "HEARD", "STATE"}}
	for _, m := range status.Members {
		members = append(members, []string{m.ID, m.Zone, m.Address, formatMS(m.HeardAgeMS), memberState(m)})
	}
	p.printTable(members)
	zones := [][]string{{"ZONE", "SEEN", "STATE"}}
	for _, z := range status.Zones {
		zones = append(zones, []string{z.Name, formatMS(z.AttestedAgeMS), zoneState(z)})
	}
	p.printTable(zones)
	pools := [][]string{{"POOL", "HOSTS", "UNAVAILABLE", "ALLOWED"}}
	for _, pool := range status.Pools {
		pools = append(pools, []string{pool.Name, strconv.Itoa(pool.Hosts), strconv.Itoa(pool.Unavailable), strconv.Itoa(pool.MaxUnavailable)})
	}
	p.printTable(pools)
	teams := [][]string{{"TEAM", "SHARE", "CAP", "IN USE", "QUEUED"}}
	for _, team := range status.Teams {
		teams = append(teams, []string{team.Name, strconv.Itoa(team.Share), strconv.Itoa(team.Cap), strconv.Itoa(team.InUse), strconv.Itoa(team.Queued)})
	}
	p.printTable(teams)
	for _, note := range status.Notes {
		p.printLine("%s", p.warnStyle.Render("note: "+note))
	}
}

func memberState(m admin.MemberStatus) string {
	switch {
	case m.Departed && m.DepartedMS >= 0:
		return "departed for " + formatMS(m.DepartedMS)
	case m.Departed:
		return "departed"
	case m.Suspect:
		return "suspect"
	case m.Relay:
		return "relay"
	}
	return "member"
}

func zoneState(z admin.ZoneStatus) string {
	if z.OutOfService {
		return "out of service"
	}
	return "in service"
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "explain the state of a host, zone, pool, queue, team or key", ArgsUsage: "KIND NAME",
		Action: action(showExplanation),
	}
}

func showExplanation(ctx context.Context, cmd *cli.Command, p *printer) error {
	args, err := exactArgs(cmd, 2)
	if err != nil {
		return err
	}
	s, err := openSession(cmd, p)
	if err != nil {
		return err
	}
	explanation, err := s.client.Explain(ctx, args[0], args[1])
	if err != nil {
		return err
	}
	for _, line := range explanation.Lines {
		s.printLine("%s", line)
	}
	return s.printJSON(explanation)
}
