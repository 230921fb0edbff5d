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

// signatureDomain keeps a bundle's signature from being valid for anything else that an operator signs.
const signatureDomain = "citrongauge bundle v1\x00"

// Signed is a bundle with its signature, as the store holds it. Encode gives its bytes.
type Signed struct {
	Operator string `cbor:"1,keyasint"`
	// Text is the canonical form of the bundle.
	Text      []byte `cbor:"2,keyasint"`
	Signature []byte `cbor:"3,keyasint"`
}

// maxEnvelopeLevels is the deepest nesting of a signed bundle's envelope.
const maxEnvelopeLevels = 4

var (
	envelopeEncoding = codec.Encoder()
	envelopeDecoding = codec.Decoder(codec.Limits{Levels: maxEnvelopeLevels})
)

// Canonical returns the bundle as standard JSON without spaces and with the fields in the order of the types. It
// is what operators sign.
func (b *Bundle) Canonical() []byte {
	copied := *b
	copied.Pools = append([]Pool(nil), b.Pools...)
	copied.Queues = append([]Queue(nil), b.Queues...)
	copied.Teams = append([]Team(nil), b.Teams...)
	copied.normalize()
	var text bytes.Buffer
	encoder := json.NewEncoder(&text)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(copied); err != nil {
		panic(err) // the types have no value that JSON cannot hold
	}
	return bytes.TrimSuffix(text.Bytes(), []byte("\n"))
}

// Digest returns the SHA-256 of the canonical form.
func (b *Bundle) Digest() [32]byte {
	return sha256.Sum256(b.Canonical())
}

// Sign signs the canonical form of a bundle in the name of an operator.
func Sign(b *Bundle, key ed25519.PrivateKey, operator string) Signed {
	text := b.Canonical()
	return Signed{Operator: operator, Text: text, Signature: ed25519.Sign(key, signedMessage(operator, text))}
}

// signedMessage returns what the signature covers. The length of the name separates it from the text.
func signedMessage(operator string, text []byte) []byte {
	message := []byte(signatureDomain)
	message = binary.BigEndian.AppendUint32(message, uint32(len(operator)))
	message = append(message, operator...)
	return append(message, text...)
}

// Encode returns the envelope in deterministic CBOR.
func (s Signed) Encode() []byte {
	data, err := envelopeEncoding.Marshal(s)
	if err != nil {
		panic(err) // strings and bytes always encode
	}
	return data
}

// DecodeSigned reads an envelope without verifying it. It accepts only what Encode returns, so that an envelope
// has one form.
func DecodeSigned(data []byte) (Signed, error) {
	if len(data) > platform.MaxValueBytes {
		return Signed{}, result.Errorf(result.BundleTooLarge, "envelope of %d bytes", len(data))
	}
	var signed Signed
	if err := envelopeDecoding.Unmarshal(data, &signed); err != nil {
		return Signed{}, result.Errorf(result.SignatureInvalid, "not a signed bundle: %v", err)
	}
	if !bytes.Equal(signed.Encode(), data) {
		return Signed{}, result.Errorf(result.SignatureInvalid, "the envelope is not in its deterministic form")
	}
	return signed, nil
}

// VerifySigned returns the bundle of an envelope if one of the given operators signed it and it is valid. The
// error is a *result.Error or Problems.
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

func (s Signed) verify(operators map[string]ed25519.PublicKey) bool {
	key, ok := operators[s.Operator]
	if !ok || len(key) != ed25519.PublicKeySize {
		return false
	}
	return ed25519.Verify(key, signedMessage(s.Operator, s.Text), s.Signature)
}
