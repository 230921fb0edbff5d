package daemon

import (
	"context"
	"encoding/hex"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/peer"
	"citrongauge.example/citrongauge/platform"
)

const eventQueueLength = 4096

// controlLoop owns the control core of one incarnation and performs its effects. Its goroutine, the control
// goroutine, handles one event after another; calls to the store run on goroutines of their own and post their
// results as events.
type controlLoop struct {
	core         *control.Core
	store        platform.Store
	node         *peer.Node
	verifySigned func(signed []byte) (*bundle.Index, error)
	log          *log.Logger
	events       chan control.Event
	funcs        chan func(now time.Time)
	state        atomic.Pointer[controlState]
	// neighbours holds the time of the last heartbeat that was sent to each member. Only the control goroutine uses
	// it.
	neighbours map[control.Member]time.Time
	// writeWaiters holds the functions that receive the results of writes, by write ID. Only the control goroutine
	// uses it.
	writeWaiters map[string]func(control.WriteResult)
	// lastIndex is the index of the last verified bundle. Only the control goroutine uses it.
	lastIndex *bundle.Index

	onAdopted func(now time.Time, s *controlState)
	onEvicted func()
	onLeft    func()
	// onAccepted is called when no entry host can start work under a lower bundle version any more.
	onAccepted func(now time.Time, version uint64)
	onTick     func(now time.Time)
}

// recordMessage carries a control record with its bundle.
type recordMessage struct {
	Record []byte `cbor:"1,keyasint"`
	Bundle []byte `cbor:"2,keyasint"`
}

// bundleKey returns the store key of a bundle. It contains the digest, so that a bundle that was proposed and never
// committed does not block another bundle with the same version.
func bundleKey(version uint64, digest [32]byte) string {
	return "bundles/" + strconv.FormatUint(version, 10) + "/" + hex.EncodeToString(digest[:])
}

// historyKey returns the store key of the digest of a committed bundle version.
func historyKey(version uint64) string {
	return "history/" + strconv.FormatUint(version, 10)
}

// post queues an event. It returns false and drops the event if the queue is full; heartbeats and store reads are
// repeated anyway.
func (l *controlLoop) post(ev control.Event) bool {
	select {
	case l.events <- ev:
		return true
	default:
		return false
	}
}

