// Package requestid ensures that non-idempotent requests run at most once. The Table of the host that issued a
// request ID, its issuer, determines which submission is the first. If the issuer is cleared, that is, has left the
// control record and can no longer start work, another host fences the ID at the upstreams, so that none of them starts
// it any more, and ResolveOutcome determines from their responses whether the request was run.
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
	// Retention is how long after its issue an ID may be submitted for the first time, and how long its outcome is
	// kept after the request has ended.
	Retention = 10 * time.Minute
	// MaxClockSkew is the maximum difference between the wall clocks of two hosts.
	MaxClockSkew = 5 * time.Second
	// MaxBytes is the maximum length of an ID in text form.
	MaxBytes = 128
	// MaxIssueCount is the maximum number of IDs in one call of Issue.
	MaxIssueCount = 1000

	formatVersion  = 1
	macBytes       = 16
	randomBytes    = 8
	maxIssuerBytes = 48
	minSecretBytes = 16
)

var encoding = base64.RawURLEncoding.Strict()

// ID is a request ID that a host of this fleet issued.
type ID struct {
	// Issuer identifies the host incarnation that issued the ID.
	Issuer string
	// Revision and PoolSeq are the values in the issuer's control record at the time of issue.
	Revision uint64
	PoolSeq  uint64
	// Issued is the time of issue on the issuer's wall clock.
	Issued time.Time
	// Offset is the time from the start of the incarnation to the issue, on the issuer's monotonic clock.
	Offset time.Duration
	random [randomBytes]byte
	text   string
}

// String returns the ID in the text form that callers use.
func (id ID) String() string { return id.text }

// Issuer issues the request IDs of one host incarnation. It is safe for concurrent use.
type Issuer struct {
	self   string
	start  time.Time
	secret []byte
}

// NewIssuer returns an issuer for the host incarnation self, which started at start. All hosts of the fleet must use
// the same secret.
func NewIssuer(self string, start time.Time, secret []byte) (*Issuer, error) {
	if len(self) == 0 || len(self) > maxIssuerBytes {
		return nil, errors.Errorf("host incarnation ID is %d bytes long, must be 1 to %d", len(self), maxIssuerBytes)
	}
	if len(secret) < minSecretBytes {
		return nil, errors.Errorf("secret is %d bytes long, must be at least %d", len(secret), minSecretBytes)
	}
	return &Issuer{self: self, start: start, secret: secret}, nil
}

// Issue returns count new IDs. The issuer must be in the roster of record, its current control record: a host that
// resolves an ID relies on this when it concludes from a later record without the issuer that the issuer is cleared.
func (i *Issuer) Issue(now time.Time, record *control.Record, count int) ([]ID, error) {
	if count < 1 || count > MaxIssueCount {
		return nil, result.Errorf(result.RequestMalformed, "count %d is not within 1 and %d", count, MaxIssueCount)
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
		id.text = encoding.EncodeToString(appendMAC(id.payload(), i.secret))
		if len(id.text) > MaxBytes {
			return nil, errors.Errorf("request ID has %d characters, allowed are %d", len(id.text), MaxBytes)
		}
		ids[n] = id
	}
	return ids, nil
}

// payload returns the encoded fields of the ID. The issuer comes last, so its length is not encoded.
func (id ID) payload() []byte {
	b := []byte{formatVersion}
	b = binary.AppendUvarint(b, id.Revision)
	b = binary.AppendUvarint(b, id.PoolSeq)
	b = binary.AppendVarint(b, id.Issued.UnixMilli())
	b = binary.AppendUvarint(b, uint64(id.Offset.Milliseconds()))
	b = append(b, id.random[:]...)
	return append(b, id.Issuer...)
}

func appendMAC(payload, secret []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write(payload)
	return append(payload, mac.Sum(nil)[:macBytes]...)
}

// Parse verifies and decodes the text form of an ID. Its errors have the code result.RequestIDInvalid.
func Parse(text string, secret []byte) (ID, error) {
	if len(text) > MaxBytes {
		return ID{}, result.Errorf(result.RequestIDInvalid, "longer than %d characters", MaxBytes)
	}
	authenticated, err := encoding.DecodeString(text)
	if err != nil || len(authenticated) <= macBytes {
		return ID{}, result.Errorf(result.RequestIDInvalid, "not in the form of a request ID")
	}
	payload := authenticated[: len(authenticated)-macBytes : len(authenticated)-macBytes]
	if !hmac.Equal(appendMAC(payload, secret), authenticated) {
		return ID{}, result.Errorf(result.RequestIDInvalid, "wrong authentication code")
	}
	id, ok := decodePayload(payload)
	if !ok {
		return ID{}, result.Errorf(result.RequestIDInvalid, "unknown format")
	}
	id.text = text
	return id, nil
}

func decodePayload(payload []byte) (ID, bool) {
	if payload[0] != formatVersion {
		return ID{}, false
	}
	rest := payload[1:]
	ok := true
	nextUvarint := func() uint64 {
		v, n := binary.Uvarint(rest)
		if n <= 0 {
			ok = false
			return 0
		}
		rest = rest[n:]
		return v
	}
	var id ID
	id.Revision = nextUvarint()
	id.PoolSeq = nextUvarint()
	issued, n := binary.Varint(rest)
	if n <= 0 {
		return ID{}, false
	}
	rest = rest[n:]
	id.Issued = time.UnixMilli(issued)
	id.Offset = time.Duration(nextUvarint()) * time.Millisecond
	if !ok || len(rest) <= randomBytes || len(rest) > randomBytes+maxIssuerBytes {
		return ID{}, false
	}
	copy(id.random[:], rest)
	id.Issuer = string(rest[randomBytes:])
	return id, true
}
