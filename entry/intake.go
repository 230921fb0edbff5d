package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"citrongauge.example/citrongauge/intake"
	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

const (
	// largeSubmission is the size in bytes over which submissions are decoded one at a time: decoding takes several times their size.
	largeSubmission = 16 << 10
	// minStoreTime is the least time for the store that a submission has left after a slow body.
	minStoreTime = 300 * time.Millisecond
	// slowBodyTime is how long a body takes at least for minStoreTime to apply. Otherwise the client's own short timeout applies.
	slowBodyTime = 100 * time.Millisecond
)

// receive reads the body of a submission whose key has been checked. If it returns a response, nothing has been stored.
func (s *server) receive(c call, request *http.Request) ([]byte, *response) {
	limit := c.bundle.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	data, err := intake.ReadBody(request, limit)
	switch {
	case err == nil:
		return data, nil
	case errors.Is(err, intake.ErrBodyTooLarge):
		return nil, &response{outcome: largeBody}
	case errors.Is(err, intake.ErrNoBytes):
		return nil, &response{outcome: noRoomForBody}
	case errors.Is(err, intake.ErrBodyStalled):
		return nil, &response{outcome: bodyStalled}
	}
	return nil, &response{outcome: badBody, logFields: []any{"error", err.Error()}}
}

// decode decodes a submission. Large ones are decoded one at a time.
func (s *server) decode(data []byte) (*job.Job, error) {
	if len(data) > largeSubmission {
		s.decoding.Lock()
		defer s.decoding.Unlock()
	}
	return platform.DecodeSubmission(data)
}

// contextAfterBody returns a context for the call to the store. It gives the store at least minStoreTime if the body has taken
// slowBodyTime or more to arrive.
func contextAfterBody(ctx context.Context, request *http.Request, bodyTime time.Duration) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if bodyTime < slowBodyTime || !ok || time.Until(deadline) >= minStoreTime {
		return ctx, func() {}
	}
	return context.WithTimeout(request.Context(), minStoreTime)
}

// intakeObserver reports what listeners shed, in metrics and with at most one log line in a second for each listener and reason.
type intakeObserver struct {
	shed  *prometheus.CounterVec
	log   func(event string, fields ...any)
	limit intake.LogLimit
}

// Shed implements intake.Observer.
func (o *intakeObserver) Shed(listener, reason string, held intake.Held) {
	o.shed.WithLabelValues(listener, reason).Inc()
	o.limit.Do(listener, reason, func() {
		o.log("intake shed", "listener", listener, "reason", reason, "connections", held.Connections,
			"known_connections", held.KnownConnections, "bytes", held.Bytes)
	})
}

// newIntakeObserver returns an observer whose metrics are in a registry.
func newIntakeObserver(registry prometheus.Registerer, log func(event string, fields ...any)) *intakeObserver {
	o := &intakeObserver{
		shed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "citrongauge_intake_shed_total", Help: "Connections, heads and bodies that were shed or refused.",
		}, []string{"listener", "reason"}),
		log: log,
	}
	registry.MustRegister(o.shed)
	return o
}

// Names of the listeners in metrics and logs.
const (
	clientsListener   = "clients"
	readinessListener = "readiness"
	internalListener  = "internal"
)

// registerIntake registers the metrics of what a listener holds and may hold.
func registerIntake(registry prometheus.Registerer, name string, listener *intake.Listener) {
	gauge := func(metric, help string, value func() int64) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: metric, Help: help, ConstLabels: prometheus.Labels{"listener": name},
		}, func() float64 { return float64(value()) }))
	}
	limits := listener.Limits()
	gauge("citrongauge_intake_connections", "Open connections.", func() int64 { return int64(listener.Held().Connections) })
	gauge("citrongauge_intake_connections_limit", "Most open connections.", func() int64 { return int64(limits.Connections) })
	gauge("citrongauge_intake_bytes", "Bytes reserved for heads and bodies.", func() int64 { return listener.Held().Bytes })
	gauge("citrongauge_intake_bytes_limit", "Most bytes reserved for heads and bodies.", func() int64 { return limits.Bytes })
}
