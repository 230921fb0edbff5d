package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The platform's metadata store as PROTOCOL.md describes it, without faults.

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
	ttl time.Duration
	end time.Time
}

type store struct {
	mu        sync.Mutex
	revision  uint64
	items     map[string]item
	history   []event
	forgotten uint64 // changes up to this revision are no longer in history
	leases    map[uint64]*lease
	changed   chan struct{}
}

const (
	historyEvents = 20000
	pageItems     = 500
	txnEntries    = 32
	keyBytes      = 200
	valueBytes    = 1 << 20
)

func newStore() *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *store) put(key string, value []byte, leaseID uint64) {
	created := s.items[key].Created
	if created == 0 {
		created = s.revision
	}
	it := item{key, value, s.revision, created, leaseID}
	s.items[key] = it
	s.append(event{item: it})
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.append(event{item: item{Key: key, Revision: s.revision}, Deleted: true})
	}
}

func (s *store) append(e event) {
	s.history = append(s.history, e)
	if len(s.history) > historyEvents {
		s.forgotten, s.history = s.history[0].Revision, s.history[1:]
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
	s.notify()
}

// set and unset change a key as the operator and the workers do.
func (s *store) set(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, data, 0)
	s.notify()
}

func (s *store) unset(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notify()
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func number(text string) uint64 {
	n, _ := strconv.ParseUint(text, 10, 64)
	return n
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	query := r.URL.Query()
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/"), "/")
	switch name {
	case "kv-watch":
		s.watch(w, r)
		return
	case "kv-txn":
		s.txn(w, r)
		return
	}
	var body struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if name == "kv-lease" {
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			respond(w, http.StatusBadRequest, nil)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	switch name {
	case "kv-key":
		it, ok := s.items[query.Get("key")]
		if !ok {
			respond(w, http.StatusNotFound, nil)
			return
		}
		respond(w, http.StatusOK, struct {
			item
			AsOf uint64 `json:"as_of"`
		}{it, s.revision})
	case "kv-range":
		matches := []item{}
		for key, it := range s.items {
			if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
				matches = append(matches, it)
			}
		}
		sort.Slice(matches, func(i, j int) bool { return matches[i].Key < matches[j].Key })
		more := len(matches) > pageItems
		if more {
			matches = matches[:pageItems]
		}
		respond(w, http.StatusOK, map[string]any{"items": matches, "has_more": more, "as_of": s.revision})
	case "kv-lease":
		s.revision++
		ttl := time.Duration(max(body.TTLMS, 1000)) * time.Millisecond
		s.leases[s.revision] = &lease{ttl, time.Now().Add(ttl)}
		respond(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": ttl.Milliseconds()})
	case "kv-keep":
		l := s.leases[number(rest)]
		if l == nil {
			respond(w, http.StatusNotFound, nil)
			return
		}
		l.end = time.Now().Add(l.ttl)
		respond(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
	case "kv-lease-end":
		if s.leases[number(rest)] == nil {
			respond(w, http.StatusNotFound, nil)
			return
		}
		s.endLease(number(rest))
		respond(w, http.StatusOK, struct{}{})
	default:
		respond(w, http.StatusNotFound, nil)
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix, after := query.Get("prefix"), number(query.Get("after"))
	deadline := time.After(time.Duration(number(query.Get("wait_ms"))) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.forgotten {
			s.mu.Unlock()
			respond(w, http.StatusGone, nil)
			return
		}
		events := []event{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].Revision > after; i-- {
			if strings.HasPrefix(s.history[i].Key, prefix) {
				events = append(events, s.history[i])
			}
		}
		for i, j := 0, len(events)-1; i < j; i, j = i+1, j-1 {
			events[i], events[j] = events[j], events[i]
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			respond(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			respond(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
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

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.If)+len(t.Set)+len(t.Remove) > txnEntries {
		respond(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	held := true
	current := []item{}
	for _, c := range t.If {
		it := s.items[c.Key]
		it.Key = c.Key
		current = append(current, it)
		held = held && it.Revision == c.Revision
	}
	if !held {
		respond(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, set := range t.Set {
		switch {
		case strings.HasPrefix(set.Key, "op/") || strings.HasPrefix(set.Key, "servers/"):
			respond(w, http.StatusForbidden, nil)
			return
		case len(set.Key) > keyBytes || len(set.Value) > valueBytes:
			respond(w, http.StatusBadRequest, nil)
			return
		case set.Lease != 0 && s.leases[set.Lease] == nil:
			respond(w, http.StatusNotFound, nil)
			return
		}
	}
	if len(t.Set)+len(t.Remove) > 0 {
		s.revision++
		for _, set := range t.Set {
			s.put(set.Key, set.Value, set.Lease)
		}
		for _, key := range t.Remove {
			s.remove(key)
		}
		s.notify()
	}
	respond(w, http.StatusOK, map[string]any{"revision": s.revision})
}
