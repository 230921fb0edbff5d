package ledger

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"citrongauge.example/citrongauge/clock"
	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

// OwnerRecord identifies the owner of the fleet.
type OwnerRecord struct {
	Host string `cbor:"1,keyasint"`
	// Process is a random ID, new at each start of a host's process.
	Process    string `cbor:"2,keyasint"`
	Generation uint64 `cbor:"3,keyasint"`
	// Address is the HTTP address at which the owner accepts announcements.
	Address string `cbor:"4,keyasint,omitempty"`
	// Fitness rates the host as an owner, from 0 to 1; see function fitness in package owner.
	Fitness float64 `cbor:"5,keyasint,omitempty"`
}

// chainRecord is the value of a lane's key. It identifies the claim or the write that stored it.
type chainRecord struct {
	Generation uint64 `cbor:"1,keyasint"`
	Number     uint64 `cbor:"2,keyasint,omitempty"` // number of the write in this generation; 0: the claim
}

// Ownership is the exclusive right to run the fleet. All writes of an owner belong to a lane, whose key every claim and every
// write of the lane replace, and are conditioned on its revision, so that a write of an earlier owner or a late duplicate of
// one of its own writes has no effect. Its methods must not be called concurrently.
type Ownership struct {
	ledger     *Ledger
	Generation uint64
	Token      uint64 // revision of the claim; higher than that of every earlier claim
	Lease      uint64
	// EarlierLease is the longest time from the expiry of the key of the ownership before to the end of a lease on an upstream, by the
	// upstream's clock; 0: it is not known, or the key has not expired.
	EarlierLease time.Duration
	// EarlierWitnesses are those of an ownership before, which may have made unrecorded starts; nil: none did.
	EarlierWitnesses *WitnessRecord
	ownerRevision    uint64 // of the owner's record
	process          string
	chain            lane
	lanes            []*lane
	inFlight         *inFlight
	responseTime     atomic.Int64 // of recent writes, in nanoseconds
}

// maxClaimAttempts bounds how often a claim is sent that conflicts or gets no response.
const maxClaimAttempts = 4

// ErrOwnedByOther is returned by Claim while another host owns the fleet.
var ErrOwnedByOther = errors.New("another host owns the fleet")

// Claim takes the ownership for self's process if it is free. It replaces a record of the same host that has another
// process or lease: that record belongs to an earlier process, which is dead, or to an earlier ownership of this
// process, which has ended. A process must not call Claim while it holds an ownership.
//
// Calls that the store rejects are repeated until ctx ends, which should be no later than the lease: all hosts together may
// make more calls than the store allows, and another claim would make all of them again.
func (l *Ledger) Claim(ctx context.Context, self OwnerRecord, lease uint64, timeout time.Duration) (*Ownership, error) {
	for range maxClaimAttempts {
		owner, chain, err := l.readClaim(ctx, timeout)
		if err != nil {
			return nil, err
		}
		previous, err := DecodeOwner(owner)
		if err != nil {
			return nil, err
		}
		if owner.Revision != 0 && previous.Process == self.Process && owner.Lease == lease {
			taken, err := l.recoverClaim(previous, owner, chain)
			if err != nil {
				return nil, err
			}
			return l.withWitnesses(ctx, taken, timeout)
		}
		if owner.Revision != 0 && previous.Host != self.Host {
			return nil, ErrOwnedByOther
		}
		if self.Generation, err = nextGeneration(chain); err != nil {
			return nil, err
		}
		earlier, err := l.readEarlier(ctx, self.Generation, timeout)
		if err != nil {
			return nil, err
		}
		revision, err := l.writeClaim(ctx, self, owner.Revision, chain.Revision, lease, earlier.unreached, timeout)
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			taken := l.newOwnership(self, revision, lease)
			taken.EarlierWitnesses = earlier.witnesses
			if owner.Revision == 0 { // its key has expired
				taken.EarlierLease = earlier.lease
			}
			return taken, nil
		case errors.As(err, &conflict), errors.Is(err, platform.ErrOutcomeUnknown):
			continue // the next read shows whether this claim succeeded
		default:
			return nil, err
		}
	}
	return nil, errors.Wrap(platform.ErrOutcomeUnknown, "claim")
}

// readClaim reads the owner's record and cg/chain.
func (l *Ledger) readClaim(ctx context.Context, timeout time.Duration) (owner, chain platform.Item, err error) {
	read := func(key string, item *platform.Item) func() error {
		return func() error {
			return RepeatRejected(ctx, func() (err error) {
				*item, err = l.kv.Get(ctx, key, timeout)
				return err
			})
		}
	}
	var reads errgroup.Group // a claim takes as few round trips as it can: its lease is running
	reads.Go(read(OwnerKey, &owner))
	reads.Go(read(chainKey, &chain))
	err = reads.Wait()
	return owner, chain, err
}

