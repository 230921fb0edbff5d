package schedule_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"citrongauge.example/citrongauge/schedule"
)

// What becomes of calls on their way to upstreams that start anew, in histories of unnoticed restarts.

// lose handles a call that no life has answered. A cut may hold it up on its way: the life that answers after the cut receives it if it
// needed a new connection, otherwise only the life to which its connection leads. A call that is not held up is refused, or is silent
// until it times out.
func (h *livesHistory) lose(sim *simulation, pending *pendingCall, u *simUpstream) {
	if pending.told {
		return
	}
	timeout := pending.sentAt + simTimeout(pending.call)
	if again, ok := h.heldUntil(sim, pending, u); ok && again < timeout {
		pending.at = again
		sim.calls = append(sim.calls, pending)
		return
	}
	h.closeConnection(pending.call)
	if start, ok := pending.call.(schedule.Start); ok && (u.dead || h.gone[u.id]) {
		sim.historyOf(start.Command.Task).lostCalls++ // the upstream may have crashed by the start, as far as an owner can know
	}
	if !u.unreachable && !h.silentEnd[u.id] && rapid.IntRange(0, 2).Draw(sim.t, "refused") > 0 {
		timeout = min(timeout, sim.now+sim.delay("refusal", 20))
	}
	call := pending.call
	sim.calls = append(sim.calls, &pendingCall{owner: pending.owner, at: timeout, complete: func(o *simOwner) {
		if o == sim.owner && !o.dead {
			o.core.SetTime(sim.now, sim.now.Milliseconds())
			handleLostResponse(call)(o)
		}
	}})
}

// heldUntil returns when a call that a cut holds up arrives, and whether there is one that does.
func (h *livesHistory) heldUntil(sim *simulation, pending *pendingCall, u *simUpstream) (time.Duration, bool) {
	cut := h.cuts[u.id]
	if !u.unreachable || pending.waits || pending.late || pending.targetStartedMS != 0 || pending.sentAt < cut.from {
		return 0, false
	}
	life := u.startedMS
	if _, ok := pending.call.(schedule.Poll); ok {
		life = pending.connection
	} else if rapid.Bool().Draw(sim.t, "new connection") {
		life = 0
	}
	if life != 0 && (u.dead || u.startedMS != life) {
		return 0, false
	}
	pending.targetStartedMS = life
	sim.log("SIM held up", u.id, pending.targetStartedMS, fmt.Sprintf("%T %+v", pending.call, pending.call))
	return cut.to + sim.delay("held", 100), true
}

// noteAck logs an acknowledgement of an end that no response has listed.
func (h *livesHistory) noteAck(sim *simulation, u *simUpstream, end simEnd) {
	if h != nil && !end.listed {
		sim.log("SIM acknowledged unseen", u.id, u.startedMS, end.Task, end.Seq, end.Kind)
	}
}

// isSentInVain reports whether a poll is sent on a connection to a life that has ended silently.
func (h *livesHistory) isSentInVain(pending *pendingCall, u *simUpstream) bool {
	if _, ok := pending.call.(schedule.Poll); !ok || h == nil || pending.late || pending.targetStartedMS != 0 {
		return false
	}
	return h.silentEnd[u.id] && pending.connection != 0 && pending.connection != u.startedMS
}

// noteAnswer notes to which life the connection leads on which a call was answered.
func (h *livesHistory) noteAnswer(call schedule.Call, u *simUpstream) {
	if _, ok := call.(schedule.Poll); ok && h != nil {
		h.pollLife[u.id] = u.startedMS
		h.seenBorn[u.id] = append(h.seenBorn[u.id], u.startedMS)
	}
}

// closeConnection closes the connection of a call without an answer.
func (h *livesHistory) closeConnection(call schedule.Call) {
	if poll, ok := call.(schedule.Poll); ok {
		h.pollLife[poll.Target.ID] = 0
	}
}

// cursor returns up to which number a poll acknowledges ends. It does so when it arrives, not again when its wait is over.
func (h *livesHistory) cursor(pending *pendingCall, u *simUpstream) uint64 {
	poll := pending.call.(schedule.Poll)
	u.acked = max(u.acked, poll.Request.AckedSeq)
	switch {
	case h == nil:
		return poll.Request.AckedSeq
	case *cursorLasts:
		return u.acked
	case pending.waits:
		return 0
	}
	return poll.Request.AckedSeq
}

// connection returns the life to which the connection leads on which a poll is sent now: none beside a poll that the owner no longer
// waits for, whose connection is busy.
func (h *livesHistory) connection(sim *simulation, call schedule.Call) int64 {
	poll, ok := call.(schedule.Poll)
	if !ok || h == nil {
		return 0
	}
	for _, other := range sim.calls {
		if earlier, ok := other.call.(schedule.Poll); ok && earlier.Target.ID == poll.Target.ID {
			h.pollLife[poll.Target.ID] = 0
		}
	}
	return h.pollLife[poll.Target.ID]
}

// simTimeout returns how long an owner waits for the response to a call.
func simTimeout(call schedule.Call) time.Duration {
	if poll, ok := call.(schedule.Poll); ok {
		return poll.Request.Wait + simCallTimeout
	}
	return simCallTimeout
}

// writeLag returns by how much the store confirms later than usual.
func (h *livesHistory) writeLag() time.Duration {
	if h == nil {
		return 0
	}
	return h.storeLag
}
