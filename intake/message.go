package intake

import (
	"io"
	"net/http"
)

// ReadMessage reads a message on the connection of a request that a handler has taken over, limit bytes at most. Its bytes are
// counted until ReleaseMessage is called. Its errors wrap ErrNoBytes or ErrBodyTooLarge, or are those of reading.
func ReadMessage(request *http.Request, message io.Reader, limit int64) ([]byte, error) {
	c := connOf(request)
	if c == nil {
		return readUnknown(message, limit, func(int64) error { return nil })
	}
	return readUnknown(message, limit, c.grow)
}

// ReleaseMessage forgets the bytes of the messages that ReadMessage has read on the connection of a request.
func ReleaseMessage(request *http.Request) {
	c := connOf(request)
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	c.listener.book.release(c.member)
	c.listener.mu.Unlock()
}
