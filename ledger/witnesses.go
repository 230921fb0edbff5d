package ledger

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/platform"
)

const witnessesKey = "cg/witnesses"

// Witness is a host that grants permits to an owner, see package witness.
type Witness struct {
	Host    string `cbor:"1,keyasint"`
	Process string `cbor:"2,keyasint"` // memory of another process of the host proves nothing
	Address string `cbor:"3,keyasint"` // internal address
}

// WitnessRecord is the value of cg/witnesses: the hosts without whose permits the owner of the generation makes no unrecorded start. An
// owner replaces the record of an earlier one only once no task can be running because of unrecorded starts of that.
type WitnessRecord struct {
	Generation uint64    `cbor:"1,keyasint"`
	Witnesses  []Witness `cbor:"2,keyasint"`
	// Zones are those from which the owner chose the zones of unrecorded starts. The next owner uses the same, whatever its settings say.
	Zones []string `cbor:"3,keyasint"`
}

// maxWitnesses and maxZones bound a record that is read.
const (
	maxWitnesses = 8
	maxZones     = 256
)

// WitnessesWrite returns the write that stores the owner's witnesses.
func (o *Ownership) WitnessesWrite(witnesses []Witness, zones []string) (platform.Write, error) {
	value, err := job.Encode(WitnessRecord{Generation: o.Generation, Witnesses: witnesses, Zones: zones})
	return platform.Write{Key: witnessesKey, Value: value}, err
}

// WitnessesKey returns the key of the record of witnesses, for its removal.
func WitnessesKey() string { return witnessesKey }

// readWitnesses returns the record of an owner before the given generation; nil: there is none, so that owner made no unrecorded start. A
// record that cannot be read is returned without witnesses.
func (l *Ledger) readWitnesses(ctx context.Context, generation uint64, timeout time.Duration) (*WitnessRecord, error) {
	var item platform.Item
	err := RepeatRejected(ctx, func() (err error) {
		item, err = l.kv.Get(ctx, witnessesKey, timeout)
		return err
	})
	if err != nil || item.Revision == 0 {
		return nil, err
	}
	record := &WitnessRecord{}
	err = job.Decode(item.Value, record)
	if err != nil || record.Generation >= generation || len(record.Witnesses) > maxWitnesses || len(record.Zones) > maxZones {
		return &WitnessRecord{}, nil
	}
	return record, nil
}

// withWitnesses completes an ownership that was just claimed. Its claim expects cg/chain as it was before the read, and no other owner
// writes the record.
func (l *Ledger) withWitnesses(ctx context.Context, taken *Ownership, timeout time.Duration) (*Ownership, error) {
	if taken.Generation == 0 {
		return taken, nil
	}
	record, err := l.readWitnesses(ctx, taken.Generation, timeout)
	if err != nil {
		return nil, errors.Wrap(err, "witnesses of the ownership before")
	}
	taken.EarlierWitnesses = record
	return taken, nil
}
