package eventlog_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/eventlog"
)

// blockedWriter blocks each write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// TestBlockedWriterDoesNotBlockCallers checks that callers are not blocked when nothing reads the log, and that lines
// are then dropped instead of being buffered without bound.
func TestBlockedWriterDoesNotBlockCallers(t *testing.T) {
	is := is.New(t)
	w := blockedWriter{make(chan struct{})}
	log := eventlog.New(w)
	begin := time.Now()
	for range 40_000 {
		log.Event("decision", "job", strings.Repeat("x", 100))
	}
	is.True(time.Since(begin) < 20*time.Second)
	is.True(log.Dropped() > 0)
	close(w.release)
	log.Close()
}

type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// TestCloseWritesWholeLines checks that Close writes all buffered lines and that each is complete.
func TestCloseWritesWholeLines(t *testing.T) {
	is := is.New(t)
	var output lockedBuffer
	log := eventlog.New(&output)
	for i := range 300 {
		log.Event("decision", "number", i, "text", strings.Repeat("y", i))
	}
	log.Close()
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	is.Equal(len(lines), 300)
	for _, line := range lines {
		var content map[string]any
		is.NoErr(json.Unmarshal([]byte(line), &content))
	}
}
