// Package fleet is a small stand-in of the users' platform, for tests and for trying the system on loopback: the store
// with revisions, transactions, leases and watches, upstreams that run tasks, and the list of machines. It speaks the
// platform's published protocol and has faults that tests switch on.
package fleet

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

type event struct {
	item
	Deleted bool `json:"deleted,omitempty"`
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// Store is the stand-in of the platform's store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []event
	oldest   uint64 // revision before the first event of history
	leases   map[uint64]*lease
	changed  chan struct{}
	faults   StoreFaults
	Calls    int
}

// StoreFaults are switched on by tests.
type StoreFaults struct {
	Down     bool // every call is refused with 503
	LoseNth  int  // the answer of each nth transaction is lost; 0: none
	Slowness time.Duration
}

const historyLength = 5000

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Put writes a key as the operator or an upstream does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, value, 0)
	s.notify()
}

// Delete removes a key as the operator or the platform does.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notify()
}

// Value returns the value of a key, or nil.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// Compact drops the history, as the platform may at any time.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.revision
}

func (s *Store) put(key string, value []byte, leaseID uint64) {
	created := s.items[key].Created
	if created == 0 {
		created = s.revision
	}
	it := item{key, value, s.revision, created, leaseID}
	s.items[key] = it
	s.record(event{item: it})
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.record(event{item: item{Key: key, Revision: s.revision}, Deleted: true})
	}
}

func (s *Store) record(e event) {
	s.history = append(s.history, e)
	if len(s.history) > historyLength {
		s.oldest = s.history[0].Revision
		s.history = s.history[1:]
	}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the keys of leases that have ended.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
	s.notify()
}

// ServeHTTP implements the store's protocol.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.Calls++
	s.expire()
	faults := s.faults
	s.mu.Unlock()
	time.Sleep(faults.Slowness)
	if faults.Down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/"), "/")
	switch name {
	case "kv-key":
		s.serveKey(w, r)
	case "kv-range":
		s.serveRange(w, r)
	case "kv-watch":
		s.serveWatch(w, r)
	case "kv-txn":
		s.serveTxn(w, r, faults)
	case "kv-lease":
		s.serveLease(w, r)
	case "kv-keep":
		s.serveKeep(w, rest)
	case "kv-lease-end":
		s.mu.Lock()
		s.endLease(parse(rest))
		s.mu.Unlock()
		reply(w, struct{}{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func parse(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		return // the client is gone
	}
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct {
		item
		AsOf uint64 `json:"as_of"`
	}{it, s.revision})
}

const pageItems = 500

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > pageItems
	if more {
		found = found[:pageItems]
	}
	reply(w, map[string]any{"items": found, "has_more": more, "as_of": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix, after := query.Get("prefix"), parse(query.Get("after"))
	deadline := time.After(time.Duration(parse(query.Get("wait_ms"))) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.oldest {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []event{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, map[string]any{"events": events, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

type transaction struct {
	If []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected_revision"`
	Set []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"set_keys"`
	Remove []string `json:"remove"`
}

const maxEntries = 32

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request, faults StoreFaults) {
	var txn transaction
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil || len(txn.If)+len(txn.Set)+len(txn.Remove) > maxEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflicts := false
	states := []item{}
	for _, c := range txn.If {
		it := s.items[c.Key]
		it.Key = c.Key
		states = append(states, it)
		conflicts = conflicts || it.Revision != c.Revision
	}
	if conflicts {
		w.WriteHeader(http.StatusPreconditionFailed)
		reply(w, map[string]any{"items": states})
		return
	}
	for _, set := range txn.Set {
		if set.Lease != 0 && s.leases[set.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if strings.HasPrefix(set.Key, "op/") || strings.HasPrefix(set.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.revision++
	for _, set := range txn.Set {
		s.put(set.Key, set.Value, set.Lease)
	}
	for _, key := range txn.Remove {
		s.remove(key)
	}
	s.notify()
	if faults.LoseNth > 0 && s.revision%uint64(faults.LoseNth) == 0 {
		panic(http.ErrAbortHandler) // the connection breaks before the answer
	}
	reply(w, map[string]any{"revision": s.revision})
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(body.TTLMS) * time.Millisecond
	s.leases[s.revision] = &lease{ttl: ttl, until: time.Now().Add(ttl)}
	reply(w, map[string]any{"lease": s.revision, "ttl_ms": body.TTLMS})
}

func (s *Store) serveKeep(w http.ResponseWriter, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[parse(id)]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.until = time.Now().Add(l.ttl)
	reply(w, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}
