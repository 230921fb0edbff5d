package schedule

import (
	"time"

	"citrongauge.example/citrongauge/job"
)

// The stages of a run, from the decision to start it until its end is handled. Capacity is taken in all of them, but work is
// done in one only.

// stageReportInterval is the shortest time between two log lines about a pool's runs.
const stageReportInterval = time.Second

// stageTimes are sums over the runs of a pool since the last report.
type stageTimes struct {
	starts, late int     // starts that were sent, and how many of them were of late work, as of the last round of sizing
	record       timeSum // from the decision until the placement is stored
	send         timeSum // from then until the start is sent
	response     timeSum // from then until the response is handled
	run          timeSum // from the sent start until the end of a run that was done is handled
	expected     timeSum // what the steps of these runs estimate for them
	unpolled     timeSum // for upstreams with runs: from the response to a poll until the next poll is sent
}

// timeSum is a number of durations and their sum.
type timeSum struct {
	sum time.Duration
	n   int
}

func (s *timeSum) add(d time.Duration) {
	s.sum += d
	s.n++
}

// meanMS returns the mean in milliseconds, or 0 if there is no duration.
func (s *timeSum) meanMS() int64 { return s.sum.Milliseconds() / int64(max(s.n, 1)) }

// stages returns the sums of the pool to which the run's upstream belongs.
func (c *Core) stages(r *run) *stageTimes { return &c.pool(r.up.Pool).stages }

// noteRecorded records that the placement of a planned run is stored.
func (c *Core) noteRecorded(r *run) {
	if r.recordedAt == 0 {
		r.recordedAt = c.now
		c.stages(r).record.add(c.now - r.plannedAt)
	}
}

// noteSent records that the first copy of the run's start is sent.
func (c *Core) noteSent(r *run) {
	s := c.stages(r)
	s.starts++
	if r.part.tier >= tierLate {
		s.late++
	}
	s.send.add(c.now - max(r.recordedAt, r.plannedAt))
}

// noteDone records that the end of a run that was done is handled.
func (c *Core) noteDone(r *run) {
	if r.adopted || r.part.step.LongRunning {
		return
	}
	s := c.stages(r)
	s.run.add(c.now - r.started)
	s.expected.add(r.part.step.Estimate)
}

// reportStages logs what the pool's runs spent their time on, at most every stageReportInterval.
func (c *Core) reportStages(p *pool, usable []*upstream) {
	if c.now < p.nextStageReport {
		return
	}
	p.nextStageReport = c.now + stageReportInterval
	s := p.stages
	p.stages = stageTimes{}
	if s.starts == 0 && s.run.n == 0 {
		return
	}
	var planned, unanswered, running int
	var capacity, used job.Resources
	for _, up := range usable {
		capacity, used = capacity.Add(up.Capacity), used.Add(up.used)
		for _, r := range up.runs.all() {
			switch r.state {
			case runPlanned:
				planned++
			case runStarting, runUnknown:
				unanswered++
			default:
				running++
			}
		}
	}
	c.Log("runs by stage", "pool", p.name, "starts", s.starts, "late", s.late, "record_ms", s.record.meanMS(), "send_ms", s.send.meanMS(),
		"response_ms", s.response.meanMS(), "ends", s.run.n, "run_ms", s.run.meanMS(), "expected_ms", s.expected.meanMS(),
		"unpolled_ms", s.unpolled.meanMS(), "planned", planned, "unanswered", unanswered, "running", running,
		"free_percent", 100*(capacity.MilliCPU-used.MilliCPU)/max(capacity.MilliCPU, 1), "usable", len(usable),
		"store_ms", c.window.storeTime.Milliseconds(), "batch_jobs", c.batchJobs, "start_limit", int(c.window.limit))
}
