package daemon

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"citrongauge.example/citrongauge/api"
	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/intake"
	"citrongauge.example/citrongauge/peer"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/result"
	"citrongauge.example/citrongauge/routing"
	"citrongauge.example/citrongauge/upstream"
)

// Version is the version of this program.
const Version = "0.1.0"

const closeTimeout = 5 * time.Second

// Daemon is the process that runs on an entry host.
type Daemon struct {
	settings     Settings
	secret       []byte
	operators    map[string]ed25519.PublicKey
	log          *log.Logger
	metrics      *metrics
	store        platform.Store
	hostList     platform.HostList
	node         *peer.Node
	routingTable *routing.Table
	retryBudget  *routing.RetryBudget
	inc          atomic.Pointer[incarnation] // the current one; see replaceIncarnation
	ctx          context.Context
	draining     atomic.Bool
	lastVerified atomic.Pointer[verifiedBundle]
	intakeLog    intake.LogLimit

	transport http.RoundTripper
	clientsMu sync.Mutex
	clients   map[string]upstream.Client // by address
}

// New returns a daemon that logs to w. Run starts it.
func New(settings Settings, w io.Writer) (*Daemon, error) {
	secret, err := settings.ReadSecret()
	if err != nil {
		return nil, err
	}
	operators, err := settings.OperatorKeys()
	if err != nil {
		return nil, err
	}
	level, err := log.ParseLevel(settings.LogLevel)
	if err != nil {
		return nil, result.Errorf(result.SettingsInvalid, "log_level: %v", err)
	}
	logger := log.NewWithOptions(w, log.Options{
		Level: level, Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: time.RFC3339Nano,
	})
	logger = logger.With("zone", settings.Zone)
	store := platform.NewHTTPClient(settings.Platform, settings.Zone)
	d := &Daemon{
		settings: settings, secret: secret, operators: operators, log: logger, metrics: newMetrics(),
		store: store, hostList: store,
		routingTable: routing.New(settings.Zone, uint64(time.Now().UnixNano())),
		retryBudget:  &routing.RetryBudget{}, transport: upstream.NewTransport(), clients: make(map[string]upstream.Client),
	}
	return d, nil
}

// Run serves until ctx ends and then shuts down gracefully: it stops accepting requests, waits for the accepted ones
// to finish, and leaves the roster. It stops waiting when force ends.
func (d *Daemon) Run(ctx, force context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	d.ctx = background
	d.node = peer.New(background, peer.Options{
		Identity: d.identity, Secret: d.secret, Handler: d, Log: d.log.With("component", "peer"), Registerer: d.metrics.registry,
	})
	inc, err := d.newIncarnation(background)
	if err != nil {
		return err
	}
	d.inc.Store(inc)
	serveErrs := make(chan error, 2)
	callers, peers := d.settings.intakeLimits()
	publicServer, err := d.startServer(callersListener, d.settings.Listen, callers, intake.Answering(d.routes()), serveErrs)
	if err != nil {
		return err
	}
	defer closeServer(publicServer)
	peerServer, err := d.startServer(peersListener, d.settings.PeerListen, peers, intake.WithoutBodies(d.peerRoutes()), serveErrs)
	if err != nil {
		return err
	}
	defer closeServer(peerServer)
	inc.start()
	d.log.Info("started", "component", "daemon", "host", inc.self.ID, "listen", d.settings.Listen, "peer_listen", d.settings.PeerListen)
	select {
	case <-ctx.Done():
	case err := <-serveErrs:
		return err
	}
	d.shutdown(force)
	return nil
}

func (d *Daemon) shutdown(force context.Context) {
	d.draining.Store(true)
	d.log.Info("shutting down", "component", "daemon", "limit_ms", d.settings.ShutdownTimeoutMS)
	ctx, cancel := context.WithTimeout(force, time.Duration(d.settings.ShutdownTimeoutMS)*time.Millisecond)
	defer cancel()
	d.inc.Load().leave(ctx)
	if ctx.Err() != nil {
		d.log.Warn("shutdown cut short", "component", "daemon")
	}
	d.log.Info("stopped", "component", "daemon")
}

