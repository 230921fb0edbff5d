package witness

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"citrongauge.example/citrongauge/clock"
)

const (
	// maxConnections bounds the connections that a witness serves. One owner has one, and a new owner another one.
	maxConnections = 32
	// idleTimeout ends a connection without requests. An owner sends a request every second.
	idleTimeout  = 10 * time.Second
	writeTimeout = 300 * time.Millisecond
)

// Server serves a witness's memory to owners. It is safe for concurrent use.
type Server struct {
	process string
	begunAt time.Duration // by the monotonic clock
	observe func(kind Kind, outcome Outcome)
	log     func(event string, fields ...any)
	slots   chan struct{} // one element for each connection
	ctx     context.Context
	cancel  context.CancelFunc

	mu    sync.Mutex
	state *State
}

// NewServer returns the server of the witness with the given process ID. It calls observe for each request.
func NewServer(process string, observe func(Kind, Outcome), log func(event string, fields ...any)) *Server {
	s := &Server{process: process, begunAt: clock.Now(), observe: observe, log: log, slots: make(chan struct{}, maxConnections), state: NewState()}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Close ends all connections.
func (s *Server) Close() { s.cancel() }

func (s *Server) handle(r Request) Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasOpen := s.openGeneration(r)
	now := clock.Now()
	response := s.state.Handle(r, now)
	response.Process, response.AgeMS = s.process, (now - s.begunAt).Milliseconds()
	if isOpen := s.openGeneration(r); isOpen != wasOpen || r.Kind == Query {
		s.log("witness", "request", r.Kind.String(), "generation", r.Generation, "about", r.About, "outcome", response.Outcome.String(),
			"left_ms", response.LeftMS, "permit_open", isOpen)
	}
	s.observe(r.Kind, response.Outcome)
	return response
}

// openGeneration reports whether the generation that asks has a permit that it has not returned.
func (s *Server) openGeneration(r Request) bool {
	known := s.state.permits[r.Generation]
	return known != nil && known.open
}

// ServeHTTP accepts the connection of an owner.
func (s *Server) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	connection, err := websocket.Accept(w, request, nil)
	if err != nil {
		s.log("accepting a connection to the witness failed", "error", err.Error())
		return
	}
	defer func() { _ = connection.CloseNow() }() // fails only if the connection is already closed
	connection.SetReadLimit(maxMessageBytes)
	for s.serveOne(s.ctx, connection) {
	}
}

// serveOne handles one request. It returns false when the connection is over.
func (s *Server) serveOne(ctx context.Context, connection *websocket.Conn) bool {
	readCtx, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	_, data, err := connection.Read(readCtx)
	if err != nil {
		return false // closed, lost or idle
	}
	request, err := decodeRequest(data)
	if err != nil {
		s.log("unreadable request to the witness", "error", err.Error(), "bytes", len(data))
		return false
	}
	data, err = encMode.Marshal(s.handle(request))
	if err != nil {
		s.log("encoding a response of the witness failed", "error", err.Error())
		return false
	}
	writeCtx, stop := context.WithTimeout(ctx, writeTimeout)
	defer stop()
	return connection.Write(writeCtx, websocket.MessageBinary, data) == nil
}