// earlierState is what a claim takes over from the ownership before.
type earlierState struct {
	unreached []platform.Write
	lease     time.Duration // see Ownership.EarlierLease
	witnesses *WitnessRecord
}

// readEarlier reads what the ownership before a generation has left. It has to be called after cg/chain has been read, so that the
// claim fails if an earlier owner writes meanwhile.
func (l *Ledger) readEarlier(ctx context.Context, generation uint64, timeout time.Duration) (earlier earlierState, err error) {
	if generation == 0 {
		return earlier, nil
	}
	var reads errgroup.Group
	reads.Go(func() (err error) {
		earlier.unreached, err = l.takeOverUnreached(ctx, generation, timeout)
		return err
	})
	reads.Go(func() (err error) {
		earlier.witnesses, err = l.readWitnesses(ctx, generation, timeout)
		return err
	})
	reads.Go(func() error {
		earlier.lease = l.readTerms(ctx, generation-1, timeout)
		return nil
	})
	err = reads.Wait()
	return earlier, err
}

// RepeatRejected repeats a call that the store rejects until ctx ends.
func RepeatRejected(ctx context.Context, call func() error) error {
	for {
		err := call()
		if !errors.Is(err, platform.ErrNotExecuted) {
			return err
		}
		clock.Sleep(ctx, retryDelay)
		if ctx.Err() != nil {
			return err
		}
	}
}

// recoverClaim returns the ownership of an earlier claim that succeeded although its response was lost.
func (l *Ledger) recoverClaim(record OwnerRecord, owner, chain platform.Item) (*Ownership, error) {
	if chain.Revision != owner.Revision {
		return nil, errors.Wrap(ErrOwnedByOther, "cg/chain has changed since the claim")
	}
	return l.newOwnership(record, owner.Revision, owner.Lease), nil
}

// newOwnership returns the ownership of a claim that was executed at the given revision.
func (l *Ledger) newOwnership(self OwnerRecord, claimed, lease uint64) *Ownership {
	return &Ownership{
		ledger: l, Generation: self.Generation, Token: claimed, Lease: lease, ownerRevision: claimed, process: self.Process, inFlight: newInFlight(),
		chain: lane{key: chainKey, revision: claimed}, lanes: newLanes(claimed),
	}
}

// writeClaim replaces the owner's record and the keys of all lanes if neither the record nor cg/chain has changed since the given revisions, and makes further writes.
func (l *Ledger) writeClaim(ctx context.Context, record OwnerRecord, ownerRevision, chainRevision, lease uint64, further []platform.Write, timeout time.Duration) (uint64, error) {
	ownerValue, err := job.Encode(record)
	if err != nil {
		return 0, err
	}
	chainValue, err := job.Encode(chainRecord{Generation: record.Generation})
	if err != nil {
		return 0, err
	}
	txn := platform.Txn{
		If: []platform.Condition{
			{Key: OwnerKey, Revision: ownerRevision}, {Key: chainKey, Revision: chainRevision},
		},
		Set: append([]platform.Write{
			{Key: OwnerKey, Value: ownerValue, Lease: lease}, {Key: chainKey, Value: chainValue},
		}, further...),
	}
	for _, lane := range newLanes(0) {
		txn.Set = append(txn.Set, platform.Write{Key: lane.key, Value: chainValue})
	}
	var revision uint64
	err = RepeatRejected(ctx, func() error {
		revision, err = l.kv.Txn(ctx, txn, timeout)
		return err
	})
	return revision, err
}

// nextGeneration returns the generation that follows the one in the cg/chain item.
func nextGeneration(chain platform.Item) (uint64, error) {
	if chain.Revision == 0 {
		return 0, nil
	}
	var record chainRecord
	err := job.Decode(chain.Value, &record)
	return record.Generation + 1, err
}

// PendingWrite returns the write that stores the number of pending jobs by queue.
func PendingWrite(pending map[string]int, nowMS int64) (platform.Write, error) {
	value, err := job.Encode(pendingRecord{CountedMS: nowMS, Queues: pending})
	return platform.Write{Key: pendingKey, Value: value}, err
}

// rosterEntry is the stored form of one upstream in the roster.
type rosterEntry struct {
	ID        string        `cbor:"1,keyasint"`
	Pool      string        `cbor:"2,keyasint"`
	Address   string        `cbor:"3,keyasint"`
	Zone      string        `cbor:"4,keyasint"`
	StartedMS int64         `cbor:"5,keyasint,omitempty"`
	Capacity  job.Resources `cbor:"6,keyasint"`
	Machine   string        `cbor:"7,keyasint,omitempty"`
}

