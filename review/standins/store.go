package main

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, as PROTOCOL.md describes it ("The platform's metadata store").
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"` // in events only
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in of the platform's store. It is sound: it loses nothing, answers in order and keeps its whole
// history.
type store struct {
	log      *record
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	leases   map[uint64]*storeLease
	changed  chan struct{}
	// loseShare of the writes of the entry hosts get no answer and are done between loseFrom and loseTo later.
	loseShare        float64
	loseFrom, loseTo time.Duration
}

const (
	storeLatency = 4 * time.Millisecond
	pageItems    = 500
	minLease     = time.Second
)

func newStore(log *record) *store {
	s := &store{log: log, revision: 1, items: map[string]item{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, it := range s.items {
		if it.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.apply(nil, keys)
	}
}

type write struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease uint64 `json:"lease"`
}

// apply writes and removes keys as one change. The caller holds the lock.
func (s *store) apply(set []write, remove []string) {
	s.revision++
	for _, w := range set {
		created := s.items[w.Key].Created
		if created == 0 {
			created = s.revision
		}
		it := item{Key: w.Key, Value: w.Value, Revision: s.revision, Created: created, Lease: w.Lease}
		s.items[w.Key] = it
		s.events = append(s.events, it)
	}
	for _, key := range remove {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.events = append(s.events, item{Key: key, Revision: s.revision, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator or a worker does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // only plain values are written
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]write{{Key: key, Value: data}}, nil)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []string{key})
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	call := strings.TrimPrefix(r.URL.Path, "/-/")
	name, id, _ := strings.Cut(call, "/")
	switch name {
	case "kv-key":
		s.get(w, r.URL.Query())
	case "kv-range":
		s.list(w, r.URL.Query())
	case "kv-watch":
		s.watch(w, r)
	case "kv-txn":
		s.txn(w, r)
	case "kv-lease":
		s.grant(w, r)
	case "kv-keep", "kv-lease-end":
		number, _ := strconv.ParseUint(id, 10, 64)
		s.keepOrEnd(w, number, name == "kv-lease-end")
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) get(w http.ResponseWriter, query url.Values) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[query.Get("key")]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"as_of": s.revision})
		return
	}
	answer(w, http.StatusOK, map[string]any{
		"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": it.Lease, "as_of": s.revision,
	})
}

func (s *store) list(w http.ResponseWriter, query url.Values) {
	prefix, after := query.Get("prefix"), query.Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
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
	answer(w, http.StatusOK, map[string]any{"items": found, "has_more": more, "as_of": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("prefix")
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for last := false; ; {
		s.mu.Lock()
		events := []item{}
		first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > after })
		for _, e := range s.events[first:] {
			if strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || last {
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

type txnBody struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected_revision"`
	Set    []write  `json:"set_keys"`
	Remove []string `json:"remove"`
}

// keys returns the keys that the transaction writes.
func (t txnBody) keys() string {
	var keys []string
	for _, w := range t.Set {
		keys = append(keys, w.Key)
	}
	return strings.Join(append(keys, t.Remove...), " ")
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body txnBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Expected)+len(body.Set)+len(body.Remove) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	lost := len(body.Set)+len(body.Remove) > 0 && rand.Float64() < s.loseShare
	s.mu.Unlock()
	if lost { // "A call that receives no response [...] may be executed seconds later if its condition still holds"
		time.AfterFunc(s.loseFrom+rand.N(s.loseTo-s.loseFrom), func() {
			status, _ := s.execute(body)
			s.log.add("store", "late write of %s: %d", body.keys(), status)
		})
		s.log.add("store", "write of %s gets no answer", body.keys())
		<-r.Context().Done()
		return
	}
	status, reply := s.execute(body)
	answer(w, status, reply)
}

// execute carries a transaction out.
func (s *store) execute(body txnBody) (status int, reply map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []item{}
	for _, e := range body.Expected {
		it, ok := s.items[e.Key]
		if !ok {
			it = item{Key: e.Key}
		}
		holds = holds && it.Revision == e.Revision
		current = append(current, it)
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, set := range body.Set {
		if set.Lease != 0 && s.leases[set.Lease] == nil {
			return http.StatusNotFound, map[string]any{}
		}
	}
	if len(body.Set)+len(body.Remove) > 0 {
		s.apply(body.Set, body.Remove)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

// lose has the given share of the writes go without an answer from now on.
func (s *store) lose(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseShare, s.loseFrom, s.loseTo = share, time.Second, 6*time.Second
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := max(time.Duration(body.TTLMS)*time.Millisecond, minLease)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) keepOrEnd(w http.ResponseWriter, id uint64, end bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	switch {
	case l == nil:
		answer(w, http.StatusNotFound, map[string]any{})
		return
	case end:
		s.endLease(id)
	default:
		l.expires = time.Now().Add(l.ttl)
	}
	answer(w, http.StatusOK, map[string]any{})
}
