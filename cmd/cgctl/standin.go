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

// standinShutdownTimeout is the time that running requests have to complete after a termination signal.
const standinShutdownTimeout = 2 * time.Second

// standinCommand returns the standin command, which runs test stand-ins.
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
					&cli.StringFlag{Name: "listen-base", Value: "127.0.0.1:7500", Usage: "address of the first upstream, IP:port; the others use the following ports"},
					&cli.IntFlag{Name: "count", Value: 1, Usage: "number of upstreams"},
					&cli.StringFlag{Name: "id-prefix", Value: "u", Usage: "prefix of the host IDs, to which a number from 1 is appended"}),
				Action: runStandinUpstreams,
			},
			fleetCommand(),
		},
	}
}

func listenFlag(address string) cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: address, Usage: "listen address, IP:port"}
}

func upstreamFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "zone", Value: "a", Usage: "availability zone"},
		&cli.StringFlag{Name: "rack", Value: "r1", Usage: "rack"},
		&cli.IntFlag{Name: "slots", Value: 8, Usage: "slots"},
		&cli.IntFlag{Name: "cpus", Value: 16, Usage: "processors"},
		&cli.IntFlag{Name: "memory-mb", Value: 65536, Usage: "memory in MB"},
		&cli.IntFlag{Name: "accelerators", Usage: "accelerators"},
		&cli.IntFlag{Name: "connections", Value: 64, Usage: "maximum number of connections, 0 for no limit"},
		&cli.DurationFlag{Name: "usage-lag", Value: time.Second, Usage: "age of the usage that is reported"},
	}
}

// listeningStandin is a stand-in with its open listener.
type listeningStandin struct {
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
	return serveStandins(ctx, []listeningStandin{{name: "platform", handler: standin.NewPlatform(), listener: listener}})
}

func runStandinUpstream(ctx context.Context, command *cli.Command) error {
	s, err := listenUpstream(command, command.String("id"), command.String("listen"))
	if err != nil {
		return err
	}
	return serveStandins(ctx, []listeningStandin{s})
}

func runStandinUpstreams(ctx context.Context, command *cli.Command) error {
	base, err := netip.ParseAddrPort(command.String("listen-base"))
	if err != nil {
		return errors.Wrap(err, "listen-base")
	}
	count := int(command.Int("count"))
	if count < 1 || int(base.Port())+count-1 > 65535 {
		return errors.Errorf("count %d: must be at least 1, and the last port at most 65535", count)
	}
	var standins []listeningStandin
	for i := range count {
		address := netip.AddrPortFrom(base.Addr(), base.Port()+uint16(i))
		s, err := listenUpstream(command, command.String("id-prefix")+strconv.Itoa(i+1), address.String())
		if err != nil {
			return err
		}
		standins = append(standins, s)
	}
	return serveStandins(ctx, standins)
}

func listenUpstream(command *cli.Command, id, address string) (listeningStandin, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return listeningStandin{}, errors.Wrap(err, "listen")
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
	return listeningStandin{id, standin.NewUpstream(config), listener, config.Connections}, nil
}

// serveStandins serves all stand-ins until SIGTERM, SIGINT or the first server error.
func serveStandins(ctx context.Context, standins []listeningStandin) error {
	logger := log.NewWithOptions(os.Stderr, log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true})
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	for _, s := range standins {
		server := standin.NewServer(ctx, s.handler, s.connections)
		logger.Info("test stand-in listening", "standin", s.name, "address", s.listener.Addr())
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
	logger.Info("test stand-ins stopped", "error", err)
	return err
}

// shutDownStandin waits up to standinShutdownTimeout for running requests, then closes the remaining connections.
func shutDownStandin(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), standinShutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) == nil {
		return nil
	}
	if err := server.Close(); err != nil {
		return errors.Wrap(err, "close")
	}
	return nil
}
