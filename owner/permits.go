package owner

import (
	"context"
	"sync/atomic"
	"time"

	"citrongauge.example/citrongauge/announce"
	"citrongauge.example/citrongauge/clock"
	"citrongauge.example/citrongauge/ledger"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
	"citrongauge.example/citrongauge/witness"
)

const (
	// namingDelay is how long after the claim an owner names its witnesses: hosts connect to it first, and those of earlier versions
	// are known by that.
	namingDelay = 2 * time.Second
	// witnessTimeout bounds a request to a witness. Another one fits in before the permit before has expired.
	witnessTimeout = 400 * time.Millisecond
	// renameInterval bounds how often witnesses are replaced.
	renameInterval = 2 * time.Second
	// lostMemory is how long a witness that did not respond is not named again. All of them are lost if the owner's own link is.
	lostMemory = 20 * time.Second
)

// permits are a session's permits. All fields but until are used by the session's goroutine only.
type permits struct {
	keeper  permitKeeper
	clients map[string]*witness.Client // by address
	// until is until when the session may act without its lease, by the monotonic clock; 0: not at all.
	until      atomic.Int64
	hasRecord  bool // the store may have a record of witnesses
	write      bool // the record of the named witnesses is to be stored
	writing    bool // it is being stored
	nextNaming time.Duration
	lost       map[string]time.Duration // processes of witnesses that did not respond, and until when they are not named
	logged     permitPhase
	loggedHeld bool
}

func newPermits(ownership *ledger.Ownership, claimedAt time.Duration) permits {
	return permits{
		keeper: permitKeeper{generation: ownership.Generation, phase: permitsIdle}, clients: map[string]*witness.Client{},
		hasRecord: ownership.EarlierWitnesses != nil, nextNaming: claimedAt + namingDelay, lost: map[string]time.Duration{}, logged: permitsIdle,
	}
}

func (p *permits) valid() bool { return clock.Now() < time.Duration(p.until.Load()) }

// usesWitnesses reports whether the platform has zones, so that there can be witnesses.
func (o *Owner) usesWitnesses() bool { return len(o.Settings.Zones) >= 2 }

// mayAct reports whether the session may make calls: its lease is valid, or its permits are.
func (s *session) mayAct() bool { return s.lease.valid() || s.permits.valid() }

// storeIsLate reports whether a call to the store has been waiting for longer than lateCall, with all its attempts; lateRejected if
// calls have failed since the last one that succeeded.
func (s *session) storeIsLate(now time.Duration) bool {
	bound := lateCall
	if s.storeHealth.isFailing() {
		bound = lateRejected
	}
	if since, ok := s.lease.unanswered.oldest(); ok && now > since+bound {
		return true
	}
	since, ok := s.ownership.OldestWrite()
	return ok && now > since+bound
}

// stepPermits makes the requests to witnesses that are due, and tells the core what it may do without the store.
func (s *session) stepPermits(ctx context.Context) {
	state := schedule.StoreState{LeaseHeld: s.lease.valid()}
	defer func() { s.core.SetStoreState(state) }()
	if !s.usesWitnesses() {
		return
	}
	p, now, renewedAt := &s.permits, clock.Now(), s.lease.renewedAt()
	connected, anyEarlier := s.Peers.Connected()
	in := permitInput{
		now: now, storeLate: s.storeIsLate(now), leaseValid: state.LeaseHeld, renewedAt: renewedAt,
		unrecorded: s.core.HasUnrecordedStarts(), earlierVersion: anyEarlier, newestJob: s.core.NewestJob(),
	}
	s.nameWitnesses(in, connected)
	for _, request := range p.keeper.step(in) {
		s.sendToWitness(ctx, request)
	}
	p.until.Store(int64(p.keeper.until(renewedAt)))
	state.UnrecordedJobs = p.keeper.unrecordedJobs()
	state.Unrecorded = p.keeper.mayStartUnrecorded(now, renewedAt) && state.UnrecordedJobs > 0
	s.logPermits(in)
}

// sendToWitness makes a request in a new goroutine.
func (s *session) sendToWitness(ctx context.Context, r permitRequest) {
	client := s.permits.clients[r.to.Address]
	if client == nil {
		client = witness.NewClient(r.to.Address)
		s.permits.clients[r.to.Address] = client
	}
	go func() {
		requestCtx, cancel := context.WithTimeout(ctx, witnessTimeout)
		defer cancel()
		response, err := client.Do(requestCtx, r.request)
		s.post(ctx, func(s *session) { s.handleWitness(r, response, err) })
	}()
}

