package ledger

import (
	"context"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

// OwnerRecord says who owns the fleet.
type OwnerRecord struct {
	Host string `cbor:"1,keyasint"`
	// Process differs between lives of a host's process.
	Process    string `cbor:"2,keyasint"`
	Generation uint64 `cbor:"3,keyasint"`
	// Address is where the owner accepts announcements.
	Address string `cbor:"4,keyasint,omitempty"`
	// Fitness is from 0 to 1; see owner.fitness.
	Fitness float64 `cbor:"5,keyasint,omitempty"`
}

type chainRecord struct {
	Generation uint64 `cbor:"1,keyasint"`
	Number     uint64 `cbor:"2,keyasint,omitempty"` // of the owner's writes
}

// Ownership is the right to decide about the fleet. All writes of an owner are conditioned on cg/chain, which every
// claim and every write replaces, so that a write of an earlier owner, or a late copy of an own one, changes nothing.
type Ownership struct {
	ledger     *Ledger
	Generation uint64
	Token      uint64 // revision of the claim; higher than that of every earlier claim
	Lease      uint64
	process    string
	chain      uint64 // revision of cg/chain
	number     uint64
}

// claimTries bounds how often a claim whose answer was lost is sent.
const claimTries = 4

// ErrOwned is returned by Claim while another process owns the fleet.
var ErrOwned = errors.New("the fleet is owned")

// Claim takes the ownership for the process in self if it is free. A record of this host under another lease is
// replaced: it is of an earlier process, which is dead, or of an earlier ownership of this one, which has ended. A
// process must not claim while it uses an ownership.
func (l *Ledger) Claim(ctx context.Context, self OwnerRecord, lease uint64, timeout time.Duration) (*Ownership, error) {
	host, process := self.Host, self.Process
	for range claimTries {
		owner, err := l.kv.Get(ctx, OwnerKey, timeout)
		if err != nil {
			return nil, err
		}
		chain, err := l.kv.Get(ctx, chainKey, timeout)
		if err != nil {
			return nil, err
		}
		previous, err := DecodeOwner(owner)
		if err != nil {
			return nil, err
		}
		if owner.Revision != 0 && previous.Process == process && owner.Lease == lease {
			return l.claimed(previous, owner, chain, process)
		}
		if owner.Revision != 0 && previous.Host != host {
			return nil, ErrOwned
		}
		generation, err := nextGeneration(chain)
		if err != nil {
			return nil, err
		}
		self.Generation = generation
		revision, err := l.claim(ctx, self, owner.Revision, chain.Revision, lease, timeout)
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			return &Ownership{
				ledger: l, Generation: generation, Token: revision, Lease: lease, process: process, chain: revision,
			}, nil
		case errors.As(err, &conflict), errors.Is(err, platform.ErrUnanswered):
			continue // the next reading shows who owns the fleet
		default:
			return nil, err
		}
	}
	return nil, errors.Wrap(platform.ErrUnanswered, "claim")
}

// claimed returns the ownership of a claim whose answer was lost.
func (l *Ledger) claimed(record OwnerRecord, owner, chain platform.Item, process string) (*Ownership, error) {
	if chain.Revision != owner.Revision {
		return nil, errors.Wrap(ErrOwned, "the chain has moved on since the claim")
	}
	return &Ownership{
		ledger: l, Generation: record.Generation, Token: owner.Revision, Lease: owner.Lease, process: process,
		chain: chain.Revision,
	}, nil
}

func (l *Ledger) claim(ctx context.Context, record OwnerRecord, ownerRevision, chainRevision, lease uint64, timeout time.Duration) (uint64, error) {
	ownerValue, err := job.Encode(record)
	if err != nil {
		return 0, err
	}
	chainValue, err := job.Encode(chainRecord{Generation: record.Generation})
	if err != nil {
		return 0, err
	}
	return l.kv.Txn(ctx, platform.Txn{
		If: []platform.Condition{
			{Key: OwnerKey, Revision: ownerRevision}, {Key: chainKey, Revision: chainRevision},
		},
		Set: []platform.Write{
			{Key: OwnerKey, Value: ownerValue, Lease: lease}, {Key: chainKey, Value: chainValue},
		},
	}, timeout)
}

// nextGeneration returns the number of the ownership that follows the one in the chain's item.
func nextGeneration(chain platform.Item) (uint64, error) {
	if chain.Revision == 0 {
		return 0, nil
	}
	var record chainRecord
	err := job.Decode(chain.Value, &record)
	return record.Generation + 1, err
}

// Write is what an owner stores in one transaction: progress or removal of jobs, and other records of its own.
type Write struct {
	Progress map[job.ID]job.Progress
	Remove   []job.ID
	Extra    []platform.Write
}

// MaxJobsPerWrite is the number of jobs that fit into one Write with removals counted keysPerJob times.
const (
	MaxJobsPerWrite = platform.MaxTxnEntries - 5 // the condition and the write of the chain, and three other records
	KeysPerRemoval  = 3
)

// Store writes as the owner. It repeats a write whose answer is lost until it is certain, or until ctx ends. After
// ErrDeposed this process is not the owner any more.
func (o *Ownership) Store(ctx context.Context, write Write) error {
	txn, err := o.transaction(write)
	if err != nil {
		return err
	}
	tries := newTries()
	for {
		revision, err := o.ledger.kv.Txn(ctx, txn, tries.timeout)
		if err == nil {
			o.chain = revision
			o.number++
			return nil
		}
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) {
			return o.resolve(conflict)
		}
		if !errors.Is(err, platform.ErrUnanswered) && !errors.Is(err, platform.ErrNotDone) {
			return err
		}
		if !tries.next(ctx) {
			return err
		}
	}
}

