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

// unknownLabel replaces names that are not in the bundle, so that callers cannot create an unbounded number of label
// values.
const unknownLabel = "unknown"

// metrics are the daemon's Prometheus metrics. Teams and queues are labels; the bundle bounds the number of both.
type metrics struct {
	registry         *prometheus.Registry
	requests         *prometheus.CounterVec
	intakeShed       *prometheus.CounterVec
	duration         *prometheus.HistogramVec
	queueDuration    *prometheus.HistogramVec
	rejections       *prometheus.CounterVec
	revision         prometheus.Gauge
	bundleVersion    prometheus.Gauge
	acceptedVersion  prometheus.Gauge
	members          prometheus.Gauge
	drainsBegun      prometheus.Gauge
	hostMoves        prometheus.Gauge
	spareIdleSeconds prometheus.Gauge
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
	m.queueDuration = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Subsystem: "task", Name: "queue_duration_seconds", Help: "Time in the queue before dispatch.", Buckets: buckets,
	}, []string{"team", "queue"})
	m.rejections = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Subsystem: "task", Name: "refusals_total", Help: "Requests refused before they were queued, by result code.",
	}, []string{"queue", "code"})
	m.intakeShed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Subsystem: "intake", Name: "shed_total", Help: "Connections, heads and bodies that were shed or refused.",
	}, []string{"listener", "reason"})
	m.revision = newGauge("control", "revision", "Revision of the control record in force.")
	m.bundleVersion = newGauge("control", "bundle_version", "Version of the bundle in force.")
	m.acceptedVersion = newGauge("control", "accepted_version", "Last bundle version that is in force everywhere.")
	m.members = newGauge("control", "members", "Entry hosts in the roster.")
	m.drainsBegun = newGauge("maintenance", "planned_stops", "Planned stops committed by this host since its start.")
	m.hostMoves = newGauge("maintenance", "host_moves", "Pool moves completed by this host since its start.")
	m.spareIdleSeconds = newGauge("maintenance", "buffer_idle_seconds", "Idle time of spare hosts, summed over hosts, while this host planned.")
	m.registry.MustRegister(m.requests, m.intakeShed, m.duration, m.queueDuration, m.rejections, m.revision, m.bundleVersion, m.acceptedVersion, m.members, m.drainsBegun, m.hostMoves, m.spareIdleSeconds,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func newGauge(subsystem, name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help})
}

func (m *metrics) setControlState(s *controlState) {
	m.revision.Set(float64(s.record.Revision))
	m.bundleVersion.Set(float64(s.record.BundleVersion))
	m.acceptedVersion.Set(float64(s.record.AcceptedVersion))
	m.members.Set(float64(len(s.record.Roster)))
}

func (m *metrics) observeOutcome(r *request, o requestid.Outcome, total time.Duration) {
	team, queue := r.team.Name, r.queue.Name
	m.requests.WithLabelValues(team, queue, strconv.Itoa(int(o.Code))).Inc()
	m.duration.WithLabelValues(team, queue).Observe(total.Seconds())
	m.queueDuration.WithLabelValues(team, queue).Observe(o.QueueDuration.Seconds())
}

func (m *metrics) countRejection(queue string, code result.Code) {
	if code == result.QueueUnknown {
		queue = unknownLabel
	}
	m.rejections.WithLabelValues(queue, strconv.Itoa(int(code))).Inc()
}

func (m *metrics) setMaintenanceCounters(c maintenance.Counters) {
	m.drainsBegun.Set(float64(c.DrainsBegun))
	m.hostMoves.Set(float64(c.Moves))
	m.spareIdleSeconds.Set(c.SpareIdle.Seconds())
}
