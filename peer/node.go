package peer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/coder/websocket"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// Path is the HTTP path of the peer protocol.
const Path = "/peer/v1"

const (
	dialTimeout        = time.Second
	redialDelay        = 200 * time.Millisecond
	maxConcurrentCalls = 1024 // calls from peers that are served concurrently
	linkIdleTimeout    = 5 * time.Minute
)

// ErrUnreachable reports that a peer could not be reached or did not respond. The call may have taken effect.
var ErrUnreachable = errors.New("peer unreachable")

// Handler processes messages from peers.
type Handler interface {
	// HandleMessage processes a one-way message from an authenticated peer. It is called on the goroutine that reads
	// from the connection and must not block.
	HandleMessage(from Identity, t Type, body []byte)
	// HandleCall processes a call from an authenticated peer and returns the body of the response. It is called on its
	// own goroutine and may block until ctx is done. If it returns an error, no response is sent.
	HandleCall(ctx context.Context, from Identity, t Type, body []byte) (any, error)
}

// Options contains the parameters of New.
type Options struct {
	// Identity returns the identity of this host. The ID changes with each incarnation.
	Identity func() Identity
	Secret   []byte
	Handler  Handler
	Log      *log.Logger
	// Registerer registers the metrics. If it is nil, they are not registered.
	Registerer prometheus.Registerer
}

// Node is the endpoint of this host in the peer protocol.
type Node struct {
	opts         Options
	ctx          context.Context
	mu           sync.Mutex // guards links
	links        map[string]*link
	pendingCalls sync.Map // call ID -> chan Message
	lastCallID   atomic.Uint64
	callSlots    chan struct{}
	sent         prometheus.Counter
	received     prometheus.Counter
	dropped      prometheus.Counter
}

// link is the outgoing connection to an address. It is dialled on demand when a message is sent.
type link struct {
	mu       sync.Mutex
	conn     *conn
	dialling bool
	lastUse  time.Time
}

// New returns a node whose connections and calls end when ctx is done.
func New(ctx context.Context, opts Options) *Node {
	n := &Node{opts: opts, ctx: ctx, links: make(map[string]*link), callSlots: make(chan struct{}, maxConcurrentCalls)}
	n.sent = counter(opts.Registerer, "sent_bytes_total", "Bytes of messages sent to peers.")
	n.received = counter(opts.Registerer, "received_bytes_total", "Bytes of message bodies received from peers.")
	n.dropped = counter(opts.Registerer, "dropped_messages_total", "Messages dropped because a peer was slow or not connected.")
	return n
}

func counter(r prometheus.Registerer, name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: "citrongauge", Subsystem: "peer", Name: name, Help: help})
	if r != nil {
		r.MustRegister(c)
	}
	return c
}

// ServeHTTP accepts a connection from a peer and serves it until it is closed.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	c, err := handshake(n.ctx, ws, n.opts.Identity(), n.opts.Secret, roleAcceptor)
	if err != nil {
		n.opts.Log.Warn("peer handshake failed", "remote", r.RemoteAddr, "err", err)
		_ = ws.CloseNow()
		return
	}
	go c.writeLoop(n.ctx, n.countSent)
	_ = c.readLoop(n.ctx, func(m Message) { n.dispatch(c, m) })
}

func (n *Node) countSent(bytes int) { n.sent.Add(float64(bytes)) }

func (n *Node) dispatch(c *conn, m Message) {
	n.received.Add(float64(len(m.Body)))
	switch {
	case m.Type == TypeResponse:
		n.deliverResponse(m)
	case m.CallID == 0:
		n.opts.Handler.HandleMessage(c.peer, m.Type, m.Body)
	default:
		n.serveCall(c, m)
	}
}

func (n *Node) deliverResponse(m Message) {
	if ch, ok := n.pendingCalls.LoadAndDelete(m.CallID); ok {
		ch.(chan Message) <- m
	}
}

func (n *Node) serveCall(c *conn, m Message) {
	select {
	case n.callSlots <- struct{}{}:
	default:
		n.dropped.Inc()
		return
	}
	go func() {
		defer func() { <-n.callSlots }()
		ctx, cancel := context.WithCancel(n.ctx)
		defer cancel()
		go cancelWhenClosed(ctx, cancel, c)
		reply, err := n.opts.Handler.HandleCall(ctx, c.peer, m.Type, m.Body)
		if err != nil {
			n.opts.Log.Debug("call handler failed", "peer", c.peer.ID, "type", m.Type, "err", err)
			return
		}
		data, err := encodeMessage(TypeResponse, m.CallID, reply)
		if err != nil || !c.send(data) {
			n.dropped.Inc()
		}
	}()
}

