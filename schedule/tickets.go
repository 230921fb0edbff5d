package schedule

import (
	"time"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

// tickets are the advice for one step of one occurrence.
type tickets struct {
	byUpstream map[string]string
	askedAt    time.Duration
	until      time.Duration
	asking     bool
}

const (
	// ticketReserve is the part of a ticket's validity that is kept for the way of a start to its upstream.
	ticketReserve = 300 * time.Millisecond
	adviceHosts   = 30 // upstreams named in one call
	adviceRetry   = 300 * time.Millisecond
)

// Ask is a call for advice on a step.
type Ask struct {
	Job        job.ID
	Occurrence int
	Step       int
	Upstreams  []string
	Timeout    time.Duration
}

func (Ask) isCall() {}

// ticketFor returns the ticket that a start of the part on the upstream must carry, if it is known and valid.
func (c *Core) ticketFor(p *part, up *upstream) string {
	if !p.job.Queue.Advised || p.tickets == nil || c.now > p.tickets.until {
		return ""
	}
	return p.tickets.byUpstream[up.ID]
}

// askAdvice asks for tickets for the waiting parts of advised queues.
func (c *Core) askAdvice() {
	if !c.advised {
		return
	}
	for _, pool := range c.pools.all() {
		for p := range pool.parts.all() {
			if !p.job.Queue.Advised || !p.hasWaiting(c.now) || !c.needsTickets(p) {
				continue
			}
			c.ask(p, pool)
		}
	}
}

func (c *Core) needsTickets(p *part) bool {
	t := p.tickets
	return t == nil || !t.asking && (c.now > t.until || len(t.byUpstream) == 0 && c.now > t.askedAt+adviceRetry)
}

func (c *Core) ask(p *part, pool *pool) {
	var names []string
	for _, up := range c.usable(pool) {
		if len(names) < adviceHosts && p.step.Room().Fits(up.Capacity) {
			names = append(names, up.ID)
		}
	}
	if len(names) == 0 {
		return
	}
	terms := c.queues[p.job.Queue.Name].Advice
	p.tickets = &tickets{asking: true, askedAt: c.now}
	c.calls = append(c.calls, Ask{
		Job: p.job.ID, Occurrence: p.occurrence, Step: p.number, Upstreams: names,
		Timeout: 2*(terms.PerCall+time.Duration(len(names))*terms.PerHost) + time.Second,
	})
}

// Advised handles the answer to an Ask.
func (c *Core) Advised(ask Ask, answer platform.Tickets, err error) {
	p, _ := c.find(job.TaskID{Job: ask.Job, Occurrence: ask.Occurrence, Step: ask.Step})
	if p == nil || p.tickets == nil {
		return
	}
	p.tickets.asking = false
	if err != nil {
		c.Log("no advice", "job", ask.Job, "step", ask.Step, "error", err.Error())
		p.tickets.askedAt = c.now
		return
	}
	// The validity counts from the answer; the part of it that the answer's way took is covered by the reserve.
	p.tickets.until = c.now + answer.Validity - ticketReserve
	p.tickets.byUpstream = answer.ByUpstream
	c.Log("advice", "job", ask.Job, "step", ask.Step, "asked", len(ask.Upstreams), "allowed", len(answer.ByUpstream),
		"validity_ms", answer.Validity.Milliseconds())
}
