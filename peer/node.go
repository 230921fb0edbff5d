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
	dialTimeout  = time.Second
	redialPause  = 200 * time.Millisecond
	maxHandling  = 1024 // calls that are answered at the same time
	idleLinkTime = 5 * time.Minute
)

// ErrUnreachable: the peer could not be reached or did not answer. A call may have taken effect.
var ErrUnreachable = errors.New("peer unreachable")

// Handler receives messages. Both methods are called on transport goroutines; Receive must not block.
type Handler interface {
	// Receive takes a one-way message from an authenticated peer.
	Receive(from Identity, t Type, body []byte)
	// Answer answers a call from an authenticated peer. It may take as long as its context.
	Answer(ctx context.Context, from Identity, t Type, body []byte) (any, error)
}

// Options configure a Node.
type Options struct {
	// Identity returns what this host says of itself; its ID changes with each incarnation.
	Identity func() Identity
	Secret   []byte
	Handler  Handler
	Log      *log.Logger
	// Registerer registers the metrics.
	Registerer prometheus.Registerer
}

// Node is this host's end of the peer protocol.
type Node struct {
	opts     Options
	ctx      context.Context
	mu       sync.Mutex // guards links
	links    map[string]*link
	calls    sync.Map // call number -> chan Message
	nextCall atomic.Uint64
	handling chan struct{}
	sent     prometheus.Counter
	received prometheus.Counter
	dropped  prometheus.Counter
}

// link is the outgoing connection to an address. It is dialled when something is sent.
type link struct {
	mu       sync.Mutex
	conn     *conn
	dialling bool
	lastUse  time.Time
}

// New returns a node that works until ctx ends.
func New(ctx context.Context, opts Options) *Node {
	n := &Node{opts: opts, ctx: ctx, links: make(map[string]*link), handling: make(chan struct{}, maxHandling)}
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

// ServeHTTP accepts a connection of a peer.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	c, err := handshake(n.ctx, ws, n.opts.Identity(), n.opts.Secret, roleAcceptor)
	if err != nil {
		n.opts.Log.Warn("peer refused", "remote", r.RemoteAddr, "err", err)
		_ = ws.CloseNow()
		return
	}
	go c.writeLoop(n.ctx, n.countSent)
	_ = c.readLoop(n.ctx, func(m Message) { n.handle(c, m) })
}

func (n *Node) countSent(bytes int) { n.sent.Add(float64(bytes)) }

func (n *Node) handle(c *conn, m Message) {
	n.received.Add(float64(len(m.Body)))
	switch {
	case m.Type == TypeAnswer:
		n.resolve(m)
	case m.Call == 0:
		n.opts.Handler.Receive(c.peer, m.Type, m.Body)
	default:
		n.answer(c, m)
	}
}

func (n *Node) resolve(m Message) {
	if ch, ok := n.calls.LoadAndDelete(m.Call); ok {
		ch.(chan Message) <- m
	}
}

func (n *Node) answer(c *conn, m Message) {
	select {
	case n.handling <- struct{}{}:
	default:
		n.dropped.Inc()
		return
	}
	go func() {
		defer func() { <-n.handling }()
		ctx, cancel := context.WithCancel(n.ctx)
		defer cancel()
		go cancelWhenClosed(ctx, cancel, c)
		reply, err := n.opts.Handler.Answer(ctx, c.peer, m.Type, m.Body)
		if err != nil {
			n.opts.Log.Debug("call refused", "peer", c.peer.ID, "type", m.Type, "err", err)
			return
		}
		data, err := encodeMessage(TypeAnswer, m.Call, reply)
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

// Send sends a one-way message to the peer with the given ID at address. It does not block: without a connection
// the message is dropped and a connection is dialled for the next one.
func (n *Node) Send(address, id string, t Type, body any) {
	data, err := encodeMessage(t, 0, body)
	if err != nil {
		n.opts.Log.Error("message not sent", "type", t, "err", err)
		return
	}
	c := n.connected(address)
	if c == nil || (id != "" && c.peer.ID != id) || !c.send(data) {
		n.dropped.Inc()
	}
}

// Call sends a message and waits for the answer, which is decoded into reply.
func (n *Node) Call(ctx context.Context, address, id string, t Type, body, reply any) error {
	c, err := n.dialled(ctx, address)
	if err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	if c.peer.ID != id {
		return errors.Wrapf(ErrUnreachable, "%s is now %s", address, c.peer.ID)
	}
	number := n.nextCall.Add(1)
	data, err := encodeMessage(t, number, body)
	if err != nil {
		return err
	}
	ch := make(chan Message, 1)
	n.calls.Store(number, ch)
	defer n.calls.Delete(number)
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
		n.forgetIdle()
	}
	return l
}

// forgetIdle removes links that were not used for idleLinkTime, such as those to hosts that were replaced.
// The caller holds n.mu.
func (n *Node) forgetIdle() {
	for address, l := range n.links {
		l.mu.Lock()
		idle := !l.lastUse.IsZero() && time.Since(l.lastUse) > idleLinkTime
		if idle && l.conn != nil {
			l.conn.close()
		}
		l.mu.Unlock()
		if idle {
			delete(n.links, address)
		}
	}
}

// connected returns the open connection to address, or nil after it has started to dial.
func (n *Node) connected(address string) *conn {
	l := n.link(address)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastUse = time.Now()
	if c := l.open(); c != nil {
		return c
	}
	if !l.dialling {
		l.dialling = true
		go n.dialLink(address, l)
	}
	return nil
}

func (l *link) open() *conn {
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
		time.Sleep(redialPause)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialling = false
	if err == nil {
		l.conn = c
	}
}

// dialled returns the open connection to address and waits for it if need be.
func (n *Node) dialled(ctx context.Context, address string) (*conn, error) {
	const poll = 5 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	for {
		if c := n.connected(address); c != nil {
			return c, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(poll):
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
	go func() { _ = c.readLoop(n.ctx, func(m Message) { n.handle(c, m) }) }()
	return c, nil
}

// Reset closes all outgoing connections, so that new ones carry the present incarnation's ID.
func (n *Node) Reset() {
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
