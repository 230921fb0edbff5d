package upstream

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"time"

	"github.com/go-faster/errors"
)

// Limits of message bodies.
const (
	MaxPayloadBytes = 4 << 20
	MaxAnswerBytes  = 4 << 20
	// MaxBodyBytes leaves room for base64 and the other fields.
	MaxBodyBytes = 6 << 20
)

// Op names a call. Its request is posted to PathPrefix followed by the Op.
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

// PathPrefix is the path of all calls.
const PathPrefix = "/v1/"

// Call is the request of every Op except OpReserve and OpStart, which send a Reservation and a Task.
type Call struct {
	AttemptID  string   `json:"attempt_id,omitempty"`
	AttemptIDs []string `json:"attempt_ids,omitempty"`
	RequestID  string   `json:"request_id,omitempty"`
	WaitMS     int64    `json:"wait_ms,omitempty"`
	Checkpoint bool     `json:"checkpoint,omitempty"`
	Part       float64  `json:"part,omitempty"`
	Epoch      uint64   `json:"epoch,omitempty"`
	Stop       bool     `json:"stop,omitempty"`
}

// Reply is the answer to every Op.
type Reply struct {
	Op Op `json:"op"`
	// Subject is the attempt ID or request ID that was asked for. Like Op, the client compares it.
	Subject string `json:"subject,omitempty"`
	Code    string `json:"code"`
	// Length and SHA256 belong to Attempt.Answer. SHA256 is that of AnswerDigest.
	Length   int           `json:"length,omitempty"`
	SHA256   string        `json:"sha256,omitempty"`
	Attempt  *Attempt      `json:"attempt,omitempty"`
	Unknown  []string      `json:"unknown,omitempty"`
	UptimeNS time.Duration `json:"uptime_ns,omitempty"`
	Status   *Status       `json:"status,omitempty"`
}

// CodeOK is the code of a call that succeeded.
const CodeOK = "ok"

// certain maps codes to the errors of answers that are certain.
var certain = map[string]error{
	"full":              ErrFull,
	"leaving":           ErrLeaving,
	"stale_epoch":       ErrStaleEpoch,
	"duplicate":         ErrDuplicate,
	"lapsed":            ErrLapsed,
	"attempt_not_found": ErrAttemptNotFound,
}

// CodeOf returns the code of an error of this package, or "" if it is not a certain answer of an upstream.
func CodeOf(err error) string {
	if err == nil {
		return CodeOK
	}
	for code, e := range certain {
		if errors.Is(err, e) {
			return code
		}
	}
	return ""
}

// AnswerDigest returns the SHA-256, in lower-case hex, of an attempt ID and its answer. The attempt ID is part of it
// so that an answer that was swapped together with its length and digest is detected.
func AnswerDigest(attemptID string, answer []byte) string {
	hash := sha256.New()
	_, _ = io.WriteString(hash, attemptID)
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write(answer)
	return hex.EncodeToString(hash.Sum(nil))
}

// Seal sets the length and digest of the reply's answer.
func (r *Reply) Seal() {
	if r.Attempt == nil {
		return
	}
	r.Length = len(r.Attempt.Answer)
	r.SHA256 = AnswerDigest(r.Attempt.AttemptID, r.Attempt.Answer)
}

// verify checks that the reply's attempt is the expected one and its answer complete.
func (r *Reply) verify(attemptID string) (Attempt, error) {
	if r.Attempt == nil {
		return Attempt{}, ErrIncomplete
	}
	if r.Attempt.AttemptID != attemptID {
		return Attempt{}, errors.Wrapf(ErrMismatched, "asked for %q, got %q", attemptID, r.Attempt.AttemptID)
	}
	if len(r.Attempt.Answer) != r.Length || AnswerDigest(attemptID, r.Attempt.Answer) != r.SHA256 {
		return Attempt{}, errors.Wrapf(ErrIncomplete, "%d of %d bytes", len(r.Attempt.Answer), r.Length)
	}
	return *r.Attempt, nil
}
