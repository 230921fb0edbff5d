package witness

import (
	"context"
	"net/http"
	"sync"

	"github.com/coder/websocket"
	"github.com/go-faster/errors"
)

// ErrUnsupported is returned by Client.Do if the host's version has no witnesses.
var ErrUnsupported = errors.New("the host is no witness")

// Client sends requests to one witness over one connection, one at a time. It is safe for concurrent use.
type Client struct {
	address    string
	mu         sync.Mutex
	connection *websocket.Conn
}

// NewClient returns a client of the witness with the given internal address. It connects at the first request.
func NewClient(address string) *Client { return &Client{address: address} }

// Do sends a request and returns the response. After an error the witness may have handled the request, and the connection is
// replaced.
func (c *Client) Do(ctx context.Context, request Request) (Response, error) {
	data, err := encMode.Marshal(request)
	if err != nil {
		return Response{}, errors.Wrap(err, "encode")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	response, err := c.exchange(ctx, data)
	if err != nil {
		c.drop()
	}
	return response, err
}

// Close closes the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop()
}

func (c *Client) drop() {
	if c.connection != nil {
		_ = c.connection.CloseNow() // fails only if the connection is already closed
		c.connection = nil
	}
}

func (c *Client) exchange(ctx context.Context, data []byte) (Response, error) {
	if err := ctx.Err(); err != nil {
		return Response{}, err
	}
	if err := c.connect(ctx); err != nil {
		return Response{}, err
	}
	if err := c.connection.Write(ctx, websocket.MessageBinary, data); err != nil {
		return Response{}, errors.Wrap(err, "write")
	}
	_, data, err := c.connection.Read(ctx)
	if err != nil {
		return Response{}, errors.Wrap(err, "read")
	}
	return decodeResponse(data)
}

func (c *Client) connect(ctx context.Context) error {
	if c.connection != nil {
		return nil
	}
	connection, response, err := websocket.Dial(ctx, "ws://"+c.address+Path, nil)
	if response != nil && response.Body != nil {
		_ = response.Body.Close() // a handshake's response has no body worth reading
	}
	if err != nil {
		if response != nil && response.StatusCode == http.StatusNotFound {
			return ErrUnsupported
		}
		return errors.Wrap(err, "connect")
	}
	connection.SetReadLimit(maxMessageBytes)
	c.connection = connection
	return nil
}
