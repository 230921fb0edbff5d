package fleet

import (
	"net"
	"sync"
	"time"
)

// ProxyFault is a fault that a Proxy injects. The zero value is no fault.
type ProxyFault struct {
	Delay           time.Duration // added to each block of bytes, in both directions
	StallToTarget   bool          // holds back bytes to the target until the fault ends, as in a one-way network partition
	StallFromTarget bool          // holds back bytes from the target
	Reset           bool          // resets open and new connections
}

// Proxy is a TCP proxy on loopback that injects faults. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	fault   ProxyFault
	changed chan struct{} // closed and replaced when the fault changes
	links   map[*link]struct{}
	closed  bool
}

// link is a client's connection and its continuation to the target.
type link struct {
	client, server net.Conn
	silent         bool // since Proxy.Silence
	resetOnUse     bool
}

const (
	copyBufferBytes = 32 << 10
	dialTimeout     = 2 * time.Second
)

// NewProxy returns a proxy for target that listens on a free port until Close.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, changed: make(chan struct{}), links: map[*link]struct{}{}}
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFault replaces the current fault.
func (p *Proxy) SetFault(fault ProxyFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	close(p.changed)
	p.changed = make(chan struct{})
	if fault.Reset {
		p.resetAll()
	}
}

// Close resets all connections and stops listening.
func (p *Proxy) Close() {
	_ = p.listener.Close() // cannot fail on a listener that is open
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	close(p.changed)
	p.changed = make(chan struct{})
	p.resetAll()
}

// Silence makes the open connections silent for good, as connections to an upstream whose machine has lost power: no bytes
// pass, and the client does not see its connection close. With resetOnUse a connection is reset when the client sends on it
// and no fault holds the bytes back, as by a machine that does not know the connection. New connections are served.
func (p *Proxy) Silence(resetOnUse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		if !l.silent {
			l.silent, l.resetOnUse = true, resetOnUse
		}
	}
}

// resetAll resets the open connections. The caller must hold the lock.
func (p *Proxy) resetAll() {
	for l := range p.links {
		l.reset()
	}
	clear(p.links)
}

func (l *link) reset() {
	reset(l.client)
	if l.server != nil {
		reset(l.server)
	}
}

func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = connection.Close()
}

func (p *Proxy) accept() {
	for {
		connection, err := p.listener.Accept()
		if err != nil {
			return // the listener was closed
		}
		go p.serve(connection)
	}
}

func (p *Proxy) serve(client net.Conn) {
	l := &link{client: client}
	if !p.track(l) {
		reset(client)
		return
	}
	server, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		p.resetLink(l)
		return
	}
	if !p.connect(l, server) {
		reset(server)
		return
	}
	go p.copyToTarget(l)
	go p.copyFromTarget(l)
}

// track records a connection so that later faults affect it. It returns false if the caller must reset it now.
func (p *Proxy) track(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.fault.Reset {
		return false
	}
	p.links[l] = struct{}{}
	return true
}

// connect records the connection to the target. It returns false if the client's connection has been reset.
func (p *Proxy) connect(l *link, server net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, open := p.links[l]
	if open {
		l.server = server
	}
	return open
}

func (p *Proxy) resetLink(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.reset()
	delete(p.links, l)
}

func (p *Proxy) closeLink(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = l.client.Close() // either may be closed
	_ = l.server.Close()
	delete(p.links, l)
}

// copyToTarget copies bytes of the client until either side closes or fails, and closes both. On a silent link it drops them.
func (p *Proxy) copyToTarget(l *link) {
	defer p.closeLink(l)
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := l.client.Read(buffer)
		if !p.waitUntilAllowed(func(f ProxyFault) bool { return f.StallToTarget }) {
			return
		}
		silent, resetOnUse := p.isSilent(l)
		switch {
		case silent && resetOnUse && n > 0:
			p.resetLink(l)
			return
		case !silent && n > 0:
			if _, writeErr := l.server.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// copyFromTarget copies bytes of the target until either side closes or fails, and closes both. On a silent link it drops them,
// and the client's connection stays open.
func (p *Proxy) copyFromTarget(l *link) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := l.server.Read(buffer)
		if !p.waitUntilAllowed(func(f ProxyFault) bool { return f.StallFromTarget }) {
			return // Close has reset the link
		}
		silent, _ := p.isSilent(l)
		if silent && err != nil {
			return
		}
		if !silent && n > 0 {
			if _, writeErr := l.client.Write(buffer[:n]); writeErr != nil {
				p.closeLink(l)
				return
			}
		}
		if err != nil {
			p.closeLink(l)
			return
		}
	}
}

func (p *Proxy) isSilent(l *link) (silent, resetOnUse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return l.silent, l.resetOnUse
}

// waitUntilAllowed blocks until the fault lets bytes, and the ends of connections, pass and returns true, or false if the proxy
// was closed.
func (p *Proxy) waitUntilAllowed(isStalled func(ProxyFault) bool) bool {
	for {
		p.mu.Lock()
		fault, changed, closed := p.fault, p.changed, p.closed
		p.mu.Unlock()
		if closed {
			return false
		}
		if !isStalled(fault) {
			time.Sleep(fault.Delay)
			return true
		}
		<-changed
	}
}
