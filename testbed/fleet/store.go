// Package fleet is a stand-in for the users' platform, for tests and for trying the system on loopback. It has a
// key-value store with revisions, transactions, leases and watches, and upstreams that run tasks. Both implement the
// platform's published protocol (the server side of platform.KV and platform.UpstreamClient) and inject faults that
// tests enable.
package fleet

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store with its value, revisions and lease (0 for none).
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

// event is a change of a key, as watches report it.
type event struct {
	item
	Deleted bool `json:"deleted,omitempty"`
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Store is the stand-in for the platform's key-value store. It is safe for concurrent use.
type Store struct {
	mu                sync.Mutex
	revision          uint64
	items             map[string]item
	history           []event
	compactedRevision uint64 // watches that start after an older revision are rejected
	leases            map[uint64]*lease
	changed           chan struct{} // closed and replaced at each change
	faults            StoreFaults
	random            *rand.Rand
	Calls             int // number of requests received
}

// StoreFaults are faults that a Store injects. The zero value is no fault.
type StoreFaults struct {
	Unavailable     bool          // rejects every request with 503
	RejectedShare   float64       // share of the requests, chosen by a fixed seed, that are rejected with 429
	DropNthResponse int           // drops the response to each transaction whose revision is a multiple of this; 0 for none
	Latency         time.Duration // delays every request
	Silent          bool          // executes no request and never answers those that arrive, also after the fault has ended
	// ListLatency delays each read of a whole prefix (one that ends with a slash), as a slow link does.
	ListLatency time.Duration
	// SilentPrefix withholds the responses to reads and watches of keys with this prefix, and to transactions that only
	// compare such keys; empty for none.
	SilentPrefix string
	// LateBy delays the execution of each transaction that sets a key with the prefix LatePrefix, and withholds the
	// response; 0 for none.
	LateBy     time.Duration
	LatePrefix string
}

const maxHistoryEvents = 5000

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		revision: 1, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}),
		random: rand.New(rand.NewPCG(1, 1)),
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Put sets a key as the operator or an upstream would, without the restrictions on entry hosts' transactions.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, value, 0)
	s.notify()
}

// Delete removes a key as the operator or the platform would.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notify()
}

// Value returns the value of a key, or nil if the key does not exist.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// Compact discards the event history, as the platform's store may do at any time.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
}

// CallCount returns the number of requests received.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Calls
}

// ExtendLeases extends all leases, as a store does whose leases pause while it is down.
func (s *Store) ExtendLeases(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.expiresAt = l.expiresAt.Add(by)
	}
}

// LeaseExpiry returns when the lease of a key expires; zero if it has none.
func (s *Store) LeaseExpiry(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leases[s.items[key].Lease]; l != nil {
		return l.expiresAt
	}
	return time.Time{}
}

func (s *Store) put(key string, value []byte, leaseID uint64) {
	created := s.items[key].Created
	if created == 0 {
		created = s.revision
	}
	it := item{key, value, s.revision, created, leaseID}
	s.items[key] = it
	s.appendEvent(event{item: it})
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.appendEvent(event{item: item{Key: key, Revision: s.revision}, Deleted: true})
	}
}

