// Package ports hands out TCP ports on loopback for processes that a test starts.
//
// A port that the kernel chooses for a listener is free again once that listener is closed, and any outgoing connection
// may take it before the process under test listens on it. This package uses ports below the kernel's range for such
// connections, in blocks that are reserved for one test process each.
package ports

import (
	"net"
	"strconv"
	"sync"
	"syscall"

	"github.com/go-faster/errors"
)

const (
	firstPort = 10_000
	lastPort  = 32_000 // below the usual range for outgoing connections
	blockSize = 200    // ports
)

// ErrNoFreePort reports that all blocks are reserved.
var ErrNoFreePort = errors.New("no free port")

// blocks are the ranges of ports of this process. The listeners on their first ports reserve them until the process ends.
var blocks struct {
	mu       sync.Mutex
	reserved []net.Listener
	next     int // next port to be handed out, in the block that was reserved last
	end      int // end of that block
}

// Free returns a port on 127.0.0.1 that nothing listens on and that no other call returns.
func Free() (int, error) {
	blocks.mu.Lock()
	defer blocks.mu.Unlock()
	for {
		if blocks.next == blocks.end {
			if err := reserveBlock(); err != nil {
				return 0, err
			}
		}
		port := blocks.next
		blocks.next++
		if isFree(port) {
			return port, nil
		}
	}
}

// isFree reports whether no program listens on the port. No process may be started meanwhile: until it executes its program, it
// would hold the port through the listener that it inherits.
func isFree(port int) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := listen(port)
	return err == nil && listener.Close() == nil
}

func reserveBlock() error {
	for first := firstPort; first+blockSize <= lastPort; first += blockSize {
		listener, err := listen(first)
		if err == nil {
			blocks.reserved = append(blocks.reserved, listener)
			blocks.next, blocks.end = first+1, first+blockSize
			return nil
		}
	}
	return errors.Wrap(ErrNoFreePort, "all blocks are reserved")
}

func listen(port int) (net.Listener, error) {
	return net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
}
