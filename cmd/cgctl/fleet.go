package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	platformfleet "citrongauge.example/citrongauge/testbed/fleet"
)

// fleetCommand returns the command that runs a stand-in of the users' platform, on which `citrongauge entry` runs. It
// includes the upstreams and has another protocol than the platform of the command `standin platform`.
func fleetCommand() *cli.Command {
	return &cli.Command{
		Name:  "fleet",
		Usage: "run a stand-in of the users' platform and write the settings files of the entry hosts, for tests only",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "store", Value: "127.0.0.1:7600", Usage: "`ADDRESS` of the store, IP:port"},
			&cli.IntFlag{Name: "zones", Value: 3, Usage: "`COUNT` of availability zones; one entry host each"},
			&cli.IntFlag{Name: "upstreams", Value: 2, Usage: "`COUNT` of upstreams in each zone"},
			&cli.DurationFlag{Name: "task", Value: 500 * time.Millisecond, Usage: "`DURATION` of each task"},
			&cli.StringFlag{Name: "key", Value: "demo-key", Usage: "`KEY` of the only team"},
			&cli.IntFlag{Name: "base-port", Value: 7610, Usage: "first `PORT` of the entry hosts; each uses three ports"},
			&cli.StringFlag{Name: "dir", Required: true, Usage: "`DIRECTORY` for the settings files host1.toml, host2.toml and so on"},
		},
		Action: runFleet,
	}
}

func runFleet(_ context.Context, command *cli.Command) error {
	f, err := platformfleet.New(platformfleet.Options{
		Zones: command.Int("zones"), UpstreamsPerZone: command.Int("upstreams"), TaskDuration: command.Duration("task"),
		TeamKey: command.String("key"), StoreListenAddress: command.String("store"),
	})
	if err != nil {
		return err
	}
	defer f.Close()
	for z := range command.Int("zones") {
		port := command.Int("base-port") + 3*z
		callers := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		readiness := net.JoinHostPort("127.0.0.1", strconv.Itoa(port+1))
		text := f.Settings(fmt.Sprintf("edge-%d", z+1), platformfleet.ZoneName(z), callers, readiness, port+2)
		path := filepath.Join(command.String("dir"), fmt.Sprintf("host%d.toml", z+1))
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return errors.Wrap(err, "write settings file")
		}
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	return nil
}
