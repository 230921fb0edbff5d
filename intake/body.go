package intake

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
)

// Errors of Identify and ReadBody. After each of them the request has not been handed to anything.
var (
	// ErrNoRoom reports that there is no room for another connection with a known key.
	ErrNoRoom = errors.New("no room for the connection")
	// ErrNoBytes reports that there is no room for the body, or that the body was shed for others.
	ErrNoBytes = errors.New("no room for the body")
	// ErrBodyTooLarge reports that the body is larger than allowed.
	ErrBodyTooLarge = errors.New("body too large")
	// ErrBodyStalled reports that the body made no progress for too long.
	ErrBodyStalled = errors.New("the body made no progress")
)

const (
	// wideBuffer is the receive buffer in bytes for bodies over smallBody, so that clients far away are not slowed down. The kernel
	// doubles it.
	wideBuffer = 32 << 10
	// segmentBytes is the size of the parts in which a body of unknown length is read.
	segmentBytes = 4 << 10
	// maxSegmentBytes is the size to which these parts grow.
	maxSegmentBytes = 64 << 10
	// joinFactor is what a body of unknown length needs: its parts, and the whole that is made of them.
	joinFactor = 2
)

// Identify must be called once the key of a request has been looked up, before the request's body is read. Its error wraps
// ErrNoRoom.
func Identify(request *http.Request, known bool) error {
	c := connOf(request)
	if c == nil {
		return nil
	}
	l := c.listener
	l.mu.Lock()
	victim, ok := l.book.identify(c.member, known, l.now())
	l.mu.Unlock()
	l.carryOut(victim)
	if !ok {
		return ErrNoRoom
	}
	return nil
}

// ReadBody reads the body of a request of which Identify has been called, limit bytes at most. Its errors wrap ErrNoBytes,
// ErrBodyTooLarge or ErrBodyStalled, or are those of reading.
func ReadBody(request *http.Request, limit int64) ([]byte, error) {
	length := request.ContentLength
	if length > limit {
		return nil, ErrBodyTooLarge
	}
	if length == 0 {
		return nil, nil
	}
	c := connOf(request)
	if c == nil {
		return readUnknown(request.Body, limit, func(int64) error { return nil })
	}
	if err := c.reserveBody(length); err != nil {
		return nil, err
	}
	data, err := c.readBody(request.Body, length, limit)
	return data, c.endBody(err)
}

// reserveBody reserves what a body of the given length needs, -1 if it is unknown.
func (c *Conn) reserveBody(length int64) error {
	need := length
	if length > smallBody {
		need += min(length, 2*wideBuffer)
	}
	l := c.listener
	l.mu.Lock()
	victims, ok := l.book.beginBody(c.member, max(need, 0), l.now())
	l.mu.Unlock()
	l.carryOut(victims...)
	if !ok {
		return c.refuseBody()
	}
	if length > smallBody {
		c.widened = true
		c.setReceiveBuffer(wideBuffer)
	}
	return nil
}

// grow reserves more bytes for a body of unknown length.
func (c *Conn) grow(bytes int64) error {
	l := c.listener
	l.mu.Lock()
	large := c.member.held+bytes > joinFactor*smallBody
	victims, ok := l.book.reserve(c.member, bytes, large, l.now())
	l.mu.Unlock()
	l.carryOut(victims...)
	if !ok {
		return c.refuseBody()
	}
	return nil
}

func (c *Conn) refuseBody() error {
	c.listener.carryOut(eviction{reason: refusedBody})
	return ErrNoBytes
}

func (c *Conn) readBody(body io.Reader, length, limit int64) ([]byte, error) {
	reader := progressReader{c, body}
	if length < 0 {
		return readUnknown(reader, limit, c.grow)
	}
	data := make([]byte, length)
	_, err := io.ReadFull(reader, data)
	return data, err
}

// endBody returns the error of a body that was not received, from that of reading it. The server removes the deadline when it
// has read the end of a body.
func (c *Conn) endBody(err error) error {
	l := c.listener
	l.mu.Lock()
	kept := l.book.endBody(c.member, l.now())
	l.mu.Unlock()
	switch {
	case !kept:
		return ErrNoBytes
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ErrBodyStalled
	case err == nil:
		c.bodyRead = true
	}
	return err
}

// progressReader postpones the deadline of a connection while a body arrives.
type progressReader struct {
	c    *Conn
	body io.Reader
}

func (r progressReader) Read(buffer []byte) (int, error) {
	l := r.c.listener
	l.mu.Lock()
	shed := r.c.member.aborted || r.c.member.class == gone
	if !shed {
		// Under the lock, so that it does not follow the deadline by which the body is shed. Fails only if the connection is closed.
		_ = r.c.SetReadDeadline(time.Now().Add(bodyTimeout))
	}
	l.mu.Unlock()
	if shed {
		return 0, ErrNoBytes
	}
	return r.body.Read(buffer)
}

// readUnknown reads a body of unknown length in parts. It calls grow before each part.
func readUnknown(body io.Reader, limit int64, grow func(int64) error) ([]byte, error) {
	var parts [][]byte
	total := int64(0)
	size := int64(segmentBytes)
	for {
		if err := grow(size * joinFactor); err != nil {
			return nil, err
		}
		part := make([]byte, size)
		n, err := fill(body, part)
		total += int64(n)
		parts = append(parts, part[:n])
		switch {
		case total > limit:
			return nil, ErrBodyTooLarge
		case err == io.EOF:
			return join(parts, total), nil
		case err != nil:
			return nil, err
		}
		size = min(size*2, maxSegmentBytes)
	}
}

// fill reads until the buffer is full. Unlike io.ReadFull it keeps io.EOF, the end of a body, apart from io.ErrUnexpectedEOF, which
// means that the client has closed the connection before.
func fill(reader io.Reader, buffer []byte) (int, error) {
	n := 0
	for n < len(buffer) {
		m, err := reader.Read(buffer[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

func join(parts [][]byte, total int64) []byte {
	if len(parts) == 1 {
		return parts[0]
	}
	whole := make([]byte, 0, total)
	for _, part := range parts {
		whole = append(whole, part...)
	}
	return whole
}

// Answer must be called before the header of an answer is written. If the body was not read to its end, the connection is
// closed after the answer, and does not wait for the rest for long.
func Answer(header http.Header, request *http.Request) {
	c := connOf(request)
	if c == nil {
		return
	}
	l := c.listener
	l.mu.Lock()
	l.book.answer(c.member, l.now())
	l.mu.Unlock()
	if request.ContentLength != 0 && !c.bodyRead {
		header.Set("Connection", "close")
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout)) // fails only if the connection is closed
	}
}

// WithoutBodies returns a handler that treats all requests as those of unknown clients and reads no bodies.
func WithoutBodies(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		Answer(w.Header(), request)
		handler.ServeHTTP(w, request)
	})
}

// Hijacking returns a handler for requests that take over their connection. It refuses them with 503 if there are too many.
func Hijacking(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if c := connOf(request); c != nil && !c.listener.mayHijack() {
			c.listener.carryOut(eviction{reason: refusedHijack})
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, request)
	})
}

func (l *Listener) mayHijack() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book.mayHijack()
}
