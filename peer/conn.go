package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/go-faster/errors"

	"citrongauge.example/citrongauge/result"
)

const (
	handshakeTimeout = time.Second
	// maxHandshakeBytes bounds the messages of a peer that is not authenticated yet: an identity and a nonce, or a proof.
	maxHandshakeBytes = 8 << 10
	writeTimeout      = time.Second
	probeInterval     = time.Second
	probeTimeout      = 2 * time.Second
	sendQueueLength   = 256
)

// Roles of the two peers in the handshake.
const (
	roleDialer   = "dialer"
	roleAcceptor = "acceptor"
)

// conn is an authenticated connection to a peer.
type conn struct {
	ws        *websocket.Conn
	peer      Identity
	sendQueue chan []byte
	closed    chan struct{}
	closeOnce sync.Once
}

// handshake performs mutual authentication on a new WebSocket connection. Each side sends a hello message with its
// identity and a nonce, followed by a proof that it knows the secret.
func handshake(ctx context.Context, ws *websocket.Conn, identity Identity, secret []byte, role string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	ws.SetReadLimit(maxHandshakeBytes)
	self := hello{Identity: identity, Nonce: make([]byte, nonceBytes)}
	if _, err := rand.Read(self.Nonce); err != nil {
		return nil, errors.Wrap(err, "nonce")
	}
	if err := writeHandshakeMessage(ctx, ws, typeHello, self); err != nil {
		return nil, err
	}
	var other hello
	if err := readHandshakeMessage(ctx, ws, typeHello, &other); err != nil {
		return nil, err
	}
	if len(other.Nonce) != nonceBytes || other.Identity.ID == "" || other.Identity.ID == identity.ID {
		return nil, result.Errorf(result.PeerProtocol, "invalid hello message")
	}
	if err := writeHandshakeMessage(ctx, ws, typeProof, proof{MAC: mac(secret, role, self, other)}); err != nil {
		return nil, err
	}
	var p proof
	if err := readHandshakeMessage(ctx, ws, typeProof, &p); err != nil {
		return nil, err
	}
	if !hmac.Equal(p.MAC, mac(secret, peerRole(role), other, self)) {
		return nil, result.Errorf(result.PeerProtocol, "peer %s does not know the fleet's secret", other.Identity.ID)
	}
	ws.SetReadLimit(MaxMessageBytes)
	return &conn{ws: ws, peer: other.Identity, sendQueue: make(chan []byte, sendQueueLength), closed: make(chan struct{})}, nil
}

// peerRole returns the role of the other peer.
func peerRole(role string) string {
	if role == roleDialer {
		return roleAcceptor
	}
	return roleDialer
}

func writeHandshakeMessage(ctx context.Context, ws *websocket.Conn, t Type, body any) error {
	data, err := encodeMessage(t, 0, body)
	if err != nil {
		return err
	}
	if err := ws.Write(ctx, websocket.MessageBinary, data); err != nil {
		return errors.Wrap(err, "write")
	}
	return nil
}

func encodeMessage(t Type, callID uint64, body any) ([]byte, error) {
	raw, err := Encode(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode body")
	}
	data, err := Encode(Message{Version: ProtocolVersion, Type: t, CallID: callID, Body: raw})
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	if len(data) > MaxMessageBytes {
		return nil, result.Errorf(result.PeerProtocol, "message of %d bytes is too large", len(data))
	}
	return data, nil
}

func readHandshakeMessage(ctx context.Context, ws *websocket.Conn, want Type, body any) error {
	_, data, err := ws.Read(ctx)
	if err != nil {
		return errors.Wrap(err, "read")
	}
	m, err := DecodeMessage(data)
	if err != nil {
		return err
	}
	if m.Type != want {
		return result.Errorf(result.PeerProtocol, "unexpected message type %d in the handshake", m.Type)
	}
	return Decode(m.Body, body)
}

// send queues a message without blocking. It returns false if the queue is full or the connection is closed.
func (c *conn) send(data []byte) bool {
	select {
	case <-c.closed:
		return false
	default:
	}
	select {
	case c.sendQueue <- data:
		return true
	default:
		return false
	}
}

// writeLoop writes queued messages until the connection is closed. It calls onSent after each message.
func (c *conn) writeLoop(ctx context.Context, onSent func(bytes int)) {
	defer c.close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.closed:
			return
		case data := <-c.sendQueue:
			if err := c.write(ctx, data); err != nil {
				return
			}
			onSent(len(data))
		}
	}
}

func (c *conn) write(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return c.ws.Write(ctx, websocket.MessageBinary, data)
}

// probeLoop pings the peer periodically and closes the connection if there is no response. After a network partition,
// TCP would otherwise wait for its backed-off retransmission timer long after the network has recovered.
func (c *conn) probeLoop(ctx context.Context) {
	defer c.close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.closed:
			return
		case <-time.After(probeInterval):
		}
		if err := c.probe(ctx); err != nil {
			return
		}
	}
}

func (c *conn) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return c.ws.Ping(ctx)
}

// readLoop passes received messages to handle until the connection is closed or a message is malformed.
func (c *conn) readLoop(ctx context.Context, handle func(Message)) error {
	defer c.close()
	for {
		_, data, err := c.ws.Read(ctx)
		if err != nil {
			return err
		}
		m, err := DecodeMessage(data)
		if err != nil {
			return err
		}
		handle(m)
	}
}

func (c *conn) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.ws.CloseNow()
	})
}
