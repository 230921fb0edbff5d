// Package peer carries messages between entry hosts: CBOR over WebSocket, with mutual authentication under the
// fleet's secret, bounded sizes and bounded queues.
//
// A host dials every peer that it sends to; answers to calls come back on the same connection. Messages are dropped,
// never queued without bound, when a peer is slow: heartbeats repeat, and calls report the loss to their caller.
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
	// MaxMessageBytes holds a bundle of 1 MiB together with its control record.
	MaxMessageBytes  = 1<<20 + 256<<10
	maxNestedLevels  = 16
	maxArrayElements = 1 << 17
	maxMapPairs      = 1 << 12
	nonceBytes       = 16
)

// Type is the type of a message.
type Type uint8

// The types of messages.
const (
	TypeHeartbeat Type = iota + 1
	TypeRecord
	TypeForward
	TypeUpstreamNotice
	TypeLoad
	TypeAnswer
	typeHello
	typeProof
)

// Message is a typed message. Body is the CBOR encoding of the type's struct.
type Message struct {
	Version uint8           `cbor:"1,keyasint"`
	Type    Type            `cbor:"2,keyasint"`
	Call    uint64          `cbor:"3,keyasint,omitempty"` // pairs a call with its answer; 0 for one-way messages
	Body    cbor.RawMessage `cbor:"4,keyasint,omitempty"`
}

// Identity is what a peer says of itself when it connects. Its knowledge of the fleet's secret vouches for it.
type Identity struct {
	// ID is the ID of the present incarnation.
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
	encMode = codec.Encoder()
	decMode = codec.Decoder(codec.Limits{Levels: maxNestedLevels, Elements: maxArrayElements, Pairs: maxMapPairs})
)

// Encode returns the CBOR encoding of a message body.
func Encode(body any) ([]byte, error) {
	return encMode.Marshal(body)
}

// Decode reads a message body strictly.
func Decode(data []byte, body any) error {
	if err := decMode.Unmarshal(data, body); err != nil {
		return result.Errorf(result.PeerProtocol, "%v", err)
	}
	return nil
}

// DecodeMessage reads a message and checks its version.
func DecodeMessage(data []byte) (Message, error) {
	var m Message
	if len(data) > MaxMessageBytes {
		return m, result.Errorf(result.PeerProtocol, "message of %d bytes", len(data))
	}
	if err := Decode(data, &m); err != nil {
		return m, err
	}
	if m.Version != ProtocolVersion {
		return m, result.Errorf(result.PeerVersion, "version %d", m.Version)
	}
	return m, nil
}

// mac proves knowledge of the secret. The role keeps a proof from being reflected to its sender.
func mac(secret []byte, role string, prover, verifier hello) []byte {
	h := hmac.New(sha256.New, secret)
	for _, part := range [][]byte{
		[]byte("citrongauge peer 1"), []byte(role),
		[]byte(prover.Identity.ID), []byte(prover.Identity.Zone), []byte(prover.Identity.Address), prover.Nonce,
		[]byte(verifier.Identity.ID), verifier.Nonce,
	} {
		// Hashing each part first keeps the boundaries between parts unambiguous.
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	return h.Sum(nil)
}