// RosterWrite returns the write that stores an upstream on which tasks may run.
func RosterWrite(u platform.Upstream) (platform.Write, error) {
	value, err := job.Encode(rosterEntry{u.ID, u.Pool, u.Address, u.Zone, u.StartedMS, u.Capacity, u.Machine})
	return platform.Write{Key: RosterRecordKey(u.ID), Value: value}, err
}

// RosterRecordKey returns the key of an upstream's record in the roster.
func RosterRecordKey(upstream string) string { return rosterPrefix + upstream }

// Roster reads the upstreams on which an earlier owner's tasks may run.
func (l *Ledger) Roster(ctx context.Context, timeout time.Duration) ([]platform.Upstream, error) {
	items, _, err := l.kv.ListAll(ctx, rosterPrefix, timeout)
	if err != nil {
		return nil, err
	}
	upstreams := make([]platform.Upstream, 0, len(items))
	for _, item := range items {
		var entry rosterEntry
		if err := job.Decode(item.Value, &entry); err != nil {
			return nil, err
		}
		upstreams = append(upstreams, entry.upstream())
	}
	return upstreams, nil
}

// OldRoster reads the roster as earlier versions stored it. found is false if there is no such record.
func (l *Ledger) OldRoster(ctx context.Context, timeout time.Duration) (upstreams []platform.Upstream, found bool, err error) {
	item, err := l.kv.Get(ctx, oldRosterKey, timeout)
	if err != nil || item.Revision == 0 {
		return nil, false, err
	}
	var entries []rosterEntry
	if err := job.Decode(item.Value, &entries); err != nil {
		return nil, false, err
	}
	for _, entry := range entries {
		upstreams = append(upstreams, entry.upstream())
	}
	return upstreams, true, nil
}

// OldRosterKey returns the key of the record that OldRoster reads.
func OldRosterKey() string { return oldRosterKey }

func (e rosterEntry) upstream() platform.Upstream {
	return platform.Upstream{
		ID: e.ID, Pool: e.Pool, Address: e.Address, Zone: e.Zone, StartedMS: e.StartedMS, Capacity: e.Capacity, Machine: e.Machine,
	}
}

// CommandedMachinesWrite returns the write that stores for which machines the owner may have sent commands.
func CommandedMachinesWrite(commanded any) (platform.Write, error) {
	value, err := job.Encode(commanded)
	return platform.Write{Key: commandedKey, Value: value}, err
}

// CommandedMachines decodes the record of CommandedMachinesWrite into commanded, which stays unchanged if there is
// none.
func (l *Ledger) CommandedMachines(ctx context.Context, commanded any, timeout time.Duration) error {
	item, err := l.kv.Get(ctx, commandedKey, timeout)
	if err != nil || item.Revision == 0 {
		return err
	}
	return job.Decode(item.Value, commanded)
}

// LongLeasesWrite returns the write that stores the upstreams whose leases may last longer than the next owner would count.
func LongLeasesWrite(longLeases any) (platform.Write, error) {
	value, err := job.Encode(longLeases)
	return platform.Write{Key: longLeasesKey, Value: value}, err
}

// LongLeases decodes the record of LongLeasesWrite into longLeases, which stays unchanged if there is none.
func (l *Ledger) LongLeases(ctx context.Context, longLeases any, timeout time.Duration) error {
	item, err := l.kv.Get(ctx, longLeasesKey, timeout)
	if err != nil || item.Revision == 0 {
		return err
	}
	return job.Decode(item.Value, longLeases)
}

// DecodeOwner decodes the owner's item. It returns an empty record if the key does not exist.
func DecodeOwner(item platform.Item) (OwnerRecord, error) {
	var record OwnerRecord
	if item.Revision == 0 {
		return record, nil
	}
	err := job.Decode(item.Value, &record)
	return record, err
}

// WaveWrites returns the writes that store a wave's state: the owner's record and the status for the operator.
func WaveWrites(number int, record any, succeeded bool) ([]platform.Write, error) {
	value, err := job.Encode(record)
	return []platform.Write{
		{Key: wavePrefix + strconv.Itoa(number), Value: value},
		{Key: platform.WaveStatusKey(number), Value: platform.EncodeWaveStatus(succeeded)},
	}, err
}

// Waves reads the CBOR-encoded records of all waves that owners have stored.
func (l *Ledger) Waves(ctx context.Context, timeout time.Duration) ([][]byte, error) {
	items, _, err := l.kv.ListAll(ctx, wavePrefix, timeout)
	if err != nil {
		return nil, err
	}
	records := make([][]byte, 0, len(items))
	for _, item := range items {
		records = append(records, item.Value)
	}
	return records, nil
}
