package bundle

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"strings"

	"github.com/go-faster/errors"
)

const (
	keyBytes  = 32
	keyPrefix = "cgk_"
)

// NewTeamKey returns a new random team key in its text form and its hash for the bundle.
func NewTeamKey() (key, hash string) {
	var random [keyBytes]byte
	_, _ = rand.Read(random[:]) // never fails, it ends the process instead
	key = keyPrefix + base64.RawURLEncoding.EncodeToString(random[:])
	return key, HashKey(key)
}

// HashKey returns the hash of a key's text form in lower-case hex.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// MatchKey states whether a key has the given hash, in constant time.
func MatchKey(key, hash string) bool {
	return subtle.ConstantTimeCompare([]byte(HashKey(key)), []byte(hash)) == 1
}

// Prefixes of operators' keys in text form.
const (
	operatorPublicPrefix  = "cgpub_"
	operatorPrivatePrefix = "cgpriv_"
)

// FormatPublicKey returns an operator's public key in its text form.
func FormatPublicKey(key ed25519.PublicKey) string {
	return operatorPublicPrefix + base64.RawURLEncoding.EncodeToString(key)
}

// ParsePublicKey reads the text form of an operator's public key.
func ParsePublicKey(text string) (ed25519.PublicKey, error) {
	key, err := parseKey(text, operatorPublicPrefix, ed25519.PublicKeySize)
	return key, err
}

// FormatPrivateKey returns an operator's private key in its text form.
func FormatPrivateKey(key ed25519.PrivateKey) string {
	return operatorPrivatePrefix + base64.RawURLEncoding.EncodeToString(key.Seed())
}

// ParsePrivateKey reads the text form of an operator's private key.
func ParsePrivateKey(text string) (ed25519.PrivateKey, error) {
	seed, err := parseKey(text, operatorPrivatePrefix, ed25519.SeedSize)
	if err != nil {
		return nil, err
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// parseKey does not quote the text in its errors, since it may be secret.
func parseKey(text, prefix string, size int) ([]byte, error) {
	encoded, ok := strings.CutPrefix(strings.TrimSpace(text), prefix)
	if !ok {
		return nil, errors.Errorf("the key does not begin with %s", prefix)
	}
	key, err := base64.RawURLEncoding.Strict().DecodeString(encoded)
	if err != nil || len(key) != size {
		return nil, errors.Errorf("the key is not %d bytes in base64", size)
	}
	return key, nil
}
