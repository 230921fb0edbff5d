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
	// maxResponseBytes limits the size of a response. The assignments of 510 hosts take about 60 KB.
	maxResponseBytes = 4 << 20
)

// ErrNoResponse means that no entry host gave a conclusive response.
var ErrNoResponse = errors.New("no entry host answered")

// Client is a client of the admin API for a list of entry hosts.
type Client struct {
	// Hosts are the addresses (IP:port) of the entry hosts, which are tried in order.
	Hosts    []string
	Operator string
	Key      ed25519.PrivateKey
	// Now returns the time for signatures.
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

// newHTTPClient returns a client that does not follow redirects or use a proxy from the environment. Either would send
// a request to a host other than the one that it was signed for.
func newHTTPClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{Proxy: nil, MaxIdleConnsPerHost: 1, IdleConnTimeout: callTimeout},
		Timeout:       callTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Status returns the status report of the first entry host that responds.
func (c *Client) Status(ctx context.Context) (StatusReport, error) {
	return getAnyJSON[StatusReport](ctx, c, "/status")
}

// Assignments returns the pool assignments of all upstream hosts.
func (c *Client) Assignments(ctx context.Context) ([]AssignmentReport, error) {
	return getAnyJSON[[]AssignmentReport](ctx, c, "/assignments")
}

// Explain returns the explanation for a named object. The kind is one of host, zone, pool, queue, team or key.
func (c *Client) Explain(ctx context.Context, kind, name string) (Explanation, error) {
	return getAnyJSON[Explanation](ctx, c, "/explain/"+url.PathEscape(kind)+"/"+url.PathEscape(name))
}

// RolloutProgress returns the rollout progress of a bundle version.
func (c *Client) RolloutProgress(ctx context.Context, version uint64) (RolloutReport, error) {
	return getAnyJSON[RolloutReport](ctx, c, progressPath(version))
}

// Bundle returns the signed envelope of a bundle version, or of the current version if version is 0. The caller must
// verify the envelope.
func (c *Client) Bundle(ctx context.Context, version uint64) ([]byte, error) {
	return c.getAny(ctx, "/bundles/"+strconv.FormatUint(version, 10))
}

func progressPath(version uint64) string {
	return "/rollouts/" + strconv.FormatUint(version, 10)
}

// Rollout sends a signed bundle to the entry hosts in turn until one accepts or rejects it. If it is unknown whether a
// host has committed the bundle, Rollout first asks the next host for the version and sends the bundle again only if
// that host does not know it. This is safe because the same envelope can be committed only once. If the outcome is
// still unknown after the last host, the error has code RolloutUnresolved.
func (c *Client) Rollout(ctx context.Context, signed bundle.Signed, b *bundle.Bundle) (RolloutReport, error) {
	digest := b.Digest()
	outcomeUnknown := false
	var lastErr error
	for _, host := range c.Hosts {
		if outcomeUnknown {
			report, err := getJSON[RolloutReport](ctx, c, host, progressPath(b.Version))
			if err != nil {
				lastErr = err
				continue
			}
			if report.Committed {
				return checkCommitted(report, digest)
			}
		}
		report, maybeCommitted, err := c.sendRollout(ctx, host, signed.Encode())
		if outcomeUnknown && hasCode(err, result.VersionNotHigher, result.RolloutConflict) {
			return c.resolveConflict(ctx, b.Version, digest, err)
		}
		if err == nil || isFinal(err) {
			return report, err
		}
		outcomeUnknown = outcomeUnknown || maybeCommitted
		lastErr = err
	}
	if outcomeUnknown {
		return c.resolveRollout(ctx, b.Version, digest, lastErr)
	}
	return RolloutReport{}, errors.Wrap(lastErr, ErrNoResponse.Error())
}

// resolveConflict determines whether a conflict after an unknown outcome is with the client's own rollout, which was
// committed by an earlier host. If so it returns the report of that rollout, otherwise the conflict.
func (c *Client) resolveConflict(ctx context.Context, version uint64, digest [32]byte, conflict error) (RolloutReport, error) {
	report, err := c.resolveRollout(ctx, version, digest, conflict)
	if err != nil {
		return report, conflict
	}
	return report, nil
}

// resolveRollout asks the hosts in turn whether the version was committed. The error has code RolloutUnresolved if none
// confirms it.
func (c *Client) resolveRollout(ctx context.Context, version uint64, digest [32]byte, lastErr error) (RolloutReport, error) {
	for _, host := range c.Hosts {
		report, err := getJSON[RolloutReport](ctx, c, host, progressPath(version))
		if err == nil && report.Committed {
			return checkCommitted(report, digest)
		}
	}
	return RolloutReport{}, result.Errorf(result.RolloutUnresolved, "%v", lastErr)
}

// checkCommitted returns an error if the digest of a committed version is unknown or differs from the given one.
func checkCommitted(report RolloutReport, digest [32]byte) (RolloutReport, error) {
	if report.Digest == "" {
		return report, result.Errorf(result.RolloutUnresolved, "the digest of version %d is not known", report.Version)
	}
	if report.Digest != hex.EncodeToString(digest[:]) {
		return report, result.Errorf(result.RolloutConflict, "version %d was committed with other content", report.Version)
	}
	return report, nil
}

// sendRollout sends the envelope to one host. maybeCommitted is false if the host did not receive the envelope or
// responded that it has not committed it. A rejected nonce does not show this, because the host may already have
// processed another copy of the request.
func (c *Client) sendRollout(ctx context.Context, host string, envelope []byte) (report RolloutReport, maybeCommitted bool, err error) {
	hello, err := c.Hello(ctx, host)
	if err != nil {
		return report, false, err
	}
	text, err := c.call(ctx, host, hello.HostID, http.MethodPost, "/rollouts", envelope)
	if err != nil {
		return report, !hasCode(err, result.StoreUnavailable, result.AdminUnauthenticated), err
	}
	report, err = decodeJSON[RolloutReport](text)
	return report, err != nil, err
}

// isFinal reports whether all other hosts would return the same error, so that trying them is pointless.
func isFinal(err error) bool {
	var resultErr *result.Error
	var problems bundle.Problems
	if errors.As(err, &problems) {
		return true
	}
	return errors.As(err, &resultErr) && !hasCode(err, result.StoreUnavailable, result.RolloutUnresolved,
		result.AdminUnauthenticated, result.AdminReplayed)
}

// hasCode reports whether err is a *result.Error with one of the codes.
func hasCode(err error, codes ...result.Code) bool {
	var resultErr *result.Error
	if !errors.As(err, &resultErr) {
		return false
	}
	for _, code := range codes {
		if resultErr.Code == code {
			return true
		}
	}
	return false
}

// getAnyJSON decodes the response of the first host that responds.
func getAnyJSON[T any](ctx context.Context, c *Client, path string) (T, error) {
	text, err := c.getAny(ctx, path)
	if err != nil {
		var zero T
		return zero, err
	}
	return decodeJSON[T](text)
}

// getJSON decodes the response of one host.
func getJSON[T any](ctx context.Context, c *Client, host, path string) (T, error) {
	text, err := c.get(ctx, host, path)
	if err != nil {
		var zero T
		return zero, err
	}
	return decodeJSON[T](text)
}

// decodeJSON decodes a response. It ignores unknown fields, so that the client works with newer daemons.
func decodeJSON[T any](text []byte) (T, error) {
	var value T
	if err := json.Unmarshal(text, &value); err != nil {
		return value, errors.Wrap(err, "read the answer")
	}
	return value, nil
}

// getAny returns the body of the first conclusive response.
func (c *Client) getAny(ctx context.Context, path string) ([]byte, error) {
	var failures []string
	for _, host := range c.Hosts {
		text, err := c.get(ctx, host, path)
		if err == nil || isFinal(err) {
			return text, err
		}
		failures = append(failures, host+": "+err.Error())
	}
	return nil, errors.Wrap(ErrNoResponse, strings.Join(failures, "; "))
}

// get sends a signed GET request to one host.
func (c *Client) get(ctx context.Context, host, path string) ([]byte, error) {
	hello, err := c.Hello(ctx, host)
	if err != nil {
		return nil, err
	}
	return c.call(ctx, host, hello.HostID, http.MethodGet, path, nil)
}

// Hello returns the ID and the clock of an entry host. The request is not signed.
func (c *Client) Hello(ctx context.Context, host string) (HelloResponse, error) {
	text, err := c.call(ctx, host, "", http.MethodGet, "/hello", nil)
	if err != nil {
		return HelloResponse{}, err
	}
	return decodeJSON[HelloResponse](text)
}

// call sends a request and returns the response body. The request is signed if hostID is not empty.
func (c *Client) call(ctx context.Context, host, hostID, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+host+pathPrefix+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create the request")
	}
	if hostID != "" {
		SignRequest(request, body, c.Key, c.Operator, hostID, c.Now())
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "send the request")
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read the answer")
	}
	if response.StatusCode != http.StatusOK {
		return nil, responseError(response.StatusCode, text)
	}
	return text, nil
}

// responseError returns the error that a response with a status other than 200 contains.
func responseError(status int, text []byte) error {
	var report ErrorReport
	if err := json.Unmarshal(text, &report); err != nil || report.Code == 0 {
		return errors.Errorf("HTTP status %d without a result code", status)
	}
	return report.Err()
}
