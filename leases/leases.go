// Package leases lets a new owner of the fleet ask the host that owned it before how long the leases that it granted to upstreams
// last: one CBOR message over WebSocket. The new owner then need not wait for leases that have ended. An answer is not
// needed for correctness: without it, the new owner waits for the longest lease.
package leases

import (
	"context"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/codec"
)

const (
	// Path is where a host reports the leases of its last ownership.
	Path = "/leases"
	// OwnershipPath is where it reports what else the next owner can rely on, too. Earlier versions have no such report.
	OwnershipPath = "/ownership"
)

const (
	writeTimeout = 300 * time.Millisecond
	// maxReportBytes and maxUpstreams bound a received report.
	maxReportBytes = 4 << 20
	maxUpstreams   = 100_000
)

// Report has the leases that an ownership granted, and those that were granted before it and that it did not extend.
type Report struct {
	Generation uint64 `cbor:"1,keyasint"`
	// LeftMS has, by upstream, how much longer a lease can last at most, in milliseconds from when the report was made. 0: it has
	// ended.
	LeftMS map[string]int64 `cbor:"2,keyasint"`
}

// OwnershipReport is a Report with the unrecorded starts of the ownership.
type OwnershipReport struct {
	Generation uint64           `cbor:"1,keyasint"`
	LeftMS     map[string]int64 `cbor:"2,keyasint"` // see Report
	// Unrecorded has, by task, the upstream on which the ownership may have started it last, if the store may not know that.
	Unrecorded map[string]string `cbor:"3,keyasint,omitempty"`
}

// ErrNoReport is returned by Fetch if the host has no report now.
var ErrNoReport = errors.New("the host has not ended an ownership, or owns the fleet")

// ErrUnsupported is returned by Fetch if the host's version has no reports.
var ErrUnsupported = errors.New("the host does not report leases")

var (
	encMode = codec.EncMode()
	decMode = codec.DecMode(codec.Limits{MaxMapPairs: maxUpstreams})
)

// Handler sends the report, a Report or an OwnershipReport, to each client. report returns false if there is none.
func Handler[T Report | OwnershipReport](report func() (T, bool), log func(event string, fields ...any)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		connection, err := websocket.Accept(w, request, nil)
		if err != nil {
			log("accepting a request for leases failed", "error", err.Error())
			return
		}
		defer func() { _ = connection.CloseNow() }() // fails only if the connection is already closed
		if err := send(request.Context(), connection, report); err != nil {
			log("reporting leases failed", "error", err.Error())
		}
	})
}

func send[T any](ctx context.Context, connection *websocket.Conn, report func() (T, bool)) error {
	current, ok := report()
	if !ok {
		_ = connection.Close(websocket.StatusTryAgainLater, "") // fails if the client does not wait for the handshake
		return nil
	}
	data, err := encMode.Marshal(current)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := connection.Write(ctx, websocket.MessageBinary, data); err != nil {
		return err
	}
	_ = connection.Close(websocket.StatusNormalClosure, "") // the client need not wait for the handshake either
	return nil
}

// Fetch returns the report of the host at address. Its errors wrap ErrNoReport or ErrUnsupported if the host says so.
func Fetch(ctx context.Context, address string) (Report, error) {
	return fetch[Report](ctx, address, Path)
}

// FetchOwnership returns the OwnershipReport of the host at address, with errors as Fetch.
func FetchOwnership(ctx context.Context, address string) (OwnershipReport, error) {
	return fetch[OwnershipReport](ctx, address, OwnershipPath)
}

func fetch[T any](ctx context.Context, address, path string) (report T, err error) {
	connection, response, err := websocket.Dial(ctx, "ws://"+address+path, nil)
	if response != nil && response.Body != nil {
		_ = response.Body.Close() // a handshake's response has no body worth reading
	}
	if err != nil {
		if response != nil && response.StatusCode == http.StatusNotFound {
			return report, ErrUnsupported
		}
		return report, errors.Wrap(err, "connect")
	}
	defer func() { _ = connection.CloseNow() }() // fails only if the connection is already closed
	connection.SetReadLimit(maxReportBytes)
	_, data, err := connection.Read(ctx)
	if websocket.CloseStatus(err) == websocket.StatusTryAgainLater {
		return report, ErrNoReport
	}
	if err != nil {
		return report, errors.Wrap(err, "read")
	}
	if err := decMode.Unmarshal(data, &report); err != nil {
		return report, errors.Wrap(err, "decode")
	}
	return report, nil
}
