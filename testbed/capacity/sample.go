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

// Host is a running daemon.
type Host struct {
	PID    int    `json:"pid"`
	Zone   string `json:"zone"`
	Listen string `json:"listen"`
	Peer   string `json:"peer"`
	// Log is the file with the daemon's log.
	Log string `json:"log"`
}

// Role is what a daemon does besides serving requests.
type Role string

// The values of Role. The planner is also the relay of its zone.
const (
	Plain   Role = "plain"
	Relay   Role = "relay"
	Planner Role = "planner"
)

// HostSample is what a daemon used within a window. Rates are per second.
type HostSample struct {
	Role Role   `json:"role"`
	Zone string `json:"zone"`
	// CPU is the part of one core.
	CPU      float64 `json:"cpu"`
	RSS      float64 `json:"rss_bytes"`
	Anon     float64 `json:"anon_bytes"`
	Peak     float64 `json:"peak_rss_bytes"`
	HeapUsed float64 `json:"heap_inuse_bytes"`
	HeapLive float64 `json:"heap_alloc_bytes"`
	// PeerSent and PeerReceived are bytes of messages, without the headers of WebSocket and TCP.
	PeerSent     float64 `json:"peer_sent_per_s"`
	PeerReceived float64 `json:"peer_received_per_s"`
	// Written and Read are the bytes of all write and read calls, sockets included, without the log.
	Written  float64 `json:"written_per_s"`
	Read     float64 `json:"read_per_s"`
	Log      float64 `json:"log_per_s"`
	Requests float64 `json:"requests_per_s"`
	Routines float64 `json:"goroutines"`
	GC       float64 `json:"collections_per_s"`
	// TakesRollouts: the roll-outs of this window were sent to this host.
	TakesRollouts bool `json:"takes_rollouts,omitempty"`
}

// Window is one measurement.
type Window struct {
	Size
	Phase   Phase   `json:"phase"`
	Rate    float64 `json:"rate,omitempty"`   // requests or roll-outs per second that were asked for
	RunMS   int64   `json:"run_ms,omitempty"` // how long each request runs
	Seconds float64 `json:"seconds"`
	// Calls are the calls that the platform counted, per second.
	Calls       map[string]float64 `json:"calls_per_s"`
	RecordBytes int                `json:"record_bytes"`
	BundleBytes int                `json:"bundle_bytes"`
	Rollouts    int                `json:"rollouts,omitempty"`
	// RolloutMS holds the times from the commit to acceptance of the roll-outs that were seen accepted.
	RolloutMS []int64 `json:"rollout_ms,omitempty"`
	// ConfirmedMS holds the times from the commit until the host that took the roll-out knew that all had confirmed it.
	ConfirmedMS []int64        `json:"confirmed_ms,omitempty"`
	Answers     map[string]int `json:"answers,omitempty"` // requests by result code
	Hosts       []HostSample   `json:"hosts"`
}

// Phase is what happens in a window besides control.
type Phase string

// The values of Phase.
const (
	Rest     Phase = "rest"
	Rollouts Phase = "rollouts"
	Requests Phase = "requests"
)

// Sampler measures a running fleet.
type Sampler struct {
	Size     Size
	Hosts    []Host
	Platform string
	Admin    *admin.Client
	Duration time.Duration
}

type reading struct {
	usage   usage
	metrics metricsAt
}

// Sample measures one window. The metrics are read outside the window of the processor time.
func (s *Sampler) Sample(ctx context.Context) (*Window, error) {
	roles, err := s.roles(ctx)
	if err != nil {
		return nil, err
	}
	before := make([]reading, len(s.Hosts))
	after := make([]reading, len(s.Hosts))
	if err := s.scrapeAll(ctx, before); err != nil {
		return nil, err
	}
	countersBefore, err := s.counters(ctx)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	if err := s.usageAll(before); err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(s.Duration):
	}
	if err := s.usageAll(after); err != nil {
		return nil, err
	}
	seconds := time.Since(start).Seconds()
	countersAfter, err := s.counters(ctx)
	if err != nil {
		return nil, err
	}
	if err := s.scrapeAll(ctx, after); err != nil {
		return nil, err
	}
	w := &Window{Size: s.Size, Phase: Rest, Seconds: seconds, Calls: perSecond(countersBefore, countersAfter, seconds)}
	for i, h := range s.Hosts {
		sample := compare(before[i], after[i])
		sample.Zone, sample.Role = h.Zone, roles[h.Peer]
		w.Hosts = append(w.Hosts, sample)
	}
	return w, s.sizes(ctx, w)
}

// roles returns the role of each host by peer address: the first of the roster plans, the first of each zone relays.
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
			roles[m.Address] = Planner
		case !zones[m.Zone]:
			roles[m.Address] = Relay
		default:
			roles[m.Address] = Plain
		}
		zones[m.Zone] = true
	}
	if len(roles) != len(s.Hosts) {
		return nil, errors.Errorf("%d entry hosts in the roster, %d run", len(roles), len(s.Hosts))
	}
	return roles, nil
}

func (s *Sampler) scrapeAll(ctx context.Context, readings []reading) error {
	for i, h := range s.Hosts {
		m, err := scrape(ctx, h.Listen)
		if err != nil {
			return err
		}
		readings[i].metrics = m
	}
	return nil
}

func (s *Sampler) usageAll(readings []reading) error {
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
	body, err := get(ctx, "http://"+s.Platform+"/control/counters")
	if err != nil {
		return nil, err
	}
	var counters standin.PlatformCounters
	if err := json.Unmarshal(body, &counters); err != nil {
		return nil, errors.Wrap(err, "counters of the platform")
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

// sizes sets the sizes of the record and of the bundle in force.
func (s *Sampler) sizes(ctx context.Context, w *Window) error {
	record, err := get(ctx, "http://"+s.Platform+platform.StorePath+"?key="+url.QueryEscape(control.StoreKey))
	if err != nil {
		return err
	}
	signed, err := s.Admin.Bundle(ctx, 0)
	if err != nil {
		return errors.Wrap(err, "read the bundle")
	}
	w.RecordBytes, w.BundleBytes = len(record), len(signed)
	return nil
}

func compare(before, after reading) HostSample {
	seconds := after.usage.at.Sub(before.usage.at).Seconds()
	scrapes := after.metrics.at.Sub(before.metrics.at).Seconds()
	rate := func(name string) float64 {
		return (after.metrics.values[name] - before.metrics.values[name]) / scrapes
	}
	b, a := before.usage, after.usage
	logged := (a.logBytes - b.logBytes) / seconds
	return HostSample{
		CPU: (a.cpu - b.cpu) / seconds, RSS: a.rss, Anon: a.anon, Peak: a.peak,
		HeapUsed: after.metrics.values["go_memstats_heap_inuse_bytes"],
		HeapLive: after.metrics.values["go_memstats_heap_alloc_bytes"],
		PeerSent: rate("citrongauge_peer_sent_bytes_total"), PeerReceived: rate("citrongauge_peer_received_bytes_total"),
		Written: (a.written-b.written)/seconds - logged, Read: (a.read - b.read) / seconds, Log: logged,
		Requests: rate("citrongauge_task_requests_total"), Routines: after.metrics.values["go_goroutines"],
		GC: rate("go_gc_duration_seconds_count"),
	}
}