// do runs f on the control goroutine and waits until it has returned or ctx ends.
func (l *controlLoop) do(ctx context.Context, f func(now time.Time)) error {
	done := make(chan struct{})
	select {
	case l.funcs <- func(now time.Time) { f(now); close(done) }:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run handles events until ctx ends.
func (l *controlLoop) run(ctx context.Context) {
	ticker := time.NewTicker(control.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-l.events:
			l.step(ctx, ev)
		case f := <-l.funcs:
			f(time.Now())
		case <-ticker.C:
			l.step(ctx, control.Tick{})
			l.onTick(time.Now())
		}
	}
}

func (l *controlLoop) step(ctx context.Context, ev control.Event) {
	now := time.Now()
	for _, effect := range l.core.Step(now, ev) {
		l.perform(ctx, now, effect)
	}
}

func (l *controlLoop) perform(ctx context.Context, now time.Time, effect control.Effect) {
	switch e := effect.(type) {
	case control.ReadStore:
		go l.readStore(ctx, e)
	case control.WatchStore:
		go l.watchStore(ctx, e)
	case control.CompareAndSwap:
		go l.compareAndSwap(ctx, e)
	case control.SendHeartbeat:
		l.neighbours[e.To] = now
		l.node.Send(e.To.Address, e.To.ID, peer.TypeHeartbeat, e.Heartbeat)
	case control.PushRecord:
		l.pushRecord(e)
	case control.RecordAdopted:
		l.adopt(now, e)
	case control.BundleAccepted:
		l.log.Info("bundle accepted", "version", e.Version)
		l.onAccepted(now, e.Version)
	case control.Evicted:
		l.log.Warn("evicted from the roster", "revision", e.Revision)
		l.onEvicted()
	case control.Left:
		l.onLeft()
	case control.RecordRejected:
		l.log.Warn("record refused", "from", e.From, "revision", e.Revision, "err", e.Err)
	case control.WriteResult:
		l.deliverResult(e)
	}
}

func (l *controlLoop) deliverResult(e control.WriteResult) {
	if f, ok := l.writeWaiters[e.ID]; ok {
		delete(l.writeWaiters, e.ID)
		f(e)
	}
}

func (l *controlLoop) adopt(now time.Time, e control.RecordAdopted) {
	index := l.lastIndex
	if e.Record.BundleVersion == 0 {
		index = nil
	} else if index == nil || index.Digest != e.Record.BundleDigest {
		// The core has verified the bundle, so an error here is a bug.
		verified, err := l.verifySigned(e.Bundle)
		if err != nil {
			l.log.Error("repeated verification of a bundle failed", "version", e.Record.BundleVersion, "err", err)
			return
		}
		index = verified
	}
	l.lastIndex = index
	s := newControlState(e.Record, e.Bundle, index)
	l.state.Store(s)
	l.log.Info("record adopted", "revision", e.Record.Revision, "bundle", e.Record.BundleVersion)
	l.onAdopted(now, s)
}

func (l *controlLoop) pushRecord(e control.PushRecord) {
	encoded, err := control.EncodeRecord(*e.Record)
	if err != nil {
		l.log.Error("record not sent: encoding failed", "revision", e.Record.Revision, "err", err)
		return
	}
	l.node.Send(e.To.Address, e.To.ID, peer.TypeRecord, recordMessage{Record: encoded, Bundle: e.Bundle})
}

func (l *controlLoop) readStore(ctx context.Context, e control.ReadStore) {
	ctx, cancel := context.WithTimeout(ctx, control.StoreTimeout)
	defer cancel()
	entry, err := l.getRecord(ctx, e.KnownRevision)
	if errors.Is(err, platform.ErrNotFound) {
		l.post(control.StoreReadCompleted{ID: e.ID})
		return
	}
	if err != nil {
		l.post(control.StoreReadCompleted{ID: e.ID, Err: err})
		return
	}
	snapshot, err := l.loadSnapshot(ctx, entry, e.KnownRevision, e.KnownBundleVersion)
	l.post(control.StoreReadCompleted{ID: e.ID, Snapshot: snapshot, Err: err})
}

// getRecord reads the control record. If the record is still at the known store revision and the store supports
// conditional reads, the entry has no value.
func (l *controlLoop) getRecord(ctx context.Context, known uint64) (platform.Entry, error) {
	store, ok := l.store.(platform.ConditionalStore)
	if !ok || known == 0 {
		return l.store.Get(ctx, control.StoreKey)
	}
	entry, _, err := store.GetIfChanged(ctx, control.StoreKey, known)
	return entry, err
}

func (l *controlLoop) watchStore(ctx context.Context, e control.WatchStore) {
	entry, err := l.store.Watch(ctx, control.StoreKey, e.KnownRevision)
	if err != nil {
		l.post(control.StoreWatchCompleted{ID: e.ID, Err: err})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, control.StoreTimeout)
	defer cancel()
	snapshot, err := l.loadSnapshot(ctx, entry, e.KnownRevision, e.KnownBundleVersion)
	l.post(control.StoreWatchCompleted{ID: e.ID, Snapshot: snapshot, Err: err})
}

// loadSnapshot decodes a stored record and reads its bundle unless the core already has that version. The snapshot
// has no record if the entry is at the known store revision.
func (l *controlLoop) loadSnapshot(ctx context.Context, entry platform.Entry, known, knownVersion uint64) (control.Snapshot, error) {
	s := control.Snapshot{StoreRevision: entry.Revision}
	if entry.Revision == known {
		return s, nil
	}
	record, err := control.DecodeRecord(entry.Value)
	if err != nil {
		return s, err
	}
	s.Record = &record
	if record.BundleVersion == 0 || record.BundleVersion == knownVersion {
		return s, nil
	}
	stored, err := l.store.Get(ctx, bundleKey(record.BundleVersion, record.BundleDigest))
	if err != nil {
		return s, errors.Wrapf(err, "bundle %d", record.BundleVersion)
	}
	s.Bundle = stored.Value
	return s, nil
}

func (l *controlLoop) compareAndSwap(ctx context.Context, e control.CompareAndSwap) {
	ctx, cancel := context.WithTimeout(ctx, control.StoreTimeout)
	defer cancel()
	encoded, err := control.EncodeRecord(e.Record)
	if err != nil {
		l.log.Error("record not written: encoding failed", "revision", e.Record.Revision, "err", err)
		l.post(control.CASCompleted{ID: e.ID, Outcome: control.CASConflict})
		return
	}
	revision, err := l.store.CompareAndSwap(ctx, control.StoreKey, e.Expected, encoded)
	l.post(control.CASCompleted{ID: e.ID, Outcome: casOutcome(err), StoreRevision: revision})
}

func casOutcome(err error) control.CASOutcome {
	switch {
	case err == nil:
		return control.CASApplied
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrTooLarge):
		return control.CASConflict
	default:
		return control.CASUnknown
	}
}

// neighbourTimeout is the time without a heartbeat to a member after which it no longer counts as a neighbour.
const neighbourTimeout = time.Second

// currentNeighbours returns the members that heartbeats are sent to. It runs on the control goroutine.
func (l *controlLoop) currentNeighbours(now time.Time) []control.Member {
	var members []control.Member
	for m, at := range l.neighbours {
		if now.Sub(at) > neighbourTimeout {
			delete(l.neighbours, m)
			continue
		}
		members = append(members, m)
	}
	return members
}
