// Package eventlog writes structured log lines without blocking its callers. Lines go through a bounded buffer; if the
// output does not keep up, lines are dropped and counted.
package eventlog

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// maxBufferBytes bounds the total size of the lines that are waiting to be written.
	maxBufferBytes = 1 << 20
	flushInterval  = 200 * time.Millisecond
)

// Log is a logger that writes JSON lines. It is safe for concurrent use.
type Log struct {
	*log.Logger
	buffer *buffer
}

// New returns a Log that writes to w from a background goroutine until Close.
func New(w io.Writer) *Log {
	b := &buffer{stop: make(chan struct{}), stopped: make(chan struct{})}
	logger := log.NewWithOptions(b, log.Options{
		Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00",
	})
	go b.flushLoop(w)
	return &Log{Logger: logger, buffer: b}
}

// Event logs one event with its fields, as one line.
func (l *Log) Event(event string, fields ...any) { l.Info(event, fields...) }

// Dropped returns the number of lines that have been dropped since New.
func (l *Log) Dropped() int {
	l.buffer.mu.Lock()
	defer l.buffer.mu.Unlock()
	return l.buffer.dropped
}

// Close writes the buffered lines and stops the background goroutine. It stops waiting after one second, so that a
// blocked output cannot hold up shutdown. It must be called only once.
func (l *Log) Close() {
	close(l.buffer.stop)
	select {
	case <-l.buffer.stopped:
	case <-time.After(time.Second):
	}
}

// buffer holds complete lines until flushLoop writes them.
type buffer struct {
	mu      sync.Mutex
	pending []byte
	dropped int
	stop    chan struct{}
	stopped chan struct{}
}

// Write implements io.Writer for the logger, which passes one line per call. It does not wait for the output; a line
// that does not fit into the buffer is dropped.
func (b *buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending)+len(line) > maxBufferBytes {
		b.dropped++
		return len(line), nil
	}
	b.pending = append(b.pending, line...)
	return len(line), nil
}

// flushLoop writes the buffered lines to w every flushInterval, and once more after stop is closed.
func (b *buffer) flushLoop(w io.Writer) {
	defer close(b.stopped)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	var spare []byte
	for {
		stopping := false
		select {
		case <-ticker.C:
		case <-b.stop:
			stopping = true
		}
		b.mu.Lock()
		lines := b.pending
		b.pending = spare[:0]
		b.mu.Unlock()
		writeLines(w, lines)
		spare = lines
		if stopping {
			return
		}
	}
}

// maxWriteBytes limits the size of one write call. Readers of a pipe may see larger writes split within a line.
const maxWriteBytes = 4 << 10

// writeLines writes lines in chunks of at most maxWriteBytes that end at a line end. A longer line is written with all
// lines after it in one call.
func writeLines(w io.Writer, lines []byte) {
	for len(lines) > 0 {
		end := len(lines)
		if end > maxWriteBytes {
			end = bytes.LastIndexByte(lines[:maxWriteBytes], '\n') + 1
			if end == 0 {
				end = len(lines) // the first line alone exceeds maxWriteBytes
			}
		}
		if _, err := w.Write(lines[:end]); err != nil {
			return // a failure of the log itself cannot be logged anywhere
		}
		lines = lines[end:]
	}
}
