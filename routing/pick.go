package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/result"
	"citrongauge.example/citrongauge/upstream"
)

const (
	// localMargin is how much higher the mean load of the local availability zone may be while it is preferred.
	localMargin = 0.10
	// latencyUnit is the latency that counts as much as a full host.
	latencyUnit = 50 * time.Millisecond
)

// Pick chooses an upstream of the pool that takes a task of the given size now. Hosts in exclude are passed over.
// The chosen host is charged with the size until Done. The error is a *result.Error.
func (t *Table) Pick(poolName string, size upstream.Size, exclude []string, now time.Time) (Candidate, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[poolName]
	if p == nil || len(p.hosts) == 0 {
		return Candidate{}, result.Errorf(result.NoUpstream, "pool %s has no hosts", poolName)
	}
	localMean, remoteMean := t.collect(p, size, exclude, now)
	from := t.local
	switch {
	case len(t.local) == 0:
		from = t.remote
	case len(t.remote) > 0 && localMean > remoteMean+localMargin:
		from = t.remote
	}
	if len(from) == 0 {
		return Candidate{}, t.refusal(p, poolName)
	}
	h := t.betterOfTwo(from, size, now)
	h.own = add(h.own, size)
	h.attempts++
	return Candidate{
		Host: h.id, Address: h.address, Zone: h.zone, Pool: poolName,
		Epoch: h.epoch, Revision: t.revision, Size: size, pickedAt: now,
	}, nil
}

// collect fills t.local and t.remote with the hosts that may take the task, and returns the mean load of both.
func (t *Table) collect(p *pool, size upstream.Size, exclude []string, now time.Time) (local, remote float64) {
	t.local, t.remote = t.local[:0], t.remote[:0]
	for _, h := range p.hosts {
		if slices.Contains(exclude, h.id) || !t.takesWork(h, now) || !t.hasRoom(h, size, now) {
			continue
		}
		load := t.load(h, upstream.Size{}, now)
		if h.zone == t.zone {
			t.local = append(t.local, h)
			local += load
		} else {
			t.remote = append(t.remote, h)
			remote += load
		}
	}
	return local / float64(max(1, len(t.local))), remote / float64(max(1, len(t.remote)))
}

func (t *Table) takesWork(h *host, now time.Time) bool {
	z := t.zones[h.zone]
	return h.state == control.InService && z != nil && !z.out && !now.Before(h.leavingUntil) &&
		h.health.admits(h.attempts, now)
}

func (t *Table) hasRoom(h *host, size upstream.Size, now time.Time) bool {
	used := add(h.used(now), size)
	if !fits(used, h.capacity) || h.attempts >= h.connections || !h.limit.admits(h.own.Slots, size.Slots) {
		return false
	}
	f := t.zones[h.zone].fraction(now)
	if f >= 1 {
		return true
	}
	// During a ramp each entry host takes its part of the slots that are released. The offset spreads the
	// rounding, so that the entry hosts do not all begin at the same moment.
	slots := f * float64(h.capacity.Slots)
	part := math.Floor(slots/float64(t.entries) + h.rampOffset)
	return h.own.Slots+size.Slots <= int(part) && used.Slots <= int(math.Ceil(slots))
}

// fraction is the part of its load that an availability zone takes after its return.
func (z *zone) fraction(now time.Time) float64 {
	if z.returnedAt.IsZero() || z.ramp <= 0 {
		return 1
	}
	return min(1, float64(now.Sub(z.returnedAt))/float64(z.ramp))
}

// used is the load of the host by all entry hosts, as far as known here, with shadows of quick failures.
func (h *host) used(now time.Time) upstream.Size {
	used := h.own
	if now.Sub(h.statusAt) < statusTTL {
		used = add(used, h.other)
	}
	h.shadows = slices.DeleteFunc(h.shadows, func(s shadow) bool { return !now.Before(s.until) })
	for _, s := range h.shadows {
		used = add(used, s.size)
	}
	return used
}

func (t *Table) load(h *host, size upstream.Size, now time.Time) float64 {
	slots := float64(max(1, h.capacity.Slots)) * max(0.01, t.zones[h.zone].fraction(now))
	return float64(h.used(now).Slots+size.Slots) / slots
}

func (t *Table) score(h *host, size upstream.Size, now time.Time) float64 {
	return t.load(h, size, now) + float64(h.limit.latency)/float64(latencyUnit)
}

func (t *Table) betterOfTwo(from []*host, size upstream.Size, now time.Time) *host {
	if len(from) == 1 {
		return from[0]
	}
	i := t.rng.IntN(len(from))
	j := t.rng.IntN(len(from) - 1)
	if j >= i {
		j++
	}
	if t.score(from[j], size, now) < t.score(from[i], size, now) {
		return from[j]
	}
	return from[i]
}

func (t *Table) refusal(p *pool, poolName string) error {
	for _, h := range p.hosts {
		if z := t.zones[h.zone]; z != nil && !z.out {
			return result.Errorf(result.NoUpstream, "pool %s", poolName)
		}
	}
	return result.Errorf(result.ZoneOutOfService, "pool %s", poolName)
}

// TooLarge returns a *result.Error that names the constraint if no host of the pool, in service or not, could
// ever hold a task of the given size, and nil otherwise.
func (t *Table) TooLarge(poolName string, size upstream.Size) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[poolName]
	if p == nil || len(p.hosts) == 0 {
		return nil
	}
	var largest upstream.Size
	for _, h := range p.hosts {
		if fits(size, h.capacity) {
			return nil
		}
		largest = upstream.Size{
			Slots:        max(largest.Slots, h.capacity.Slots),
			CPUs:         max(largest.CPUs, h.capacity.CPUs),
			MemoryMB:     max(largest.MemoryMB, h.capacity.MemoryMB),
			Accelerators: max(largest.Accelerators, h.capacity.Accelerators),
		}
	}
	constraints := []struct {
		name      string
		want, has int
	}{
		{"slots", size.Slots, largest.Slots},
		{"cpus", size.CPUs, largest.CPUs},
		{"memory_mb", size.MemoryMB, largest.MemoryMB},
		{"accelerators", size.Accelerators, largest.Accelerators},
	}
	for _, c := range constraints {
		if c.want > c.has {
			return result.Errorf(result.TaskTooLarge, "%s: %d asked, at most %d on a host of pool %s",
				c.name, c.want, c.has, poolName)
		}
	}
	return result.Errorf(result.TaskTooLarge,
		"no host of pool %s has %d slots, %d cpus, %d memory_mb and %d accelerators together",
		poolName, size.Slots, size.CPUs, size.MemoryMB, size.Accelerators)
}

func sortHosts(hosts []*host) {
	slices.SortFunc(hosts, func(a, b *host) int { return cmp.Compare(a.id, b.id) })
}