func (s *session) handleWitness(r permitRequest, response witness.Response, err error) {
	k := &s.permits.keeper
	wasDenied := k.denied
	k.handle(r, response, err, clock.Now())
	s.permits.until.Store(int64(k.until(s.lease.renewedAt())))
	if r.request.Kind == witness.Permit {
		s.Observe.PermitRequested(permitOutcome(response, err))
	}
	if k.denied && !wasDenied {
		s.Log("permit denied: a later owner has asked the witness", "witness", r.to.Host, "generation", k.generation)
	}
}

func permitOutcome(response witness.Response, err error) string {
	switch {
	case err != nil:
		return "failed"
	case response.Outcome == witness.Granted:
		return "granted"
	}
	return "denied"
}

// logPermits logs changes of what the owner does with permits.
func (s *session) logPermits(in permitInput) {
	p := &s.permits
	isHeld := in.now < time.Duration(p.until.Load())
	if p.keeper.phase == p.logged && isHeld == p.loggedHeld {
		return
	}
	p.logged, p.loggedHeld = p.keeper.phase, isHeld
	held := 0
	if isHeld {
		held = len(p.keeper.witnesses)
	}
	s.Observe.PermitsHeld(held)
	s.Log("permits", "phase", p.keeper.phase, "held", held, "store_late", in.storeLate, "lease_held", in.leaseValid,
		"renewed_ms_ago", (in.now - in.renewedAt).Milliseconds(), "unrecorded", in.unrecorded, "earlier_version", in.earlierVersion)
}

// nameWitnesses chooses witnesses while the store responds, and replaces those that are lost. The next batch of records stores them.
func (s *session) nameWitnesses(in permitInput, connected []announce.Identity) {
	p := &s.permits
	if in.now < p.nextNaming || p.write || p.writing || !p.keeper.mayRename(in) || !s.core.EarlierUnrecordedResolved() {
		return
	}
	var kept []*namedWitness
	for _, w := range p.keeper.witnesses {
		if w.isLost(in.now) {
			s.Log("witness lost", "witness", w.Host, "process", w.Process, "heard_ms_ago", (in.now - w.heardAt).Milliseconds())
			s.forget(w, in.now)
			continue
		}
		kept = append(kept, w)
	}
	chosen := chooseWitnesses(kept, connected, s.Host, s.Settings.Zone, p.lostAt(in.now))
	if len(chosen) == len(p.keeper.witnesses) && len(kept) == len(chosen) && (len(chosen) > 0 || !p.hasRecord) {
		return
	}
	p.nextNaming = in.now + renameInterval
	p.keeper.name(chosen)
	p.write = true
	s.Log("witnesses named", "generation", s.ownership.Generation, "witnesses", witnessHosts(chosen), "connected", len(connected))
}

// lostAt returns the processes that are not to be named, and forgets those that may be again.
func (p *permits) lostAt(now time.Duration) map[string]bool {
	lost := map[string]bool{}
	for process, until := range p.lost {
		if now >= until {
			delete(p.lost, process)
			continue
		}
		lost[process] = true
	}
	return lost
}

// forget closes the connection to a lost witness, whose process is not named again for a while.
func (s *session) forget(w *namedWitness, now time.Duration) {
	p := &s.permits
	p.lost[w.Process] = now + lostMemory
	if client := p.clients[w.Address]; client != nil {
		delete(p.clients, w.Address)
		go client.Close() // it waits for a request in progress
	}
}

func witnessHosts(witnesses []*namedWitness) []string {
	hosts := []string{}
	for _, w := range witnesses {
		hosts = append(hosts, w.Host)
	}
	return hosts
}

// appendWitnesses adds the write of the named witnesses, or the removal of the record if there are none.
func (s *session) appendWitnesses(writes []ledger.Write) ([]ledger.Write, error) {
	p := &s.permits
	p.write, p.writing = false, true
	if len(p.keeper.witnesses) == 0 {
		p.hasRecord = false
		return append(writes, ledger.Write{RemoveKeys: []string{ledger.WitnessesKey()}}), nil
	}
	p.hasRecord = true
	named := make([]ledger.Witness, 0, len(p.keeper.witnesses))
	for _, w := range p.keeper.witnesses {
		named = append(named, w.Witness)
	}
	write, err := s.ownership.WitnessesWrite(named, s.core.Zones)
	return append(writes, ledger.Write{Extra: []platform.Write{write}}), err
}

// close closes the connections to witnesses.
func (p *permits) close() {
	for _, client := range p.clients {
		go client.Close() // it waits for a request in progress
	}
}
