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

// maxNewHosts is the maximum number of upstream hosts in a generated bundle.
const maxNewHosts = 1000

// hostsPerRack is the number of upstream hosts in each rack of a generated bundle.
const hostsPerRack = 4

// templateData is the input of newBundleTemplate.
type templateData struct {
	Author string
	Zones  []string
	Hosts  []templateHost
	Pools  []templatePool
	Teams  []templateTeam
}

type templateHost struct{ ID, Address, Zone, Rack string }

type templatePool struct {
	Name, Hosts    string
	MaxUnavailable int
}

type templateTeam struct {
	Name       string
	Share, Cap int
	Hash       string
}

func newBundleCommand() *cli.Command {
	return &cli.Command{
		Name: "new", Usage: "generate a commented initial bundle",
		Description: "Upstream N, counted from 0 zone by zone, has the address ADDRESS:(base-port + N).",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "zones", Value: 3, Usage: "`COUNT` of availability zones"},
			&cli.IntFlag{Name: "upstreams", Value: 4, Usage: "`COUNT` of upstream hosts in each zone"},
			&cli.StringFlag{Name: "address", Value: "127.0.0.1", Usage: "`IP` of the upstream hosts"},
			&cli.IntFlag{Name: "base-port", Value: 7100, Usage: "`PORT` of the first upstream host"},
			&cli.IntFlag{Name: "teams", Value: 2, Usage: "`COUNT` of teams"},
			&cli.StringFlag{Name: "author", Value: "operator", Usage: "`NAME` of the author"},
			&cli.StringFlag{Name: "keys-out", Usage: "generate a key for each team and write the keys to `FILE`"},
			&cli.StringFlag{Name: "out", Usage: "`FILE` for the bundle (default: standard output)"},
		},
		Action: action(writeNewBundle),
	}
}

func writeNewBundle(_ context.Context, cmd *cli.Command, p *printer) error {
	data, keys, err := newTemplateData(cmd)
	if err != nil {
		return err
	}
	var text strings.Builder
	if err := newBundleTemplate.Execute(&text, data); err != nil {
		return errors.Wrap(err, "execute the bundle template")
	}
	if _, problems := bundle.Parse("new bundle", []byte(text.String())); len(problems) > 0 {
		return problems
	}
	if file := cmd.String("keys-out"); file != "" {
		encoded, err := json.MarshalIndent(keys, "", "  ")
		if err != nil {
			return errors.Wrap(err, "encode team keys")
		}
		if err := writeNewFile(file, string(encoded)+"\n"); err != nil {
			return err
		}
	}
	if file := cmd.String("out"); file != "" {
		if err := writeNewFile(file, text.String()); err != nil {
			return err
		}
		p.printLine("%s", file)
		return p.printJSON(map[string]string{"file": file})
	}
	p.printLine("%s", strings.TrimSuffix(text.String(), "\n"))
	return p.printJSON(map[string]string{"text": text.String()})
}

// newTemplateData returns the template input for the flags of cmd, and the team keys by team name.
func newTemplateData(cmd *cli.Command) (*templateData, map[string]string, error) {
	zones, upstreams, teams := cmd.Int("zones"), cmd.Int("upstreams"), cmd.Int("teams")
	if zones < 1 || upstreams < 1 || teams < 1 || zones > maxNewHosts || upstreams > maxNewHosts || zones*upstreams > maxNewHosts || teams > 1000 {
		return nil, nil, usageError{fmt.Sprintf("--zones, --upstreams and --teams must be at least 1, with at most %d upstreams and 1000 teams", maxNewHosts)}
	}
	address, err := netip.ParseAddr(cmd.String("address"))
	if err != nil {
		return nil, nil, usageError{"--address must be an IP address"}
	}
	data := &templateData{Author: cmd.String("author")}
	var ids []string
	for n := range zones * upstreams {
		zone := fmt.Sprintf("zone-%d", n/upstreams+1)
		if n%upstreams == 0 {
			data.Zones = append(data.Zones, zone)
		}
		port := cmd.Int("base-port") + n
		if port < 1 || port > 65535 {
			return nil, nil, usageError{"--base-port must keep the ports of all upstreams between 1 and 65535"}
		}
		host := templateHost{ID: fmt.Sprintf("u-%03d", n), Address: netip.AddrPortFrom(address, uint16(port)).String(), Zone: zone,
			Rack: fmt.Sprintf("%s-rack-%d", zone, n%upstreams/hostsPerRack+1)}
		data.Hosts = append(data.Hosts, host)
		ids = append(ids, host.ID)
	}
	data.Pools = newPools(ids)
	keys := map[string]string{}
	data.Teams = newTeams(teams, len(ids), cmd.String("keys-out") != "", keys)
	return data, keys, nil
}

// newPools assigns the hosts to the pools in a repeating order, so that each pool spans the zones. One host in five
// goes to the spare pool.
func newPools(ids []string) []templatePool {
	names := []string{"main", "batch", "spare"}
	poolOrder := []int{0, 1, 0, 1, 2}
	hosts := make([][]string, len(names))
	for i, id := range ids {
		pool := poolOrder[i%len(poolOrder)]
		hosts[pool] = append(hosts[pool], fmt.Sprintf("%q", id))
	}
	var pools []templatePool
	for i, name := range names {
		if size := len(hosts[i]); size > 0 {
			pools = append(pools, templatePool{Name: name, Hosts: strings.Join(hosts[i], ", "), MaxUnavailable: min(size-1, max(size/4, 1))})
		}
	}
	return pools
}

// newTeams returns teams with equal shares, each with a cap of all slots. If withKeys is set, it generates a key for each
// team and adds it to keys, by team name.
func newTeams(count, hosts int, withKeys bool, keys map[string]string) []templateTeam {
	const slotsPerHost, totalShares = 8, 1000
	var teams []templateTeam
	for i := range count {
		team := templateTeam{Name: fmt.Sprintf("team-%d", i+1), Share: totalShares / count, Cap: hosts * slotsPerHost}
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
