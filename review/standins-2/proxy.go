package main

import (
	"net"
	"sync"
	"time"
)

// proxy stands in front of a worker. While it is cut, no byte passes in either direction and connections neither open nor close, as
// behind a partition. What was held up by then is lost: the worker has crashed meanwhile.
type proxy struct {
	address, target string
	mu              sync.Mutex
	open            chan struct{} // closed while bytes pass
	generation      int           // number of cuts that have ended
}

func newProxy(target func() string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: listener.Addr().String(), open: make(chan struct{})}
	close(p.open)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn.(*net.TCPConn), target())
		}
	}()
	return p, nil
}

func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = make(chan struct{})
}

// heal ends a cut behind which the worker has crashed and started again: connections from before it stay silent until the client sends
// on them, which resets them.
func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generation++
	close(p.open)
}

func (p *proxy) state() (open chan struct{}, generation int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.generation
}

func (p *proxy) serve(client *net.TCPConn, target string) {
	defer client.Close()
	open, _ := p.state()
	<-open
	_, generation := p.state()
	server, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		client.SetLinger(0)
		return
	}
	defer server.Close()
	stale := func() bool {
		open, _ := p.state()
		<-open
		_, now := p.state()
		return now != generation
	}
	done := make(chan struct{})
	go func() { // from the worker
		defer close(done)
		buffer := make([]byte, 64<<10)
		for {
			n, err := server.Read(buffer)
			if stale() {
				return // silent
			}
			if err != nil {
				client.SetLinger(0)
				client.Close()
				return
			}
			if _, err := client.Write(buffer[:n]); err != nil {
				return
			}
		}
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := client.Read(buffer)
		if err != nil {
			server.Close()
			return
		}
		if stale() { // the new life doesn't know the connection
			client.SetLinger(0)
			return
		}
		if _, err := server.Write(buffer[:n]); err != nil {
			return
		}
	}
}
