package standin

import (
	"context"
	"sync"

	"citrongauge.example/citrongauge/platform"
)

// store is an in-memory key-value store with a revision per key.
type store struct {
	mu      sync.Mutex
	entries map[string]platform.Entry
	// changed is closed and replaced on every change.
	changed chan struct{}
}

func newStore() *store {
	return &store{entries: map[string]platform.Entry{}, changed: make(chan struct{})}
}

// get returns the entry of key, which has revision 0 if there is no value, and a channel that is closed on the next
// change of any key.
func (s *store) get(key string) (platform.Entry, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[key], s.changed
}

// compareAndSwap sets the value of key if its current revision is the given one, and returns the new revision. A
// revision of 0 requires that key has no value. On ErrConflict, the current revision is returned.
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

// watch waits for a revision of key above after. It returns the current entry when there is one, when ctx is done or
// when interrupt is closed.
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
