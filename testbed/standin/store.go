package standin

import (
	"context"
	"sync"

	"citrongauge.example/citrongauge/platform"
)

// store is a key-value store in memory with a revision per key.
type store struct {
	mu      sync.Mutex
	entries map[string]platform.Entry
	// changed is closed and replaced at every change.
	changed chan struct{}
}

func newStore() *store {
	return &store{entries: map[string]platform.Entry{}, changed: make(chan struct{})}
}

// get returns the entry of key, revision 0 if it has no value, and a channel that is closed by the next change of
// any key.
func (s *store) get(key string) (platform.Entry, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[key], s.changed
}

func (s *store) compareAndSwap(key string, revision uint64, value []byte) (uint64, error) {
	if len(value) > platform.MaxValueBytes {
		return 0, platform.ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.entries[key]
	if current.Revision != revision {
		return current.Revision, platform.ErrConflict
	}
	s.entries[key] = platform.Entry{Value: value, Revision: revision + 1}
	close(s.changed)
	s.changed = make(chan struct{})
	return revision + 1, nil
}

// watch waits for a revision of key above after. It returns the current entry when ctx ends or interrupt closes.
func (s *store) watch(ctx context.Context, key string, after uint64, interrupt <-chan struct{}) platform.Entry {
	for {
		entry, changed := s.get(key)
		if entry.Revision > after {
			return entry
		}
		select {
		case <-changed:
		case <-interrupt:
			return entry
		case <-ctx.Done():
			return entry
		}
	}
}
