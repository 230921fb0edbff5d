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

// Fleet is a store with upstreams, served on loopback until Close.
type Fleet struct {
	Store     *Store
	Upstreams []*Upstream
	// Links lead to the upstreams, one each, if Options.Linked is set.
	Links []*Link

	storeAddress string
	servers      []*http.Server
	done         chan struct{}
	wait         sync.WaitGroup
}

// Options describe a fleet.
type Options struct {
	Zones            int
	UpstreamsPerZone int
	Duration         time.Duration // of each task
	Key              string        // of the one team
	Store            string        // address to listen on; empty: any port
	Linked           bool          // upstreams are reached through links
}

// Names of what a fleet's configuration holds.
const (
	Pool      = "render"
	Queue     = "renders"
	QueueHost = "jobs.example"
	Prefix    = "/renders/"
	TeamName  = "shopfitters"
)

// New starts a fleet with one pool, one queue and one team.
func New(options Options) (*Fleet, error) {
	f := &Fleet{Store: NewStore(), done: make(chan struct{})}
	address, err := f.serve(options.Store, f.Store)
	if err != nil {
		return nil, err
	}
	f.storeAddress = address
	f.Store.Put("op/config", configuration(1, options.Key))
	for z := range options.Zones {
		for i := range options.UpstreamsPerZone {
			if err := f.addUpstream(fmt.Sprintf("i-%d-%d", z+1, i+1), ZoneName(z), options); err != nil {
				f.Close()
				return nil, err
			}
		}
	}
	f.wait.Add(1)
	go f.tick()
	return f, nil
}

// ZoneName returns the name of a zone by its number.
func ZoneName(z int) string { return "zone-" + strconv.Itoa(z+1) }

// StoreAddress returns the address of the store.
func (f *Fleet) StoreAddress() string { return f.storeAddress }

func (f *Fleet) addUpstream(id, zone string, options Options) error {
	u := NewUpstream(id, Pool, zone, "", options.Duration)
	address, err := f.serve("", u)
	if err != nil {
		return err
	}
	if options.Linked {
		link, err := NewLink(address)
		if err != nil {
			return err
		}
		f.Links = append(f.Links, link)
		address = link.Address()
	}
	u.Address = address
	f.Upstreams = append(f.Upstreams, u)
	f.Store.Put("servers/"+id, u.Entry())
	return nil
}

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
	f.wait.Add(1)
	go func() {
		defer f.wait.Done()
		_ = server.Serve(listener) // ends with Close
	}()
	return listener.Addr().String(), nil
}

func (f *Fleet) tick() {
	defer f.wait.Done()
	ticker := time.NewTicker(upstreamTick)
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

// Close ends all servers.
func (f *Fleet) Close() {
	close(f.done)
	for _, link := range f.Links {
		link.Close()
	}
	for _, server := range f.servers {
		_ = server.Close() // listeners are closed in any case
	}
	f.wait.Wait()
}

// configuration returns the operator's configuration.
func configuration(version int, key string) []byte {
	data, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": Queue, "host": QueueHost, "prefix": Prefix, "kind": "unsafe", "timeout_ms": 3000,
			"target_latency_ms": 600, "priority": 0, "service": Pool, "max_attempts": 3, "stretch": 1.6, "public": false,
		}},
		"services": []map[string]any{{"name": Pool, "max_connections": 64, "rejects_overload": false, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144},
		"tenants": []map[string]any{{
			"name": TeamName, "api_keys": []string{key}, "weight": 1, "upper_bound": map[string]int{"cpu": 0},
		}},
	})
	if err != nil {
		panic(err) // plain values
	}
	return data
}

// Settings returns the platform's settings file for an entry host.
func (f *Fleet) Settings(name, zone, callers, readiness string, internalPort int) string {
	return fmt.Sprintf(`node_name = %q
ip = "127.0.0.1"
zone = %q
internal_ports = [%d, %d]
heartbeat_ms = 1500
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
`, name, zone, internalPort, internalPort, callers, readiness, f.storeAddress)
}

// Violations checks what the upstreams saw: no task runs twice at the same time, none again after it was known to be done, and
// each run carries the spec that its job was submitted with.
func (f *Fleet) Violations(specs map[string]string) []string {
	runs := map[string][]Run{}
	for _, u := range f.Upstreams {
		for _, r := range u.History() {
			runs[r.Task] = append(runs[r.Task], r)
		}
	}
	var found []string
	for task, list := range runs {
		id, _, _ := strings.Cut(task, ".")
		for i, a := range list {
			if spec, ok := specs[id]; !ok || spec != a.Spec {
				found = append(found, fmt.Sprintf("UNASKED: %s on %s", task, a.Host))
			}
			for _, b := range list[i+1:] {
				if overlap(a, b) {
					found = append(found, fmt.Sprintf("TWICE: %s attempt %d on %s and %d on %s", task, a.Attempt, a.Host, b.Attempt, b.Host))
				}
				if a.isDone() && b.Begin.After(a.End) || b.isDone() && a.Begin.After(b.End) {
					found = append(found, fmt.Sprintf("TWICE: %s again after it was done", task))
				}
			}
		}
	}
	return found
}

// isDone reports whether the run ended as done and that stands for good.
func (r Run) isDone() bool { return r.How == "done" && r.Noted }

func overlap(a, b Run) bool {
	endsBefore := func(x, y Run) bool { return !x.End.IsZero() && !x.End.After(y.Begin) }
	return !endsBefore(a, b) && !endsBefore(b, a)
}
