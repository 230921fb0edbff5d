package schedule

import (
	"slices"
	"time"

	"citrongauge.example/citrongauge/job"
)

// A scheduled job may have 100,000 parts that are all due at once. If each of them had its structures from then on, memory, turns of the
// event loop and records would grow with what waits. So a part of a large job is opened when its tasks can be started next, and
// forgotten once it is done and that is stored. An occurrence that is due is a number until then.

const (
	// maxPartsOpenedWhenDue is the largest number of parts of a job that are opened as soon as they are due.
	maxPartsOpenedWhenDue = 256
	// maxOpenParts bounds the open parts of all large jobs together, and maxOpenPartsOfJob those of one, which its record has to hold.
	maxOpenParts      = 1 << 15
	maxOpenPartsOfJob = 1 << 13
	// waitingShare is the part of a job's open parts that may wait. The others run.
	waitingShare = 0.25
	// openInterval is the shortest time between two rounds in which parts are opened.
	openInterval = 50 * time.Millisecond
)

// stepState is what is known of all occurrences of a step.
type stepState struct {
	tasksDone int
	// next is the first occurrence that was not considered for opening; of steps that depend on no other one, in large jobs.
	next int
	// ready has the occurrences whose earlier steps are done and that were not considered for opening; of other steps, in large jobs.
	ready []int
	// open and waiting are the open parts that are not done, and those of them with tasks that have no run, as of this round of opening.
	open, waiting int
}

// isLarge reports whether the job's parts are opened when they can be started.
func (j *jobState) isLarge() bool { return j.partCount() > maxPartsOpenedWhenDue }

// partCount returns the number of parts of all occurrences.
func (j *jobState) partCount() int { return j.Occurrences() * len(j.Steps) }

// partNumber numbers the parts of a job.
func (j *jobState) partNumber(occurrence, step int) int { return occurrence*len(j.Steps) + step }

// part returns an open part, or nil.
func (j *jobState) part(occurrence, step int) *part {
	number := j.partNumber(occurrence, step)
	if number < len(j.parts) && j.parts[number].number() == number {
		return j.parts[number]
	}
	if i, found := j.findPart(number); found {
		return j.parts[i]
	}
	return nil
}

func (j *jobState) findPart(number int) (index int, found bool) {
	return slices.BinarySearchFunc(j.parts, number, func(p *part, number int) int { return p.number() - number })
}

// isStepDone reports whether all tasks of a step of an occurrence are done.
func (j *jobState) isStepDone(occurrence, step int) bool {
	if p := j.part(occurrence, step); p != nil {
		return p.isDone()
	}
	return j.forgotten.has(j.partNumber(occurrence, step))
}

// openPart adds a part that is not open, with its recorded progress (nil: none).
func (c *Core) openPart(j *jobState, occurrence, step int, recorded *job.PartProgress) *part {
	p := &part{
		job: j, step: &j.Steps[step], occurrence: occurrence, stepIndex: step, perUpstream: map[string]int{},
		progress: job.PartProgress{Occurrence: occurrence, Step: step}, tasks: make([]task, j.Steps[step].Count),
		arrival: c.dueTime(j, occurrence),
	}
	if recorded != nil {
		p.restore(*recorded)
	}
	i, _ := j.findPart(p.number())
	j.parts = slices.Insert(j.parts, i, p)
	j.openParts++
	if p.isDone() {
		c.notePartDone(p)
	}
	return p
}

// notePartDone records that all tasks of an open part are done.
func (c *Core) notePartDone(p *part) {
	j := p.job
	j.openParts--
	j.partsLeft--
	if !j.isLarge() {
		return
	}
	j.donePending = append(j.donePending, donePart{p, c.lastBatch + 1})
	for step := range j.Steps {
		if slices.Contains(j.Steps[step].After, p.stepIndex) && c.dependenciesDone(j, p.occurrence, step) {
			c.noteReady(j, p.occurrence, step)
		}
	}
}

// noteReady records that all steps are done which a step of an occurrence depends on. It is open already if a run of it was found.
func (c *Core) noteReady(j *jobState, occurrence, step int) {
	if p := j.part(occurrence, step); p != nil && !p.released && !p.isDone() {
		c.release(p)
		return
	}
	j.steps[step].ready = append(j.steps[step].ready, occurrence)
}

// donePart is a part of a large job that is done. The batch stores that.
type donePart struct {
	part  *part
	batch uint64
}

// forgetDoneParts forgets the parts of a large job that are done, as the store knows, and have no runs any more.
func (c *Core) forgetDoneParts(j *jobState) {
	forgotten := false
	j.donePending = slices.DeleteFunc(j.donePending, func(d donePart) bool {
		if d.batch > c.durableBatch || d.part.hasRuns() {
			return false
		}
		j.forgotten.set(d.part.number())
		forgotten = true
		return true
	})
	if forgotten {
		j.parts = slices.DeleteFunc(j.parts, func(p *part) bool { return j.forgotten.has(p.number()) })
	}
}

// openLargeJobs opens parts of the large jobs, at intervals.
func (c *Core) openLargeJobs() {
	if c.now < c.nextOpening {
		return
	}
	c.nextOpening = c.now + openInterval
	for _, j := range c.largeJobs.all() {
		c.openWaitingParts(j)
	}
}

