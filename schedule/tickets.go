package schedule

import (
	"maps"
	"slices"
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
	asked       map[string]bool // the upstreams that requests have named, in turn
}

const (
	// ticketTransitMargin is the part of a ticket's validity that is reserved for the delivery of a start to its
	// upstream.
	ticketTransitMargin = 300 * time.Millisecond
	maxAdviceUpstreams  = 30 // per request
	adviceRetryDelay    = 300 * time.Millisecond
	// otherTicketsDelay is the shortest time between two requests for a step while its tickets are valid.
	otherTicketsDelay = time.Second
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
			if p.job.Queue.NeedsAdvice && p.hasWaiting(c.now) && (c.needsTickets(p) || c.needsOtherTickets(p, pool)) {
				c.requestTickets(p, pool)
			}
		}
	}
}

func (c *Core) needsTickets(p *part) bool {
	t := p.tickets
	return t == nil || !t.requesting && (c.now > t.validUntil || len(t.byUpstream) == 0 && c.now > t.requestedAt+adviceRetryDelay)
}

// needsOtherTickets reports whether the part's tasks fit on none of the upstreams with a ticket, but on another one that the
// last request did not name.
func (c *Core) needsOtherTickets(p *part, pool *pool) bool {
	t := p.tickets
	if t == nil || t.requesting || c.now < t.requestedAt+otherTicketsDelay {
		return false
	}
	reserved := p.step.ReservedResources()
	other := false
	for _, up := range c.usable(pool) {
		if !reserved.Fits(up.freeCapacity()) {
			continue
		}
		if t.byUpstream[up.ID] != "" {
			return false
		}
		other = other || !t.asked[up.ID]
	}
	return other
}

// requestTickets requests tickets for upstreams on which the part's tasks fit now, first those that no request has named, and
// then for others on which they can fit.
func (c *Core) requestTickets(p *part, pool *pool) {
	last := p.tickets
	if last == nil {
		last = &tickets{}
	}
	reserved := p.step.ReservedResources()
	var open, asked, full []string
	for _, up := range c.usable(pool) {
		switch {
		case !reserved.Fits(up.Capacity):
		case !reserved.Fits(up.freeCapacity()):
			full = append(full, up.ID)
		case last.asked[up.ID]:
			asked = append(asked, up.ID)
		default:
			open = append(open, up.ID)
		}
	}
	names := slices.Concat(open, asked, full)
	names = names[:min(len(names), maxAdviceUpstreams)]
	if len(names) == 0 {
		return
	}
	timing := c.queues[p.job.Queue.Name].Advice
	p.tickets = &tickets{
		requesting: true, requestedAt: c.now, byUpstream: last.byUpstream, validUntil: last.validUntil, asked: map[string]bool{},
	}
	if len(open) > len(names) {
		maps.Copy(p.tickets.asked, last.asked) // the next request names others
	}
	for _, name := range names {
		p.tickets.asked[name] = true
	}
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

// dropTickets forgets the tickets for an upstream that has started anew: they were valid for its life before.
func (c *Core) dropTickets(up *upstream) {
	if !c.anyAdvised {
		return
	}
	for p := range c.pool(up.Pool).parts.all() {
		if p.tickets != nil {
			delete(p.tickets.byUpstream, up.ID)
			delete(p.tickets.asked, up.ID)
		}
	}
}
