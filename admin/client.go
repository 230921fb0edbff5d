package admin

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/result"

	"github.com/go-faster/errors"
)

const (
	callTimeout = 5 * time.Second
	// maxAnswerBytes bounds an answer. The list of assignments of 510 hosts has about 60 KB.
	maxAnswerBytes = 4 << 20
)

// ErrNoAnswer: no entry host gave a clear answer.
var ErrNoAnswer = errors.New("no entry host answered")

// Client calls the API of several entry hosts.
type Client struct {
	// Hosts are the IP:port of entry hosts. They are tried in turn.
	Hosts    []string
	Operator string
	Key      ed25519.PrivateKey
	// Now is the clock for signatures.
	Now  func() time.Time
	http *http.Client
}

// NewClient returns a client for the given entry hosts.
func NewClient(hosts []string, operator string, key ed25519.PrivateKey) (*Client, error) {
	if len(hosts) == 0 {
		return nil, errors.New("no entry host given")
	}
	for _, host := range hosts {
		if _, err := netip.ParseAddrPort(host); err != nil {
			return nil, errors.Errorf("entry host %q is not IP:port", host)
		}
	}
	return &Client{Hosts: hosts, Operator: operator, Key: key, Now: time.Now, http: newHTTPClient()}, nil
}

// newHTTPClient returns a client that neither follows redirects nor uses a proxy from the environment: either would
// send a request to another host than the one that it was signed for.
func newHTTPClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{Proxy: nil, MaxIdleConnsPerHost: 1, IdleConnTimeout: callTimeout},
		Timeout:       callTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Status returns the status of the first entry host that answers.
func (c *Client) Status(ctx context.Context) (StatusReport, error) {
	return readAny[StatusReport](ctx, c, "/status")
}

// Assignments returns the pool assignments.
func (c *Client) Assignments(ctx context.Context) ([]AssignmentReport, error) {
	return readAny[[]AssignmentReport](ctx, c, "/assignments")
}

// Explain returns an explanation.
func (c *Client) Explain(ctx context.Context, kind, name string) (Explanation, error) {
	return readAny[Explanation](ctx, c, "/explain/"+url.PathEscape(kind)+"/"+url.PathEscape(name))
}

// RolloutProgress returns the progress of a version.
func (c *Client) RolloutProgress(ctx context.Context, version uint64) (RolloutReport, error) {
	return readAny[RolloutReport](ctx, c, progressPath(version))
}

// Bundle returns the signed envelope of a version, of the one in force for 0. The caller verifies it.
func (c *Client) Bundle(ctx context.Context, version uint64) ([]byte, error) {
	return c.getAny(ctx, "/bundles/"+strconv.FormatUint(version, 10))
}

func progressPath(version uint64) string {
	return "/rollouts/" + strconv.FormatUint(version, 10)
}

// Rollout sends a signed bundle. After an answer that leaves open whether it was committed, it asks the next host
// first, and sends the bundle again only if that host knows no such version. The same envelope can be committed
// only once. If nothing is clear in the end, the error has code 5105.
func (c *Client) Rollout(ctx context.Context, signed bundle.Signed, b *bundle.Bundle) (RolloutReport, error) {
	digest := b.Digest()
	unclear := false
	var last error
	for _, host := range c.Hosts {
		if unclear {
			report, err := read[RolloutReport](ctx, c, host, progressPath(b.Version))
			if err != nil {
				last = err
				continue
			}
			if report.Committed {
				return checkCommitted(report, digest)
			}
		}
		report, sent, err := c.sendRollout(ctx, host, signed.Encode())
		if unclear && hasCode(err, result.VersionNotHigher, result.RolloutConflict) {
			return c.ownOrConflict(ctx, b.Version, digest, err)
		}
		if err == nil || isFinal(err) {
			return report, err
		}
		unclear = unclear || sent
		last = err
	}
	if unclear {
		return c.resolveRollout(ctx, b.Version, digest, last)
	}
	return RolloutReport{}, errors.Wrap(last, ErrNoAnswer.Error())
}

// ownOrConflict decides whether a conflict after an unclear answer is with the tool's own roll-out.
func (c *Client) ownOrConflict(ctx context.Context, version uint64, digest [32]byte, conflict error) (RolloutReport, error) {
	report, err := c.resolveRollout(ctx, version, digest, conflict)
	if err != nil {
		return report, conflict
	}
	return report, nil
}