func cancelWhenClosed(ctx context.Context, cancel context.CancelFunc, c *conn) {
	select {
	case <-ctx.Done():
	case <-c.closed:
		cancel()
	}
}

// Send sends a one-way message to the peer at address. It does not block: if there is no connection, the message is
// dropped and a connection is dialled for later messages. If id is not empty and the peer has another ID, the message
// is dropped.
func (n *Node) Send(address, id string, t Type, body any) {
	data, err := encodeMessage(t, 0, body)
	if err != nil {
		n.opts.Log.Error("cannot encode message", "type", t, "err", err)
		return
	}
	c := n.connectionOrDial(address)
	if c == nil || (id != "" && c.peer.ID != id) || !c.send(data) {
		n.dropped.Inc()
	}
}

// Call sends a message to the peer with the given ID at address, waits for the response and decodes it into reply.
func (n *Node) Call(ctx context.Context, address, id string, t Type, body, reply any) error {
	c, err := n.waitForConnection(ctx, address)
	if err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	if c.peer.ID != id {
		return errors.Wrapf(ErrUnreachable, "address %s now belongs to peer %s", address, c.peer.ID)
	}
	callID := n.lastCallID.Add(1)
	data, err := encodeMessage(t, callID, body)
	if err != nil {
		return err
	}
	ch := make(chan Message, 1)
	n.pendingCalls.Store(callID, ch)
	defer n.pendingCalls.Delete(callID)
	if !c.send(data) {
		return errors.Wrap(ErrUnreachable, "send queue full")
	}
	select {
	case m := <-ch:
		return Decode(m.Body, reply)
	case <-c.closed:
		return errors.Wrap(ErrUnreachable, "connection lost")
	case <-ctx.Done():
		return errors.Wrap(ErrUnreachable, ctx.Err().Error())
	}
}

func (n *Node) link(address string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.links[address]
	if !ok {
		l = &link{}
		n.links[address] = l
		n.removeIdleLinks()
	}
	return l
}

// removeIdleLinks closes and removes links that have not been used for linkIdleTimeout, such as those to hosts that
// were replaced. The caller must hold n.mu.
func (n *Node) removeIdleLinks() {
	for address, l := range n.links {
		l.mu.Lock()
		idle := !l.lastUse.IsZero() && time.Since(l.lastUse) > linkIdleTimeout
		if idle && l.conn != nil {
			l.conn.close()
		}
		l.mu.Unlock()
		if idle {
			delete(n.links, address)
		}
	}
}

// connectionOrDial returns the open connection to address. If there is none, it starts dialling in the background and
// returns nil.
func (n *Node) connectionOrDial(address string) *conn {
	l := n.link(address)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastUse = time.Now()
	if c := l.openConnection(); c != nil {
		return c
	}
	if !l.dialling {
		l.dialling = true
		go n.dialLink(address, l)
	}
	return nil
}

func (l *link) openConnection() *conn {
	if l.conn == nil {
		return nil
	}
	select {
	case <-l.conn.closed:
		return nil
	default:
		return l.conn
	}
}

func (n *Node) dialLink(address string, l *link) {
	ctx, cancel := context.WithTimeout(n.ctx, dialTimeout)
	defer cancel()
	c, err := n.dial(ctx, address)
	if err != nil {
		time.Sleep(redialDelay)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialling = false
	if err == nil {
		l.conn = c
	}
}

// waitForConnection returns the open connection to address. If there is none, it dials one and waits for it for up to
// dialTimeout.
func (n *Node) waitForConnection(ctx context.Context, address string) (*conn, error) {
	const pollInterval = 5 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	for {
		if c := n.connectionOrDial(address); c != nil {
			return c, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

func (n *Node) dial(ctx context.Context, address string) (*conn, error) {
	ws, _, err := websocket.Dial(ctx, "ws://"+address+Path, nil)
	if err != nil {
		return nil, err
	}
	c, err := handshake(ctx, ws, n.opts.Identity(), n.opts.Secret, roleDialer)
	if err != nil {
		_ = ws.CloseNow()
		return nil, err
	}
	go c.writeLoop(n.ctx, n.countSent)
	go c.probeLoop(n.ctx)
	go func() { _ = c.readLoop(n.ctx, func(m Message) { n.dispatch(c, m) }) }()
	return c, nil
}

// CloseConnections closes all outgoing connections, so that new connections use the ID of the current incarnation.
func (n *Node) CloseConnections() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, l := range n.links {
		l.mu.Lock()
		if l.conn != nil {
			l.conn.close()
		}
		l.mu.Unlock()
		delete(n.links, address)
	}
}
