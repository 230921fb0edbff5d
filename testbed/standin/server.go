package standin

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// headerTimeout limits the time for reading the headers of a request.
const headerTimeout = 5 * time.Second

// NewServer returns a server for a stand-in. It closes new connections while maxConnections are open; 0 means no limit.
// The contexts of its requests are cancelled with ctx.
func NewServer(ctx context.Context, handler http.Handler, maxConnections int) *http.Server {
	var openConnections atomic.Int64
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ConnState: func(conn net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				if openConnections.Add(1) > int64(maxConnections) && maxConnections > 0 {
					_ = conn.Close()
				}
			case http.StateClosed, http.StateHijacked:
				openConnections.Add(-1)
			}
		},
	}
}
