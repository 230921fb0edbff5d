package grant

import (
	"time"

	"golang.org/x/time/rate"

	"citrongauge.example/citrongauge/platform"
)

// mayCall takes one call from the host's budget of reads or writes.
func (m *Manager) mayCall(now time.Time, budget *rate.Limiter, urgent bool) bool {
	least := 1.0
	if !urgent {
		least = reservedCalls
	}
	if budget.TokensAt(now) < least || !m.paced.AllowN(now, 1) {
		return false
	}
	return budget.AllowN(now, 1)
}

func (m *Manager) startRead(now time.Time, t *team, urgent bool, effects []Effect) []Effect {
	if !m.mayCall(now, m.reads, urgent) {
		return effects
	}
	m.lastOp++
	t.op = &operation{id: m.lastOp, sent: now}
	return append(effects, Read{Team: t.name, Op: m.lastOp})
}

func (m *Manager) startWrite(now time.Time, t *team, want int, why reason, effects []Effect) []Effect {
	if !m.mayCall(now, m.writes, why.urgent()) {
		return effects
	}
	entry := t.entry()
	if want < entry {
		want = min(entry, m.account.lower(t.name, want))
	}
	next := m.ledger(now, t, want)
	value, err := next.Encode()
	if err != nil {
		return effects
	}
	switch why {
	case ask:
		t.lastAsk = now
	case yield:
		t.lastYield = now
	}
	m.lastOp++
	t.op = &operation{id: m.lastOp, sent: now, write: &next, revision: t.revision}
	return append(effects, Write{Team: t.name, Op: m.lastOp, Revision: t.revision, Value: value})
}

// ledger returns the ledger to write with the given entry of this host.
func (m *Manager) ledger(now time.Time, t *team, want int) Ledger {
	next := Ledger{Entries: make(map[string]int, len(t.view.Entries)+1)}
	next.Cap, next.Version = t.nextCap(m.version, m.accepted)
	for host, slots := range t.view.Entries {
		if m.counts(now, host) {
			next.Entries[host] = slots
		}
	}
	if want > 0 {
		next.Entries[m.self] = want
	}
	return next
}

// answered takes the answer to the team's call. Answers to other calls are ignored.
func (m *Manager) answered(now time.Time, name string, id uint64, take func(*team, *operation)) []Effect {
	t := m.teams[name]
	if t == nil || t.op == nil || t.op.id != id {
		return nil
	}
	op := t.op
	t.op = nil
	take(t, op)
	effects := m.decide(now, t, m.account.InUse(name), nil)
	m.apply(t)
	return effects
}

func (m *Manager) read(now time.Time, t *team, op *operation, e ReadDone) {
	if e.Err != nil {
		t.notBefore = now.Add(retryAfter/2 + m.jitter(retryAfter))
		return
	}
	view := Ledger{}
	if e.Entry.Revision > 0 {
		var err error
		if view, err = Decode(e.Entry.Value); err != nil {
			t.notBefore = now.Add(retryAfter)
			return
		}
	}
	m.see(now, t, view, e.Entry.Revision, op)
}

func (m *Manager) written(now time.Time, t *team, op *operation, e WriteDone) {
	switch {
	case e.Err == nil:
		t.conflicts = 0
		t.planned = nothing
		m.see(now, t, *op.write, e.Revision, op)
	case isRefused(e.Err):
		t.stale = true
		t.conflicts = min(t.conflicts+1, maxConflicts)
		t.notBefore = now.Add(m.jitter(backoffStep << t.conflicts))
	default:
		t.doubtful(op)
		t.notBefore = now.Add(retryAfter/2 + m.jitter(retryAfter))
	}
}

func (m *Manager) see(now time.Time, t *team, view Ledger, revision uint64, op *operation) {
	before := t.entry()
	t.see(view, revision, op, m.version)
	t.seenAt = now
	if entry := t.entry(); entry > before {
		t.surge.restart(now, entry)
		t.recent.restart(now, entry)
		t.relaxed.restart(now, entry)
	}
}

func isRefused(err error) bool {
	return isAny(err, platform.ErrConflict, platform.ErrTooLarge)
}
