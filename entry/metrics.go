package entry

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"citrongauge.example/citrongauge/schedule"
)

// metrics are the Prometheus metrics of an entry host.
type metrics struct {
	registry      *prometheus.Registry
	callSeconds   *prometheus.HistogramVec
	answers       *prometheus.CounterVec
	platformCalls *prometheus.CounterVec
	jobSeconds    *prometheus.HistogramVec
	ownerGauge    prometheus.Gauge
	ownerCounts   *prometheus.GaugeVec
	ownerSteps    *prometheus.HistogramVec
	permits
}

func newMetrics(dropped func() int) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		callSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "citrongauge_call_seconds", Help: "Time to answer a client's call.",
			Buckets: []float64{.002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5},
		}, []string{"method", "status"}),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "citrongauge_answers_total", Help: "Answers to clients' calls, by code of docs/ERRORS.md.",
		}, []string{"code"}),
		platformCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "citrongauge_platform_calls_total", Help: "Calls to the platform's services.",
		}, []string{"call", "outcome"}),
		jobSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "citrongauge_job_seconds", Help: "Time from acceptance to the end of a job, on the owner.",
			Buckets: []float64{.5, 1, 2, 3, 5, 8, 13, 21, 34},
		}, []string{"team", "queue", "phase"}),
		ownerGauge: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "citrongauge_owner", Help: "1 while this host owns the fleet.",
		}),
		ownerCounts: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "citrongauge_owner_counts", Help: "What the owner has done since it claimed the fleet, by kind.",
		}, []string{"kind"}),
		ownerSteps: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "citrongauge_owner_step_seconds", Help: "Time of a step of the owner's event loop, by kind: decision or event.",
			Buckets: []float64{.001, .005, .02, .1, .5, 1, 2, 5},
		}, []string{"kind"}),
	}
	droppedLines := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "citrongauge_log_lines_dropped", Help: "Log lines that were dropped because they were not read in time.",
	}, func() float64 { return float64(dropped()) })
	m.permits = newPermitMetrics(m.registry)
	m.registry.MustRegister(m.callSeconds, m.answers, m.platformCalls, m.jobSeconds, m.ownerGauge, m.ownerCounts, m.ownerSteps, droppedLines)
	return m
}

func (m *metrics) observeCall(method string, result outcome, took time.Duration) {
	m.callSeconds.WithLabelValues(method, strconv.Itoa(result.status)).Observe(took.Seconds())
	m.answers.WithLabelValues(strconv.Itoa(result.code)).Inc()
}

// showStoreSilence adds a metric of for how long the store has been silent.
func (m *metrics) showStoreSilence(silence func() time.Duration) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "citrongauge_store_silent_seconds", Help: "For how long the store has answered no call of this host; 0 while it answers.",
	}, func() float64 { return silence().Seconds() }))
}

func (m *metrics) observePlatformCall(call string, err error) {
	outcome := "answered"
	if err != nil {
		outcome = "failed"
	}
	m.platformCalls.WithLabelValues(call, outcome).Inc()
}

// OwnershipChanged implements owner.Observer.
func (m *metrics) OwnershipChanged(owning bool) {
	if owning {
		m.ownerGauge.Set(1)
		return
	}
	m.ownerGauge.Set(0)
	m.ownerCounts.Reset()
}

// JobEnded implements owner.Observer.
func (m *metrics) JobEnded(team, queue, phase string, age time.Duration) {
	m.jobSeconds.WithLabelValues(team, queue, phase).Observe(age.Seconds())
}

// StepTook implements owner.Observer.
func (m *metrics) StepTook(kind string, took time.Duration) {
	m.ownerSteps.WithLabelValues(kind).Observe(took.Seconds())
}

// Counts implements owner.Observer.
func (m *metrics) Counts(stats schedule.Stats, jobs, upstreams int) {
	for kind, n := range map[string]int{
		"starts": stats.Starts, "done": stats.Done, "failed": stats.Failed, "requeued": stats.Requeued,
		"stops": stats.Stops, "looks": stats.Polls, "refused": stats.RejectedStarts, "moves": stats.Moves, "jobs": jobs,
		"upstreams": upstreams, "long_running_waiting": stats.LongRunningWaiting,
		"long_running_unconfirmed": stats.LongRunningUnconfirmed, "restarts": stats.Restarts, "doubts": stats.Doubts,
		"unrecorded_starts": stats.UnrecordedStarts, "held_back": stats.HeldBack,
		"turns_predicted": stats.TurnsPredicted, "turns_missed": stats.TurnsMissed,
	} {
		m.ownerCounts.WithLabelValues(kind).Set(float64(n))
	}
}