func (s *Store) appendEvent(e event) {
	s.history = append(s.history, e)
	if len(s.history) > maxHistoryEvents {
		s.compactedRevision = s.history[0].Revision
		s.history = s.history[1:]
	}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases ends the leases whose TTL has passed and removes their keys. The caller must hold the lock.
func (s *Store) expireLeases() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
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

// ServeHTTP implements the protocol of the platform's store.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.Calls++
	s.expireLeases()
	faults := s.faults
	isOverLimit := s.random.Float64() < faults.RejectedShare
	s.mu.Unlock()
	if faults.Silent {
		// The server notices that the caller has left only once it has read the body.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	time.Sleep(faults.Latency)
	if faults.Unavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if isOverLimit {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	query := r.URL.Query()
	if faults.SilentPrefix != "" && strings.HasPrefix(query.Get("prefix")+query.Get("key"), faults.SilentPrefix) {
		<-r.Context().Done()
		return
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/"), "/")
	switch name {
	case "kv-key":
		s.serveKey(w, r)
	case "kv-range":
		if strings.HasSuffix(r.URL.Query().Get("prefix"), "/") {
			time.Sleep(faults.ListLatency)
		}
		s.serveRange(w, r)
	case "kv-watch":
		s.serveWatch(w, r)
	case "kv-txn":
		s.serveTxn(w, r, faults)
	case "kv-lease":
		s.serveGrantLease(w, r)
	case "kv-keep":
		s.serveRenewLease(w, rest)
	case "kv-lease-end":
		s.mu.Lock()
		s.endLease(parseUint(rest))
		s.mu.Unlock()
		writeJSON(w, struct{}{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// parseUint returns 0 for text that is not a number.
func parseUint(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		return // the client has disconnected
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
	writeJSON(w, struct {
		item
		AsOf uint64 `json:"as_of"`
	}{it, s.revision})
}

const rangePageSize = 500

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	matches := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			matches = append(matches, it)
		}
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i].Key < matches[j].Key })
	hasMore := len(matches) > rangePageSize
	if hasMore {
		matches = matches[:rangePageSize]
	}
	writeJSON(w, map[string]any{"items": matches, "has_more": hasMore, "as_of": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix, after := query.Get("prefix"), parseUint(query.Get("after"))
	deadline := time.After(time.Duration(parseUint(query.Get("wait_ms"))) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.compactedRevision {
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
			writeJSON(w, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(w, map[string]any{"events": events, "as_of": asOf})
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

// onlyCompares reports whether the transaction changes nothing and compares a key with the prefix.
func (t transaction) onlyCompares(prefix string) bool {
	if prefix == "" || len(t.Set)+len(t.Remove) > 0 {
		return false
	}
	for _, condition := range t.If {
		if strings.HasPrefix(condition.Key, prefix) {
			return true
		}
	}
	return false
}

// sets reports whether the transaction sets a key with the prefix.
func (t transaction) sets(prefix string) bool {
	for _, set := range t.Set {
		if strings.HasPrefix(set.Key, prefix) {
			return true
		}
	}
	return false
}

const (
	maxTransactionOperations = 32
	maxKeyBytes              = 200
	maxValueBytes            = 1 << 20
)

// isTooLarge reports whether a key or a value that the transaction sets exceeds the store's limits.
func (t transaction) isTooLarge() bool {
	for _, set := range t.Set {
		if len(set.Key) > maxKeyBytes || len(set.Value) > maxValueBytes {
			return true
		}
	}
	return false
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request, faults StoreFaults) {
	var txn transaction
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil || len(txn.If)+len(txn.Set)+len(txn.Remove) > maxTransactionOperations || txn.isTooLarge() {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if txn.onlyCompares(faults.SilentPrefix) {
		<-r.Context().Done()
		return
	}
	if faults.LateBy > 0 && txn.sets(faults.LatePrefix) {
		time.AfterFunc(faults.LateBy, func() { s.execute(txn) })
		<-r.Context().Done()
		return
	}
	status, body := s.execute(txn)
	if faults.DropNthResponse > 0 && status == http.StatusOK && body.(committed).Revision%uint64(faults.DropNthResponse) == 0 {
		panic(http.ErrAbortHandler) // closes the connection after the commit without a response
	}
	w.WriteHeader(status)
	if body != nil {
		writeJSON(w, body)
	}
}

// committed is the response to a transaction whose conditions held.
type committed struct {
	Revision uint64 `json:"revision"`
}

// execute executes a transaction and returns the status and the body of the response; nil: no body.
func (s *Store) execute(txn transaction) (status int, body any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflicts := false
	current := []item{}
	for _, c := range txn.If {
		it := s.items[c.Key]
		it.Key = c.Key
		current = append(current, it)
		conflicts = conflicts || it.Revision != c.Revision
	}
	if conflicts {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, set := range txn.Set {
		if set.Lease != 0 && s.leases[set.Lease] == nil {
			return http.StatusNotFound, nil
		}
		if strings.HasPrefix(set.Key, "op/") || strings.HasPrefix(set.Key, "servers/") {
			return http.StatusForbidden, nil
		}
	}
	if len(txn.Set)+len(txn.Remove) > 0 {
		s.revision++
	}
	for _, set := range txn.Set {
		s.put(set.Key, set.Value, set.Lease)
	}
	for _, key := range txn.Remove {
		s.remove(key)
	}
	s.notify()
	return http.StatusOK, committed{s.revision}
}

func (s *Store) serveGrantLease(w http.ResponseWriter, r *http.Request) {
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
	s.leases[s.revision] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	writeJSON(w, map[string]any{"lease": s.revision, "ttl_ms": body.TTLMS})
}

func (s *Store) serveRenewLease(w http.ResponseWriter, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[parseUint(id)]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expiresAt = time.Now().Add(l.ttl)
	writeJSON(w, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}
