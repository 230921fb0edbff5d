package fleet

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fleet is a store and a set of upstreams that are served on loopback until Close.
type Fleet struct {
	Store     *Store
	Upstreams []*Upstream
	// Proxies holds one proxy for each upstream, in the same order, if Options.ProxyUpstreams is set.
	Proxies []*Proxy

	storeAddress string
	teamKey      string
	zones        int
	version      int // of the configuration
	servers      []*http.Server
	done         chan struct{}
	wg           sync.WaitGroup
}

// Options configures a Fleet.
type Options struct {
	Zones              int
	UpstreamsPerZone   int
	TaskDuration       time.Duration // run time of each task
	TeamKey            string        // API key of the only team
	StoreListenAddress string        // address for the store to listen on; empty for a free port on loopback
	ProxyUpstreams     bool          // registers a Proxy, which can inject faults, in place of each upstream's address
	Seed               uint64        // of the clocks of the upstreams' lives
}

// Names in the configuration of every Fleet.
const (
	PoolName    = "render"
	QueueName   = "renders"
	QueueHost   = "jobs.example"
	QueuePrefix = "/renders/"
	TeamName    = "shopfitters"
)

// New starts a fleet with one pool, one queue and one team.
func New(options Options) (*Fleet, error) {
	f := &Fleet{Store: NewStore(), done: make(chan struct{}), teamKey: options.TeamKey, zones: options.Zones}
	address, err := f.serve(options.StoreListenAddress, f.Store)
	if err != nil {
		return nil, err
	}
	f.storeAddress = address
	f.ChangeConfiguration()
	for z := range options.Zones {
		for i := range options.UpstreamsPerZone {
			if err := f.addUpstream(fmt.Sprintf("i-%d-%d", z+1, i+1), ZoneName(z), options); err != nil {
				f.Close()
				return nil, err
			}
		}
	}
	f.wg.Add(1)
	go f.runTicks()
	return f, nil
}

// ZoneName returns the name of the zone with a zero-based index.
func ZoneName(z int) string { return "zone-" + strconv.Itoa(z+1) }

// StoreAddress returns the address on which the store listens.
func (f *Fleet) StoreAddress() string { return f.storeAddress }

func (f *Fleet) addUpstream(id, zone string, options Options) error {
	u := NewUpstream(id, PoolName, zone, "", options.TaskDuration, options.Seed)
	address, err := f.serve("", u)
	if err != nil {
		return err
	}
	if options.ProxyUpstreams {
		proxy, err := NewProxy(address)
		if err != nil {
			return err
		}
		f.Proxies = append(f.Proxies, proxy)
		address = proxy.Address()
	}
	u.Address = address
	f.Upstreams = append(f.Upstreams, u)
	f.Store.Put("servers/"+id, u.StoreEntry())
	return nil
}

// Heartbeat is the interval at which upstreams register themselves.
const Heartbeat = 1500 * time.Millisecond

// RegisterAfter registers the upstream's present life after a delay, unless that life has ended by then. Until then the store
// has the entry of an earlier life, or none.
func (f *Fleet) RegisterAfter(u *Upstream, delay time.Duration) {
	life := u.Life()
	time.AfterFunc(delay, func() {
		if u.Life() == life {
			f.Store.Put("servers/"+u.CurrentID(), u.StoreEntry())
		}
	})
}

// serve serves handler on an address, or on a free loopback port if it is empty, and returns the address.
func (f *Fleet) serve(address string, handler http.Handler) (string, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	f.servers = append(f.servers, server)
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		_ = server.Serve(listener) // returns an error after Close
	}()
	return listener.Addr().String(), nil
}

func (f *Fleet) runTicks() {
	defer f.wg.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.done:
			return
		case <-ticker.C:
			for _, u := range f.Upstreams {
				u.Tick()
			}
		}
	}
}

// Close stops all servers and proxies and waits for their goroutines.
func (f *Fleet) Close() {
	close(f.done)
	for _, proxy := range f.Proxies {
		proxy.Close()
	}
	for _, server := range f.servers {
		_ = server.Close() // the listeners are closed even if it returns an error
	}
	f.wg.Wait()
}

