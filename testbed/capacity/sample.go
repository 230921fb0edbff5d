package capacity

import (
	"context"
	"encoding/json"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/admin"
	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/testbed/standin"
)

// Host is an entry host whose daemon is measured.
type Host struct {
	PID    int    `json:"pid"`
	Zone   string `json:"zone"`
	Listen string `json:"listen"`
	Peer   string `json:"peer"`
	// Log is the path of the daemon's log file.
	Log string `json:"log"`
}

// Role is the role of an entry host in the control plane.
type Role string

// The values of Role. The planner is also the relay of its zone, and RolePlain is neither.
const (
	RolePlain   Role = "plain"
	RoleRelay   Role = "relay"
	RolePlanner Role = "planner"
)

// HostSample is the resource usage of a daemon in a window. Memory, heap and goroutines are values at the end of the
// window, PeakRSS is the peak since the daemon was started. The other fields are means per second.
type HostSample struct {
	Role Role   `json:"role"`
	Zone string `json:"zone"`
	// CPU is the CPU usage in cores.
	CPU       float64 `json:"cpu"`
	RSS       float64 `json:"rss_bytes"`
	AnonRSS   float64 `json:"anon_bytes"`
	PeakRSS   float64 `json:"peak_rss_bytes"`
	HeapInuse float64 `json:"heap_inuse_bytes"`
	HeapAlloc float64 `json:"heap_alloc_bytes"`
	// PeerSent and PeerReceived are the bytes of messages, without the overhead of WebSocket and TCP.
	PeerSent     float64 `json:"peer_sent_per_s"`
	PeerReceived float64 `json:"peer_received_per_s"`
	// Written and Read are the bytes of all write and read calls, including sockets. Written does not include the log.
	Written    float64 `json:"written_per_s"`
	Read       float64 `json:"read_per_s"`
	LogWritten float64 `json:"log_per_s"`
	Requests   float64 `json:"requests_per_s"`
	Goroutines float64 `json:"goroutines"`
	GCCycles   float64 `json:"collections_per_s"`
	// TakesRollouts reports whether the rollouts of the window were sent to this host.
	TakesRollouts bool `json:"takes_rollouts,omitempty"`
}

// Window is a measurement of all entry hosts over a period of time.
type Window struct {
	Size
	Phase   Phase   `json:"phase"`
	Rate    float64 `json:"rate,omitempty"`   // configured number of requests or rollouts per second
	RunMS   int64   `json:"run_ms,omitempty"` // run time of each request
	Seconds float64 `json:"seconds"`
	// Calls are the calls per second that the platform stand-in received, by kind.
	Calls       map[string]float64 `json:"calls_per_s"`
	RecordBytes int                `json:"record_bytes"`
	BundleBytes int                `json:"bundle_bytes"`
	Rollouts    int                `json:"rollouts,omitempty"`
	// AcceptedMS holds the times from commit to acceptance of the rollouts for which these are known.
	AcceptedMS []int64 `json:"rollout_ms,omitempty"`
	// ConfirmedMS holds the times from commit until the host that received the rollout knew that every entry host had
	// confirmed it.
	ConfirmedMS  []int64        `json:"confirmed_ms,omitempty"`
	ResultCounts map[string]int `json:"answers,omitempty"` // number of requests by result code
	Hosts        []HostSample   `json:"hosts"`
}

// Phase is the kind of load in a window in addition to the control plane's own traffic.
type Phase string

// The values of Phase.
const (
	PhaseRest     Phase = "rest" // no additional load
	PhaseRollouts Phase = "rollouts"
	PhaseRequests Phase = "requests"
)

// Sampler measures the entry hosts of a running fleet.
type Sampler struct {
	Size            Size
	Hosts           []Host
	PlatformAddress string
	Admin           *admin.Client
	WindowDuration  time.Duration
}

// reading is the state of one daemon at the start or the end of a window.
type reading struct {
	usage   processUsage
	metrics metricsSnapshot
}

// Sample measures a window of length WindowDuration. It generates no load itself. The metrics are scraped before and
// after the interval in which the CPU time is measured, so that the CPU time does not include the cost of scraping.
func (s *Sampler) Sample(ctx context.Context) (*Window, error) {
	roles, err := s.roles(ctx)
	if err != nil {
		return nil, err
	}
	before := make([]reading, len(s.Hosts))
	after := make([]reading, len(s.Hosts))
	if err := s.scrapeAllMetrics(ctx, before); err != nil {
		return nil, err
	}
	countersBefore, err := s.counters(ctx)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	if err := s.readAllUsage(before); err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(s.WindowDuration):
	}
	if err := s.readAllUsage(after); err != nil {
		return nil, err
	}
	seconds := time.Since(start).Seconds()
	countersAfter, err := s.counters(ctx)
	if err != nil {
		return nil, err
	}
	if err := s.scrapeAllMetrics(ctx, after); err != nil {
		return nil, err
	}
	w := &Window{Size: s.Size, Phase: PhaseRest, Seconds: seconds, Calls: perSecond(countersBefore, countersAfter, seconds)}
	for i, h := range s.Hosts {
		sample := newHostSample(before[i], after[i])
		sample.Zone, sample.Role = h.Zone, roles[h.Peer]
		w.Hosts = append(w.Hosts, sample)
	}
	return w, s.setSizes(ctx, w)
}

