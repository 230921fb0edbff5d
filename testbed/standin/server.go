package standin

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// headerTimeout bounds the time for the headers of a request.
const headerTimeout = 5 * time.Second

// NewServer returns a server for a stand-in that closes connections above the limit, 0 for none. The contexts of
// its requests end with ctx.
func NewServer(ctx context.Context, handler http.Handler, connections int) *http.Server {
	var open atomic.Int64
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ConnState: func(c net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				if open.Add(1) > int64(connections) && connections > 0 {
					_ = c.Close()
				}
			case http.StateClosed, http.StateHijacked:
				open.Add(-1)
			}
		},
	}
}
