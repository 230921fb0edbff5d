package bundle

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"

	"citrongauge.example/citrongauge/codec"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/result"
)

// signatureDomain separates the signatures of bundles from those of other messages that operators sign.
const signatureDomain = "citrongauge bundle v1\x00"

// Signed is the envelope of a signed bundle. The store holds its encoded form, see Encode.
type Signed struct {
	Operator string `cbor:"1,keyasint"`
	// Text is the canonical form of the bundle.
	Text      []byte `cbor:"2,keyasint"`
	Signature []byte `cbor:"3,keyasint"`
}

// maxEnvelopeLevels is the maximum nesting depth of the envelope.
const maxEnvelopeLevels = 4

var (
	envelopeEncoder = codec.EncMode()
	envelopeDecoder = codec.DecMode(codec.Limits{MaxNestedLevels: maxEnvelopeLevels})
)

// Canonical returns the canonical form of the bundle, which is what operators sign: standard JSON without whitespace
// and with the fields in the order of the struct types.
func (b *Bundle) Canonical() []byte {
	normalized := *b
	normalized.Pools = append([]Pool(nil), b.Pools...)
	normalized.Queues = append([]Queue(nil), b.Queues...)
	normalized.Teams = append([]Team(nil), b.Teams...)
	normalized.normalize()
	var text bytes.Buffer
	encoder := json.NewEncoder(&text)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(normalized); err != nil {
		panic(err) // all values of the types can be encoded as JSON
	}
	return bytes.TrimSuffix(text.Bytes(), []byte("\n"))
}

// Digest returns the SHA-256 hash of the canonical form.
func (b *Bundle) Digest() [32]byte {
	return sha256.Sum256(b.Canonical())
}

// Sign signs the canonical form of a bundle with an operator's key.
func Sign(b *Bundle, key ed25519.PrivateKey, operator string) Signed {
	text := b.Canonical()
	return Signed{Operator: operator, Text: text, Signature: ed25519.Sign(key, signedMessage(operator, text))}
}

// signedMessage returns the message that the signature covers. The operator name is prefixed with its length, so that
// the boundary between name and text is unambiguous.
func signedMessage(operator string, text []byte) []byte {
	message := []byte(signatureDomain)
	message = binary.BigEndian.AppendUint32(message, uint32(len(operator)))
	message = append(message, operator...)
	return append(message, text...)
}

// Encode returns the envelope in deterministically encoded CBOR.
func (s Signed) Encode() []byte {
	data, err := envelopeEncoder.Marshal(s)
	if err != nil {
		panic(err) // strings and byte strings can always be encoded
	}
	return data
}

// DecodeSigned decodes an envelope without verifying its signature. It accepts only the output of Encode, so that each
// envelope has exactly one encoding.
func DecodeSigned(data []byte) (Signed, error) {
	if len(data) > platform.MaxValueBytes {
		return Signed{}, result.Errorf(result.BundleTooLarge, "envelope of %d bytes", len(data))
	}
	var signed Signed
	if err := envelopeDecoder.Unmarshal(data, &signed); err != nil {
		return Signed{}, result.Errorf(result.SignatureInvalid, "not a signed bundle: %v", err)
	}
	if !bytes.Equal(signed.Encode(), data) {
		return Signed{}, result.Errorf(result.SignatureInvalid, "the envelope is not in its deterministic form")
	}
	return signed, nil
}

// VerifySigned returns the bundle in an envelope if it is valid and one of the given operators signed it. The error is
// a *result.Error or Problems.
func VerifySigned(data []byte, operators map[string]ed25519.PublicKey) (*Bundle, error) {
	signed, err := DecodeSigned(data)
	if err != nil {
		return nil, err
	}
	if !signed.verify(operators) {
		return nil, result.Errorf(result.SignatureInvalid, "operator %s", quote(signed.Operator))
	}
	b, problems := Parse("bundle of "+signed.Operator, signed.Text)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	if !bytes.Equal(b.Canonical(), signed.Text) {
		return nil, result.Errorf(result.DigestMismatch, "the signed text is not in canonical form")
	}
	return b, nil
}

// verify reports whether the signature is valid and the operator is one of the given ones.
func (s Signed) verify(operators map[string]ed25519.PublicKey) bool {
	key, ok := operators[s.Operator]
	if !ok || len(key) != ed25519.PublicKeySize {
		return false
	}
	return ed25519.Verify(key, signedMessage(s.Operator, s.Text), s.Signature)
}
