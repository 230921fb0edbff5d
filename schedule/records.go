package schedule

import (
	"citrongauge.example/citrongauge/job"
)

// Record is a job's progress to be stored, or the removal of all that is stored of it.
type Record struct {
	ID       job.ID
	Progress job.Progress
	Remove   bool
}

// Round is what is to be stored in one go. It is to be confirmed by Stored, in order.
type Round struct {
	Number  uint64
	Jobs    []Record
	Ordered *Ordered // nil: unchanged
}

// touch marks a job's progress for storing.
func (c *Core) touch(j *jobState) { c.dirty.set(j.ID, j) }

// retentionFactor keeps the records of ended jobs beyond the platform's bound: a client's repeat may come late.
const retentionFactor = 2

// Take returns a new round.
func (c *Core) Take() Round {
	c.round++
	round := Round{Number: c.round, Ordered: c.takeOrders()}
	for id, j := range c.dirty.all() {
		round.Jobs = append(round.Jobs, Record{ID: id, Progress: j.snapshot()})
		c.dirty.delete(id)
	}
	round.Jobs = append(round.Jobs, c.expired()...)
	return round
}

func (c *Core) retire(id job.ID, endedMS int64) {
	c.retired = append(c.retired, retired{id, endedMS})
	c.endedIDs[id] = struct{}{}
}

// maxRemovals bounds the removals of one round.
const maxRemovals = 10

// expired returns removals of jobs whose retention is over.
func (c *Core) expired() []Record {
	var records []Record
	horizon := c.wallMS - retentionFactor*c.Bounds.Retention.Milliseconds()
	for len(c.retired) > 0 && c.retired[0].endedMS < horizon && len(records) < maxRemovals {
		records = append(records, Record{ID: c.retired[0].id, Remove: true})
		delete(c.endedIDs, c.retired[0].id)
		c.retired = c.retired[1:]
	}
	return records
}

// NeedsStoring reports whether Take would return anything.
func (c *Core) NeedsStoring() bool {
	if c.dirty.len() > 0 || c.ordersDirty {
		return true
	}
	horizon := c.wallMS - retentionFactor*c.Bounds.Retention.Milliseconds()
	return len(c.retired) > 0 && c.retired[0].endedMS < horizon
}

// StartsWait reports whether starts or orders for machines wait for a record to be stored.
func (c *Core) StartsWait() bool { return len(c.planned) > 0 || len(c.held) > 0 }

// Stored confirms that the records of a round are stored. Ends that they cover may now be acknowledged.
func (c *Core) Stored(round uint64) {
	c.durable = round
	c.sendPlanned()
	c.sendHeld()
	for _, up := range c.upstreams.all() {
		up.advanceAck(round)
	}
	for id, j := range c.jobs.all() {
		if !j.phase.Terminal() || c.isDirty(id) || !j.isQuiet() || c.mayRunUnseenOf(j) {
			continue
		}
		c.jobs.delete(id)
		c.retire(id, j.endedMS)
	}
}

func (c *Core) isDirty(id job.ID) bool {
	_, dirty := c.dirty.lookup(id)
	return dirty
}

// mayRunUnseenOf reports whether tasks of the job may run on an upstream that was not reached since the claim.
func (c *Core) mayRunUnseenOf(j *jobState) bool {
	for _, p := range j.parts {
		for i := range p.tasks {
			if c.mayRunUnseen(p, &p.tasks[i]) {
				return true
			}
		}
	}
	return false
}

// isQuiet reports whether nothing of the job runs any more.
func (j *jobState) isQuiet() bool {
	for _, p := range j.parts {
		for i := range p.tasks {
			if len(p.tasks[i].runs) > 0 {
				return false
			}
		}
	}
	return true
}

// shownPhase returns the phase that clients see.
func (j *jobState) shownPhase() job.Phase {
	if j.begun && !j.phase.Terminal() {
		return job.Active
	}
	return j.phase
}

// snapshot returns the progress to be stored.
func (j *jobState) snapshot() job.Progress {
	progress := job.Progress{Phase: j.shownPhase(), EndedMS: j.endedMS}
	if j.phase.Terminal() && j.isQuiet() {
		return progress
	}
	for _, p := range j.parts {
		if recorded := p.snapshot(); recorded.Done != nil || recorded.Failures != nil || recorded.Placed != nil {
			progress.Parts = append(progress.Parts, recorded)
		}
	}
	return progress
}

func (p *part) snapshot() job.PartProgress {
	recorded := p.progress
	recorded.Done = append([]byte(nil), p.progress.Done...)
	recorded.Failures = append([]job.TaskFailure(nil), p.progress.Failures...)
	recorded.Hosts, recorded.Placed = nil, nil
	for i := range p.tasks {
		if t := &p.tasks[i]; !t.done && t.placed != "" {
			recorded.Place(i, t.placed)
		}
	}
	return recorded
}
