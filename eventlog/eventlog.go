// Package eventlog writes structured log lines without ever holding up its callers. Lines go through a bounded
// buffer; when its reader does not keep up, lines are dropped and counted.
package eventlog

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// bufferBytes bounds the lines that wait to be written.
	bufferBytes = 1 << 20
	flushEvery  = 200 * time.Millisecond
)

// Log is a logger of JSON lines. It is safe for concurrent use.
type Log struct {
	*log.Logger
	buffer *buffer
}

// New returns a log that writes to w in the background until Close.
func New(w io.Writer) *Log {
	b := &buffer{done: make(chan struct{}), closed: make(chan struct{})}
	logger := log.NewWithOptions(b, log.Options{
		Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00",
	})
	go b.run(w)
	return &Log{Logger: logger, buffer: b}
}

// Event writes one line for a decision.
func (l *Log) Event(event string, fields ...any) { l.Info(event, fields...) }

// Dropped returns the number of lines that were dropped so far.
func (l *Log) Dropped() int {
	l.buffer.mu.Lock()
	defer l.buffer.mu.Unlock()
	return l.buffer.dropped
}

// Close writes what waits and ends the background writer. It gives up after a short time.
func (l *Log) Close() {
	close(l.buffer.done)
	select {
	case <-l.buffer.closed:
	case <-time.After(time.Second):
	}
}

// buffer collects lines.
type buffer struct {
	mu      sync.Mutex
	waiting []byte
	dropped int
	done    chan struct{}
	closed  chan struct{}
}

// Write implements io.Writer for the logger: one call is one line. It never blocks.
func (b *buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting)+len(line) > bufferBytes {
		b.dropped++
		return len(line), nil
	}
	b.waiting = append(b.waiting, line...)
	return len(line), nil
}

func (b *buffer) run(w io.Writer) {
	defer close(b.closed)
	ticker := time.NewTicker(flushEvery)
	defer ticker.Stop()
	var spare []byte
	for {
		ending := false
		select {
		case <-ticker.C:
		case <-b.done:
			ending = true
		}
		b.mu.Lock()
		lines := b.waiting
		b.waiting = spare[:0]
		b.mu.Unlock()
		writeLines(w, lines)
		spare = lines
		if ending {
			return
		}
	}
}

// writeChunk is the size up to which lines are written in one call. Readers of a pipe may cut larger ones.
const writeChunk = 4 << 10

// writeLines writes whole lines in chunks.
func writeLines(w io.Writer, lines []byte) {
	for len(lines) > 0 {
		end := len(lines)
		if end > writeChunk {
			end = bytes.LastIndexByte(lines[:writeChunk], '\n') + 1
			if end == 0 {
				end = len(lines) // one long line
			}
		}
		if _, err := w.Write(lines[:end]); err != nil {
			return // a log that cannot be written has nowhere to be reported
		}
		lines = lines[end:]
	}
}
