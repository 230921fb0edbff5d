package schedule

// count adds a job to its size class, and takes one that was begun and has become late out of those served.
func (w *waitingParts) count(j *jobState, timeliness int) {
	if j.Repeat > 0 {
		return
	}
	if j.size == nil {
		j.size = w.sharesOf(j.Queue.Priority).arrive(j.Team, j.Queue.Name, float64(j.requestedWork()))
		if j.isBegun() {
			j.begun = true
			j.size.begin()
		}
	}
	if timeliness != onTime {
		j.miss()
	}
}

func (w *waitingParts) sharesOf(priority int) *sizeShares {
	shares := w.shares[priority]
	if shares == nil {
		if w.shares == nil {
			w.shares = map[int]*sizeShares{}
		}
		shares = newSizeShares()
		w.shares[priority] = shares
	}
	return shares
}

// begin records that a task of the job was placed.
func (j *jobState) begin() {
	if j.begun {
		return
	}
	j.begun = true
	if j.size != nil {
		j.size.begin()
	}
}

// miss records that the job can no longer be on time.
func (j *jobState) miss() {
	if j.begun && !j.missed && j.size != nil {
		j.missed = true
		j.size.miss()
	}
}

// isBegun reports whether the work done for the job so far would be lost if it ended too late. Each occurrence of a repeated job counts
// by itself.
func (j *jobState) isBegun() bool { return (j.begun || j.hasBegun) && j.Repeat == 0 }

// setVirtualStarts sets the virtual starts of the jobs that have not begun. The list is sorted by worth.
func (w *waitingParts) setVirtualStarts() {
	for i := range w.list {
		a := &w.list[i]
		j := a.part.job
		if !a.hasVirtualStart() {
			continue
		}
		if j.virtualStartSort != w.sorts {
			j.virtualStartSort = w.sorts
			j.virtualStart = j.setVirtualStart(j.size.nextVirtualStart())
		}
		a.virtualStart, a.owed = j.virtualStart, j.owed && !j.isBegun()
		if !a.owed {
			w.byWorth = append(w.byWorth, startByWorth{a.class, a.worth, a.virtualStart})
		}
	}
}

// hasVirtualStart reports whether the candidate's virtual start depends on other jobs.
func (a candidate) hasVirtualStart() bool {
	return a.virtualStart != goesFirst && a.part.job.size != nil && !a.part.step.LongRunning && a.timeliness != tooLate
}

// setVirtualStart returns the job's virtual start: the one that follows from its worth, or an earlier one if it has not begun and is owed to
// its class.
func (j *jobState) setVirtualStart(byWorth float64) float64 {
	if j.isBegun() {
		return byWorth
	}
	start, owed := j.size.owedVirtualStart(byWorth)
	j.owed = owed
	return start
}