// roles returns the role of each host by peer address, without the departed members. The first host of the roster is
// the planner, and the first of each further zone is the relay of its zone.
func (s *Sampler) roles(ctx context.Context) (map[string]Role, error) {
	report, err := s.Admin.Status(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read the roster")
	}
	roles := make(map[string]Role)
	zones := make(map[string]bool)
	for _, m := range report.Members {
		switch {
		case m.Departed:
			continue
		case len(roles) == 0:
			roles[m.Address] = RolePlanner
		case !zones[m.Zone]:
			roles[m.Address] = RoleRelay
		default:
			roles[m.Address] = RolePlain
		}
		zones[m.Zone] = true
	}
	if len(roles) != len(s.Hosts) {
		return nil, errors.Errorf("the roster has %d entry hosts, but %d are to be measured", len(roles), len(s.Hosts))
	}
	return roles, nil
}

func (s *Sampler) scrapeAllMetrics(ctx context.Context, readings []reading) error {
	for i, h := range s.Hosts {
		m, err := scrape(ctx, h.Listen)
		if err != nil {
			return err
		}
		readings[i].metrics = m
	}
	return nil
}

func (s *Sampler) readAllUsage(readings []reading) error {
	for i, h := range s.Hosts {
		u, err := readUsage(h)
		if err != nil {
			return err
		}
		readings[i].usage = u
	}
	return nil
}

func (s *Sampler) counters(ctx context.Context) (map[string]float64, error) {
	body, err := fetch(ctx, "http://"+s.PlatformAddress+"/control/counters")
	if err != nil {
		return nil, err
	}
	var counters standin.PlatformCounters
	if err := json.Unmarshal(body, &counters); err != nil {
		return nil, errors.Wrap(err, "decode the counters of the platform")
	}
	return map[string]float64{
		"reads": float64(counters.Reads), "writes": float64(counters.Writes), "watches": float64(counters.Watches),
		"hosts": float64(counters.Hosts), "dropped": float64(counters.Dropped),
	}, nil
}

func perSecond(before, after map[string]float64, seconds float64) map[string]float64 {
	rates := make(map[string]float64, len(after))
	for name, value := range after {
		rates[name] = (value - before[name]) / seconds
	}
	return rates
}

// setSizes sets the sizes of the control record and of the current bundle.
func (s *Sampler) setSizes(ctx context.Context, w *Window) error {
	record, err := fetch(ctx, "http://"+s.PlatformAddress+platform.StorePath+"?key="+url.QueryEscape(control.StoreKey))
	if err != nil {
		return err
	}
	signed, err := s.Admin.Bundle(ctx, 0)
	if err != nil {
		return errors.Wrap(err, "read the current bundle")
	}
	w.RecordBytes, w.BundleBytes = len(record), len(signed)
	return nil
}

// newHostSample returns the resource usage between two readings.
func newHostSample(before, after reading) HostSample {
	seconds := after.usage.at.Sub(before.usage.at).Seconds()
	metricsSeconds := after.metrics.at.Sub(before.metrics.at).Seconds()
	rate := func(name string) float64 {
		return (after.metrics.values[name] - before.metrics.values[name]) / metricsSeconds
	}
	b, a := before.usage, after.usage
	logRate := (a.logBytes - b.logBytes) / seconds
	return HostSample{
		CPU: (a.cpuSeconds - b.cpuSeconds) / seconds, RSS: a.rssBytes, AnonRSS: a.anonBytes, PeakRSS: a.peakRSSBytes,
		HeapInuse: after.metrics.values["go_memstats_heap_inuse_bytes"],
		HeapAlloc: after.metrics.values["go_memstats_heap_alloc_bytes"],
		PeerSent:  rate("citrongauge_peer_sent_bytes_total"), PeerReceived: rate("citrongauge_peer_received_bytes_total"),
		Written: (a.writtenBytes-b.writtenBytes)/seconds - logRate, Read: (a.readBytes - b.readBytes) / seconds, LogWritten: logRate,
		Requests: rate("citrongauge_task_requests_total"), Goroutines: after.metrics.values["go_goroutines"],
		GCCycles: rate("go_gc_duration_seconds_count"),
	}
}
