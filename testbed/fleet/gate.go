package fleet

import (
	"context"
	"net/http"
	"sync"
)

// Gate serves a store to one host, which it can turn away while the store serves the others. It is safe for concurrent
// use.
type Gate struct {
	store  *Store
	mu     sync.Mutex
	cut    context.Context // ends when the host is turned away
	cancel context.CancelFunc
}

// NewGate returns a gate to the fleet's store and the address at which it listens.
func (f *Fleet) NewGate() (*Gate, string, error) {
	g := &Gate{store: f.Store}
	g.SetClosed(false)
	address, err := f.serve("", g)
	return g, address, err
}

// SetClosed turns the host away, or serves it again. Calls that wait are cut.
func (g *Gate) SetClosed(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if closed {
		g.cancel()
	} else {
		g.cut, g.cancel = context.WithCancel(context.Background())
	}
}

// ServeHTTP implements the protocol of the platform's store.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	cut := g.cut
	g.mu.Unlock()
	if cut.Err() != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(cut, cancel)()
	g.store.ServeHTTP(w, r.WithContext(ctx))
	if cut.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}
