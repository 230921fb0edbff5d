// Package requestid makes non-idempotent requests run at most once. The host that issued a request ID owns it: its
// Table decides which submission is the first. For an issuer that is gone, Recover decides from the answers of
// fenced upstreams whether the request was run.
//
// See docs/design.md, section 6.
package requestid

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/result"
)

const (
	// Retention is how long an ID may be used for the first time after its issue, and how long its outcome is kept
	// after the end.
	Retention = 10 * time.Minute
	// ClockError bounds the difference between the wall clocks of two hosts.
	ClockError = 5 * time.Second
	// MaxBytes is the length of the longest ID as text.
	MaxBytes = 128
	// MaxIssued is the number of IDs that may be issued at once.
	MaxIssued = 1000

	formatVersion  = 1
	macBytes       = 16
	randomBytes    = 8
	maxIssuerBytes = 48
	minSecretBytes = 16
)

var encoding = base64.RawURLEncoding.Strict()

// ID is a request ID that was issued by this system.
type ID struct {
	// Issuer is the incarnation of the host that issued the ID.
	Issuer string
	// Revision and PoolSeq are those of the issuer's control record.
	Revision uint64
	PoolSeq  uint64
	// Issued is the time of issue on the issuer's wall clock.
	Issued time.Time
	// Offset is the time of issue on the issuer's monotonic clock, from the start of the incarnation.
	Offset time.Duration
	random [randomBytes]byte
	text   string
}

// String returns the ID as the caller has it.
func (id ID) String() string { return id.text }

// Issuer issues the request IDs of one host incarnation. It is safe for concurrent use.
type Issuer struct {
	self   string
	start  time.Time
	secret []byte
}

// NewIssuer returns an issuer for the host incarnation self, which started at start. All hosts of the fleet have
// the same secret.
func NewIssuer(self string, start time.Time, secret []byte) (*Issuer, error) {
	if len(self) == 0 || len(self) > maxIssuerBytes {
		return nil, errors.Errorf("host incarnation has %d bytes, allowed are 1 to %d", len(self), maxIssuerBytes)
	}
	if len(secret) < minSecretBytes {
		return nil, errors.Errorf("secret has %d bytes, at least %d are needed", len(secret), minSecretBytes)
	}
	return &Issuer{self: self, start: start, secret: secret}, nil
}

// Issue returns count new IDs. The issuer must be in the roster of the record that it holds: a host that recovers
// an ID concludes from the issuer's absence from a later roster that the issuer is gone.
func (i *Issuer) Issue(now time.Time, record *control.Record, count int) ([]ID, error) {
	if count < 1 || count > MaxIssued {
		return nil, result.Errorf(result.RequestMalformed, "count %d is not within 1 and %d", count, MaxIssued)
	}
	if _, ok := record.Member(i.self); !ok {
		return nil, result.Errorf(result.NoPermission, "host %s is not in the roster", i.self)
	}
	ids := make([]ID, count)
	for n := range ids {
		id := ID{
			Issuer:   i.self,
			Revision: record.Revision,
			PoolSeq:  record.PoolSeq,
			Issued:   time.UnixMilli(now.UnixMilli()),
			Offset:   now.Sub(i.start).Truncate(time.Millisecond),
		}
		if _, err := rand.Read(id.random[:]); err != nil {
			return nil, errors.Wrap(err, "random bits")
		}
		id.text = encoding.EncodeToString(seal(id.payload(), i.secret))
		if len(id.text) > MaxBytes {
			return nil, errors.Errorf("request ID has %d characters, allowed are %d", len(id.text), MaxBytes)
		}
		ids[n] = id
	}
	return ids, nil
}

// payload returns the ID's fields. The issuer comes last and needs no length.
func (id ID) payload() []byte {
	b := []byte{formatVersion}
	b = binary.AppendUvarint(b, id.Revision)
	b = binary.AppendUvarint(b, id.PoolSeq)
	b = binary.AppendVarint(b, id.Issued.UnixMilli())
	b = binary.AppendUvarint(b, uint64(id.Offset.Milliseconds()))
	b = append(b, id.random[:]...)
	return append(b, id.Issuer...)
}

func seal(payload, secret []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write(payload)
	return append(payload, mac.Sum(nil)[:macBytes]...)
}

// Parse checks the text of an ID and returns it. The error is result.RequestIDInvalid.
func Parse(text string, secret []byte) (ID, error) {
	if len(text) > MaxBytes {
		return ID{}, result.Errorf(result.RequestIDInvalid, "longer than %d characters", MaxBytes)
	}
	sealed, err := encoding.DecodeString(text)
	if err != nil || len(sealed) <= macBytes {
		return ID{}, result.Errorf(result.RequestIDInvalid, "not in the form of a request ID")
	}
	payload := sealed[: len(sealed)-macBytes : len(sealed)-macBytes]
	if !hmac.Equal(seal(payload, secret), sealed) {
		return ID{}, result.Errorf(result.RequestIDInvalid, "wrong authentication code")
	}
	id, ok := decode(payload)
	if !ok {
		return ID{}, result.Errorf(result.RequestIDInvalid, "unknown format")
	}
	id.text = text
	return id, nil
}

func decode(payload []byte) (ID, bool) {
	if payload[0] != formatVersion {
		return ID{}, false
	}
	rest := payload[1:]
	ok := true
	next := func() uint64 {
		v, n := binary.Uvarint(rest)
		if n <= 0 {
			ok = false
			return 0
		}
		rest = rest[n:]
		return v
	}
	var id ID
	id.Revision = next()
	id.PoolSeq = next()
	issued, n := binary.Varint(rest)
	if n <= 0 {
		return ID{}, false
	}
	rest = rest[n:]
	id.Issued = time.UnixMilli(issued)
	id.Offset = time.Duration(next()) * time.Millisecond
	if !ok || len(rest) <= randomBytes || len(rest) > randomBytes+maxIssuerBytes {
		return ID{}, false
	}
	copy(id.random[:], rest)
	id.Issuer = string(rest[randomBytes:])
	return id, true
}
