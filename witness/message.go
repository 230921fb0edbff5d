package witness

import (
	"time"

	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/codec"
)

// Path is where a host accepts requests as a witness.
const Path = "/witness"

const (
	// MaxDuration is the longest permit that a witness grants. With the lease of 5 s on upstreams that follows it, a long-running task that
	// was lost meanwhile is started again within 7 s of the next claim.
	MaxDuration = 1500 * time.Millisecond
	// maxMessageBytes bounds a message in either direction. The largest one has a process ID and four integers, or six integers.
	maxMessageBytes = 256
	maxProcessBytes = 64
)

// Kind is the kind of a Request.
type Kind uint8

// Kinds of requests.
const (
	// Permit requests a permit for Request.DurationMS, and Return gives all permits of the generation back up to Request.Number: all
	// of its unrecorded starts are recorded. A Return without a permit has no effect and shows that the witness responds.
	Permit Kind = 1
	Return Kind = 2
	// Query asks for the permits of an earlier generation, Request.About. No generation below Request.Generation gets permits afterwards.
	Query Kind = 3
)

// Request is a message to a witness. Messages of this package keep their fields: a decoder rejects unknown ones.
type Request struct {
	Kind       Kind   `cbor:"1,keyasint"`
	Generation uint64 `cbor:"2,keyasint"` // of the ownership that asks
	// Number rises with each Permit and Return of a generation. It makes requests harmless that arrive late, over a former connection.
	Number     uint64 `cbor:"3,keyasint,omitempty"`
	DurationMS int64  `cbor:"4,keyasint,omitempty"`
	About      uint64 `cbor:"5,keyasint,omitempty"`
	// NewestJob is, in a Permit, the highest revision at which a job was stored whose tasks may be started without records.
	NewestJob uint64 `cbor:"6,keyasint,omitempty"`
}

func (r Request) check() error {
	switch {
	case r.Kind < Permit || r.Kind > Query:
		return errors.Errorf("unknown kind %d of request", r.Kind)
	case r.Kind == Permit && (r.DurationMS <= 0 || r.DurationMS > MaxDuration.Milliseconds()):
		return errors.Errorf("duration %d ms of a permit", r.DurationMS)
	case r.Kind == Query && r.About >= r.Generation:
		return errors.New("query about a generation that is not earlier")
	}
	return nil
}

// Outcome is the outcome of a Request.
type Outcome uint8

// Outcomes. Granted and Denied answer a Permit; Returned and Denied a Return; None, Open and Forgotten a Query.
const (
	Granted  Outcome = 1
	Denied   Outcome = 2 // a later generation has asked, or a later request of the same one
	Returned Outcome = 3
	None     Outcome = 4 // the generation asked about has no permit that was not returned
	Open     Outcome = 5 // it has; Response.LeftMS is how much longer the last one is valid, 0 if it has expired
	// Forgotten: the witness no longer knows.
	Forgotten Outcome = 6
)

// Response is the response to a Request.
type Response struct {
	Process string  `cbor:"1,keyasint"` // of the witness
	Outcome Outcome `cbor:"2,keyasint"`
	LeftMS  int64   `cbor:"3,keyasint,omitempty"`
	AgeMS   int64   `cbor:"4,keyasint,omitempty"` // how long ago the process began
	// NewestJob is, for an Open outcome, the highest Request.NewestJob of the permits that were granted and not returned.
	NewestJob uint64 `cbor:"5,keyasint,omitempty"`
}

func (r Response) check() error {
	if r.Outcome < Granted || r.Outcome > Forgotten || len(r.Process) > maxProcessBytes || r.LeftMS < 0 || r.AgeMS < 0 || r.LeftMS > MaxDuration.Milliseconds() {
		return errors.New("invalid response of a witness")
	}
	return nil
}

var (
	encMode = codec.EncMode()
	decMode = codec.DecMode(codec.Limits{MaxNestedLevels: 4, MaxArrayElements: 16, MaxMapPairs: 16})
)

// decodeRequest decodes and checks a request.
func decodeRequest(data []byte) (r Request, err error) {
	if err := decMode.Unmarshal(data, &r); err != nil {
		return r, errors.Wrap(err, "request")
	}
	return r, r.check()
}

// decodeResponse decodes and checks a response.
func decodeResponse(data []byte) (r Response, err error) {
	if err := decMode.Unmarshal(data, &r); err != nil {
		return r, errors.Wrap(err, "response")
	}
	return r, r.check()
}

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string { return name([]string{"", "permit", "return", "query"}, int(k)) }

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string {
	return name([]string{"", "granted", "denied", "returned", "none", "open", "forgotten"}, int(o))
}

func name(names []string, i int) string {
	if i < len(names) && names[i] != "" {
		return names[i]
	}
	return "unknown"
}
