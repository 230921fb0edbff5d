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

// stuckWriter never returns.
type stuckWriter struct{ release chan struct{} }

func (w stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// Guards against a daemon that stands still because nobody reads its log, and against memory that grows meanwhile.
func TestUnreadLogHoldsNobodyUp(t *testing.T) {
	is := is.New(t)
	w := stuckWriter{make(chan struct{})}
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

type safeBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// Guards against lines that are cut or lost at the end.
func TestLinesAreWholeAndWrittenAtTheEnd(t *testing.T) {
	is := is.New(t)
	var out safeBuffer
	log := eventlog.New(&out)
	for i := range 300 {
		log.Event("decision", "number", i, "text", strings.Repeat("y", i))
	}
	log.Close()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 300)
	for _, line := range lines {
		var content map[string]any
		is.NoErr(json.Unmarshal([]byte(line), &content))
	}
}