// resolveRollout asks all hosts whether the version is committed.
func (c *Client) resolveRollout(ctx context.Context, version uint64, digest [32]byte, last error) (RolloutReport, error) {
	for _, host := range c.Hosts {
		report, err := read[RolloutReport](ctx, c, host, progressPath(version))
		if err == nil && report.Committed {
			return checkCommitted(report, digest)
		}
	}
	return RolloutReport{}, result.Errorf(result.RolloutUnresolved, "%v", last)
}

func checkCommitted(report RolloutReport, digest [32]byte) (RolloutReport, error) {
	if report.Digest == "" {
		return report, result.Errorf(result.RolloutUnresolved, "the digest of version %d is not known", report.Version)
	}
	if report.Digest != hex.EncodeToString(digest[:]) {
		return report, result.Errorf(result.RolloutConflict, "version %d was committed with other content", report.Version)
	}
	return report, nil
}

// sendRollout sends the envelope to one host. sent is false if the host has not received it or has answered that
// it committed nothing. A refused nonce proves nothing: another copy of the request may have come first.
func (c *Client) sendRollout(ctx context.Context, host string, envelope []byte) (report RolloutReport, sent bool, err error) {
	hello, err := c.Hello(ctx, host)
	if err != nil {
		return report, false, err
	}
	text, err := c.call(ctx, host, hello.HostID, http.MethodPost, "/rollouts", envelope)
	if err != nil {
		return report, !hasCode(err, result.StoreUnavailable, result.AdminUnauthenticated), err
	}
	report, err = decode[RolloutReport](text)
	return report, err != nil, err
}

// isFinal states whether another host would give the same answer.
func isFinal(err error) bool {
	var withCode *result.Error
	var problems bundle.Problems
	if errors.As(err, &problems) {
		return true
	}
	return errors.As(err, &withCode) && !hasCode(err, result.StoreUnavailable, result.RolloutUnresolved,
		result.AdminUnauthenticated, result.AdminReplayed)
}

func hasCode(err error, codes ...result.Code) bool {
	var withCode *result.Error
	if !errors.As(err, &withCode) {
		return false
	}
	for _, code := range codes {
		if withCode.Code == code {
			return true
		}
	}
	return false
}

// readAny reads from the first host that answers.
func readAny[T any](ctx context.Context, c *Client, path string) (T, error) {
	text, err := c.getAny(ctx, path)
	if err != nil {
		var none T
		return none, err
	}
	return decode[T](text)
}

// read reads from one host.
func read[T any](ctx context.Context, c *Client, host, path string) (T, error) {
	text, err := c.get(ctx, host, path)
	if err != nil {
		var none T
		return none, err
	}
	return decode[T](text)
}

// decode reads an answer. Fields that are not known are ignored, so that the tool works with later daemons.
func decode[T any](text []byte) (T, error) {
	var value T
	if err := json.Unmarshal(text, &value); err != nil {
		return value, errors.Wrap(err, "read the answer")
	}
	return value, nil
}

func (c *Client) getAny(ctx context.Context, path string) ([]byte, error) {
	var failures []string
	for _, host := range c.Hosts {
		text, err := c.get(ctx, host, path)
		if err == nil || isFinal(err) {
			return text, err
		}
		failures = append(failures, host+": "+err.Error())
	}
	return nil, errors.Wrap(ErrNoAnswer, strings.Join(failures, "; "))
}

func (c *Client) get(ctx context.Context, host, path string) ([]byte, error) {
	hello, err := c.Hello(ctx, host)
	if err != nil {
		return nil, err
	}
	return c.call(ctx, host, hello.HostID, http.MethodGet, path, nil)
}

// Hello returns the ID of an entry host.
func (c *Client) Hello(ctx context.Context, host string) (Hello, error) {
	text, err := c.call(ctx, host, "", http.MethodGet, "/hello", nil)
	if err != nil {
		return Hello{}, err
	}
	return decode[Hello](text)
}

// call makes one call, signed if hostID is not empty.
func (c *Client) call(ctx context.Context, host, hostID, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+host+pathPrefix+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make the request")
	}
	if hostID != "" {
		SignRequest(request, body, c.Key, c.Operator, hostID, c.Now())
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "send the request")
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read the answer")
	}
	if response.StatusCode != http.StatusOK {
		return nil, answerError(response.StatusCode, text)
	}
	return text, nil
}

// answerError returns the error in an answer.
func answerError(status int, text []byte) error {
	var report ErrorReport
	if err := json.Unmarshal(text, &report); err != nil || report.Code == 0 {
		return errors.Errorf("HTTP status %d without a result code", status)
	}
	return report.Err()
}