// openWaitingParts opens parts of a large job, those of earlier occurrences first, until as many wait as may. Each step may have its share
// of these, so that one whose tasks find no upstream leaves room to the others.
func (c *Core) openWaitingParts(j *jobState) {
	if j.phase.Terminal() {
		return
	}
	limit := c.openLimit(j)
	waitingLimit := max(int(waitingShare*float64(limit))/len(j.Steps), 1)
	j.countOpenParts()
	for {
		step, occurrence := j.nextToOpen(limit, waitingLimit)
		if step < 0 {
			break
		}
		j.steps[step].take()
		c.release(c.openPart(j, occurrence, step, nil))
	}
}

// openLimit returns how many parts of a large job may be open.
func (c *Core) openLimit(j *jobState) int {
	return max(min(maxOpenParts/max(c.largeJobs.len(), 1), maxOpenPartsOfJob), len(j.Steps))
}

// countOpenParts counts the open parts of each step, and those that wait.
func (j *jobState) countOpenParts() {
	for step := range j.steps {
		j.steps[step].open, j.steps[step].waiting = 0, 0
	}
	for _, p := range j.parts {
		s := &j.steps[p.stepIndex]
		if !p.isDone() {
			s.open++
		}
		if p.hasUnstarted() {
			s.waiting++
		}
	}
}

// nextToOpen returns the part of the earliest occurrence that may be opened. step is -1 if none may. At the limit, each step may still have
// one open part, and long-running ones more: each of these is to run as long as its job does.
func (j *jobState) nextToOpen(limit, waitingLimit int) (step, occurrence int) {
	step = -1
	for i := range j.steps {
		s := &j.steps[i]
		if s.waiting >= waitingLimit || j.openParts >= limit && s.open > 0 && !j.Steps[i].LongRunning {
			continue
		}
		if k, ok := j.firstUnopened(i); ok && (step < 0 || k < occurrence) {
			step, occurrence = i, k
		}
	}
	return step, occurrence
}

// firstUnopened returns the first due occurrence of a step that can be opened.
func (j *jobState) firstUnopened(step int) (occurrence int, ok bool) {
	s := &j.steps[step]
	if len(j.Steps[step].After) > 0 {
		for len(s.ready) > 0 && j.wasOpened(s.ready[0], step) {
			s.ready = s.ready[1:]
		}
		if len(s.ready) == 0 {
			return 0, false
		}
		return s.ready[0], true
	}
	for s.next < j.dueOccurrences && j.wasOpened(s.next, step) {
		s.next++
	}
	return s.next, s.next < j.dueOccurrences
}

// wasOpened reports whether the part is open or has been.
func (j *jobState) wasOpened(occurrence, step int) bool {
	return j.part(occurrence, step) != nil || j.forgotten.has(j.partNumber(occurrence, step))
}

// take removes the occurrence that firstUnopened returned, which is opened.
func (s *stepState) take() {
	s.open++
	s.waiting++
	if len(s.ready) > 0 {
		s.ready = s.ready[1:]
		return
	}
	s.next++
}

// restoreLarge applies the recorded progress of a large job.
func (c *Core) restoreLarge(j *jobState, progress *job.Progress) {
	for number := range j.partCount() {
		if progress.IsFinished(number) {
			j.noteForgotten(number)
		}
	}
	for _, recorded := range progress.Parts {
		if recorded.Step >= len(j.Steps) || recorded.Occurrence >= j.Occurrences() || j.wasOpened(recorded.Occurrence, recorded.Step) {
			continue
		}
		if recorded.CountDone() >= j.Steps[recorded.Step].Count {
			j.noteForgotten(j.partNumber(recorded.Occurrence, recorded.Step))
		}
	}
	for _, recorded := range progress.Parts {
		if recorded.Step < len(j.Steps) && recorded.Occurrence < j.Occurrences() && !j.wasOpened(recorded.Occurrence, recorded.Step) {
			c.openPart(j, recorded.Occurrence, recorded.Step, &recorded)
		}
	}
	c.releaseReadyParts(j)
	for step := range j.Steps {
		c.findReady(j, step)
	}
}

// noteForgotten records that a part that is not open is done.
func (j *jobState) noteForgotten(number int) {
	j.forgotten.set(number)
	j.partsLeft--
	step := number % len(j.Steps)
	j.steps[step].tasksDone += j.Steps[step].Count
	j.dueOccurrences = max(j.dueOccurrences, number/len(j.Steps)+1)
}

// findReady finds the occurrences of a step that can be opened, if it depends on others.
func (c *Core) findReady(j *jobState, step int) {
	if len(j.Steps[step].After) == 0 {
		return
	}
	j.steps[step].ready = nil
	for occurrence := range j.dueOccurrences {
		if !j.wasOpened(occurrence, step) && c.dependenciesDone(j, occurrence, step) {
			j.steps[step].ready = append(j.steps[step].ready, occurrence)
		}
	}
}

// unopened returns how many due parts of the job were not opened yet.
func (j *jobState) unopened() int {
	return j.dueOccurrences*len(j.Steps) - (j.partCount() - j.partsLeft) - j.openParts
}
