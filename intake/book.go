package intake

import "time"

// minHold is how long a body of a client with a known key may take before it can be shed. Otherwise bodies that arrive at an ordinary
// pace would shed each other under a load that is too high, and none would be complete.
const minHold = 500 * time.Millisecond

// class says what a connection is doing, and so when it may be shed.
type class uint8

const (
	// waiting: no key is known, and the connection holds nothing beyond its own buffers. It is unused, idle or sends a head.
	waiting class = iota
	// holding: no key is known, and the connection holds bytes of the budget, of a large head or of a body in a public queue.
	holding
	// idle: the last request had a known key. The connection is idle, sends a head or is sent an answer.
	idle
	// receiving: the key of the request is known, and its body is being received, or a large head after such a request.
	receiving
	// busy: a request is being handled, or the connection was taken over by a handler. It is never shed.
	busy
	// gone: the connection is closed or to be closed, and no longer counted.
	gone
	classes
)

// member is one connection in a book.
type member struct {
	previous, next *member
	class          class
	since          time.Duration // when the connection entered its class
	known          bool          // a request on it had a known key
	hijacked       bool
	held           int64 // bytes of the budget
	large          bool  // held counts against Limits.LargeBytes
	aborted        bool  // its body was shed: reading must stop, and the request is not run
	connection     evictable
}

// evictable carries out the decision to shed a connection.
type evictable interface {
	evict()     // closes the connection
	abortBody() // stops the reading of its body, so that the request can be refused
}

// reason names why something was shed or refused, in logs and metrics.
type reason string

const (
	noReason          reason = ""
	shedUnproven      reason = "connection without a known key"
	shedIdle          reason = "idle connection"
	shedBodyForRoom   reason = "slow body, for its connection"
	shedBodyForBytes  reason = "slow body, for its bytes"
	shedHead          reason = "head or body without a known key, for its bytes"
	refusedConnection reason = "connection refused"
	refusedRequest    reason = "request refused, for its connection"
	refusedBody       reason = "body refused, for its bytes"
	refusedHead       reason = "head refused, for its bytes"
	refusedHijack     reason = "connection between hosts refused"
)

// eviction is the decision to shed a member.
type eviction struct {
	member *member
	reason reason
	abort  bool // stop the reading of its body instead of closing the connection
}

// book counts the connections of a listener and the bytes that they hold. Times are from any fixed beginning. It is not safe for
// concurrent use.
type book struct {
	limits   Limits
	lists    [classes]list // busy and gone members are in none
	open     int           // members that are not gone
	known    int           // those with a known key
	hijacked int
	bytes    int64
	large    int64 // part of bytes that counts against Limits.LargeBytes
}

func (b *book) move(m *member, to class, now time.Duration) {
	if m.class < busy {
		b.lists[m.class].remove(m)
	}
	m.class, m.since = to, now
	if to < busy {
		b.lists[to].push(m)
	}
}

// accept adds a connection. If there is no room, it names the oldest connection without a known key to be shed, or returns nil if there
// is none.
func (b *book) accept(c evictable, now time.Duration) (*member, eviction) {
	var victim eviction
	if b.open >= b.limits.Connections {
		oldest := b.oldestUnproven()
		if oldest == nil {
			return nil, eviction{reason: refusedConnection}
		}
		victim = eviction{member: oldest, reason: shedUnproven}
		b.remove(oldest)
	}
	m := &member{connection: c, class: gone}
	b.open++
	b.move(m, waiting, now)
	return m, victim
}

func (b *book) oldestUnproven() *member {
	a, c := b.lists[waiting].first, b.lists[holding].first
	if a == nil || c != nil && c.since < a.since {
		return c
	}
	return a
}

// remove forgets a connection that is closed, or that is to be closed.
func (b *book) remove(m *member) {
	if m.class == gone {
		return
	}
	b.release(m)
	b.move(m, gone, m.since)
	b.open--
	if m.known {
		b.known--
	}
	if m.hijacked {
		b.hijacked--
	}
}

func (b *book) release(m *member) {
	b.bytes -= m.held
	if m.large {
		b.large -= m.held
	}
	m.held, m.large = 0, false
}

// identify notes whether the request that a connection has sent has a known key. It reports whether the request may go on. If
// the connections with known keys have no room, the oldest idle one is shed, then the one whose body has been arriving for
// longest.
func (b *book) identify(m *member, known bool, now time.Duration) (eviction, bool) {
	if m.class == gone {
		return eviction{}, false
	}
	if m.known == known {
		b.move(m, busy, now)
		return eviction{}, true
	}
	if !known {
		b.known--
		m.known = false
		b.move(m, busy, now)
		return eviction{}, true
	}
	var victim eviction
	if b.known >= b.limits.KnownConnections {
		if victim = b.leastUsefulKnown(now); victim.member == nil {
			return eviction{reason: refusedRequest}, false
		}
		b.remove(victim.member)
	}
	b.known++
	m.known = true
	b.move(m, busy, now)
	return victim, true
}

