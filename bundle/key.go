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
	// keyBytes is the length of a team key, and also that of its SHA-256 hash.
	keyBytes = 32
	// keyPrefix is the prefix of team keys in text form.
	keyPrefix = "cgk_"
)

// NewTeamKey returns a new random team key in text form, and its hash for the bundle.
func NewTeamKey() (key, hash string) {
	var random [keyBytes]byte
	_, _ = rand.Read(random[:]) // never returns an error; it terminates the process instead
	key = keyPrefix + base64.RawURLEncoding.EncodeToString(random[:])
	return key, HashKey(key)
}

// HashKey returns the SHA-256 hash of a key's text form in lower-case hex.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// MatchKey reports whether a key has the given hash. The comparison takes constant time.
func MatchKey(key, hash string) bool {
	return subtle.ConstantTimeCompare([]byte(HashKey(key)), []byte(hash)) == 1
}

// Prefixes of operator keys in text form.
const (
	operatorPublicPrefix  = "cgpub_"
	operatorPrivatePrefix = "cgpriv_"
)

// FormatPublicKey returns the text form of an operator's public key.
func FormatPublicKey(key ed25519.PublicKey) string {
	return operatorPublicPrefix + base64.RawURLEncoding.EncodeToString(key)
}

// ParsePublicKey parses the text form of an operator's public key.
func ParsePublicKey(text string) (ed25519.PublicKey, error) {
	key, err := parseKey(text, operatorPublicPrefix, ed25519.PublicKeySize)
	return key, err
}

// FormatPrivateKey returns the text form of an operator's private key.
func FormatPrivateKey(key ed25519.PrivateKey) string {
	return operatorPrivatePrefix + base64.RawURLEncoding.EncodeToString(key.Seed())
}

// ParsePrivateKey parses the text form of an operator's private key.
func ParsePrivateKey(text string) (ed25519.PrivateKey, error) {
	seed, err := parseKey(text, operatorPrivatePrefix, ed25519.SeedSize)
	if err != nil {
		return nil, err
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// parseKey decodes a key after its prefix. Its errors do not quote the text because it may contain a private key.
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