// ChangeConfiguration writes the next version of the operator's configuration. Versions differ in the queue's stretch.
func (f *Fleet) ChangeConfiguration() {
	f.version++
	f.Store.Put("op/config", configurationJSON(f.version, f.teamKey))
}

// configurationJSON returns the operator's configuration, which entry hosts read from the store.
func configurationJSON(version int, key string) []byte {
	data, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": QueueName, "host": QueueHost, "prefix": QueuePrefix, "kind": "unsafe", "timeout_ms": 3000,
			"target_latency_ms": 600, "priority": 0, "service": PoolName, "max_attempts": 3, "stretch": []float64{2, 1.6}[version%2], "public": false,
		}},
		"services": []map[string]any{{"name": PoolName, "max_connections": 64, "rejects_overload": false, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144},
		"tenants": []map[string]any{{
			"name": TeamName, "api_keys": []string{key}, "weight": 1, "upper_bound": map[string]int{"cpu": 0},
		}},
	})
	if err != nil {
		panic(err) // cannot happen: only plain values are encoded
	}
	return data
}

// zoneTable returns the entries of the settings' table of zones.
func (f *Fleet) zoneTable() string {
	var table strings.Builder
	for z := range f.zones {
		fmt.Fprintf(&table, "%s = \"region-1\"\n", ZoneName(z))
	}
	return table.String()
}

// Settings returns the content of the settings file that the platform writes for an entry host.
func (f *Fleet) Settings(name, zone, clientAddress, readinessAddress string, internalPort int) string {
	return fmt.Sprintf(`node_name = %q
ip = "127.0.0.1"
zone = %q
internal_ports = [%d, %d]
heartbeat_ms = %d
[listen]
frontend = %q
readiness = %q
[limits]
memory_mb = 284
[bounds]
hold_max_ms = 10000
stop_timeout_ms = 200
gang_timeout_ms = 3000
grace_s = 6
drain_ms = 2000
downgrade_slack_ms = 250
config_apply_ms = 2000
contact_ms = 3000
status_s = 120
early_ms = 250
notice_ms = 4500
maintenance_s = 2
migrate_s = 1.5
lease_ms = 3000
pace_ms = 100
impact_ms = 4000
remote_factor = 3
[platform]
address = %q
ttl_min_ms = 1000
[zones]
%s`, name, zone, internalPort, internalPort, Heartbeat.Milliseconds(), clientAddress, readinessAddress, f.storeAddress, f.zoneTable())
}

// Violations checks the runs that the upstreams recorded and returns a message for each violation, whose prefix names
// the broken rule. TWICE: no two runs of a task may overlap, and no task may start again after a completed run whose end
// was acknowledged. UNASKED: each run must carry the spec with which its job was submitted. The map specs holds the spec
// of each submitted job by its ID.
func (f *Fleet) Violations(specs map[string]string) []string {
	runs := map[string][]Run{}
	for _, u := range f.Upstreams {
		for _, r := range u.History() {
			runs[r.Task] = append(runs[r.Task], r)
		}
	}
	var violations []string
	for task, taskRuns := range runs {
		id, _, _ := strings.Cut(task, ".")
		for i, a := range taskRuns {
			if spec, ok := specs[id]; !ok || spec != a.Spec {
				violations = append(violations, fmt.Sprintf("UNASKED: task %s on %s: its job was not submitted, or with another spec", task, a.Upstream))
			}
			for _, b := range taskRuns[i+1:] {
				if runsOverlap(a, b) {
					violations = append(violations, fmt.Sprintf("TWICE: task %s: attempt %d on %s overlaps with attempt %d on %s", task, a.Attempt, a.Upstream, b.Attempt, b.Upstream))
				}
				if a.isCompleted() && b.Begin.After(a.End) || b.isCompleted() && a.Begin.After(b.End) {
					violations = append(violations, fmt.Sprintf("TWICE: task %s was started again after a completed run", task))
				}
			}
		}
	}
	return violations
}

// isCompleted reports whether the run succeeded and its end was acknowledged, so that the task must not start again.
func (r Run) isCompleted() bool { return r.EndKind == "done" && r.Acknowledged }

func runsOverlap(a, b Run) bool {
	endsBefore := func(x, y Run) bool { return !x.End.IsZero() && !x.End.After(y.Begin) }
	return !endsBefore(a, b) && !endsBefore(b, a)
}
