package schedule

import (
	"slices"
	"time"

	"citrongauge.example/citrongauge/job"
)

// Record is a job's progress to be stored, or the removal of all the job's records.
type Record struct {
	ID       job.ID
	Progress job.Progress
	Remove   bool
}

// RecordBatch is a batch of records to be written together. RecordsStored confirms batches in order.
type RecordBatch struct {
	Number            uint64
	Jobs              []Record
	CommandedMachines *CommandedMachines  // nil: unchanged
	Unreached         *UnreachedUpstreams // nil: unchanged
	LongLeases        *LongLeases         // nil: unchanged
	Turns             *TurnRecord         // nil: unchanged
}

// markDirty marks a job's progress for storing.
func (c *Core) markDirty(j *jobState) { c.dirty.set(j.ID, j) }

// retentionFactor keeps the records of ended jobs for longer than the platform's bound, because a client may repeat
// its request late.
const retentionFactor = 2

// phaseDelay is the longest time after the start of a job until its phase is stored as active. Most jobs have other
// progress to store by then.
const phaseDelay = time.Second

// noteJobBegun records that an upstream has begun a task of the job.
func (c *Core) noteJobBegun(j *jobState) {
	if !j.hasBegun {
		j.hasBegun = true
		c.begun.set(j.ID, c.now)
	}
}

// markBegunJobs marks the jobs for storing that have begun phaseDelay ago and have not been stored since.
func (c *Core) markBegunJobs() {
	for id, at := range c.begun.all() {
		if c.now < at+phaseDelay {
			return
		}
		c.begun.delete(id)
		if j := c.jobs.get(id); j != nil && !j.phase.Terminal() {
			c.markDirty(j)
		}
	}
}

// TakeRecords returns the next batch of records.
func (c *Core) TakeRecords() RecordBatch {
	c.lastBatch++
	c.takenAt = c.now
	batch := RecordBatch{
		Number: c.lastBatch, CommandedMachines: c.takeCommandedMachines(), Unreached: c.takeUnreached(), LongLeases: c.takeLongLeases(),
		Turns: c.takeTurnRecord(),
	}
	for id, j := range c.dirty.all() {
		batch.Jobs = append(batch.Jobs, Record{ID: id, Progress: c.snapshot(j)})
		c.dirty.delete(id)
		c.begun.delete(id)
	}
	batch.Jobs = append(batch.Jobs, c.expiredRecords()...)
	c.batchJobs = len(batch.Jobs)
	return batch
}

func (c *Core) retire(id job.ID, endedMS int64) {
	c.retired = append(c.retired, retired{id, endedMS})
	c.retiredIDs[id] = struct{}{}
}

// maxRemovals bounds the removals in one batch.
const maxRemovals = 10

// expiredRecords returns removals for jobs whose retention has expired.
func (c *Core) expiredRecords() []Record {
	var records []Record
	horizon := c.wallMS - retentionFactor*c.Bounds.Retention.Milliseconds()
	for len(c.retired) > 0 && c.retired[0].endedMS < horizon && len(records) < maxRemovals {
		records = append(records, Record{ID: c.retired[0].id, Remove: true})
		delete(c.retiredIDs, c.retired[0].id)
		c.retired = c.retired[1:]
	}
	return records
}

// HasUnstoredRecords reports whether TakeRecords would return any records.
func (c *Core) HasUnstoredRecords() bool {
	if c.dirty.len() > 0 || c.commandsDirty || c.unreached.dirty || c.longLeases.dirty || c.turnRecord.due {
		return true
	}
	horizon := c.wallMS - retentionFactor*c.Bounds.Retention.Milliseconds()
	return len(c.retired) > 0 && c.retired[0].endedMS < horizon
}

// HasCallsAwaitingRecords reports whether starts or commands for machines wait for records to be stored, or starts were sent before.
func (c *Core) HasCallsAwaitingRecords() bool {
	return len(c.plannedRuns) > 0 || len(c.heldCommands) > 0 || c.HasUnrecordedStarts()
}

