package main

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"citrongauge.example/citrongauge/testbed/standin"
	"citrongauge.example/citrongauge/upstream"
)

// standinShutdown is the time that running requests have after a signal.
const standinShutdown = 2 * time.Second

// standinCommand returns the command that runs stand-ins for tests.
func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run stand-ins of the platform and of upstreams, FOR TESTS ONLY",
		Commands: []*cli.Command{
			{
				Name:   "platform",
				Usage:  "run a stand-in of the platform's store and host list, for tests only",
				Flags:  []cli.Flag{listenFlag("127.0.0.1:7400")},
				Action: runStandinPlatform,
			},
			{
				Name:  "upstream",
				Usage: "run a stand-in of an upstream, for tests only",
				Flags: append(upstreamFlags(), listenFlag("127.0.0.1:7500"),
					&cli.StringFlag{Name: "id", Value: "u1", Usage: "host ID"}),
				Action: runStandinUpstream,
			},
			{
				Name:  "upstreams",
				Usage: "run many stand-ins of upstreams in one process, for tests only",
				Flags: append(upstreamFlags(),
					&cli.StringFlag{Name: "listen-base", Value: "127.0.0.1:7500", Usage: "address of the first, IP:port; the others use the next ports"},
					&cli.IntFlag{Name: "count", Value: 1, Usage: "number of upstreams"},
					&cli.StringFlag{Name: "id-prefix", Value: "u", Usage: "host IDs are this and a number from 1"}),
				Action: runStandinUpstreams,
			},
			fleetCommand(),
		},
	}
}

func listenFlag(address string) cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: address, Usage: "address, IP:port"}
}

func upstreamFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "zone", Value: "a", Usage: "availability zone"},
		&cli.StringFlag{Name: "rack", Value: "r1", Usage: "rack"},
		&cli.IntFlag{Name: "slots", Value: 8, Usage: "slots"},
		&cli.IntFlag{Name: "cpus", Value: 16, Usage: "processors"},
		&cli.IntFlag{Name: "memory-mb", Value: 65536, Usage: "memory in MB"},
		&cli.IntFlag{Name: "accelerators", Usage: "accelerators"},
		&cli.IntFlag{Name: "connections", Value: 64, Usage: "connections that are accepted, 0 for no limit"},
		&cli.DurationFlag{Name: "usage-lag", Value: time.Second, Usage: "lag of the usage reports"},
	}
}

// served is a stand-in with its listener.
type served struct {
	name        string
	handler     http.Handler
	listener    net.Listener
	connections int
}

func runStandinPlatform(ctx context.Context, command *cli.Command) error {
	listener, err := net.Listen("tcp", command.String("listen"))
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	return serveStandins(ctx, []served{{name: "platform", handler: standin.NewPlatform(), listener: listener}})
}

func runStandinUpstream(ctx context.Context, command *cli.Command) error {
	s, err := listenUpstream(command, command.String("id"), command.String("listen"))
	if err != nil {
		return err
	}
	return serveStandins(ctx, []served{s})
}

func runStandinUpstreams(ctx context.Context, command *cli.Command) error {
	base, err := netip.ParseAddrPort(command.String("listen-base"))
	if err != nil {
		return errors.Wrap(err, "listen-base")
	}
	count := int(command.Int("count"))
	if count < 1 || int(base.Port())+count-1 > 65535 {
		return errors.Errorf("count %d: the ports end at 65535", count)
	}
	var all []served
	for i := range count {
		address := netip.AddrPortFrom(base.Addr(), base.Port()+uint16(i))
		s, err := listenUpstream(command, command.String("id-prefix")+strconv.Itoa(i+1), address.String())
		if err != nil {
			return err
		}
		all = append(all, s)
	}
	return serveStandins(ctx, all)
}

func listenUpstream(command *cli.Command, id, address string) (served, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return served{}, errors.Wrap(err, "listen")
	}
	config := standin.UpstreamConfig{
		ID:   id,
		Zone: command.String("zone"),
		Rack: command.String("rack"),
		Capacity: upstream.Size{
			Slots:        int(command.Int("slots")),
			CPUs:         int(command.Int("cpus")),
			MemoryMB:     int(command.Int("memory-mb")),
			Accelerators: int(command.Int("accelerators")),
		},
		Connections: int(command.Int("connections")),
		UsageLag:    command.Duration("usage-lag"),
	}
	return served{id, standin.NewUpstream(config), listener, config.Connections}, nil
}

// serveStandins serves until SIGTERM or SIGINT.
func serveStandins(ctx context.Context, all []served) error {
	logger := log.NewWithOptions(os.Stderr, log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true})
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	for _, s := range all {
		server := standin.NewServer(ctx, s.handler, s.connections)
		logger.Info("stand-in for tests is listening", "standin", s.name, "address", s.listener.Addr())
		group.Go(func() error {
			if err := server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
				return errors.Wrapf(err, "serve %s", s.name)
			}
			return nil
		})
		group.Go(func() error {
			<-ctx.Done()
			return shutDownStandin(server)
		})
	}
	err := group.Wait()
	logger.Info("stand-ins stopped", "error", err)
	return err
}

// shutDownStandin waits for running requests up to standinShutdown and closes what is left.
func shutDownStandin(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), standinShutdown)
	defer cancel()
	if server.Shutdown(ctx) == nil {
		return nil
	}
	if err := server.Close(); err != nil {
		return errors.Wrap(err, "close")
	}
	return nil
}
