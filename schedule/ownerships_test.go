package schedule_test

import (
	"slices"
	"testing"
	"time"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
)

// ownerships is a fleet whose state in the store outlives its owners.
type ownerships struct {
	*fleet
	roster  []platform.Upstream
	gone    map[string]bool // upstreams without an entry that answer nothing
	jobs    []*job.Job
	stored  map[job.ID]job.Progress
	carried schedule.UnreachedUpstreams
	starts  []schedule.Start
}

// ownershipStep is how often an owner decides.
const ownershipStep = 10 * time.Millisecond

func newOwnerships(t *testing.T, upstreams ...platform.Upstream) *ownerships {
	o := &ownerships{fleet: newFleet(t, upstreams...), roster: upstreams, gone: map[string]bool{}, stored: map[job.ID]job.Progress{}}
	return o
}

// submit adds a long-running job of one step.
func (o *ownerships) submit(number int, step job.Step) job.ID {
	id := o.addJob(number, step)
	o.jobs = append(o.jobs, &job.Job{
		ID: id, Team: testTeam, Queue: testJobQueue(), Spec: "s", Steps: []job.Step{step}, AcceptedMS: o.now.Milliseconds(),
	})
	return id
}

// own drives the owner for a time.
func (o *ownerships) own(d time.Duration) {
	for end := o.now + d; o.now < end; o.advance(ownershipStep) {
		o.decideOnce()
		if o.core.HasUnstoredRecords() {
			o.store()
			o.decideOnce()
		}
	}
}

func (o *ownerships) decideOnce() {
	for _, call := range o.core.Decide() {
		if start, ok := call.(schedule.Start); ok {
			o.starts = append(o.starts, start)
		}
		o.answer(call)
	}
}

func (o *ownerships) store() {
	batch := o.core.TakeRecords()
	for _, record := range batch.Jobs {
		o.stored[record.ID] = record.Progress
	}
	if batch.Unreached != nil {
		o.carried = *batch.Unreached
	}
	o.core.RecordsStored(batch.Number)
}

// claimOnly has another process claim the fleet, which does not read its state. The claim takes the record of unreached upstreams
// over.
func (o *ownerships) claimOnly() {
	o.claim(nil)
	if o.carried.Generation+2 == o.generation {
		o.carried.Generation++
	}
}

// takeOver has another process claim the fleet.
func (o *ownerships) takeOver() {
	o.claimOnly()
	for _, entry := range o.roster {
		o.core.InheritUpstream(entry)
	}
	o.core.InheritUnreached(o.carried)
	for _, entry := range o.roster {
		if !o.gone[entry.ID] {
			o.core.SetUpstream(entry)
		}
	}
	for _, j := range o.jobs {
		progress := o.stored[j.ID]
		parts := slices.Clone(progress.Parts)
		for i := range parts {
			parts[i].Placements = slices.Clone(parts[i].Placements)
			parts[i].Crashes = slices.Clone(parts[i].Crashes)
			parts[i].Upstreams = slices.Clone(parts[i].Upstreams)
		}
		progress.Parts = parts
		copied := *j
		o.core.AddJob(&copied, 101, true, &progress, false)
	}
}

// lapse ends the runs on an upstream, as at the end of its lease.
func (o *ownerships) lapse(id string) {
	for _, r := range o.running[id] {
		o.ended[id] = append(o.ended[id], platform.EndedRun{
			Seq: uint64(len(o.ended[id]) + 1), Task: r.Task, Attempt: r.Attempt, Kind: platform.EndLeaseExpired,
		})
	}
	delete(o.running, id)
}

// placeOf returns the upstream on which the newest run of a job was started.
func (o *ownerships) placeOf(id job.ID) string {
	for _, start := range slices.Backward(o.starts) {
		if start.Command.Task.Job == id {
			return start.Target.ID
		}
	}
	return ""
}

// awaitRun returns how long it takes until a run of the job is at work; at most the limit.
func (o *ownerships) awaitRun(id job.ID, limit time.Duration) time.Duration {
	begin := o.now
	for o.runsOf(id) == 0 && o.now < begin+limit {
		o.own(ownershipStep)
	}
	return o.now - begin
}
