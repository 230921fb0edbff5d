package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"reflect"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"citrongauge.example/citrongauge/announce"
	"citrongauge.example/citrongauge/eventlog"
	"citrongauge.example/citrongauge/intake"
	"citrongauge.example/citrongauge/leases"
	"citrongauge.example/citrongauge/ledger"
	"citrongauge.example/citrongauge/operator"
	"citrongauge.example/citrongauge/owner"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/witness"
)

const (
	// memoryLimitShare is the Go runtime's memory limit as a share of the host's memory. The rest is for kernel
	// buffers, which count against the host's memory as well.
	memoryLimitShare = 0.6
	// deregistrationDelay is how long a stopping host keeps accepting connections. The load balancer probes once a
	// second and removes a host after two failed probes.
	deregistrationDelay = 2500 * time.Millisecond
	// exitReserve is the part of the grace period left for the process to exit after the shutdown of its servers.
	exitReserve = 700 * time.Millisecond
)

// Host is an entry host: it serves clients and competes for the ownership of the fleet.
type Host struct {
	settings        platform.Settings // as read at startup
	internalAddress string            // address that serves metrics, explanations and announcements
	log             *eventlog.Log
	metrics         *metrics
	operator        *operator.Follower
	owner           *owner.Owner
	server          *server
	sender          *announce.Sender
	peers           *announce.Peers // hosts that are connected to this one
	witness         *witness.Server
	draining        atomic.Bool
	ready           atomic.Bool // as of the last readiness probe
}

// New returns a host that is idle until Run is called. It writes its log to logs.
func New(settings platform.Settings, logs io.Writer) *Host {
	log := eventlog.New(logs)
	h := &Host{settings: settings, log: log, metrics: newMetrics(log.Dropped), peers: &announce.Peers{}}
	process := newProcessID()
	h.witness = witness.NewServer(process, h.metrics.observeWitness, h.logEvent)
	h.internalAddress = net.JoinHostPort(settings.Listen.IP, strconv.Itoa(settings.Listen.InternalPort))
	event := h.logEvent
	kv := platform.NewKV(settings.Store.Address, h.metrics.observePlatformCall)
	// Calls of the owner, such as renewals of the lease, must not wait behind clients' calls for a connection.
	ownerKV := platform.NewKV(settings.Store.Address, func(call string, err error) {
		h.metrics.observePlatformCall(call, err)
		h.owner.NoteStoreCall(err)
	})
	records := ledger.New(kv)
	h.operator = operator.New(kv, event)
	options := owner.Options{
		Host: settings.Host, Process: process, Address: h.internalAddress, Settings: settings,
		KV: ownerKV, Ledger: ledger.New(ownerKV), Operator: h.operator,
		Upstreams: platform.NewUpstreamClient(), Observe: h.metrics, Peers: h.peers, Log: event,
		SendToOwner: func(message announce.Message) { h.sender.Send(message) },
	}
	if settings.MachinesAddress != "" {
		options.Machines = platform.NewMachineClient(settings.MachinesAddress, h.metrics.observePlatformCall)
	}
	if settings.AdviceAddress != "" {
		options.Advice = platform.NewAdviceClient(settings.AdviceAddress, h.metrics.observePlatformCall)
	}
	h.owner = owner.New(options)
	self := announce.Identity{Host: settings.Host, Process: process, Zone: settings.Zone, Address: h.internalAddress}
	h.sender = announce.NewSender(self, h.owner.OwnerAddress, h.owner.ReleaseFor, event)
	h.server = &server{
		announce: h.announce,
		ledger:   records, operator: h.operator, metrics: h.metrics, log: event,
		draining: h.draining.Load, bundleRefreshTimeout: bundleRefreshTimeout(settings.Bounds),
		maxBundleAge: maxBundleAge(settings.Bounds),
	}
	h.metrics.showStoreSilence(h.server.storeSilence)
	return h
}

// logEvent logs an event with this host's name.
func (h *Host) logEvent(name string, fields ...any) {
	h.log.Event(name, append(fields, "host", h.settings.Host)...)
}

// announce passes a message to the owner, which may be this host.
func (h *Host) announce(message announce.Message) {
	if !h.owner.HandleAnnouncement(message, nil) {
		h.sender.Send(message)
	}
}

// newProcessID returns a random ID that tells this process from earlier ones on the same host.
func newProcessID() string {
	var id [8]byte
	if _, err := rand.Read(id[:]); err != nil {
		panic(err) // crypto/rand.Read does not fail on Linux
	}
	return hex.EncodeToString(id[:])
}

