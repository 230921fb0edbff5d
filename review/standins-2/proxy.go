package main

import (
	"net"
	"sync"
	"time"
)

// proxy stands in front of a worker. While it is cut, no byte passes in either direction and connections neither open nor close, as
// behind a partition. What a client has sent by then and not given up passes after the cut if the connection began in it; bytes of
// connections that the client has reset are lost, and those of the worker's earlier life, too.
type proxy struct {
	address    string
	mu         sync.Mutex
	open       chan struct{} // closed while bytes pass
	generation int           // number of cuts that have ended
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

// pass waits for the end of a cut and returns the number of cuts that have ended, and whether there was one to wait for.
func (p *proxy) pass() (generation int, waited bool) {
	p.mu.Lock()
	open := p.open
	p.mu.Unlock()
	select {
	case <-open:
	default:
		waited = true
		<-open
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.generation, waited
}

// inbox has what a client has sent and the proxy has not passed on. It is filled during a cut as well, so that a reset shows.
type inbox struct {
	mu      sync.Mutex
	arrived *sync.Cond
	data    []byte
	closed  bool
}

func readAll(client net.Conn) *inbox {
	in := &inbox{}
	in.arrived = sync.NewCond(&in.mu)
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, err := client.Read(buffer)
			in.mu.Lock()
			in.data = append(in.data, buffer[:n]...)
			in.closed = err != nil
			in.arrived.Broadcast()
			in.mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	return in
}

// wait waits for data or the end of the connection.
func (in *inbox) wait() {
	in.mu.Lock()
	defer in.mu.Unlock()
	for len(in.data) == 0 && !in.closed {
		in.arrived.Wait()
	}
}

func (in *inbox) isClosed() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.closed
}

func (in *inbox) take() (data []byte, closed bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	data, in.data = in.data, nil
	return data, in.closed
}

func (p *proxy) serve(client *net.TCPConn, target string) {
	defer client.Close()
	in := readAll(client)
	began, waited := p.pass()
	if waited {
		if in.isClosed() {
			return // given up meanwhile
		}
	}
	server, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		client.SetLinger(0)
		return
	}
	defer server.Close()
	go func() { // from the worker
		buffer := make([]byte, 64<<10)
		for {
			n, err := server.Read(buffer)
			if now, _ := p.pass(); now != began {
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
	for {
		in.wait()
		now, waited := p.pass()
		data, closed := in.take()
		if waited && closed {
			return // lost with the reset
		}
		if now != began { // the new life doesn't know the connection
			client.SetLinger(0)
			return
		}
		if _, err := server.Write(data); err != nil || closed {
			return
		}
	}
}
