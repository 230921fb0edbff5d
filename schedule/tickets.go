package schedule

import (
	"time"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

// tickets is the response of the advice service for one step of one occurrence: the upstreams that may run the step.
type tickets struct {
	byUpstream  map[string]string
	requestedAt time.Duration
	validUntil  time.Duration
	requesting  bool
}

const (
	// ticketTransitMargin is the part of a ticket's validity that is reserved for the delivery of a start to its
	// upstream.
	ticketTransitMargin = 300 * time.Millisecond
	maxAdviceUpstreams  = 30 // per request
	adviceRetryDelay    = 300 * time.Millisecond
)

// AdviceRequest requests advice on which upstreams may run a step.
type AdviceRequest struct {
	Job        job.ID
	Occurrence int
	Step       int
	Upstreams  []string
	Timeout    time.Duration
}

func (AdviceRequest) isCall() {}

// ticketFor returns the ticket that a start of the part on the upstream must carry, or an empty string if there is no
// valid one.
func (c *Core) ticketFor(p *part, up *upstream) string {
	if !p.job.Queue.NeedsAdvice || p.tickets == nil || c.now > p.tickets.validUntil {
		return ""
	}
	return p.tickets.byUpstream[up.ID]
}

// requestAdvice requests tickets for the waiting parts of advised queues.
func (c *Core) requestAdvice() {
	if !c.anyAdvised {
		return
	}
	for _, pool := range c.pools.all() {
		for p := range pool.parts.all() {
			if !p.job.Queue.NeedsAdvice || !p.hasWaiting(c.now) || !c.needsTickets(p) {
				continue
			}
			c.requestTickets(p, pool)
		}
	}
}

func (c *Core) needsTickets(p *part) bool {
	t := p.tickets
	return t == nil || !t.requesting && (c.now > t.validUntil || len(t.byUpstream) == 0 && c.now > t.requestedAt+adviceRetryDelay)
}

func (c *Core) requestTickets(p *part, pool *pool) {
	var names []string
	for _, up := range c.usable(pool) {
		if len(names) < maxAdviceUpstreams && p.step.ReservedResources().Fits(up.Capacity) {
			names = append(names, up.ID)
		}
	}
	if len(names) == 0 {
		return
	}
	timing := c.queues[p.job.Queue.Name].Advice
	p.tickets = &tickets{requesting: true, requestedAt: c.now}
	c.calls = append(c.calls, AdviceRequest{
		Job: p.job.ID, Occurrence: p.occurrence, Step: p.stepIndex, Upstreams: names,
		Timeout: 2*(timing.PerCall+time.Duration(len(names))*timing.PerUpstream) + time.Second,
	})
}

// HandleAdviceResult handles the result of an AdviceRequest.
func (c *Core) HandleAdviceResult(request AdviceRequest, result platform.Tickets, err error) {
	p, _ := c.findTask(job.TaskID{Job: request.Job, Occurrence: request.Occurrence, Step: request.Step})
	if p == nil || p.tickets == nil {
		return
	}
	p.tickets.requesting = false
	if err != nil {
		c.Log("request for advice failed", "job", request.Job, "step", request.Step, "error", err.Error())
		p.tickets.requestedAt = c.now
		return
	}
	// The validity is counted from here rather than from the sending of the response; ticketTransitMargin covers the
	// difference.
	p.tickets.validUntil = c.now + result.Validity - ticketTransitMargin
	p.tickets.byUpstream = result.ByUpstream
	c.Log("advice", "job", request.Job, "step", request.Step, "asked", len(request.Upstreams), "allowed", len(result.ByUpstream),
		"validity_ms", result.Validity.Milliseconds())
}
