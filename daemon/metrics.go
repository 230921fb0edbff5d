package daemon

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"citrongauge.example/citrongauge/maintenance"
	"citrongauge.example/citrongauge/requestid"
	"citrongauge.example/citrongauge/result"
)

const namespace = "citrongauge"

// unknownLabel stands for names that are not in the bundle, so that callers cannot add labels without bound.
const unknownLabel = "unknown"

// metrics are the daemon's metrics. Teams and queues are labels; both are bounded by the bundle.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
	queueing *prometheus.HistogramVec
	refusals *prometheus.CounterVec
	revision prometheus.Gauge
	version  prometheus.Gauge
	accepted prometheus.Gauge
	members  prometheus.Gauge
	stops    prometheus.Gauge
	moves    prometheus.Gauge
	buffer   prometheus.Gauge
}

func newMetrics() *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	buckets := prometheus.ExponentialBuckets(0.001, 2, 18) // 1 ms to 131 s
	m.requests = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Subsystem: "task", Name: "requests_total", Help: "Requests that ended, by result code.",
	}, []string{"team", "queue", "code"})
	m.duration = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Subsystem: "task", Name: "duration_seconds", Help: "Time from receipt to the outcome.", Buckets: buckets,
	}, []string{"team", "queue"})
	m.queueing = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Subsystem: "task", Name: "queue_duration_seconds", Help: "Time in the queue before dispatch.", Buckets: buckets,
	}, []string{"team", "queue"})
	m.refusals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Subsystem: "task", Name: "refusals_total", Help: "Requests refused before they were queued, by result code.",
	}, []string{"queue", "code"})
	m.revision = gauge("control", "revision", "Revision of the control record in force.")
	m.version = gauge("control", "bundle_version", "Version of the bundle in force.")
	m.accepted = gauge("control", "accepted_version", "Last bundle version that is in force everywhere.")
	m.members = gauge("control", "members", "Entry hosts in the roster.")
	m.stops = gauge("maintenance", "planned_stops", "Planned stops committed by this host since its start.")
	m.moves = gauge("maintenance", "host_moves", "Pool moves completed by this host since its start.")
	m.buffer = gauge("maintenance", "buffer_idle_seconds", "Idle time of spare hosts, summed over hosts, while this host planned.")
	m.registry.MustRegister(m.requests, m.duration, m.queueing, m.refusals, m.revision, m.version, m.accepted, m.members, m.stops, m.moves, m.buffer,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func gauge(subsystem, name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help})
}

func (m *metrics) adopted(s *state) {
	m.revision.Set(float64(s.record.Revision))
	m.version.Set(float64(s.record.BundleVersion))
	m.accepted.Set(float64(s.record.AcceptedVersion))
	m.members.Set(float64(len(s.record.Roster)))
}

func (m *metrics) finished(r *request, o requestid.Outcome, total time.Duration) {
	team, queue := r.team.Name, r.queue.Name
	m.requests.WithLabelValues(team, queue, strconv.Itoa(int(o.Code))).Inc()
	m.duration.WithLabelValues(team, queue).Observe(total.Seconds())
	m.queueing.WithLabelValues(team, queue).Observe(o.Queue.Seconds())
}

func (m *metrics) refused(queue string, code result.Code) {
	if code == result.QueueUnknown {
		queue = unknownLabel
	}
	m.refusals.WithLabelValues(queue, strconv.Itoa(int(code))).Inc()
}

func (m *metrics) maintained(c maintenance.Counters) {
	m.stops.Set(float64(c.Stops))
	m.moves.Set(float64(c.Moves))
	m.buffer.Set(c.BufferIdle.Seconds())
}
