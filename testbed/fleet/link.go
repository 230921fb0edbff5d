package fleet

import (
	"net"
	"sync"
	"time"
)

// LinkFault is what is wrong with a Link. The zero value is a sound one.
type LinkFault struct {
	Delay    time.Duration // of all bytes, each way
	HoldUp   bool          // bytes to the target are held back until the fault ends, as behind a cut
	HoldDown bool          // bytes from the target are held back
	Reset    bool          // connections are reset, new ones too
}

// Link is a TCP proxy on loopback that misbehaves on request.
type Link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	fault   LinkFault
	changed chan struct{} // closed and replaced when the fault changes
	open    map[net.Conn]struct{}
	closed  bool
}

const (
	linkBuffer      = 32 << 10
	linkDialTimeout = 2 * time.Second
)

// NewLink returns a link to target that listens on a free port until Close.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, changed: make(chan struct{}), open: map[net.Conn]struct{}{}}
	go l.accept()
	return l, nil
}

// Address returns where the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetFault replaces the fault.
func (l *Link) SetFault(fault LinkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
	close(l.changed)
	l.changed = make(chan struct{})
	if fault.Reset {
		l.resetAll()
	}
}

// Close resets all connections and stops listening.
func (l *Link) Close() {
	_ = l.listener.Close() // it listens until now
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	close(l.changed)
	l.changed = make(chan struct{})
	l.resetAll()
}

// resetAll resets the open connections. The caller holds the lock.
func (l *Link) resetAll() {
	for connection := range l.open {
		reset(connection)
	}
	clear(l.open)
}

func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = connection.Close()
}

func (l *Link) accept() {
	for {
		connection, err := l.listener.Accept()
		if err != nil {
			return // closed
		}
		go l.serve(connection)
	}
}

func (l *Link) serve(client net.Conn) {
	if !l.add(client) {
		reset(client)
		return
	}
	server, err := net.DialTimeout("tcp", l.target, linkDialTimeout)
	if err != nil || !l.add(server) {
		reset(client)
		if err == nil {
			reset(server)
		}
		return
	}
	go l.carry(client, server, func(f LinkFault) bool { return f.HoldUp })
	go l.carry(server, client, func(f LinkFault) bool { return f.HoldDown })
}

// add keeps a connection to be reset, or returns false if it is to be reset now.
func (l *Link) add(connection net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.fault.Reset {
		return false
	}
	l.open[connection] = struct{}{}
	return true
}

// carry copies one direction until either side ends.
func (l *Link) carry(from, to net.Conn, held func(LinkFault) bool) {
	defer func() {
		_ = from.Close() // the other direction may have closed it
		_ = to.Close()
		l.mu.Lock()
		delete(l.open, from)
		l.mu.Unlock()
	}()
	buffer := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 && l.wait(held) {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// wait returns when bytes may pass, or false when the link has closed.
func (l *Link) wait(held func(LinkFault) bool) bool {
	for {
		l.mu.Lock()
		fault, changed, closed := l.fault, l.changed, l.closed
		l.mu.Unlock()
		if closed {
			return false
		}
		if !held(fault) {
			time.Sleep(fault.Delay)
			return true
		}
		<-changed
	}
}