// resolve tells a write of our own that was carried out, though its answer was lost, from one of another owner.
func (o *Ownership) resolve(conflict *platform.ConflictError) error {
	for _, item := range conflict.Items {
		if item.Key != chainKey || item.Revision == 0 {
			continue
		}
		var record chainRecord
		if err := job.Decode(item.Value, &record); err != nil {
			return err
		}
		if record.Generation == o.Generation && record.Number == o.number+1 {
			o.chain = item.Revision
			o.number++
			return nil
		}
	}
	return ErrDeposed
}

func (o *Ownership) transaction(write Write) (platform.Txn, error) {
	chain, err := job.Encode(chainRecord{Generation: o.Generation, Number: o.number + 1})
	if err != nil {
		return platform.Txn{}, err
	}
	txn := platform.Txn{
		If:  []platform.Condition{{Key: chainKey, Revision: o.chain}},
		Set: append([]platform.Write{{Key: chainKey, Value: chain}}, write.Extra...),
	}
	for id, progress := range write.Progress {
		value, err := job.Encode(progress)
		if err != nil {
			return platform.Txn{}, err
		}
		txn.Set = append(txn.Set, platform.Write{Key: jobKey(id) + progressSuffix, Value: value})
	}
	for _, id := range write.Remove {
		txn.Remove = append(txn.Remove, jobKey(id), jobKey(id)+cancelSuffix, jobKey(id)+progressSuffix)
	}
	return txn, nil
}

// PendingWrite returns the record of the numbers of waiting jobs.
func PendingWrite(pending map[string]int, nowMS int64) (platform.Write, error) {
	value, err := job.Encode(pendingRecord{AtMS: nowMS, Queues: pending})
	return platform.Write{Key: pendingKey, Value: value}, err
}

type rosterEntry struct {
	ID       string        `cbor:"1,keyasint"`
	Pool     string        `cbor:"2,keyasint"`
	Address  string        `cbor:"3,keyasint"`
	Zone     string        `cbor:"4,keyasint"`
	Born     int64         `cbor:"5,keyasint,omitempty"`
	Capacity job.Resources `cbor:"6,keyasint"`
	Machine  string        `cbor:"7,keyasint,omitempty"`
}

// RosterWrite returns the record of the upstreams on which tasks may run.
func RosterWrite(upstreams []platform.Upstream) (platform.Write, error) {
	entries := make([]rosterEntry, 0, len(upstreams))
	for _, u := range upstreams {
		entries = append(entries, rosterEntry{u.ID, u.Pool, u.Address, u.Zone, u.Born, u.Capacity, u.Machine})
	}
	value, err := job.Encode(entries)
	return platform.Write{Key: rosterKey, Value: value}, err
}

// Roster reads the upstreams on which an earlier owner's tasks may run.
func (l *Ledger) Roster(ctx context.Context, timeout time.Duration) ([]platform.Upstream, error) {
	item, err := l.kv.Get(ctx, rosterKey, timeout)
	if err != nil || item.Revision == 0 {
		return nil, err
	}
	var entries []rosterEntry
	if err := job.Decode(item.Value, &entries); err != nil {
		return nil, err
	}
	upstreams := make([]platform.Upstream, 0, len(entries))
	for _, e := range entries {
		upstreams = append(upstreams, platform.Upstream{
			ID: e.ID, Pool: e.Pool, Address: e.Address, Zone: e.Zone, Born: e.Born, Capacity: e.Capacity, Machine: e.Machine,
		})
	}
	return upstreams, nil
}

// OrderedWrite returns the record of the machines for which the owner may have given orders.
func OrderedWrite(ordered any) (platform.Write, error) {
	value, err := job.Encode(ordered)
	return platform.Write{Key: orderedKey, Value: value}, err
}

// Ordered reads that record into ordered, which it leaves alone if there is none.
func (l *Ledger) Ordered(ctx context.Context, ordered any, timeout time.Duration) error {
	item, err := l.kv.Get(ctx, orderedKey, timeout)
	if err != nil || item.Revision == 0 {
		return err
	}
	return job.Decode(item.Value, ordered)
}

// DecodeOwner reads the owner's item. A key that does not exist gives an empty record.
func DecodeOwner(item platform.Item) (OwnerRecord, error) {
	var record OwnerRecord
	if item.Revision == 0 {
		return record, nil
	}
	err := job.Decode(item.Value, &record)
	return record, err
}

// WaveWrites returns the records of a wave: the owner's own, and the one that the operator reads.
func WaveWrites(number int, record any, succeeded bool) ([]platform.Write, error) {
	value, err := job.Encode(record)
	return []platform.Write{
		{Key: wavePrefix + strconv.Itoa(number), Value: value},
		{Key: platform.WaveStatusKey(number), Value: platform.EncodeWaveStatus(succeeded)},
	}, err
}

// Waves reads the owner's records of waves, as CBOR.
func (l *Ledger) Waves(ctx context.Context, timeout time.Duration) ([][]byte, error) {
	items, _, err := l.kv.All(ctx, wavePrefix, timeout)
	if err != nil {
		return nil, err
	}
	records := make([][]byte, 0, len(items))
	for _, item := range items {
		records = append(records, item.Value)
	}
	return records, nil
}