func (b *book) leastUsefulKnown(now time.Duration) eviction {
	if m := b.lists[idle].first; m != nil {
		return eviction{member: m, reason: shedIdle}
	}
	if m := b.lists[receiving].first; m != nil && now-m.since >= minHold {
		return eviction{member: m, reason: shedBodyForRoom}
	}
	return eviction{}
}

// beginBody reserves bytes for a body that is about to be read.
func (b *book) beginBody(m *member, bytes int64, now time.Duration) ([]eviction, bool) {
	if m.class == gone {
		return nil, false
	}
	to := holding
	if m.known {
		to = receiving
	}
	m.aborted = false
	b.move(m, to, now)
	return b.reserve(m, bytes, bytes > smallBody, now)
}

// endBody notes that a body has been received. It returns false if the body was shed meanwhile.
func (b *book) endBody(m *member, now time.Duration) bool {
	if m.class == gone || m.aborted {
		return false
	}
	b.move(m, busy, now)
	return true
}

// growHead reserves bytes for a head that is being received.
func (b *book) growHead(m *member, bytes int64, now time.Duration) ([]eviction, bool) {
	since := m.since
	switch m.class {
	case waiting:
		b.move(m, holding, now)
	case idle:
		b.move(m, receiving, now)
	}
	m.since = since
	return b.reserve(m, bytes, true, now)
}

// reserve adds bytes to what a member holds. Heads and large bodies may use a part of the budget only. Connections without a known key
// are shed first; a body of a known key is shed only for another one, and only if it has been arriving for minHold.
func (b *book) reserve(m *member, bytes int64, large bool, now time.Duration) ([]eviction, bool) {
	if m.class == gone || m.aborted {
		return nil, false
	}
	large = large || m.large
	largeBytes := bytes // that count against LargeBytes from now on
	if !m.large {
		largeBytes += m.held
	}
	if m.held+bytes > b.limits.Bytes || large && m.held+bytes > b.limits.LargeBytes {
		return nil, false // there is no room whatever is shed
	}
	victims, ok := b.makeRoom(m, bytes, largeBytes, large, now)
	if !ok {
		return victims, false
	}
	m.held += bytes
	b.bytes += bytes
	if large {
		m.large = true
		b.large += largeBytes
	}
	return victims, true
}

// makeRoom sheds others until there is room for the bytes of m, or none may be shed.
func (b *book) makeRoom(m *member, bytes, largeBytes int64, large bool, now time.Duration) (victims []eviction, ok bool) {
	for {
		overLarge := large && b.large+largeBytes > b.limits.LargeBytes
		if !overLarge && b.bytes+bytes <= b.limits.Bytes {
			return victims, true
		}
		victim := b.leastUsefulHolder(m, overLarge, now)
		if victim.member == nil {
			return victims, false
		}
		if victim.abort {
			b.abort(victim.member, now)
		} else {
			b.remove(victim.member)
		}
		victims = append(victims, victim)
	}
}

// leastUsefulHolder returns the member that is to give up its bytes for m. If onlyLarge is set, it returns only members whose bytes
// count against LargeBytes.
func (b *book) leastUsefulHolder(m *member, onlyLarge bool, now time.Duration) eviction {
	v := b.lists[holding].oldestHolder(m, onlyLarge)
	if v != nil && (m.known || now-v.since >= minHold) {
		return eviction{member: v, reason: shedHead}
	}
	if !m.known {
		return eviction{}
	}
	v = b.lists[receiving].oldestHolder(m, onlyLarge)
	if v != nil && now-v.since >= minHold {
		return eviction{member: v, reason: shedBodyForBytes, abort: true}
	}
	return eviction{}
}

func (b *book) abort(m *member, now time.Duration) {
	b.release(m)
	m.aborted = true
	b.move(m, busy, now)
}

// answer notes that a request has been decided. The connection may be shed while its answer is sent.
func (b *book) answer(m *member, now time.Duration) {
	if m.class == gone || m.hijacked {
		return
	}
	to := waiting
	switch {
	case m.known:
		to = idle
	case m.held > 0:
		to = holding
	}
	b.move(m, to, now)
}

// finish notes that a connection has become idle after a request.
func (b *book) finish(m *member, now time.Duration) {
	if m.class == gone {
		return
	}
	b.release(m)
	m.aborted = false
	b.answer(m, now)
}

// touch notes that an idle connection begins another request.
func (b *book) touch(m *member, now time.Duration) {
	if m.class == waiting || m.class == idle {
		b.move(m, m.class, now)
	}
}

// mayHijack reports whether there is room for another connection that is taken over by a handler.
func (b *book) mayHijack() bool { return b.hijacked < b.limits.HijackedConnections }

// hijack notes that a handler has taken a connection over.
func (b *book) hijack(m *member, now time.Duration) {
	if m.class == gone || m.hijacked {
		return
	}
	m.hijacked = true
	b.hijacked++
	b.release(m)
	b.move(m, busy, now)
}
