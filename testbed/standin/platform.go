package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"

	"citrongauge.example/citrongauge/platform"
)

// PlatformFaults are the faults that a Platform injects, and the body of PUT /control/faults. They do not affect
// requests under /control.
type PlatformFaults struct {
	// Outage aborts every call without a response, including pending watches.
	Outage bool `json:"outage,omitempty"`
	// DelayMS delays every call: half of the delay is before the call takes effect, half after it.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// LoseWriteResponses is the number of upcoming writes that take effect, but whose response is lost.
	LoseWriteResponses int `json:"lose_write_answers,omitempty"`
	// PartitionedClients and PartitionedSources are partitioned from the platform: their calls are aborted. Clients are
	// values of platform.ClientHeader, sources are IP addresses or prefixes.
	PartitionedClients []string `json:"cut_clients,omitempty"`
	PartitionedSources []string `json:"cut_sources,omitempty"`
	// HostListLagMS is the lag of the host list. Lags above maxHostListLag are not supported.
	HostListLagMS int64 `json:"host_list_lag_ms,omitempty"`
	// RebootMS is the duration of a reboot.
	RebootMS int64 `json:"reboot_ms,omitempty"`
}

// PlatformCounters are the numbers of calls since the start. A watch counts as one call, whether or not it has to wait.
type PlatformCounters struct {
	Calls   uint64 `json:"calls"`
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Hosts   uint64 `json:"hosts"`
	Reboots uint64 `json:"reboots"`
	Dropped uint64 `json:"dropped"` // calls that were aborted without a response because of a fault
}

// Platform is a stand-in for the platform: its key-value store and its host list.
type Platform struct {
	router *mux.Router
	store  *store
	hosts  *hostList

	mu                 sync.Mutex
	faults             PlatformFaults
	partitionedSources []netip.Prefix
	counters           PlatformCounters
	// faultsChanged is closed and replaced when the faults change, so that pending watches check them again.
	faultsChanged chan struct{}
}

// NewPlatform returns a platform with an empty store and no hosts.
func NewPlatform() *Platform {
	p := &Platform{
		router:        mux.NewRouter(),
		store:         newStore(),
		hosts:         newHostList(),
		faultsChanged: make(chan struct{}),
	}
	p.router.HandleFunc(platform.StorePath, p.read).Methods(http.MethodGet)
	p.router.HandleFunc(platform.StorePath, p.write).Methods(http.MethodPut)
	p.router.HandleFunc(platform.HostsPath, p.listHosts).Methods(http.MethodGet)
	p.router.HandleFunc(platform.HostsPath+"/{id}/reboot", p.reboot).Methods(http.MethodPost)
	p.registerControlRoutes()
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.router.ServeHTTP(w, r) }

// SetFaults replaces all faults.
func (p *Platform) SetFaults(f PlatformFaults) error {
	prefixes, err := parseSources(f.PartitionedSources)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.partitionedSources = prefixes
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
	return nil
}

// Counters returns the numbers of calls since the start.
func (p *Platform) Counters() PlatformCounters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters
}

func parseSources(sources []string) ([]netip.Prefix, error) {
	prefixes := make([]netip.Prefix, 0, len(sources))
	for _, s := range sources {
		if address, err := netip.ParseAddr(s); err == nil {
			prefixes = append(prefixes, netip.PrefixFrom(address, address.BitLen()))
			continue
		}
		prefix, err := netip.ParsePrefix(s)
		if err != nil {
			return nil, errors.Wrapf(err, "cut source %q is neither an IP address nor a prefix", s)
		}
		prefixes = append(prefixes, prefix)
	}
	return prefixes, nil
}

// beginCall counts a call, aborts it if its client cannot reach the platform, waits for the first half of the delay
// and returns the faults.
func (p *Platform) beginCall(r *http.Request, count func(c *PlatformCounters)) PlatformFaults {
	p.mu.Lock()
	p.counters.Calls++
	count(&p.counters)
	faults := p.faults
	p.mu.Unlock()
	p.abortIfUnreachable(r)
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond / 2)
	return faults
}

// endCall waits for the second half of the delay and aborts the call if its client can no longer reach the
// platform.
func (p *Platform) endCall(r *http.Request, faults PlatformFaults) {
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond / 2)
	p.abortIfUnreachable(r)
}

// abortIfUnreachable aborts a call during an outage or if its client is partitioned.
func (p *Platform) abortIfUnreachable(r *http.Request) {
	p.mu.Lock()
	unreachable := p.faults.Outage || p.isPartitioned(r)
	p.mu.Unlock()
	if unreachable {
		p.abortCall()
	}
}

