package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"citrongauge.example/citrongauge/witness"
)

// permits are the metrics of an owner that acts without the store, and of its witnesses.
type permits struct {
	held     prometheus.Gauge
	requests *prometheus.CounterVec
	reclaims *prometheus.CounterVec
	witness  *prometheus.CounterVec
}

func newPermitMetrics(registry *prometheus.Registry) permits {
	p := permits{
		held: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "citrongauge_permits_held", Help: "Witnesses whose permits let this owner act without the store; 0: it may not.",
		}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "citrongauge_permit_requests_total", Help: "Requests of this owner for permits.",
		}, []string{"outcome"}),
		reclaims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "citrongauge_reclaims_total", Help: "Reclaims of the ownership after its lease has expired.",
		}, []string{"outcome"}),
		witness: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "citrongauge_witness_requests_total", Help: "Requests that this host has answered as a witness.",
		}, []string{"request", "outcome"}),
	}
	registry.MustRegister(p.held, p.requests, p.reclaims, p.witness)
	return p
}

// PermitRequested implements owner.Observer.
func (p permits) PermitRequested(outcome string) { p.requests.WithLabelValues(outcome).Inc() }

// PermitsHeld implements owner.Observer.
func (p permits) PermitsHeld(n int) { p.held.Set(float64(n)) }

// Reclaimed implements owner.Observer.
func (p permits) Reclaimed(succeeded bool) {
	outcome := "failed"
	if succeeded {
		outcome = "succeeded"
	}
	p.reclaims.WithLabelValues(outcome).Inc()
}

func (p permits) observeWitness(kind witness.Kind, outcome witness.Outcome) {
	p.witness.WithLabelValues(kind.String(), outcome.String()).Inc()
}
