package main

import (
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"time"

	"citrongauge.example/citrongauge/testbed/capacity"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// capacityCommand returns the capacity command, which scripts/capacity runs.
func capacityCommand() *cli.Command {
	sizeFlags := []cli.Flag{
		&cli.IntFlag{Name: "upstreams", Required: true, Usage: "`COUNT` of upstream hosts"},
		&cli.IntFlag{Name: "pools", Required: true, Usage: "`COUNT` of pools"},
		&cli.IntFlag{Name: "teams", Required: true, Usage: "`COUNT` of teams"},
		&cli.IntFlag{Name: "zones", Required: true, Usage: "`COUNT` of availability zones"},
	}
	return &cli.Command{
		Name: "capacity", Usage: "measure the control-plane overhead of a fleet of a given size, FOR TESTS ONLY",
		Commands: []*cli.Command{
			{
				Name: "bundle", Usage: "generate a bundle of a given size",
				Flags: append([]cli.Flag{
					&cli.StringFlag{Name: "address", Value: "127.0.0.1", Usage: "`IP` of the upstream hosts"},
					&cli.IntFlag{Name: "base-port", Value: 20000, Usage: "`PORT` of the first upstream host; each zone uses a block of 200 ports"},
					&cli.StringFlag{Name: "out", Required: true, Usage: "`FILE` for the bundle"},
					&cli.StringFlag{Name: "keys-out", Required: true, Usage: "`FILE` for the team keys"},
				}, sizeFlags...),
				Action: action(writeCapacityBundle),
			},
			{
				Name: "sample", Usage: "measure running daemons and append the result to a file",
				Flags: append([]cli.Flag{
					&cli.StringFlag{Name: "daemons", Required: true, Usage: "`FILE` with the daemons in JSON"},
					&cli.StringFlag{Name: "platform", Required: true, Usage: "`IP:PORT` of the platform stand-in"},
					&cli.DurationFlag{Name: "duration", Value: 20 * time.Second, Usage: "measurement `TIME`"},
					&cli.DurationFlag{Name: "rollout-every", Usage: "roll out a new bundle version every `TIME`"},
					&cli.FloatFlag{Name: "requests", Usage: "`RATE` in requests per second, summed over all entry hosts"},
					&cli.DurationFlag{Name: "run-time", Value: 20 * time.Millisecond, Usage: "run `TIME` of each request"},
					&cli.StringFlag{Name: "keys", Usage: "`FILE` with the team keys"},
					&cli.StringFlag{Name: "out", Required: true, Usage: "`FILE` that the result is appended to"},
				}, sizeFlags...),
				Action: action(sampleCapacity),
			},
			{
				Name: "fit", Usage: "fit straight lines to samples and print a report", ArgsUsage: "FILE...",
				Action: action(fitCapacity),
			},
		},
	}
}

func capacitySize(cmd *cli.Command) capacity.Size {
	return capacity.Size{Upstreams: cmd.Int("upstreams"), Pools: cmd.Int("pools"), Teams: cmd.Int("teams"), Zones: cmd.Int("zones")}
}

func writeCapacityBundle(_ context.Context, cmd *cli.Command, p *printer) error {
	address, err := netip.ParseAddr(cmd.String("address"))
	if err != nil {
		return usageError{"--address must be an IP address"}
	}
	b, keys, err := capacity.NewBundle(capacitySize(cmd), address, cmd.Int("base-port"))
	if err != nil {
		return err
	}
	encoded, err := json.Marshal(keys)
	if err != nil {
		return errors.Wrap(err, "encode team keys")
	}
	if err := writeNewFile(cmd.String("keys-out"), string(encoded)+"\n"); err != nil {
		return err
	}
	if err := writeNewFile(cmd.String("out"), string(b.Canonical())); err != nil {
		return err
	}
	p.printLine("%s", cmd.String("out"))
	return p.printJSON(map[string]string{"file": cmd.String("out")})
}

func sampleCapacity(ctx context.Context, cmd *cli.Command, p *printer) error {
	s, err := openSession(cmd, p)
	if err != nil {
		return err
	}
	sampler := &capacity.Sampler{
		Size: capacitySize(cmd), PlatformAddress: cmd.String("platform"), Admin: s.client, WindowDuration: cmd.Duration("duration"),
	}
	if err := readJSON(cmd.String("daemons"), &sampler.Hosts); err != nil {
		return err
	}
	sampler.Size.EntryHosts = len(sampler.Hosts)
	var w *capacity.Window
	switch {
	case cmd.Duration("rollout-every") > 0:
		w, err = sampler.SampleRollouts(ctx, s.operator, s.key, cmd.Duration("rollout-every"))
	case cmd.Float("requests") > 0:
		var keys map[string]string
		if err := readJSON(cmd.String("keys"), &keys); err != nil {
			return err
		}
		w, err = sampler.SampleRequests(ctx, keys, cmd.Float("requests"), cmd.Duration("run-time"))
	default:
		w, err = sampler.Sample(ctx)
	}
	if err != nil {
		return err
	}
	p.printLine("%s", w.Summary())
	return appendJSON(cmd.String("out"), w)
}

func fitCapacity(_ context.Context, cmd *cli.Command, p *printer) error {
	if cmd.Args().Len() == 0 {
		return usageError{"expected arguments: FILE..."}
	}
	var windows []capacity.Window
	for _, file := range cmd.Args().Slice() {
		fileWindows, err := readWindows(file)
		if err != nil {
			return err
		}
		windows = append(windows, fileWindows...)
	}
	report, err := capacity.NewReport(windows)
	if err != nil {
		return err
	}
	p.printLine("%s", report.Markdown())
	return p.printJSON(report)
}

func readJSON(file string, target any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read")
	}
	if err := json.Unmarshal(data, target); err != nil {
		return errors.Wrap(err, file)
	}
	return nil
}

func appendJSON(file string, value any) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o644)
	if err != nil {
		return errors.Wrap(err, "open results file")
	}
	if err := json.NewEncoder(f).Encode(value); err != nil {
		_ = f.Close()
		return errors.Wrap(err, "write results file")
	}
	if err := f.Close(); err != nil {
		return errors.Wrap(err, "write results file")
	}
	return nil
}

func readWindows(file string) ([]capacity.Window, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "open results file")
	}
	defer func() { _ = f.Close() }()
	var windows []capacity.Window
	for decoder := json.NewDecoder(f); decoder.More(); {
		var w capacity.Window
		if err := decoder.Decode(&w); err != nil {
			return nil, errors.Wrap(err, file)
		}
		windows = append(windows, w)
	}
	return windows, nil
}
