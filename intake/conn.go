package intake

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	// freeHeadBytes of a head are part of what each connection may hold.
	freeHeadBytes = 4 << 10
	// headFactor is what net/http holds for each byte of a head: the line that it reads, and the string that it makes of it.
	headFactor = 2
	// bodyTimeout is how long a body may make no progress. Under pressure it is shed earlier.
	bodyTimeout = 10 * time.Second
	// lingerTimeout is how long a connection stays open for a client that is still sending a body which was refused.
	lingerTimeout = 500 * time.Millisecond
)

var errShed = errors.New("connection shed, or no room for its head")

// Conn is a connection that a Listener has accepted.
type Conn struct {
	net.Conn
	listener  *Listener
	member    *member
	inHead    atomic.Bool // what is read now belongs to a head
	headBytes int         // read of the present head; used by one reader at a time
	bodyRead  bool        // the body of the present request was read to its end
	widened   bool        // the receive buffer is larger, for a body
	// writeUntil is the write deadline, from the beginning of the listener; used by one writer at a time.
	writeUntil time.Duration
}

// Read counts the bytes of heads against the budget. It closes the connection if there is no room for them.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 && c.inHead.Load() && !c.noteHead(n) {
		_ = c.Close() // the head cannot be read further
		return 0, errShed
	}
	return n, err
}

func (c *Conn) noteHead(n int) bool {
	first := c.headBytes == 0
	before := max(c.headBytes, freeHeadBytes)
	c.headBytes += n
	l := c.listener
	if c.headBytes <= freeHeadBytes {
		if first {
			l.mu.Lock()
			l.book.touch(c.member, l.now())
			l.mu.Unlock()
		}
		return true
	}
	l.mu.Lock()
	victims, ok := l.book.growHead(c.member, int64(c.headBytes-before)*headFactor, l.now())
	l.mu.Unlock()
	l.carryOut(victims...)
	if !ok {
		l.carryOut(eviction{reason: refusedHead})
	}
	return ok
}

// Write bounds how long the client may leave an answer unread, to between half of writeTimeout and all of it: the deadline is not
// set anew for each answer.
func (c *Conn) Write(data []byte) (int, error) {
	if now := c.listener.now(); now > c.writeUntil-writeTimeout/2 {
		c.writeUntil = now + writeTimeout
		if err := c.SetWriteDeadline(c.listener.begin.Add(c.writeUntil)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(data)
}

// Close closes the connection and forgets what it holds.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	c.listener.book.remove(c.member)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite lets net/http send the end of the stream before it closes the connection.
func (c *Conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

func (c *Conn) evict() { _ = c.Conn.Close() } // the book has already forgotten the connection

func (c *Conn) abortBody() { _ = c.SetReadDeadline(time.Unix(1, 0)) } // fails only if the connection is closed

// stateChanged is called by the server. StateActive means that a head has been read.
func (c *Conn) stateChanged(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.inHead.Store(false)
	case http.StateIdle:
		c.finish()
	case http.StateHijacked: // the server has removed all deadlines
		c.listener.mu.Lock()
		c.listener.book.hijack(c.member, c.listener.now())
		c.listener.mu.Unlock()
	}
}

// finish prepares for the next request on the connection.
func (c *Conn) finish() {
	c.headBytes, c.bodyRead = 0, false
	if c.widened {
		c.widened = false
		c.setReceiveBuffer(socketBuffer)
	}
	c.inHead.Store(true)
	l := c.listener
	l.mu.Lock()
	l.book.finish(c.member, l.now())
	l.mu.Unlock()
}

// setReceiveBuffer changes the kernel's buffer. An error leaves it as it is, which only affects the pace.
func (c *Conn) setReceiveBuffer(bytes int) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(bytes)
	}
}
