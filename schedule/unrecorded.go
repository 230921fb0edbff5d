package schedule

import (
	"hash/fnv"
	"slices"

	"citrongauge.example/citrongauge/job"
)

// Unrecorded starts: while the store is silent or slow, the start of a task may be sent before its record is stored. The next owner
// does not know where such a task runs, so it is started only in its job's outage zone: the next owner then holds the task back only
// while it has not reached an upstream there (earlierunrecorded.go).

// outageZone returns the zone in which unrecorded starts of the job's tasks are allowed: the one with the highest rendezvous hash. All
// owners must agree on it, so the hash never changes.
func outageZone(id job.ID, zones []string) string {
	best, highest := "", uint64(0)
	for _, zone := range zones {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(string(id) + "\x00" + zone))
		if mixed := mixBits(hash.Sum64()); best == "" || mixed > highest {
			best, highest = zone, mixed
		}
	}
	return best
}

// mixBits is the finalizer of SplitMix64. FNV alone leaves the high bits of names that differ in their last byte nearly equal.
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// mayBeUnrecorded reports whether tasks of the part may have unrecorded starts. An occurrence of a repeated job may not be due yet by
// the next owner's clock, which would then not know a run of it.
func (p *part) mayBeUnrecorded() bool {
	return !p.step.LongRunning && !p.step.Gang && p.job.Repeat == 0 && p.job.outageZone != ""
}

// startsUnrecorded reports whether tasks of the part may be started without a record now.
func (c *Core) startsUnrecorded(p *part) bool {
	return c.store.Unrecorded && p.mayBeUnrecorded() && (c.store.UnrecordedJobs == 0 || p.job.created <= c.store.UnrecordedJobs)
}

// NewestJob returns the highest revision at which a job that this owner knows was stored.
func (c *Core) NewestJob() uint64 { return c.newestJob }

// maySendUnrecorded reports whether the run's start may be sent although its record is not stored. The next owner has to know the
// failures and losses that count against the task, and leases that are longer than it would take them for.
func (c *Core) maySendUnrecorded(r *run) bool {
	t := r.task()
	return c.startsUnrecorded(r.part) && r.up.stored && r.up.storedZone == r.part.job.outageZone && t.failureBatch <= c.durableBatch &&
		!t.isSuspect() && !c.hasLongLease(r.up)
}

// isRecorded reports whether the placement of the run's task is stored.
func (c *Core) isRecorded(r *run) bool { return r.task().placedBatch <= c.durableBatch }

// noteUnrecorded notes that a copy of a run's start is about to be sent, and reports whether its record is not stored.
func (c *Core) noteUnrecorded(r *run) bool {
	if c.isRecorded(r) {
		return false
	}
	c.unrecordedBatch = max(c.unrecordedBatch, r.task().placedBatch)
	if r.sentAt == 0 {
		c.stats.UnrecordedStarts++
	}
	return true
}

// HasUnrecordedStarts reports whether the record of a start that was sent is not stored yet.
func (c *Core) HasUnrecordedStarts() bool { return c.unrecordedBatch > c.durableBatch }

// isPlannedAgain reports whether a run that waits for its record is to be planned again, because its task can be started in its job's
// outage zone now.
func (c *Core) isPlannedAgain(r *run) bool {
	p := r.part
	if c.isRecorded(r) || !c.startsUnrecorded(p) || r.up.Zone == p.job.outageZone || r.task().isSuspect() {
		return false
	}
	return slices.ContainsFunc(c.pool(p.job.Queue.Pool).byID, func(up *upstream) bool {
		return up.Zone == p.job.outageZone && c.isUsable(up) && c.couldRun(p, up) && p.step.ReservedResources().Fits(up.freeCapacity())
	})
}

// mayPlace reports whether one more start of the part may be decided on: it is sent at once, or planned until its record is stored.
func (c *Core) mayPlace(p *part) bool {
	if c.startsUnrecorded(p) {
		return c.window.maySend()
	}
	return c.window.mayPlan(c.now, len(c.plannedRuns))
}

// mayPlaceAny is mayPlace for some part.
func (c *Core) mayPlaceAny() bool {
	return c.store.Unrecorded && c.window.maySend() || c.window.mayPlan(c.now, len(c.plannedRuns))
}

// placesFor returns the upstreams on which the part's tasks are to be started, and those of them with room: while they may be started
// without a record, only those of the outage zone. A part that none of these could run waits for its record, as far as the window allows.
func (pl *placement) placesFor(c *Core, p *part, room []*upstream) (usable, withRoom []*upstream) {
	if !c.startsUnrecorded(p) {
		return pl.usable, room
	}
	usable = pl.zoneUsable(p.job.outageZone)
	if slices.ContainsFunc(usable, func(up *upstream) bool { return c.couldRun(p, up) }) {
		return usable, inZone(room, p.job.outageZone)
	}
	if c.window.mayPlan(c.now, len(c.plannedRuns)) {
		return pl.usable, room
	}
	return nil, nil
}

// zoneUsable returns the usable upstreams of a zone.
func (pl *placement) zoneUsable(zone string) []*upstream {
	found, known := pl.byZone[zone]
	if !known {
		if pl.byZone == nil {
			pl.byZone = map[string][]*upstream{}
		}
		found = inZone(pl.usable, zone)
		pl.byZone[zone] = found
	}
	return found
}

func inZone(upstreams []*upstream, zone string) []*upstream {
	var found []*upstream
	for _, up := range upstreams {
		if up.Zone == zone {
			found = append(found, up)
		}
	}
	return found
}
