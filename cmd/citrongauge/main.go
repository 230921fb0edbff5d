// Command citrongauge is the daemon that runs on every entry host.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"citrongauge.example/citrongauge/daemon"
	"citrongauge.example/citrongauge/entry"
	"citrongauge.example/citrongauge/platform"
)

func main() {
	command := &cli.Command{
		Name:    "citrongauge",
		Usage:   "entry host daemon of the fleet capacity and maintenance manager",
		Version: daemon.Version,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`, JSON with comments"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings, print them with defaults, and exit"},
		},
		EnableShellCompletion: true,
		Action:                run,
		Commands: []*cli.Command{{
			Name:  "entry",
			Usage: "run as an entry host on the platform; the settings file is the platform's",
			Flags: []cli.Flag{
				&cli.StringFlag{
					Name: "settings", Usage: "the platform's settings `FILE`", Sources: cli.EnvVars(platform.SettingsVariable),
					Required: true,
				},
				&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
			},
			Action: runEntry,
		}},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "citrongauge:", err)
		os.Exit(1)
	}
}

// runEntry runs the daemon on the platform. The platform sends SIGHUP when the settings file has changed.
func runEntry(_ context.Context, command *cli.Command) error {
	settings, err := platform.LoadSettings(command.String("settings"))
	if err != nil || command.Bool("check") {
		return err
	}
	ctx, _ := shutdownContexts()
	host := entry.New(settings, os.Stdout)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go func() {
		for range reload {
			host.Reload(command.String("settings"))
		}
	}()
	return host.Run(ctx)
}

func run(_ context.Context, command *cli.Command) error {
	path := command.String("settings")
	if path == "" {
		return errors.New("--settings FILE is required")
	}
	settings, err := daemon.LoadSettings(path)
	if err != nil {
		return err
	}
	if command.Bool("check") {
		return printSettings(settings)
	}
	d, err := daemon.New(settings, os.Stderr)
	if err != nil {
		return err
	}
	ctx, force := shutdownContexts()
	return d.Run(ctx, force)
}

func printSettings(settings daemon.Settings) error {
	if _, err := settings.ReadSecret(); err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(settings)
}

// shutdownContexts returns a context that is cancelled by the first SIGTERM or SIGINT, which requests a graceful
// shutdown, and one that is cancelled by the second, which forces an immediate shutdown.
func shutdownContexts() (graceful, force context.Context) {
	graceful, stop := context.WithCancel(context.Background())
	force, stopNow := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		stop()
		<-signals
		stopNow()
	}()
	return graceful, force
}
