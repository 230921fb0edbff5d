// Package grant keeps every team within its cap of slots in use, fleet-wide. The cap is split into grants, one
// ledger per team in the platform's store, changed by compare-and-swap only. A host starts work only within its
// own grant, so that a start needs no call to the store.
//
// Manager decides and is owned by one goroutine; Account is the part that traffic goroutines use. See
// docs/design.md, section 5.
package grant

import (
	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/codec"
)

const keyPrefix = "grants/"

// maxEntries bounds the entries of a ledger that is read.
const maxEntries = 10000

var (
	encoding = codec.Encoder()
	decoding = codec.Decoder(codec.Limits{Pairs: maxEntries})
)

// Key returns the store's key of a team's ledger.
func Key(team string) string { return keyPrefix + team }

// Ledger is the value of a team's key. The sum of the entries rises only up to Cap.
type Ledger struct {
	// Cap is the number of slots that the entries may add up to. It is that of the bundle Version, or a lower
	// one until that version is accepted.
	Cap int `cbor:"1,keyasint"`
	// Version is the highest bundle version of all writers.
	Version uint64 `cbor:"2,keyasint"`
	// Entries holds the slots granted to each host incarnation.
	Entries map[string]int `cbor:"3,keyasint"`
}

// Sum returns the slots granted to all hosts.
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

// Decode reads a ledger and checks its ranges.
func Decode(data []byte) (Ledger, error) {
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
