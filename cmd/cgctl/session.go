package main

import (
	"context"
	"crypto/ed25519"
	"os"
	"path/filepath"
	"strings"
	"time"

	"citrongauge.example/citrongauge/admin"
	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/result"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// Names of global flags.
const (
	flagHost     = "host"
	flagKeyFile  = "operator-key"
	flagOperator = "operator"
	flagTrust    = "trust"
	flagOutput   = "output"
	flagTimeout  = "timeout"
)

// Suffixes of key files.
const (
	privateSuffix = ".key"
	publicSuffix  = ".pub"
)

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: flagHost, Usage: "entry host `IP:PORT`; repeat for more", Sources: cli.EnvVars("CITRONGAUGE_HOSTS")},
		&cli.StringFlag{Name: flagKeyFile, Usage: "operator's private key `FILE`", Sources: cli.EnvVars("CITRONGAUGE_OPERATOR_KEY")},
		&cli.StringFlag{Name: flagOperator, Usage: "operator's `NAME` (default: that of the key file)", Sources: cli.EnvVars("CITRONGAUGE_OPERATOR")},
		&cli.StringFlag{Name: flagTrust, Usage: "`DIR` with operators' public keys (default: that of the key file)", Sources: cli.EnvVars("CITRONGAUGE_TRUST")},
		&cli.StringFlag{Name: flagOutput, Value: "text", Usage: "text or json"},
		&cli.DurationFlag{Name: flagTimeout, Value: 30 * time.Second, Usage: "how long to wait until a rollout is accepted"},
	}
}

// session holds an operator's identity, the client for the entry hosts and the trusted public keys.
type session struct {
	*printer
	client   *admin.Client
	operator string
	key      ed25519.PrivateKey
	trusted  map[string]ed25519.PublicKey
	timeout  time.Duration
	now      func() time.Time
}

func openSession(cmd *cli.Command, p *printer) (*session, error) {
	operator, key, err := readOperatorKey(cmd)
	if err != nil {
		return nil, err
	}
	client, err := admin.NewClient(cmd.StringSlice(flagHost), operator, key)
	if err != nil {
		return nil, usageError{err.Error() + "; see --host"}
	}
	trusted, err := readTrustedKeys(cmd)
	if err != nil {
		return nil, err
	}
	trusted[operator] = key.Public().(ed25519.PublicKey)
	return &session{printer: p, client: client, operator: operator, key: key, trusted: trusted,
		timeout: cmd.Duration(flagTimeout), now: time.Now}, nil
}

// readOperatorKey returns the operator's name and private key. The name defaults to that of the key file.
func readOperatorKey(cmd *cli.Command) (string, ed25519.PrivateKey, error) {
	file := cmd.String(flagKeyFile)
	if file == "" {
		return "", nil, usageError{"--operator-key is required; generate a key with: cgctl keys operator NAME"}
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return "", nil, errors.Wrap(err, "read operator key")
	}
	key, err := bundle.ParsePrivateKey(string(text))
	if err != nil {
		return "", nil, errors.Wrap(err, file)
	}
	operator := cmd.String(flagOperator)
	if operator == "" {
		operator = strings.TrimSuffix(filepath.Base(file), privateSuffix)
	}
	return operator, key, nil
}

// readTrustedKeys reads the public keys of all operators, by name. A bundle from an entry host is used only if one of
// them verifies it; otherwise the operator would sign content that the host has made up.
func readTrustedKeys(cmd *cli.Command) (map[string]ed25519.PublicKey, error) {
	dir := cmd.String(flagTrust)
	if dir == "" {
		dir = filepath.Dir(cmd.String(flagKeyFile))
	}
	files, err := filepath.Glob(filepath.Join(dir, "*"+publicSuffix))
	if err != nil {
		return nil, errors.Wrap(err, "list public keys")
	}
	keys := map[string]ed25519.PublicKey{}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "read public key")
		}
		key, err := bundle.ParsePublicKey(string(text))
		if err != nil {
			return nil, errors.Wrap(err, file)
		}
		keys[strings.TrimSuffix(filepath.Base(file), publicSuffix)] = key
	}
	return keys, nil
}

// fetchBundle fetches and verifies the bundle with the given version, or the current bundle for version 0.
func (s *session) fetchBundle(ctx context.Context, version uint64) (*bundle.Bundle, error) {
	data, err := s.client.Bundle(ctx, version)
	if err != nil {
		return nil, err
	}
	b, err := bundle.VerifySigned(data, s.trusted)
	if hasCode(err, result.SignatureInvalid) {
		return nil, errors.Wrap(err, "verify the bundle from the entry host; provide the signer's public key with --trust")
	}
	if err != nil {
		return nil, err
	}
	if version != 0 && b.Version != version {
		return nil, result.Errorf(result.DigestMismatch, "requested bundle version %d, received version %d", version, b.Version)
	}
	return b, nil
}

// hasCode reports whether err carries one of the given result codes.
func hasCode(err error, codes ...result.Code) bool {
	var coded *result.Error
	if !errors.As(err, &coded) {
		return false
	}
	for _, code := range codes {
		if coded.Code == code {
			return true
		}
	}
	return false
}

// cloneBundle returns a deep copy of b, which it validates.
func cloneBundle(b *bundle.Bundle) (*bundle.Bundle, error) {
	copied, problems := bundle.Parse("bundle", b.Canonical())
	return copied, problems.Err()
}
