package grant

import (
	"time"

	"golang.org/x/time/rate"

	"citrongauge.example/citrongauge/platform"
)

// takeCallToken takes one token from the host's rate budget for reads or writes, and one from the burst limiter. Calls
// that are not urgent are allowed only while the budget has urgentCallReserve tokens or more. It returns false if the
// call must wait.
func (m *Manager) takeCallToken(now time.Time, budget *rate.Limiter, urgent bool) bool {
	minTokens := 1.0
	if !urgent {
		minTokens = urgentCallReserve
	}
	if budget.TokensAt(now) < minTokens || !m.burstLimiter.AllowN(now, 1) {
		return false
	}
	return budget.AllowN(now, 1)
}

func (m *Manager) startRead(now time.Time, t *team, urgent bool, effects []Effect) []Effect {
	if !m.takeCallToken(now, m.readLimiter, urgent) {
		return effects
	}
	m.lastOp++
	t.op = &operation{id: m.lastOp, sent: now}
	return append(effects, Read{Team: t.name, Op: m.lastOp})
}

func (m *Manager) startWrite(now time.Time, t *team, target int, why reason, effects []Effect) []Effect {
	if !m.takeCallToken(now, m.writeLimiter, why.urgent()) {
		return effects
	}
	entry := t.entry()
	if target < entry {
		target = min(entry, m.limiter.lowerLimit(t.name, target))
	}
	next := m.nextLedger(now, t, target)
	value, err := next.Encode()
	if err != nil {
		return effects
	}
	switch why {
	case reasonRequest:
		t.lastRequestAt = now
	case reasonYield:
		t.lastYieldAt = now
	}
	m.lastOp++
	t.op = &operation{id: m.lastOp, sent: now, write: &next, revision: t.revision}
	return append(effects, Write{Team: t.name, Op: m.lastOp, Revision: t.revision, Value: value})
}

// nextLedger returns the ledger to write, with target as this host's entry. It drops the entries of hosts whose slots
// have been reclaimed.
func (m *Manager) nextLedger(now time.Time, t *team, target int) Ledger {
	next := Ledger{Entries: make(map[string]int, len(t.view.Entries)+1)}
	next.Cap, next.Version = t.capToWrite(m.version, m.accepted)
	for host, slots := range t.view.Entries {
		if m.entryCounts(now, host) {
			next.Entries[host] = slots
		}
	}
	if target > 0 {
		next.Entries[m.self] = target
	}
	return next
}

// completeOperation handles the response to the team's outstanding call. Responses to other calls are ignored.
func (m *Manager) completeOperation(now time.Time, name string, id uint64, handle func(*team, *operation)) []Effect {
	t := m.teams[name]
	if t == nil || t.op == nil || t.op.id != id {
		return nil
	}
	op := t.op
	t.op = nil
	handle(t, op)
	effects := m.startDueCall(now, t, m.limiter.InUse(name), nil)
	m.publishLimit(t)
	return effects
}

func (m *Manager) handleRead(now time.Time, t *team, op *operation, e ReadDone) {
	if e.Err != nil {
		t.notBefore = now.Add(retryDelay/2 + m.jitter(retryDelay))
		return
	}
	view := Ledger{}
	if e.Entry.Revision > 0 {
		var err error
		if view, err = DecodeLedger(e.Entry.Value); err != nil {
			t.notBefore = now.Add(retryDelay)
			return
		}
	}
	m.adoptLedger(now, t, view, e.Entry.Revision, op)
}

func (m *Manager) handleWrite(now time.Time, t *team, op *operation, e WriteDone) {
	switch {
	case e.Err == nil:
		t.conflicts = 0
		t.plannedReason = reasonNone
		m.adoptLedger(now, t, *op.write, e.Revision, op)
	case isRejected(e.Err):
		t.stale = true
		t.conflicts = min(t.conflicts+1, maxBackoffDoublings)
		t.notBefore = now.Add(m.jitter(conflictBackoff << t.conflicts))
	default:
		t.markUncertain(op)
		t.notBefore = now.Add(retryDelay/2 + m.jitter(retryDelay))
	}
}

func (m *Manager) adoptLedger(now time.Time, t *team, view Ledger, revision uint64, op *operation) {
	before := t.entry()
	t.adoptLedger(view, revision, op, m.version)
	t.viewReceivedAt = now
	if entry := t.entry(); entry > before {
		t.contendedPeak.reset(now, entry)
		t.scarcePeak.reset(now, entry)
		t.amplePeak.reset(now, entry)
	}
}

func isRejected(err error) bool {
	return isAny(err, platform.ErrConflict, platform.ErrTooLarge)
}
