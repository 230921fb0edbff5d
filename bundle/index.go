package bundle

// Index provides look-ups in a bundle by name or ID. It is read-only and safe for concurrent use. The bundle must not
// be modified while the index is in use.
type Index struct {
	Bundle *Bundle
	Digest [32]byte

	zones  map[string]*Zone
	hosts  map[string]*Host
	pools  map[string]*Pool
	queues map[string]*Queue
	teams  map[string]*Team
	poolOf map[string]*Pool
	keys   map[string]keyEntry
}

// keyEntry is a key with the team that it belongs to.
type keyEntry struct {
	team *Team
	key  *Key
}

// NewIndex returns an index of a bundle that Parse or VerifySigned returned.
func NewIndex(b *Bundle) *Index {
	x := &Index{
		Bundle: b,
		Digest: b.Digest(),
		zones:  indexBy(b.Zones, func(z *Zone) string { return z.Name }),
		hosts:  indexBy(b.Hosts, func(h *Host) string { return h.ID }),
		pools:  indexBy(b.Pools, func(p *Pool) string { return p.Name }),
		queues: indexBy(b.Queues, func(q *Queue) string { return q.Name }),
		teams:  indexBy(b.Teams, func(t *Team) string { return t.Name }),
		poolOf: map[string]*Pool{},
		keys:   map[string]keyEntry{},
	}
	for _, pool := range x.pools {
		for _, host := range pool.Hosts {
			x.poolOf[host] = pool
		}
	}
	for _, team := range x.teams {
		for i := range team.Keys {
			x.keys[team.Keys[i].SHA256] = keyEntry{team, &team.Keys[i]}
		}
	}
	return x
}

func indexBy[T any](items []T, nameOf func(*T) string) map[string]*T {
	index := make(map[string]*T, len(items))
	for i := range items {
		index[nameOf(&items[i])] = &items[i]
	}
	return index
}

// Zone returns the availability zone with the given name, nil if there is none.
func (x *Index) Zone(name string) *Zone { return x.zones[name] }

// Host returns the upstream host with the given ID, nil if there is none.
func (x *Index) Host(id string) *Host { return x.hosts[id] }

// Pool returns the pool with the given name, nil if there is none.
func (x *Index) Pool(name string) *Pool { return x.pools[name] }

// PoolOf returns the pool that lists the host in the bundle, nil if the host is unknown. The assignment in the control
// record may differ while the host is lent to another pool.
func (x *Index) PoolOf(host string) *Pool { return x.poolOf[host] }

// Queue returns the queue with the given name, nil if there is none.
func (x *Index) Queue(name string) *Queue { return x.queues[name] }

// Team returns the team with the given name, nil if there is none.
func (x *Index) Team(name string) *Team { return x.teams[name] }

// Key returns the team and the entry of a key, or nil if no team has the key. The key may be withdrawn. Keys are looked
// up by hash, so that the duration of the look-up reveals nothing about valid keys.
func (x *Index) Key(key string) (*Team, *Key) {
	entry, ok := x.keys[HashKey(key)]
	if !ok || !MatchKey(key, entry.key.SHA256) {
		return nil, nil
	}
	return entry.team, entry.key
}

// KeyByHash returns the team and the entry of the key with the given hash, or nil if no team has it. It is used to
// check whether a key that was verified earlier has been withdrawn since.
func (x *Index) KeyByHash(hash string) (*Team, *Key) {
	entry, ok := x.keys[hash]
	if !ok {
		return nil, nil
	}
	return entry.team, entry.key
}

// MayUse reports whether the team may use the queue.
func (q *Queue) MayUse(team string) bool {
	if len(q.Teams) == 0 {
		return true
	}
	for _, name := range q.Teams {
		if name == team {
			return true
		}
	}
	return false
}
