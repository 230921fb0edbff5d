// Package grant enforces a fleet-wide cap on the slots that each team uses. The cap is divided into grants, one per
// host. A team's grants are the entries of its ledger, which is kept in the platform's store and updated by
// compare-and-swap only. A host starts work only within its own grant, so starting a task needs no call to the store.
//
// Manager decides on changes of the grants and must be used by a single goroutine. SlotLimiter enforces the resulting
// limits and is used by the goroutines that handle traffic. See docs/design.md, section 5.
package grant

import (
	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/codec"
)

const keyPrefix = "grants/"

// maxLedgerEntries limits the number of entries when a ledger is decoded.
const maxLedgerEntries = 10000

var (
	encoding = codec.EncMode()
	decoding = codec.DecMode(codec.Limits{MaxMapPairs: maxLedgerEntries})
)

// LedgerKey returns the store key of a team's ledger.
func LedgerKey(team string) string { return keyPrefix + team }

// Ledger is the value stored under a team's key. Writers never increase the sum of the entries above Cap; the sum can
// exceed Cap only after Cap was lowered.
type Ledger struct {
	// Cap is the number of slots that the entries may add up to. It is the cap in bundle version Version, or a lower
	// one until that version is accepted.
	Cap int `cbor:"1,keyasint"`
	// Version is the highest bundle version that any writer of the ledger had.
	Version uint64 `cbor:"2,keyasint"`
	// Entries holds the slots granted to each host incarnation.
	Entries map[string]int `cbor:"3,keyasint"`
}

// Sum returns the number of slots granted to all hosts.
func (l *Ledger) Sum() int {
	sum := 0
	for _, slots := range l.Entries {
		sum += slots
	}
	return sum
}

// Encode returns the ledger as CBOR. Equal ledgers have equal encodings.
func (l *Ledger) Encode() ([]byte, error) {
	data, err := encoding.Marshal(l)
	if err != nil {
		return nil, errors.Wrap(err, "encode ledger")
	}
	return data, nil
}

// DecodeLedger decodes a ledger and rejects negative values.
func DecodeLedger(data []byte) (Ledger, error) {
	var l Ledger
	if err := decoding.Unmarshal(data, &l); err != nil {
		return l, errors.Wrap(err, "decode ledger")
	}
	if l.Cap < 0 {
		return l, errors.Errorf("ledger has the cap %d", l.Cap)
	}
	for host, slots := range l.Entries {
		if slots < 0 {
			return l, errors.Errorf("ledger grants %d slots to %s", slots, host)
		}
	}
	return l, nil
}
