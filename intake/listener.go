package intake

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

const (
	// socketBuffer is the size in bytes of the receive and send buffers of accepted connections. The kernel doubles it. A head and the
	// body of most submissions fit in.
	socketBuffer = 8 << 10
	// maxHeadBytes limits a request's head. Configurations allow clients 16 kB.
	maxHeadBytes = 64 << 10
	// headTimeout bounds the time for a head, idleTimeout the time between two requests.
	headTimeout = 10 * time.Second
	idleTimeout = 60 * time.Second
	// writeTimeout bounds how long an answer waits for a client that does not read.
	writeTimeout = 10 * time.Second
)

// refusal is sent on a connection for which there is no room, before anything has been read from it. The code is listed in
// docs/ERRORS.md.
var refusal = []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: 1\r\n" +
	"Connection: close\r\nContent-Length: " + strconv.Itoa(len(refusalBody)) + "\r\n\r\n" + refusalBody)

const refusalBody = `{"code":2313,"message":"no room for the connection; not run"}`

// Observer is told what a listener sheds. It is called without locks held and must not block.
type Observer interface {
	// Shed reports how often something was shed or refused for a reason. held is the state of the listener after that.
	Shed(listener, reason string, held Held)
}

// Held is what the connections of a listener hold.
type Held struct {
	Connections, KnownConnections int
	Bytes                         int64
}

// Listener accepts connections within the bounds of its book. It is safe for concurrent use.
type Listener struct {
	net.Listener
	name     string
	observer Observer
	begin    time.Time

	mu   sync.Mutex
	book book
}

// Listen listens on a TCP address. The name of the listener is used in logs and metrics.
func Listen(address, name string, limits Limits, observer Observer) (*Listener, error) {
	config := net.ListenConfig{Control: setBuffers}
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	if err := setBacklog(inner, limits.backlog()); err != nil {
		_ = inner.Close() // the first error is returned
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return newListener(inner, name, limits, observer), nil
}

func newListener(inner net.Listener, name string, limits Limits, observer Observer) *Listener {
	return &Listener{Listener: inner, name: name, observer: observer, begin: time.Now(), book: book{limits: limits}}
}

// setBuffers sets the buffers of a listening socket, which accepted connections inherit. Set on the listener they also bound what
// the kernel receives before a connection is accepted.
func setBuffers(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		if err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBuffer); err == nil {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBuffer)
		}
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// setBacklog replaces the length of a listener's queue, for which the net package uses the system's maximum.
func setBacklog(listener net.Listener, length int) error {
	source, ok := listener.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), length) }); err != nil {
		return err
	}
	return listenErr
}

func (l *Listener) now() time.Duration { return time.Since(l.begin) }

// Accept returns the next connection for which there is room, and closes the others.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: inner, listener: l}
		c.inHead.Store(true)
		l.mu.Lock()
		m, victim := l.book.accept(c, l.now())
		l.mu.Unlock()
		l.carryOut(victim)
		if m != nil {
			c.member = m
			return c, nil
		}
		_, _ = inner.Write(refusal) // does not block: the send buffer is empty. A lost refusal is a closed connection
		_ = inner.Close()
	}
}

// carryOut sheds what the book has decided to shed, and reports it.
func (l *Listener) carryOut(evictions ...eviction) {
	for _, e := range evictions {
		switch {
		case e.reason == noReason:
			continue
		case e.abort:
			e.member.connection.abortBody()
		case e.member != nil:
			e.member.connection.evict()
		}
		l.observer.Shed(l.name, string(e.reason), l.Held())
	}
}

// Held returns what the connections of the listener hold now.
func (l *Listener) Held() Held {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Held{Connections: l.book.open, KnownConnections: l.book.known, Bytes: l.book.bytes}
}

// Limits returns the bounds of the listener.
func (l *Listener) Limits() Limits { return l.book.limits }

type connKey struct{}

// NewServer returns a server for the connections of a Listener. Its handler must call Identify, ReadBody and Answer, or be wrapped
// in WithoutBodies.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState: func(c net.Conn, state http.ConnState) {
			if conn, ok := c.(*Conn); ok {
				conn.stateChanged(state)
			}
		},
	}
}

// connOf returns the connection of a request, nil if it did not come from a Listener.
func connOf(request *http.Request) *Conn {
	c, _ := request.Context().Value(connKey{}).(*Conn)
	return c
}
