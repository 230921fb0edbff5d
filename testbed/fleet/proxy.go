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

	mu          sync.Mutex
	fault       ProxyFault
	changed     chan struct{} // closed and replaced when the fault changes
	connections map[net.Conn]struct{}
	closed      bool
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
	p := &Proxy{listener: listener, target: target, changed: make(chan struct{}), connections: map[net.Conn]struct{}{}}
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

// resetAll resets the open connections. The caller must hold the lock.
func (p *Proxy) resetAll() {
	for connection := range p.connections {
		reset(connection)
	}
	clear(p.connections)
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
	if !p.track(client) {
		reset(client)
		return
	}
	server, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil || !p.track(server) {
		reset(client)
		if err == nil {
			reset(server)
		}
		return
	}
	go p.copyDirection(client, server, func(f ProxyFault) bool { return f.StallToTarget })
	go p.copyDirection(server, client, func(f ProxyFault) bool { return f.StallFromTarget })
}

// track records a connection so that later faults can reset it. It returns false if the caller must reset it now.
func (p *Proxy) track(connection net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.fault.Reset {
		return false
	}
	p.connections[connection] = struct{}{}
	return true
}

// copyDirection copies bytes in one direction until either side closes or fails, and closes both connections.
func (p *Proxy) copyDirection(from, to net.Conn, isStalled func(ProxyFault) bool) {
	defer func() {
		_ = from.Close() // the goroutine of the other direction may have closed it
		_ = to.Close()
		p.mu.Lock()
		delete(p.connections, from)
		p.mu.Unlock()
	}()
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.waitUntilAllowed(isStalled) {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitUntilAllowed blocks until the fault lets bytes pass and returns true, or false if the proxy was closed.
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