// RecordsStored confirms that a batch has been stored. Ends that it covers may now be acknowledged.
func (c *Core) RecordsStored(batch uint64) {
	c.durableBatch = batch
	c.window.stored(c.now - c.takenAt)
	c.sendPlannedStarts()
	c.sendHeldCommands()
	for _, up := range c.upstreams.all() {
		up.advanceAck(batch)
	}
	for _, j := range c.largeJobs.all() {
		c.forgetDoneParts(j)
	}
	for id, j := range c.jobs.all() {
		if !j.phase.Terminal() || c.isDirty(id) || !j.hasNoRuns() || c.mayRunUnseenOf(j) {
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

// mayRunUnseenOf reports whether a task of the job may be running on an upstream that has not been reached since the
// claim.
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

// hasNoRuns reports whether the job has no runs left.
func (j *jobState) hasNoRuns() bool {
	return !slices.ContainsFunc(j.parts, (*part).hasRuns)
}

// RefuseRecord ends a job whose progress is larger than the store takes, and returns what is to be stored of it instead: otherwise nothing of
// it could be acknowledged or started any more. ok is false if the job is not known.
func (c *Core) RefuseRecord(id job.ID) (progress job.Progress, ok bool) {
	j := c.jobs.get(id)
	if j == nil {
		return job.Progress{}, false
	}
	j.recordRefused = true
	if !j.phase.Terminal() {
		c.endJob(j, job.Failed, "its progress is larger than the store takes")
	}
	return c.snapshot(j), true
}

// shownPhase returns the phase that clients see.
func (j *jobState) shownPhase() job.Phase {
	if j.hasBegun && !j.phase.Terminal() {
		return job.Active
	}
	return j.phase
}

// snapshot returns a copy of the job's progress to be stored. That of an ended job has no parts once nothing of it can run.
func (c *Core) snapshot(j *jobState) job.Progress {
	progress := job.Progress{Phase: j.shownPhase(), EndedMS: j.endedMS}
	if j.phase.Terminal() && (j.recordRefused || j.hasNoRuns() && !c.mayRunUnseenOf(j)) {
		return progress
	}
	j.recordForgotten(&progress)
	for _, p := range j.parts {
		if recorded := p.snapshot(); recorded.Done != nil || recorded.Failures != nil || recorded.Placements != nil || recorded.Crashes != nil {
			progress.Parts = append(progress.Parts, recorded)
		}
	}
	return progress
}

// maxDoneRows is the largest number of done parts that a record lists one by one, as earlier versions read them. Such a part takes about 11
// bytes, and one that runs about 30.
const maxDoneRows = 8192

// recordForgotten records which parts of a large job are done and no longer open.
func (j *jobState) recordForgotten(progress *job.Progress) {
	if len(j.forgotten) == 0 {
		return
	}
	var numbers []int
	for number := range j.partCount() {
		if j.forgotten.has(number) {
			numbers = append(numbers, number)
		}
	}
	if len(numbers) > maxDoneRows {
		for _, number := range numbers {
			progress.SetFinished(number)
		}
		return
	}
	done := make([][]byte, len(j.Steps))
	for _, number := range numbers {
		occurrence, step := number/len(j.Steps), number%len(j.Steps)
		if done[step] == nil {
			done[step] = job.AllDone(j.Steps[step].Count)
		}
		progress.Parts = append(progress.Parts, job.PartProgress{Occurrence: occurrence, Step: step, Done: done[step]})
	}
}

func (p *part) snapshot() job.PartProgress {
	recorded := p.progress
	recorded.Done = append([]byte(nil), p.progress.Done...)
	recorded.Failures = append([]job.TaskFailure(nil), p.progress.Failures...)
	recorded.Crashes = append([]job.TaskCrash(nil), p.progress.Crashes...)
	recorded.SetPlacements(len(p.tasks), func(index int) (string, bool) {
		t := &p.tasks[index]
		if t.done {
			return "", false
		}
		return t.placedOn, t.bound
	})
	return recorded
}
