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
	// localLoadMargin is how far the mean load of the local availability zone may exceed that of the other zones before
	// hosts in other zones are preferred.
	localLoadMargin = 0.10
	// latencyUnit is the latency that scores as much as the load of a full host.
	latencyUnit = 50 * time.Millisecond
)

// Pick selects a host of the pool for a task of the given size, and charges the size to the host until Done. Hosts in
// exclude are skipped. The error is a *result.Error.
func (t *Table) Pick(poolName string, size upstream.Size, exclude []string, now time.Time) (Selection, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[poolName]
	if p == nil || len(p.hosts) == 0 {
		return Selection{}, result.Errorf(result.NoUpstream, "pool %s has no hosts", poolName)
	}
	localMean, remoteMean := t.collectEligible(p, size, exclude, now)
	from := t.local
	switch {
	case len(t.local) == 0:
		from = t.remote
	case len(t.remote) > 0 && localMean > remoteMean+localLoadMargin:
		from = t.remote
	}
	if len(from) == 0 {
		return Selection{}, t.noHostError(p, poolName)
	}
	h := t.betterOfTwo(from, size, now)
	h.ownUse = addSize(h.ownUse, size)
	h.attempts++
	return Selection{
		Host: h.id, Address: h.address, Zone: h.zone, Pool: poolName,
		Epoch: h.epoch, Revision: t.revision, Size: size, pickedAt: now,
	}, nil
}

// collectEligible fills t.local and t.remote with the hosts of the local and of the other availability zones that may
// take the task, and returns the mean load of each group.
func (t *Table) collectEligible(p *pool, size upstream.Size, exclude []string, now time.Time) (local, remote float64) {
	t.local, t.remote = t.local[:0], t.remote[:0]
	for _, h := range p.hosts {
		if slices.Contains(exclude, h.id) || !t.acceptsWork(h, now) || !t.hasCapacity(h, size, now) {
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

func (t *Table) acceptsWork(h *host, now time.Time) bool {
	z := t.zones[h.zone]
	return h.state == control.InService && z != nil && !z.outOfService && !now.Before(h.leavingUntil) &&
		h.health.admits(h.attempts, now)
}

func (t *Table) hasCapacity(h *host, size upstream.Size, now time.Time) bool {
	used := addSize(h.used(now), size)
	if !fits(used, h.capacity) || h.attempts >= h.connections || !h.limit.admits(h.ownUse.Slots, size.Slots) {
		return false
	}
	fraction := t.zones[h.zone].rampFraction(now)
	if fraction >= 1 {
		return true
	}
	// During a ramp, each entry host uses at most an equal share of the slots made available so far. The random offset
	// varies the rounding between entry hosts, so that they do not all begin to use the host at the same time.
	slots := fraction * float64(h.capacity.Slots)
	maxOwnSlots := math.Floor(slots/float64(t.entryHosts) + h.rampOffset)
	return h.ownUse.Slots+size.Slots <= int(maxOwnSlots) && used.Slots <= int(math.Ceil(slots))
}

// rampFraction returns the fraction of its capacity that an availability zone may use, which grows linearly from 0
// to 1 over the ramp duration after the zone has returned to service.
func (z *zone) rampFraction(now time.Time) float64 {
	if z.returnedAt.IsZero() || z.rampDuration <= 0 {
		return 1
	}
	return min(1, float64(now.Sub(z.returnedAt))/float64(z.rampDuration))
}

// used returns the load of the host from all entry hosts, as far as this one knows it, including the load retained
// for failed attempts. It removes expired retained loads.
func (h *host) used(now time.Time) upstream.Size {
	used := h.ownUse
	if now.Sub(h.statusAt) < statusTTL {
		used = addSize(used, h.otherUse)
	}
	h.retained = slices.DeleteFunc(h.retained, func(l retainedLoad) bool { return !now.Before(l.until) })
	for _, l := range h.retained {
		used = addSize(used, l.size)
	}
	return used
}

// load returns the fraction of the host's slots that would be used with a task of the given size. During a ramp, only
// the slots made available so far count.
func (t *Table) load(h *host, size upstream.Size, now time.Time) float64 {
	slots := float64(max(1, h.capacity.Slots)) * max(0.01, t.zones[h.zone].rampFraction(now))
	return float64(h.used(now).Slots+size.Slots) / slots
}

// score rates a host for a task of the given size from its load and latency. Lower is better.
func (t *Table) score(h *host, size upstream.Size, now time.Time) float64 {
	return t.load(h, size, now) + float64(h.limit.meanLatency)/float64(latencyUnit)
}

// betterOfTwo returns the host with the lower score of two that are selected at random.
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

func (t *Table) noHostError(p *pool, poolName string) error {
	for _, h := range p.hosts {
		if z := t.zones[h.zone]; z != nil && !z.outOfService {
			return result.Errorf(result.NoUpstream, "pool %s", poolName)
		}
	}
	return result.Errorf(result.ZoneOutOfService, "pool %s", poolName)
}

// CheckSize returns a *result.Error that names the violated constraint if the task exceeds the total capacity of every
// host of the pool, in service or not, and nil otherwise.
func (t *Table) CheckSize(poolName string, size upstream.Size) error {
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
