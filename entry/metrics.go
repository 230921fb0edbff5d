package entry

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"citrongauge.example/citrongauge/schedule"
)

// metrics are the counters and histograms of an entry host.
type metrics struct {
	registry  *prometheus.Registry
	calls     *prometheus.HistogramVec
	store     *prometheus.CounterVec
	jobs      *prometheus.HistogramVec
	owning    prometheus.Gauge
	ownerStat *prometheus.GaugeVec
}

func newMetrics(dropped func() int) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		calls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "citrongauge_call_seconds", Help: "Time to answer a client's call.",
			Buckets: []float64{.002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5},
		}, []string{"method", "status"}),
		store: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "citrongauge_platform_calls_total", Help: "Calls to the platform's services.",
		}, []string{"call", "outcome"}),
		jobs: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "citrongauge_job_seconds", Help: "Time from acceptance to the end of a job, on the owner.",
			Buckets: []float64{.5, 1, 2, 3, 5, 8, 13, 21, 34},
		}, []string{"team", "queue", "phase"}),
		owning: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "citrongauge_owner", Help: "1 while this host owns the fleet.",
		}),
		ownerStat: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "citrongauge_owner_counts", Help: "What the owner has done since it claimed the fleet, by kind.",
		}, []string{"kind"}),
	}
	lines := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "citrongauge_log_lines_dropped", Help: "Log lines that were dropped because they were not read in time.",
	}, func() float64 { return float64(dropped()) })
	m.registry.MustRegister(m.calls, m.store, m.jobs, m.owning, m.ownerStat, lines)
	return m
}

func (m *metrics) answered(method string, status int, took time.Duration) {
	m.calls.WithLabelValues(method, strconv.Itoa(status)).Observe(took.Seconds())
}

func (m *metrics) platformCall(call string, err error) {
	outcome := "answered"
	if err != nil {
		outcome = "failed"
	}
	m.store.WithLabelValues(call, outcome).Inc()
}

// Owning implements owner.Observer.
func (m *metrics) Owning(owning bool) {
	if owning {
		m.owning.Set(1)
		return
	}
	m.owning.Set(0)
	m.ownerStat.Reset()
}

// JobEnded implements owner.Observer.
func (m *metrics) JobEnded(team, queue, phase string, age time.Duration) {
	m.jobs.WithLabelValues(team, queue, phase).Observe(age.Seconds())
}

// Counts implements owner.Observer.
func (m *metrics) Counts(stats schedule.Stats, jobs, upstreams int) {
	for kind, n := range map[string]int{
		"starts": stats.Starts, "done": stats.Done, "failed": stats.Failed, "requeued": stats.Requeued,
		"stops": stats.Stops, "looks": stats.Looks, "refused": stats.Refused, "moves": stats.Moves, "jobs": jobs,
		"upstreams": upstreams,
	} {
		m.ownerStat.WithLabelValues(kind).Set(float64(n))
	}
}
