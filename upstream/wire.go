package upstream

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"time"

	"github.com/go-faster/errors"
)

// Size limits.
const (
	MaxPayloadBytes = 4 << 20
	MaxAnswerBytes  = 4 << 20
	// MaxBodyBytes limits a request or response body. It leaves room for the base64 encoding and the other fields.
	MaxBodyBytes = 6 << 20
)

// Op is an operation of the protocol. Its requests are sent by POST to PathPrefix followed by the Op.
type Op string

// The values of Op.
const (
	OpReserve  Op = "reserve"
	OpStart    Op = "start"
	OpResult   Op = "result"
	OpRenew    Op = "renew"
	OpRelease  Op = "release"
	OpStop     Op = "stop"
	OpThrottle Op = "throttle"
	OpFence    Op = "fence"
	OpStatus   Op = "status"
	OpDrain    Op = "drain"
)

// PathPrefix is the path prefix of all operations.
const PathPrefix = "/v1/"

// Request is the request body of every Op except OpReserve and OpStart, which send a Reservation and a Task.
type Request struct {
	AttemptID  string   `json:"attempt_id,omitempty"`
	AttemptIDs []string `json:"attempt_ids,omitempty"`
	RequestID  string   `json:"request_id,omitempty"`
	WaitMS     int64    `json:"wait_ms,omitempty"`
	Checkpoint bool     `json:"checkpoint,omitempty"`
	Fraction   float64  `json:"part,omitempty"`
	Epoch      uint64   `json:"epoch,omitempty"`
	RejectAll  bool     `json:"stop,omitempty"`
}

// Reply is the response body of every Op.
type Reply struct {
	Op Op `json:"op"`
	// Subject is the attempt ID or request ID of the request. The client checks that Op and Subject match the request.
	Subject string `json:"subject,omitempty"`
	Code    string `json:"code"`
	// Length is the length of Attempt.Answer, and SHA256 is its AnswerDigest.
	Length   int           `json:"length,omitempty"`
	SHA256   string        `json:"sha256,omitempty"`
	Attempt  *Attempt      `json:"attempt,omitempty"`
	Unknown  []string      `json:"unknown,omitempty"`
	UptimeNS time.Duration `json:"uptime_ns,omitempty"`
	Status   *Status       `json:"status,omitempty"`
}

// CodeOK is the code of a successful call.
const CodeOK = "ok"

// errorByCode maps the codes of definite responses to their errors.
var errorByCode = map[string]error{
	"full":              ErrFull,
	"leaving":           ErrLeaving,
	"stale_epoch":       ErrStaleEpoch,
	"duplicate":         ErrDuplicate,
	"lapsed":            ErrReservationExpired,
	"attempt_not_found": ErrAttemptNotFound,
}

// CodeOf returns the code of an error of this package, or "" if the error is not a definite response of an upstream.
func CodeOf(err error) string {
	if err == nil {
		return CodeOK
	}
	for code, e := range errorByCode {
		if errors.Is(err, e) {
			return code
		}
	}
	return ""
}

// AnswerDigest returns the SHA-256 of an attempt ID and its answer in lower-case hex. The attempt ID is included so
// that the client detects the answer of another attempt even if its length and digest were exchanged with it.
func AnswerDigest(attemptID string, answer []byte) string {
	hash := sha256.New()
	_, _ = io.WriteString(hash, attemptID)
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write(answer)
	return hex.EncodeToString(hash.Sum(nil))
}

// SetDigest sets Length and SHA256 according to the answer in the reply.
func (r *Reply) SetDigest() {
	if r.Attempt == nil {
		return
	}
	r.Length = len(r.Attempt.Answer)
	r.SHA256 = AnswerDigest(r.Attempt.AttemptID, r.Attempt.Answer)
}

// verify checks that the attempt in the reply is the requested one and that its answer matches its length and digest.
func (r *Reply) verify(attemptID string) (Attempt, error) {
	if r.Attempt == nil {
		return Attempt{}, ErrIncomplete
	}
	if r.Attempt.AttemptID != attemptID {
		return Attempt{}, errors.Wrapf(ErrMismatched, "requested attempt %q, got %q", attemptID, r.Attempt.AttemptID)
	}
	if len(r.Attempt.Answer) != r.Length || AnswerDigest(attemptID, r.Attempt.Answer) != r.SHA256 {
		return Attempt{}, errors.Wrapf(ErrIncomplete, "length or digest mismatch: got %d of %d bytes", len(r.Attempt.Answer), r.Length)
	}
	return *r.Attempt, nil
}
