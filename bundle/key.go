package bundle

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
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
