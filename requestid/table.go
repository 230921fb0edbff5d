package requestid

import (
	"sync"
	"time"

	"citrongauge.example/citrongauge/result"
)

const (
	// DefaultEntries and DefaultAnswerBytes bound the memory of a table.
	DefaultEntries     = 60000
	DefaultAnswerBytes = 8 << 20
)

// Outcome is what became of a request. Every submission with the same ID gets the same one.
type Outcome struct {
	Code     result.Code
	Detail   string
	Answer   []byte
	Upstream string
	Zone     string
	// Queue, Reserve, Start and Run are the times spent in each step.
	Queue, Reserve, Start, Run time.Duration
	// RetryAfter overrides the code's own value when it is not zero.
	RetryAfter time.Duration
}

// Digest identifies a request: the SHA-256 of everything that determines what is run.
type Digest [32]byte

// Table holds the request IDs of one issuer that were submitted. It is safe for concurrent use.
type Table struct {
	self       string
	start      time.Time
	maxEntries int
	maxAnswers int

	mu      sync.Mutex
	entries map[string]*Entry
	ended   []*Entry // in the order of their ends
	answers int      // bytes of the answers of ended entries
	kept    int      // index in ended of the oldest entry that has its answer
}

// Entry is a submitted request.
type Entry struct {
	table     *Table
	text      string
	digest    Digest
	any       bool // cancelled before any submission: every digest joins
	done      chan struct{}
	cancelled chan struct{}
	isCancel  bool
	isDone    bool
	endedAt   time.Time
	outcome   Outcome
}

// NewTable returns the table of the incarnation self, which started at start. The limits are for the number of
// entries and for the bytes of answers that are kept.
func NewTable(self string, start time.Time, maxEntries, maxAnswerBytes int) *Table {
	return &Table{
		self:       self,
		start:      start,
		maxEntries: maxEntries,
		maxAnswers: maxAnswerBytes,
		entries:    map[string]*Entry{},
	}
}

// Begin returns the entry of an ID. If first is set the caller must run the request and call Finish in any case;
// otherwise it waits for the entry's end. The errors are result.OwnerUnreachable (another host owns the ID),
// result.RequestIDMismatch, result.RequestIDForgotten and result.QueueFull (the table is full, not run).
func (t *Table) Begin(now time.Time, id ID, digest Digest) (entry *Entry, first bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, err := t.find(now, id)
	if err != nil {
		return nil, false, err
	}
	if e != nil {
		if !e.any && e.digest != digest {
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

// Lookup returns the entry of an ID, or nil if the ID was not submitted yet.
func (t *Table) Lookup(now time.Time, id ID) (*Entry, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.find(now, id)
}

// Cancel asks for the end of a request and returns its entry. An ID that was not submitted yet ends at once, so
// that a submission on its way is not run.
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
		e.any = true
		t.finish(now, e, Outcome{Code: result.CancelledBeforeRun})
	}
	if !e.isCancel {
		e.isCancel = true
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

// find returns the entry of an ID, or nil if the ID may be used for the first time. An entry is kept for longer
// than its ID may be used for the first time, so an ID without an entry that is young enough was never used.
func (t *Table) find(now time.Time, id ID) (*Entry, error) {
	if id.Issuer != t.self {
		return nil, result.Errorf(result.OwnerUnreachable, "issued by host %s", id.Issuer)
	}
	t.expire(now)
	if e := t.entries[id.text]; e != nil {
		return e, nil
	}
	if t.age(now, id) >= Retention {
		return nil, result.Errorf(result.RequestIDForgotten, "")
	}
	return nil, nil
}

// age returns the time since the issue on this host's monotonic clock.
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
	t.answers += len(outcome.Answer)
	for t.answers > t.maxAnswers && t.kept < len(t.ended) {
		t.forgetAnswer(t.ended[t.kept])
		t.kept++
	}
}

// forgetAnswer drops the answer of an ended entry. The entry stays, so that the request is not run again.
func (t *Table) forgetAnswer(e *Entry) {
	if len(e.outcome.Answer) == 0 {
		return
	}
	t.answers -= len(e.outcome.Answer)
	e.outcome = Outcome{Code: result.RequestIDForgotten, Detail: "done; the answer is no longer kept"}
}

// expire drops entries whose retention has passed.
func (t *Table) expire(now time.Time) {
	n := 0
	for n < len(t.ended) && now.Sub(t.ended[n].endedAt) >= Retention {
		e := t.ended[n]
		if n >= t.kept {
			t.answers -= len(e.outcome.Answer)
		}
		delete(t.entries, e.text)
		t.ended[n] = nil
		n++
	}
	t.ended = t.ended[n:]
	t.kept = max(0, t.kept-n)
}

// Finish ends the entry with its outcome. Only the first call counts.
func (e *Entry) Finish(now time.Time, outcome Outcome) {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	e.table.finish(now, e, outcome)
}

// Done is closed when the entry has ended.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Cancelled is closed when somebody asked for the end of the request.
func (e *Entry) Cancelled() <-chan struct{} { return e.cancelled }

// Outcome returns the outcome of an entry that has ended, and result.Pending before.
func (e *Entry) Outcome() Outcome {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	if !e.isDone {
		return Outcome{Code: result.Pending}
	}
	return e.outcome
}