// Run serves until ctx ends, and then shuts down within the platform's grace period: it gives up the ownership, if it
// has it, and completes the calls in progress.
func (h *Host) Run(ctx context.Context) error {
	defer h.log.Close()
	limitMemory(h.settings.MemoryMB)
	h.log.Event("start", "host", h.settings.Host, "zone", h.settings.Zone, "callers", h.settings.Listen.Clients,
		"store", h.settings.Store.Address, "memory_mb", h.settings.MemoryMB)
	workCtx, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	servers, err := h.startServers()
	if err != nil {
		h.log.Error("startup failed", "error", err)
		return err
	}
	go h.operator.Run(workCtx)
	go h.sender.Run(workCtx)
	go h.server.probeStore(workCtx)
	ownerCtx, stopOwner := context.WithCancel(workCtx)
	ownerDone := make(chan struct{})
	go func() {
		defer close(ownerDone)
		h.owner.Run(ownerCtx)
	}()
	<-ctx.Done()
	h.log.Event("stop", "host", h.settings.Host, "owner", h.owner.IsOwner(), "grace_ms", h.settings.Bounds.Grace.Milliseconds())
	h.draining.Store(true)
	stopOwner()
	h.shutdown(servers)
	h.witness.Close()
	<-ownerDone
	return nil
}

// Reload reads the settings file again. New bounds apply from the next ownership on. All other settings, such as
// addresses, stay as read at startup because listeners and connections depend on them. If the file cannot be read,
// nothing changes.
func (h *Host) Reload(path string) {
	next, err := platform.LoadSettings(path)
	if err != nil {
		h.log.Error("reload", "host", h.settings.Host, "error", err, "outcome", "settings unchanged")
		return
	}
	h.owner.SetBounds(next.Bounds)
	fixed := next
	fixed.Bounds = h.settings.Bounds
	h.log.Event("reload", "host", h.settings.Host, "outcome", "new bounds apply from the next ownership", "restart_needed", !reflect.DeepEqual(fixed, h.settings))
}

func limitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(megabytes) * (1 << 20)))
	}
}

// startServers starts the HTTP servers: for clients, for readiness probes, and for internal use (metrics, explanations
// and announcements).
func (h *Host) startServers() ([]*http.Server, error) {
	readiness := mux.NewRouter()
	readiness.HandleFunc(platform.ReadinessPath, h.handleReadiness)
	internal := mux.NewRouter()
	internal.Handle("/metrics", promhttp.HandlerFor(h.metrics.registry, promhttp.HandlerOpts{}))
	internal.HandleFunc(explainPath+"{job}", h.explain)
	internal.Handle(announce.Path, intake.Hijacking(announce.Handler(h.peers, h.owner.HandleAnnouncement, h.logEvent)))
	internal.Handle(witness.Path, intake.Hijacking(h.witness))
	internal.Handle(leases.Path, intake.Hijacking(leases.Handler(h.owner.ReportLeases, h.logEvent)))
	internal.Handle(leases.OwnershipPath, intake.Hijacking(leases.Handler(h.owner.ReportOwnership, h.logEvent)))
	limits := intake.Derive(h.settings.MemoryMB, h.settings.MaxFDs)
	observer := newIntakeObserver(h.metrics.registry, h.logEvent)
	listeners := []struct {
		name    string
		address string
		handler http.Handler
		limits  intake.Limits
	}{
		{clientsListener, h.settings.Listen.Clients, h.server, limits.Clients},
		{readinessListener, h.settings.Listen.Readiness, intake.WithoutBodies(readiness), limits.Readiness},
		{internalListener, h.internalAddress, intake.WithoutBodies(internal), limits.Internal},
	}
	var servers []*http.Server
	for _, l := range listeners {
		listener, err := intake.Listen(l.address, l.name, l.limits, observer)
		if err != nil {
			return nil, err
		}
		registerIntake(h.metrics.registry, l.name, listener)
		server := intake.NewServer(l.handler)
		servers = append(servers, server)
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				h.log.Error("HTTP server failed", "address", l.address, "error", err)
			}
		}()
	}
	return servers, nil
}

// handleReadiness responds to the load balancer's readiness probe.
func (h *Host) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	r := readiness{
		draining: h.draining.Load(), hasBundle: h.operator.State().Bundle != nil,
		storeAge: h.operator.StoreAge(), silent: h.server.storeSilence(),
	}
	isReady := r.isReady()
	if h.ready.Swap(isReady) != isReady {
		h.logEvent("readiness changed", "ready", isReady, "draining", r.draining, "has_bundle", r.hasBundle,
			"store_age_ms", r.storeAge.Milliseconds(), "silent_ms", r.silent.Milliseconds())
	}
	if !isReady {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// shutdown waits until the load balancer has removed this host, then closes the listeners and waits for calls in
// progress.
func (h *Host) shutdown(servers []*http.Server) {
	deadline := time.Now().Add(h.settings.Bounds.Grace - exitReserve)
	time.Sleep(min(deregistrationDelay, h.settings.Bounds.Grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			h.log.Error("graceful shutdown of an HTTP server failed", "error", err)
		}
	}
}
