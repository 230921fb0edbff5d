package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"text/template"

	"citrongauge.example/citrongauge/bundle"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

//go:embed newbundle.tmpl
var newBundleText string

var newBundleTemplate = template.Must(template.New("bundle").Parse(newBundleText))

// maxNewHosts bounds the hosts of a new bundle.
const maxNewHosts = 1000

// hostsPerRack is the number of upstream hosts in a rack of a new bundle.
const hostsPerRack = 4

// newBundle holds the values of the template.
type newBundle struct {
	Author string
	Zones  []string
	Hosts  []newHost
	Pools  []newPool
	Teams  []newTeam
}

type newHost struct{ ID, Address, Zone, Rack string }

type newPool struct {
	Name, Hosts    string
	MaxUnavailable int
}

type newTeam struct {
	Name       string
	Share, Cap int
	Hash       string
}

func newBundleCommand() *cli.Command {
	return &cli.Command{
		Name: "new", Usage: "write a commented bundle to start from",
		Description: "Upstream N, counted from 0 zone by zone, has the address ADDRESS:(base-port + N).",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "zones", Value: 3, Usage: "`COUNT` of availability zones"},
			&cli.IntFlag{Name: "upstreams", Value: 4, Usage: "`COUNT` of upstream hosts in each zone"},
			&cli.StringFlag{Name: "address", Value: "127.0.0.1", Usage: "`IP` of the upstream hosts"},
			&cli.IntFlag{Name: "base-port", Value: 7100, Usage: "`PORT` of the first upstream host"},
			&cli.IntFlag{Name: "teams", Value: 2, Usage: "`COUNT` of teams"},
			&cli.StringFlag{Name: "author", Value: "operator", Usage: "`NAME` of the author"},
			&cli.StringFlag{Name: "keys-out", Usage: "make a key for each team and write them to `FILE`"},
			&cli.StringFlag{Name: "out", Usage: "`FILE` for the bundle (default: standard output)"},
		},
		Action: action(writeNewBundle),
	}
}

func writeNewBundle(_ context.Context, cmd *cli.Command, p *printer) error {
	values, keys, err := newBundleValues(cmd)
	if err != nil {
		return err
	}
	var text strings.Builder
	if err := newBundleTemplate.Execute(&text, values); err != nil {
		return errors.Wrap(err, "write the bundle")
	}
	if _, problems := bundle.Parse("new bundle", []byte(text.String())); len(problems) > 0 {
		return problems
	}
	if file := cmd.String("keys-out"); file != "" {
		list, err := json.MarshalIndent(keys, "", "  ")
		if err != nil {
			return errors.Wrap(err, "write the keys")
		}
		if err := writeNew(file, string(list)+"\n"); err != nil {
			return err
		}
	}
	if file := cmd.String("out"); file != "" {
		if err := writeNew(file, text.String()); err != nil {
			return err
		}
		p.line("%s", file)
		return p.object(map[string]string{"file": file})
	}
	p.line("%s", strings.TrimSuffix(text.String(), "\n"))
	return p.object(map[string]string{"text": text.String()})
}

// newBundleValues returns the values of the template and the keys of the teams by name.
func newBundleValues(cmd *cli.Command) (*newBundle, map[string]string, error) {
	zones, upstreams, teams := cmd.Int("zones"), cmd.Int("upstreams"), cmd.Int("teams")
	if zones < 1 || upstreams < 1 || teams < 1 || zones > maxNewHosts || upstreams > maxNewHosts || zones*upstreams > maxNewHosts || teams > 1000 {
		return nil, nil, usageError{fmt.Sprintf("--zones, --upstreams and --teams must be at least 1, with at most %d upstreams and 1000 teams", maxNewHosts)}
	}
	address, err := netip.ParseAddr(cmd.String("address"))
	if err != nil {
		return nil, nil, usageError{"--address must be an IP address"}
	}
	values := &newBundle{Author: cmd.String("author")}
	var ids []string
	for n := range zones * upstreams {
		zone := fmt.Sprintf("zone-%d", n/upstreams+1)
		if n%upstreams == 0 {
			values.Zones = append(values.Zones, zone)
		}
		port := cmd.Int("base-port") + n
		if port < 1 || port > 65535 {
			return nil, nil, usageError{"--base-port leaves no room for all upstreams"}
		}
		host := newHost{ID: fmt.Sprintf("u-%03d", n), Address: netip.AddrPortFrom(address, uint16(port)).String(), Zone: zone,
			Rack: fmt.Sprintf("%s-rack-%d", zone, n%upstreams/hostsPerRack+1)}
		values.Hosts = append(values.Hosts, host)
		ids = append(ids, host.ID)
	}
	values.Pools = newPools(ids)
	keys := map[string]string{}
	values.Teams = newTeams(teams, len(ids), cmd.String("keys-out") != "", keys)
	return values, keys, nil
}

// newPools deals the hosts out in turn, so that the pools span the zones. The spare pool gets a fifth.
func newPools(ids []string) []newPool {
	names := []string{"main", "batch", "spare"}
	turns := []int{0, 1, 0, 1, 2}
	hosts := make([][]string, len(names))
	for i, id := range ids {
		turn := turns[i%len(turns)]
		hosts[turn] = append(hosts[turn], fmt.Sprintf("%q", id))
	}
	var pools []newPool
	for i, name := range names {
		if size := len(hosts[i]); size > 0 {
			pools = append(pools, newPool{Name: name, Hosts: strings.Join(hosts[i], ", "), MaxUnavailable: min(size-1, max(size/4, 1))})
		}
	}
	return pools
}

func newTeams(count, hosts int, withKeys bool, keys map[string]string) []newTeam {
	const slotsPerHost, totalShares = 8, 1000
	var teams []newTeam
	for i := range count {
		team := newTeam{Name: fmt.Sprintf("team-%d", i+1), Share: totalShares / count, Cap: hosts * slotsPerHost}
		if i < totalShares%count {
			team.Share++
		}
		if withKeys {
			keys[team.Name], team.Hash = bundle.NewTeamKey()
		}
		teams = append(teams, team)
	}
	return teams
}