// replaceIncarnation replaces an incarnation that is neither in the roster nor on the departed list any more with a new
// one. While the host is on the departed list, it can still rejoin under its old ID.
func (d *Daemon) replaceIncarnation(old *incarnation) {
	if d.draining.Load() {
		return
	}
	next, err := d.newIncarnation(d.ctx)
	if err != nil {
		d.log.Error("creating a new incarnation failed", "component", "daemon", "err", err)
		return
	}
	d.inc.Store(next)
	d.node.CloseConnections()
	old.stop()
	next.start()
	d.log.Info("joining again", "component", "daemon", "host", next.self.ID, "before", old.self.ID)
}

func (d *Daemon) identity() peer.Identity {
	self := d.inc.Load().self
	return peer.Identity{ID: self.ID, Zone: self.Zone, Address: self.Address}
}

func (d *Daemon) startServer(name, address string, limits intake.Limits, handler http.Handler, serveErrs chan<- error) (*http.Server, error) {
	listener, err := intake.Listen(address, name, limits, d)
	if err != nil {
		return nil, err
	}
	server := intake.NewServer(handler)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			serveErrs <- errors.Wrap(err, address)
		}
	}()
	return server, nil
}

func closeServer(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if s.Shutdown(ctx) != nil {
		_ = s.Close()
	}
}

func (d *Daemon) peerRoutes() http.Handler {
	router := mux.NewRouter()
	router.Handle(peer.Path, intake.Hijacking(d.node))
	return router
}

func (d *Daemon) routes() http.Handler {
	router := mux.NewRouter()
	api.Register(router, d, d.settings.MaxRequestBytes)
	d.registerAdmin(router)
	router.Handle("/metrics", promhttp.HandlerFor(d.metrics.registry, promhttp.HandlerOpts{}))
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	router.HandleFunc("/readyz", d.handleReady)
	router.HandleFunc("/version", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, Version+"\n") })
	return router
}

// handleReady serves the readiness check of the load balancer. The host is ready when it has a bundle, has permission
// to start work and is not shutting down.
func (d *Daemon) handleReady(w http.ResponseWriter, _ *http.Request) {
	if d.draining.Load() {
		http.Error(w, "shutting down", http.StatusServiceUnavailable)
		return
	}
	_, permission := d.inc.Load().currentState()
	if !permission.OK {
		http.Error(w, permission.Reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, string(permission.Mode)+"\n")
}

// verifySigned verifies a signed bundle and indexes it. The last result is cached: each rollout verifies the same
// bundle several times, and for a large fleet each verification takes milliseconds.
func (d *Daemon) verifySigned(signed []byte) (*bundle.Index, error) {
	digest := sha256.Sum256(signed)
	if last := d.lastVerified.Load(); last != nil && last.digest == digest {
		return last.index, nil
	}
	b, err := bundle.VerifySigned(signed, d.operators)
	if err != nil {
		return nil, err
	}
	index := bundle.NewIndex(b)
	d.lastVerified.Store(&verifiedBundle{digest: digest, index: index})
	return index, nil
}

// verifiedBundle is a bundle whose signature was verified, with the SHA-256 digest of its signed form.
type verifiedBundle struct {
	digest [sha256.Size]byte
	index  *bundle.Index
}

// verifyBundle checks a bundle for the control core. Its version and digest must be those of the control record.
func (d *Daemon) verifyBundle(version uint64, digest [32]byte, signed []byte) (control.BundleInfo, error) {
	index, err := d.verifySigned(signed)
	if err != nil {
		return control.BundleInfo{}, err
	}
	if index.Bundle.Version != version || index.Digest != digest {
		return control.BundleInfo{}, result.Errorf(result.DigestMismatch, "bundle %d", version)
	}
	return control.BundleInfo{ServeFor: time.Duration(index.Bundle.Isolation.ServeForMS) * time.Millisecond}, nil
}

// upstreamClient returns the client for an upstream address and creates it on first use. The host ID is ignored; it is
// a parameter only because dispatch.Config.Client has it.
func (d *Daemon) upstreamClient(_, address string) upstream.Client {
	d.clientsMu.Lock()
	defer d.clientsMu.Unlock()
	client, ok := d.clients[address]
	if !ok {
		client = upstream.NewHTTPClient(address, d.transport)
		d.clients[address] = client
	}
	return client
}