// abortCall closes the connection without a response.
func (p *Platform) abortCall() {
	p.mu.Lock()
	p.counters.Dropped++
	p.mu.Unlock()
	panic(http.ErrAbortHandler)
}

// isPartitioned reports whether the client of a request is partitioned from the platform. The caller must hold mu.
func (p *Platform) isPartitioned(r *http.Request) bool {
	if slices.Contains(p.faults.PartitionedClients, r.Header.Get(platform.ClientHeader)) {
		return true
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return false
	}
	address, err := netip.ParseAddr(host)
	return err == nil && slices.ContainsFunc(p.partitionedSources, func(prefix netip.Prefix) bool { return prefix.Contains(address) })
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Has("after") {
		p.watch(w, r)
		return
	}
	faults := p.beginCall(r, func(c *PlatformCounters) { c.Reads++ })
	entry, _ := p.store.get(query.Get("key"))
	p.endCall(r, faults)
	if query.Has("unless") && query.Get("unless") == strconv.FormatUint(entry.Revision, 10) {
		writeCode(w, http.StatusOK, platform.CodeUnchanged)
		return
	}
	writeEntry(w, entry)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "query parameter after is not an unsigned integer", http.StatusBadRequest)
		return
	}
	waitMS, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	faults := p.beginCall(r, func(c *PlatformCounters) { c.Watches++ })
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(waitMS)*time.Millisecond)
	defer cancel()
	for {
		p.mu.Lock()
		interrupt := p.faultsChanged
		p.mu.Unlock()
		p.abortIfUnreachable(r)
		entry := p.store.watch(ctx, query.Get("key"), after, interrupt)
		if entry.Revision > after {
			p.endCall(r, faults)
			writeEntry(w, entry)
			return
		}
		if ctx.Err() != nil {
			p.endCall(r, faults)
			writeCode(w, http.StatusOK, platform.CodeUnchanged)
			return
		}
	}
}

func (p *Platform) write(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	revision, err := strconv.ParseUint(query.Get("revision"), 10, 64)
	if err != nil {
		http.Error(w, "query parameter revision is not an unsigned integer", http.StatusBadRequest)
		return
	}
	value, err := readBody(w, r, platform.MaxValueBytes+1)
	if err != nil {
		return
	}
	faults := p.beginCall(r, func(c *PlatformCounters) { c.Writes++ })
	updated, err := p.store.compareAndSwap(query.Get("key"), revision, value)
	if p.loseWriteResponse() {
		p.abortCall()
	}
	p.endCall(r, faults)
	switch {
	case errors.Is(err, platform.ErrConflict):
		writeCode(w, http.StatusConflict, platform.CodeConflict)
	case errors.Is(err, platform.ErrTooLarge):
		writeCode(w, http.StatusRequestEntityTooLarge, platform.CodeTooLarge)
	default:
		w.Header().Set(platform.RevisionHeader, strconv.FormatUint(updated, 10))
		writeCode(w, http.StatusOK, platform.CodeOK)
	}
}

// loseWriteResponse reports whether the response to the current write is lost, and counts it if so.
func (p *Platform) loseWriteResponse() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseWriteResponses == 0 {
		return false
	}
	p.faults.LoseWriteResponses--
	return true
}

func writeEntry(w http.ResponseWriter, entry platform.Entry) {
	if entry.Revision == 0 {
		writeCode(w, http.StatusNotFound, platform.CodeNotFound)
		return
	}
	w.Header().Set(platform.RevisionHeader, strconv.FormatUint(entry.Revision, 10))
	w.Header().Set(platform.CodeHeader, string(platform.CodeOK))
	w.Header().Set("Content-Length", strconv.Itoa(len(entry.Value)))
	_, _ = w.Write(entry.Value)
}

func writeCode(w http.ResponseWriter, status int, code platform.Code) {
	w.Header().Set(platform.CodeHeader, string(code))
	w.WriteHeader(status)
}

// listHosts returns the host list with the configured lag.
func (p *Platform) listHosts(w http.ResponseWriter, r *http.Request) {
	faults := p.beginCall(r, func(c *PlatformCounters) { c.Hosts++ })
	list := p.hosts.listAt(time.Now().Add(-time.Duration(faults.HostListLagMS) * time.Millisecond))
	p.endCall(r, faults)
	w.Header().Set(platform.CodeHeader, string(platform.CodeOK))
	_ = json.NewEncoder(w).Encode(list)
}
