// Package daemon combines the parts of an entry host: settings, the control goroutine, request handling, the HTTP
// servers, metrics and shutdown.
package daemon

import (
	"bytes"
	"crypto/ed25519"
	"encoding/json"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/intake"
	"citrongauge.example/citrongauge/result"
)

// Settings are the daemon's settings, read from JSON with comments. All other configuration comes from the bundle.
type Settings struct {
	// Zone is the availability zone of this host.
	Zone string `json:"zone"`
	// Listen is the IP:port for callers, operators and metrics.
	Listen string `json:"listen"`
	// PeerListen is the IP:port for other entry hosts.
	PeerListen string `json:"peer_listen"`
	// PeerAddress is the IP:port at which other entry hosts reach PeerListen; PeerListen by default.
	PeerAddress string `json:"peer_address,omitempty"`
	// Platform is the IP:port of the platform's store and host list.
	Platform string `json:"platform"`
	// Seeds are peer addresses that are asked for the control record while the store is unavailable.
	Seeds []string `json:"seeds,omitempty"`
	// SecretFile is the path of the file with the fleet's shared secret, at least 32 bytes.
	SecretFile string `json:"secret_file"`
	// Operators are the public keys that may sign bundles and administration requests.
	Operators []Operator `json:"operators"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level,omitempty"`
	// ShutdownTimeoutMS is how long a graceful shutdown waits for running work, in milliseconds.
	ShutdownTimeoutMS int64 `json:"shutdown_ms,omitempty"`
	// MaxRequestBytes is the maximum body size of a caller's request, in bytes.
	MaxRequestBytes int64 `json:"max_request_bytes,omitempty"`
	// MemoryMB and MaxFDs are the memory and the number of descriptors that the process may use, from which the limits of the
	// listeners follow.
	MemoryMB int `json:"memory_mb,omitempty"`
	MaxFDs   int `json:"max_fds,omitempty"`
}

// Operator is an operator's public key.
type Operator struct {
	Name string `json:"name"`
	// PublicKey is an Ed25519 public key as `cgctl keys operator` prints it.
	PublicKey string `json:"public_key"`
}

// Defaults and limits of the settings.
const (
	defaultLogLevel        = "info"
	defaultShutdown        = 60 * time.Second
	defaultMaxRequestBytes = 4 << 20
	maxRequestBytesLimit   = 64 << 20
	minSecretBytes         = 32
	maxSettingsBytes       = 1 << 20
)

// LoadSettings reads a settings file and validates it.
func LoadSettings(path string) (Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return Settings{}, result.Errorf(result.SettingsInvalid, "%v", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxSettingsBytes+1))
	if err != nil {
		return Settings{}, result.Errorf(result.SettingsInvalid, "%s: %v", path, err)
	}
	s, err := ParseSettings(text)
	if err != nil {
		return s, result.Errorf(result.SettingsInvalid, "%s: %v", path, err)
	}
	return s, nil
}

// ParseSettings parses settings, rejects unknown fields, fills in defaults and validates the result.
func ParseSettings(text []byte) (Settings, error) {
	var s Settings
	if len(text) > maxSettingsBytes {
		return s, errors.Errorf("larger than %d bytes", maxSettingsBytes)
	}
	standardized, err := hujson.Standardize(text)
	if err != nil {
		return s, err
	}
	decoder := json.NewDecoder(bytes.NewReader(standardized))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return s, err
	}
	if decoder.More() {
		return s, errors.New("unexpected data after the settings")
	}
	s.applyDefaults()
	return s, s.validate()
}

func (s *Settings) applyDefaults() {
	if s.PeerAddress == "" {
		s.PeerAddress = s.PeerListen
	}
	if s.LogLevel == "" {
		s.LogLevel = defaultLogLevel
	}
	if s.ShutdownTimeoutMS == 0 {
		s.ShutdownTimeoutMS = defaultShutdown.Milliseconds()
	}
	if s.MaxRequestBytes == 0 {
		s.MaxRequestBytes = defaultMaxRequestBytes
	}
	if s.MemoryMB == 0 {
		s.MemoryMB = intake.SmallestMemoryMB
	}
	if s.MaxFDs == 0 {
		s.MaxFDs = intake.SmallestMaxFDs
	}
}

func (s *Settings) validate() error {
	if s.Zone == "" {
		return errors.New("zone: missing")
	}
	addresses := map[string]string{"listen": s.Listen, "peer_listen": s.PeerListen, "peer_address": s.PeerAddress, "platform": s.Platform}
	for field, address := range addresses {
		if err := checkAddress(address); err != nil {
			return errors.Wrap(err, field)
		}
	}
	for _, seed := range s.Seeds {
		if err := checkAddress(seed); err != nil {
			return errors.Wrap(err, "seeds")
		}
	}
	if s.ShutdownTimeoutMS < 0 {
		return errors.New("shutdown_ms: must not be negative")
	}
	if s.MaxRequestBytes < 0 || s.MaxRequestBytes > maxRequestBytesLimit {
		return errors.Errorf("max_request_bytes: must be between 1 and %d", maxRequestBytesLimit)
	}
	if s.MemoryMB < 0 || s.MaxFDs < 0 {
		return errors.New("memory_mb and max_fds: must not be negative")
	}
	_, err := s.OperatorKeys()
	return err
}

// checkAddress accepts only IP:port, since the system does not use DNS.
func checkAddress(address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return errors.Errorf("%q is not IP:port", address)
	}
	return nil
}

// OperatorKeys returns the operators' public keys by name.
func (s *Settings) OperatorKeys() (map[string]ed25519.PublicKey, error) {
	keys := make(map[string]ed25519.PublicKey, len(s.Operators))
	for _, o := range s.Operators {
		key, err := bundle.ParsePublicKey(o.PublicKey)
		if err != nil {
			return nil, errors.Wrapf(err, "operators: public key of %q", o.Name)
		}
		if _, duplicate := keys[o.Name]; duplicate || o.Name == "" {
			return nil, errors.Errorf("operators: name %q is empty or duplicate", o.Name)
		}
		keys[o.Name] = key
	}
	if len(keys) == 0 {
		return nil, errors.New("operators: missing")
	}
	return keys, nil
}

// ReadSecret reads the fleet's shared secret.
func (s *Settings) ReadSecret() ([]byte, error) {
	secret, err := os.ReadFile(s.SecretFile)
	if err != nil {
		return nil, result.Errorf(result.SettingsInvalid, "secret_file: %v", err)
	}
	secret = bytes.TrimSpace(secret)
	if len(secret) < minSecretBytes {
		return nil, result.Errorf(result.SettingsInvalid, "secret_file: shorter than %d bytes", minSecretBytes)
	}
	return secret, nil
}
