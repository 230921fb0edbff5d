package requestid

import (
	"sync"
	"time"

	"citrongauge.example/citrongauge/result"
)

const (
	// DefaultMaxEntries and DefaultMaxAnswerBytes are the default limits on the number of entries in a table and on the
	// total size of the answers that it stores. They bound the memory of a table.
	DefaultMaxEntries     = 60000
	DefaultMaxAnswerBytes = 8 << 20
)

// Outcome is the outcome of a request. All submissions with the same ID get the same outcome.
type Outcome struct {
	Code     result.Code
	Detail   string
	Answer   []byte
	Upstream string
	Zone     string
	// QueueDuration, ReserveDuration, StartDuration and RunDuration are the times spent in each step.
	QueueDuration, ReserveDuration, StartDuration, RunDuration time.Duration
	// RetryAfter overrides the default value of the code if it is not zero.
	RetryAfter time.Duration
}

// Digest identifies the content of a request. It is the SHA-256 hash of everything that determines what is run.
type Digest [32]byte

// Table holds the submitted request IDs of one issuer. It is safe for concurrent use.
type Table struct {
	self           string
	start          time.Time
	maxEntries     int
	maxAnswerBytes int

	mu          sync.Mutex
	entries     map[string]*Entry
	ended       []*Entry // in the order in which they ended
	answerBytes int      // total size of the stored answers of ended entries
	oldestKept  int      // index in ended of the oldest entry whose answer is still stored
}

// Entry is a submitted or cancelled request.
type Entry struct {
	table            *Table
	text             string
	digest           Digest
	acceptsAnyDigest bool // cancelled before it was submitted, so a submission with any digest gets this entry
	done             chan struct{}
	cancelled        chan struct{}
	cancelRequested  bool
	isDone           bool
	endedAt          time.Time
	outcome          Outcome
}

// NewTable returns a table for the host incarnation self, which started at start. maxEntries limits the number of
// entries, and maxAnswerBytes limits the total size of the stored answers.
func NewTable(self string, start time.Time, maxEntries, maxAnswerBytes int) *Table {
	return &Table{
		self:           self,
		start:          start,
		maxEntries:     maxEntries,
		maxAnswerBytes: maxAnswerBytes,
		entries:        map[string]*Entry{},
	}
}

// Begin returns the entry of an ID and creates it for the first submission. If first is true, the caller must run the
// request and must call Finish in any case. Otherwise the caller can wait until the entry has ended. Errors have one
// of the codes result.OwnerUnreachable (another host issued the ID), result.RequestIDMismatch (the ID was submitted
// with another digest), result.RequestIDForgotten and result.QueueFull (the table is full and the request was not run).
func (t *Table) Begin(now time.Time, id ID, digest Digest) (entry *Entry, first bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, err := t.find(now, id)
	if err != nil {
		return nil, false, err
	}
	if e != nil {
		if !e.acceptsAnyDigest && e.digest != digest {
			return nil, false, result.Errorf(result.RequestIDMismatch, "")
		}
		return e, false, nil
	}
	e, err = t.add(id)
	if err != nil {
		return nil, false, err
	}
	e.digest = digest
	return e, true, nil
}

// Lookup returns the entry of an ID, or nil if the ID was not submitted yet but still can be.
func (t *Table) Lookup(now time.Time, id ID) (*Entry, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.find(now, id)
}

// Cancel requests the cancellation of a request and returns its entry. If the ID was not submitted yet, its entry ends
// immediately, so that a submission that arrives later is not run.
func (t *Table) Cancel(now time.Time, id ID) (*Entry, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, err := t.find(now, id)
	if err != nil {
		return nil, err
	}
	if e == nil {
		if e, err = t.add(id); err != nil {
			return nil, err
		}
		e.acceptsAnyDigest = true
		t.finish(now, e, Outcome{Code: result.CancelledBeforeRun})
	}
	if !e.cancelRequested {
		e.cancelRequested = true
		close(e.cancelled)
	}
	return e, nil
}

// Len returns the number of entries.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// find returns the entry of an ID, or nil if the ID may be submitted for the first time. An entry is kept for longer
// than its ID may be submitted for the first time, so an ID without an entry that is younger than Retention was never
// submitted.
func (t *Table) find(now time.Time, id ID) (*Entry, error) {
	if id.Issuer != t.self {
		return nil, result.Errorf(result.OwnerUnreachable, "issued by host %s", id.Issuer)
	}
	t.removeExpired(now)
	if e := t.entries[id.text]; e != nil {
		return e, nil
	}
	if t.age(now, id) >= Retention {
		return nil, result.Errorf(result.RequestIDForgotten, "")
	}
	return nil, nil
}

// age returns the time since the ID was issued, on this host's monotonic clock.
func (t *Table) age(now time.Time, id ID) time.Duration {
	return now.Sub(t.start) - id.Offset
}

func (t *Table) add(id ID) (*Entry, error) {
	if len(t.entries) >= t.maxEntries {
		return nil, result.Errorf(result.QueueFull, "too many request IDs in use on this host")
	}
	e := &Entry{
		table:     t,
		text:      id.text,
		done:      make(chan struct{}),
		cancelled: make(chan struct{}),
	}
	t.entries[id.text] = e
	return e, nil
}

func (t *Table) finish(now time.Time, e *Entry, outcome Outcome) {
	if e.isDone {
		return
	}
	e.isDone = true
	e.endedAt = now
	e.outcome = outcome
	close(e.done)
	t.ended = append(t.ended, e)
	t.answerBytes += len(outcome.Answer)
	for t.answerBytes > t.maxAnswerBytes && t.oldestKept < len(t.ended) {
		t.discardAnswer(t.ended[t.oldestKept])
		t.oldestKept++
	}
}

// discardAnswer discards the answer of an ended entry. The entry itself is kept so that the request is not run again.
func (t *Table) discardAnswer(e *Entry) {
	if len(e.outcome.Answer) == 0 {
		return
	}
	t.answerBytes -= len(e.outcome.Answer)
	e.outcome = Outcome{Code: result.RequestIDForgotten, Detail: "done; the answer is no longer kept"}
}

// removeExpired removes the entries that ended at least Retention ago.
func (t *Table) removeExpired(now time.Time) {
	n := 0
	for n < len(t.ended) && now.Sub(t.ended[n].endedAt) >= Retention {
		e := t.ended[n]
		if n >= t.oldestKept {
			t.answerBytes -= len(e.outcome.Answer)
		}
		delete(t.entries, e.text)
		t.ended[n] = nil
		n++
	}
	t.ended = t.ended[n:]
	t.oldestKept = max(0, t.oldestKept-n)
}

// Finish ends the entry with the given outcome. Later calls have no effect.
func (e *Entry) Finish(now time.Time, outcome Outcome) {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	e.table.finish(now, e, outcome)
}

// Done returns a channel that is closed when the entry has ended.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Cancelled returns a channel that is closed when cancellation of the request was requested.
func (e *Entry) Cancelled() <-chan struct{} { return e.cancelled }

// Outcome returns the outcome of the entry. Its code is result.Pending until the entry has ended.
func (e *Entry) Outcome() Outcome {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	if !e.isDone {
		return Outcome{Code: result.Pending}
	}
	return e.outcome
}
