package admin

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"net/http"
	"strconv"
	"sync"
	"time"

	"citrongauge.example/citrongauge/result"
)

// Headers of a signed request.
const (
	headerOperator  = "Citrongauge-Operator"
	headerTime      = "Citrongauge-Time"
	headerNonce     = "Citrongauge-Nonce"
	headerSignature = "Citrongauge-Signature"
)

const (
	// MaxClockDifference is the maximum difference between the time in a request and the host's clock.
	MaxClockDifference = 30 * time.Second
	// MaxNonces limits the memory for nonces. When the limit is reached, new requests are rejected, because dropping
	// the nonce of a recent request would allow it to be replayed.
	MaxNonces = 20_000

	nonceBytes             = 16
	requestSignatureDomain = "citrongauge admin request v1\x00"
)

// SignRequest signs a request with an operator's key for the entry host with the given ID. body must be the body of the
// request. The host accepts a signed request only once.
func SignRequest(r *http.Request, body []byte, key ed25519.PrivateKey, operator, hostID string, now time.Time) {
	var random [nonceBytes]byte
	_, _ = rand.Read(random[:]) // never returns an error; it terminates the process instead
	r.Header.Set(headerOperator, operator)
	r.Header.Set(headerTime, strconv.FormatInt(now.UnixMilli(), 10))
	r.Header.Set(headerNonce, base64.RawURLEncoding.EncodeToString(random[:]))
	signature := ed25519.Sign(key, signedMessage(r, body, hostID))
	r.Header.Set(headerSignature, base64.RawURLEncoding.EncodeToString(signature))
}

// signedMessage returns the message that the signature covers. Every part is prefixed with its length, so that no two
// different requests have the same message.
func signedMessage(r *http.Request, body []byte, hostID string) []byte {
	digest := sha256.Sum256(body)
	parts := []string{r.Method, r.URL.RequestURI(), r.Header.Get(headerOperator), r.Header.Get(headerTime),
		r.Header.Get(headerNonce), hostID, string(digest[:])}
	message := []byte(requestSignatureDomain)
	for _, part := range parts {
		message = binary.BigEndian.AppendUint32(message, uint32(len(part)))
		message = append(message, part...)
	}
	return message
}

// Verifier verifies signed requests. It is safe for concurrent use.
type Verifier struct {
	// HostID returns the ID of this entry host. The ID must be unique to the process, so that requests to an earlier
	// process cannot be replayed to this one, which does not know their nonces.
	HostID func() string
	// Operators maps the names of the operators to their public keys.
	Operators map[string]ed25519.PublicKey
	// Now returns the time of the host's clock.
	Now func() time.Time

	mu sync.Mutex
	// nonces maps the operator name and nonce of each accepted request to the request time in Unix milliseconds.
	nonces map[string]int64
	// latestDroppedMS is the latest time, in Unix milliseconds, of a request whose nonce was dropped. Requests up to
	// this time are rejected, so that setting the clock back does not allow a replay.
	latestDroppedMS int64
}

// signedHeaders holds the parsed signature headers of a request.
type signedHeaders struct {
	operator  string
	unixMS    int64
	nonce     string
	signature []byte
}

// Verify returns the name of the operator who signed the request. It accepts each request only once. The error is a
// *result.Error with code AdminUnauthenticated, AdminReplayed or AdminMalformed.
func (v *Verifier) Verify(r *http.Request, body []byte) (string, error) {
	headers, err := parseHeaders(r)
	if err != nil {
		return "", err
	}
	key, ok := v.Operators[headers.operator]
	if !ok || len(key) != ed25519.PublicKeySize {
		return "", result.Errorf(result.AdminUnauthenticated, "unknown operator")
	}
	if !ed25519.Verify(key, signedMessage(r, body, v.HostID()), headers.signature) {
		return "", result.Errorf(result.AdminUnauthenticated, "the signature does not match the request or this host")
	}
	return headers.operator, v.checkReplay(headers)
}

// parseHeaders parses the signature headers without verifying the signature. It is cheap, so that malformed requests
// can be rejected before their body is read.
func parseHeaders(r *http.Request) (signedHeaders, error) {
	headers := signedHeaders{operator: r.Header.Get(headerOperator), nonce: r.Header.Get(headerNonce)}
	if headers.operator == "" || r.Header.Get(headerSignature) == "" {
		return headers, result.Errorf(result.AdminUnauthenticated, "the request is not signed")
	}
	var err error
	if headers.unixMS, err = strconv.ParseInt(r.Header.Get(headerTime), 10, 64); err != nil {
		return headers, result.Errorf(result.AdminMalformed, "%s is not a time in milliseconds", headerTime)
	}
	if nonce, err := base64.RawURLEncoding.Strict().DecodeString(headers.nonce); err != nil || len(nonce) != nonceBytes {
		return headers, result.Errorf(result.AdminMalformed, "%s is not %d bytes in base64", headerNonce, nonceBytes)
	}
	headers.signature, err = base64.RawURLEncoding.Strict().DecodeString(r.Header.Get(headerSignature))
	if err != nil || len(headers.signature) != ed25519.SignatureSize {
		return headers, result.Errorf(result.AdminMalformed, "%s is not an Ed25519 signature", headerSignature)
	}
	return headers, nil
}

// checkReplay rejects requests outside the time window and requests whose nonce was already used. It records the nonce.
func (v *Verifier) checkReplay(headers signedHeaders) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	now, window := v.Now().UnixMilli(), MaxClockDifference.Milliseconds()
	if headers.unixMS < now-window || headers.unixMS > now+window || headers.unixMS <= v.latestDroppedMS {
		return result.Errorf(result.AdminReplayed, "the request's time differs too much from the host's clock")
	}
	nonce := headers.operator + " " + headers.nonce
	if _, seen := v.nonces[nonce]; seen {
		return result.Errorf(result.AdminReplayed, "the nonce was seen before")
	}
	if len(v.nonces) >= MaxNonces {
		v.dropNoncesBefore(now - window)
	}
	if len(v.nonces) >= MaxNonces {
		return result.Errorf(result.AdminReplayed, "%d requests within %s", MaxNonces, MaxClockDifference)
	}
	if v.nonces == nil {
		v.nonces = map[string]int64{}
	}
	v.nonces[nonce] = headers.unixMS
	return nil
}

// dropNoncesBefore drops the nonces of requests from before unixMS, which are rejected because of their time.
func (v *Verifier) dropNoncesBefore(unixMS int64) {
	for nonce, at := range v.nonces {
		if at < unixMS {
			delete(v.nonces, nonce)
			v.latestDroppedMS = max(v.latestDroppedMS, at)
		}
	}
}
