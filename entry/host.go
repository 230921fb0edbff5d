package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"citrongauge.example/citrongauge/announce"
	"citrongauge.example/citrongauge/eventlog"
	"citrongauge.example/citrongauge/ledger"
	"citrongauge.example/citrongauge/operator"
	"citrongauge.example/citrongauge/owner"
	"citrongauge.example/citrongauge/platform"
)

const (
	// memoryShare of the machine's memory is the target of the garbage collector; the rest is for buffers of the
	// kernel, which count as well.
	memoryShare = 0.6
	// rotationOut is how long a stopping host goes on accepting connections: the balancer notices after two misses of
	// its probe, one a second.
	rotationOut = 2500 * time.Millisecond
	// stopReserve is the end of the grace period that is kept for the exit.
	stopReserve = 700 * time.Millisecond
	// notReadyAfter is how long the store may be silent before the host asks for no more connections.
	notReadyAfter = 3 * time.Second
	headerTimeout = 10 * time.Second
	keepAliveIdle = 60 * time.Second
)

// Host is an entry host.
type Host struct {
	settings platform.Settings // as read at the start
	internal string            // address for metrics and other hosts
	log      *eventlog.Log
	metrics  *metrics
	operator *operator.Follower
	owner    *owner.Owner
	server   *server
	sender   *announce.Sender
	draining atomic.Bool
}

// New returns a host that does nothing until Run. Its log goes to logs.
func New(settings platform.Settings, logs io.Writer) *Host {
	log := eventlog.New(logs)
	h := &Host{settings: settings, log: log, metrics: newMetrics(log.Dropped)}
	process := processID()
	h.internal = net.JoinHostPort(settings.Listen.IP, strconv.Itoa(settings.Listen.Internal))
	event := h.event
	kv := platform.NewKV(settings.Store.Address, h.metrics.platformCall)
	records := ledger.New(kv)
	h.operator = operator.New(kv, event)
	options := owner.Options{
		Host: settings.Host, Process: process, Address: h.internal, Settings: settings, KV: kv, Ledger: records, Operator: h.operator,
		Upstreams: platform.NewUpstreams(), Observe: h.metrics, Log: event,
		Ask: func(message announce.Message) { h.sender.Send(message) },
	}
	if settings.Machines != "" {
		options.Machines = platform.NewMachines(settings.Machines, h.metrics.platformCall)
	}
	if settings.Advice != "" {
		options.Advice = platform.NewAdvice(settings.Advice, h.metrics.platformCall)
	}
	h.owner = owner.New(options)
	h.sender = announce.NewSender(h.owner.OwnerAddress, event)
	h.server = &server{
		announce: h.announce,
		ledger:   records, operator: h.operator, metrics: h.metrics, log: event,
		draining: h.draining.Load, bundlePatience: bundlePatience(settings.Bounds),
	}
	return h
}

// event logs a decision.
func (h *Host) event(name string, fields ...any) {
	h.log.Event(name, append(fields, "host", h.settings.Host)...)
}

// announce tells the owner, which may be this host.
func (h *Host) announce(message announce.Message) {
	if !h.owner.Announced(message) {
		h.sender.Send(message)
	}
}

// processID returns a text that differs between lives of a process.
func processID() string {
	var id [8]byte
	if _, err := rand.Read(id[:]); err != nil {
		panic(err) // never returned on Linux
	}
	return hex.EncodeToString(id[:])
}

// Run serves until ctx ends, and then finishes what is on its way within the platform's grace period.
func (h *Host) Run(ctx context.Context) error {
	defer h.log.Close()
	limitMemory(h.settings.MemoryMB)
	h.log.Event("start", "host", h.settings.Host, "zone", h.settings.Zone, "callers", h.settings.Listen.Callers,
		"store", h.settings.Store.Address, "memory_mb", h.settings.MemoryMB)
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	servers, err := h.serve()
	if err != nil {
		h.log.Error("not started", "error", err)
		return err
	}
	go h.operator.Run(work)
	go h.sender.Run(work)
	owning, stopOwning := context.WithCancel(work)
	owned := make(chan struct{})
	go func() {
		defer close(owned)
		h.owner.Run(owning)
	}()
	<-ctx.Done()
	h.log.Event("stop", "host", h.settings.Host, "owner", h.owner.Owning(), "grace_ms", h.settings.Bounds.Grace.Milliseconds())
	h.draining.Store(true)
	stopOwning()
	h.shutdown(servers)
	<-owned
	return nil
}

// Reload reads the settings file again. The bounds are in force at once for the ownerships that follow; addresses are
// those of the start, as listeners and connections depend on them. A file that cannot be read changes nothing.
func (h *Host) Reload(path string) {
	next, err := platform.LoadSettings(path)
	if err != nil {
		h.log.Error("reload", "host", h.settings.Host, "error", err, "outcome", "settings unchanged")
		return
	}
	h.owner.SetBounds(next.Bounds)
	fixed := next
	fixed.Bounds = h.settings.Bounds
	h.log.Event("reload", "host", h.settings.Host, "outcome", "bounds in force", "restart_needed", fixed != h.settings)
}

func limitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(megabytes) * (1 << 20)))
	}
}

// serve starts the listeners for clients, for readiness, and for metrics and other hosts' announcements.
func (h *Host) serve() ([]*http.Server, error) {
	readiness := mux.NewRouter()
	readiness.HandleFunc(platform.ReadinessPath, h.ready)
	internal := mux.NewRouter()
	internal.Handle("/metrics", promhttp.HandlerFor(h.metrics.registry, promhttp.HandlerOpts{}))
	internal.HandleFunc(explainPath+"{job}", h.explain)
	internal.Handle(announce.Path, announce.Handler(h.owner.Announced, h.event))
	listeners := []struct {
		address string
		handler http.Handler
	}{
		{h.settings.Listen.Callers, h.server},
		{h.settings.Listen.Readiness, readiness},
		{h.internal, internal},
	}
	var servers []*http.Server
	for _, l := range listeners {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s", l.address)
		}
		server := &http.Server{Handler: l.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: keepAliveIdle}
		servers = append(servers, server)
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				h.log.Error("listener ended", "address", l.address, "error", err)
			}
		}()
	}
	return servers, nil
}

// ready answers the balancer's probe.
func (h *Host) ready(w http.ResponseWriter, _ *http.Request) {
	if h.draining.Load() || h.operator.State().Bundle == nil || h.operator.Age() > notReadyAfter {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// shutdown leaves the balancer's rotation, then closes the listeners and waits for calls that are being answered.
func (h *Host) shutdown(servers []*http.Server) {
	deadline := time.Now().Add(h.settings.Bounds.Grace - stopReserve)
	time.Sleep(min(rotationOut, h.settings.Bounds.Grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			h.log.Error("shutdown cut short", "error", err)
		}
	}
}
