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
		&cli.DurationFlag{Name: flagTimeout, Value: 30 * time.Second, Usage: "how long to wait until a roll-out is accepted"},
	}
}

// session is an operator's access to the entry hosts.
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
	operator, key, err := operatorKey(cmd)
	if err != nil {
		return nil, err
	}
	client, err := admin.NewClient(cmd.StringSlice(flagHost), operator, key)
	if err != nil {
		return nil, usageError{err.Error() + "; see --host"}
	}
	trusted, err := trustedKeys(cmd)
	if err != nil {
		return nil, err
	}
	trusted[operator] = key.Public().(ed25519.PublicKey)
	return &session{printer: p, client: client, operator: operator, key: key, trusted: trusted,
		timeout: cmd.Duration(flagTimeout), now: time.Now}, nil
}

// operatorKey reads the operator's name and private key.
func operatorKey(cmd *cli.Command) (string, ed25519.PrivateKey, error) {
	file := cmd.String(flagKeyFile)
	if file == "" {
		return "", nil, usageError{"--operator-key is needed; make one with: cgctl keys operator NAME"}
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return "", nil, errors.Wrap(err, "read the operator's key")
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

// trustedKeys reads the public keys of all operators. An entry host's answer is not trusted without one: the
// operator would sign what the host made up.
func trustedKeys(cmd *cli.Command) (map[string]ed25519.PublicKey, error) {
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
			return nil, errors.Wrap(err, "read a public key")
		}
		key, err := bundle.ParsePublicKey(string(text))
		if err != nil {
			return nil, errors.Wrap(err, file)
		}
		keys[strings.TrimSuffix(filepath.Base(file), publicSuffix)] = key
	}
	return keys, nil
}

// fetch returns a verified bundle, the one in force for version 0.
func (s *session) fetch(ctx context.Context, version uint64) (*bundle.Bundle, error) {
	data, err := s.client.Bundle(ctx, version)
	if err != nil {
		return nil, err
	}
	b, err := bundle.VerifySigned(data, s.trusted)
	if hasCode(err, result.SignatureInvalid) {
		return nil, errors.Wrap(err, "the bundle from the entry host; give the operator's public key with --trust")
	}
	if err != nil {
		return nil, err
	}
	if version != 0 && b.Version != version {
		return nil, result.Errorf(result.DigestMismatch, "asked for version %d, got %d", version, b.Version)
	}
	return b, nil
}

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

// clone returns a copy that can be changed.
func clone(b *bundle.Bundle) (*bundle.Bundle, error) {
	copied, problems := bundle.Parse("bundle", b.Canonical())
	return copied, problems.Err()
}
