// Package peer transports messages between entry hosts as CBOR over WebSocket. Peers authenticate each other with the
// fleet's shared secret. Message sizes and send queues are bounded.
//
// A host dials every peer that it sends messages to; responses to calls are returned on the same connection. If a peer
// is slow, messages are dropped rather than queued without limit: heartbeats are repeated anyway, and a call returns an
// error to its caller.
package peer

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/fxamacker/cbor/v2"

	"citrongauge.example/citrongauge/codec"
	"citrongauge.example/citrongauge/result"
)

// Limits of the protocol.
const (
	ProtocolVersion = 1
	// MaxMessageBytes is large enough for a bundle of 1 MiB together with its control record.
	MaxMessageBytes  = 1<<20 + 256<<10
	maxNestedLevels  = 16
	maxArrayElements = 1 << 17
	maxMapPairs      = 1 << 12
	nonceBytes       = 16
)

// Type is the type of a message.
type Type uint8

// The values of Type.
const (
	TypeHeartbeat      Type = iota + 1
	TypeRecord              // a control record and its bundle
	TypeForward             // a call that forwards a request to the host that issued its request ID
	TypeUpstreamNotice      // a notice that an upstream is leaving
	TypeLoad                // the use and waiting demand of a host or zone
	TypeResponse            // the response to a call
	typeHello
	typeProof
)

// Message is a typed message. Body is the CBOR encoding of the type's struct.
type Message struct {
	Version uint8           `cbor:"1,keyasint"`
	Type    Type            `cbor:"2,keyasint"`
	CallID  uint64          `cbor:"3,keyasint,omitempty"` // matches a call with its response; 0 for one-way messages
	Body    cbor.RawMessage `cbor:"4,keyasint,omitempty"`
}

// Identity is the identity that a peer states in the handshake. It is authenticated by the peer's proof of knowledge of
// the fleet's secret.
type Identity struct {
	// ID is the ID of the current incarnation of the host.
	ID   string `cbor:"1,keyasint"`
	Zone string `cbor:"2,keyasint"`
	// Address is the IP:port at which the peer accepts connections.
	Address string `cbor:"3,keyasint"`
}

type hello struct {
	Identity Identity `cbor:"1,keyasint"`
	Nonce    []byte   `cbor:"2,keyasint"`
}

type proof struct {
	MAC []byte `cbor:"1,keyasint"`
}

var (
	encMode = codec.EncMode()
	decMode = codec.DecMode(codec.Limits{MaxNestedLevels: maxNestedLevels, MaxArrayElements: maxArrayElements, MaxMapPairs: maxMapPairs})
)

// Encode returns the CBOR encoding of a message body.
func Encode(body any) ([]byte, error) {
	return encMode.Marshal(body)
}

// Decode decodes a message body in strict mode.
func Decode(data []byte, body any) error {
	if err := decMode.Unmarshal(data, body); err != nil {
		return result.Errorf(result.PeerProtocol, "%v", err)
	}
	return nil
}

// DecodeMessage decodes a message and checks its size and protocol version.
func DecodeMessage(data []byte) (Message, error) {
	var m Message
	if len(data) > MaxMessageBytes {
		return m, result.Errorf(result.PeerProtocol, "message of %d bytes is too large", len(data))
	}
	if err := Decode(data, &m); err != nil {
		return m, err
	}
	if m.Version != ProtocolVersion {
		return m, result.Errorf(result.PeerVersion, "unsupported protocol version %d", m.Version)
	}
	return m, nil
}

// mac returns the MAC by which the prover shows that it knows the secret. The MAC covers the prover's role, so that a
// verifier cannot be tricked by reflecting its own proof back to it.
func mac(secret []byte, role string, prover, verifier hello) []byte {
	h := hmac.New(sha256.New, secret)
	for _, part := range [][]byte{
		[]byte("citrongauge peer 1"), []byte(role),
		[]byte(prover.Identity.ID), []byte(prover.Identity.Zone), []byte(prover.Identity.Address), prover.Nonce,
		[]byte(verifier.Identity.ID), verifier.Nonce,
	} {
		// Each part is hashed first, so that the boundaries between parts are unambiguous.
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	return h.Sum(nil)
}
