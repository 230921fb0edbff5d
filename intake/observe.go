package intake

import (
	"net/http"
	"sync"
	"time"
)

// logInterval is the least time between two log lines about the same listener and reason.
const logInterval = time.Second

// LogLimit bounds log lines for each listener and reason. The zero value is ready for use, also concurrently.
type LogLimit struct {
	mu   sync.Mutex
	last map[[2]string]time.Time
}

// Do calls log unless it was called for the same listener and reason within the last second.
func (l *LogLimit) Do(listener, reason string, log func()) {
	key, now := [2]string{listener, reason}, time.Now()
	l.mu.Lock()
	if last, ok := l.last[key]; ok && now.Sub(last) < logInterval {
		l.mu.Unlock()
		return
	}
	if l.last == nil {
		l.last = map[[2]string]time.Time{}
	}
	l.last[key] = now
	l.mu.Unlock()
	log()
}

// Answering returns a handler that calls Answer when its inner handler begins an answer.
func Answering(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		handler.ServeHTTP(&answeringWriter{ResponseWriter: w, request: request}, request)
	})
}

// answeringWriter calls Answer before the first byte of an answer.
type answeringWriter struct {
	http.ResponseWriter
	request  *http.Request
	answered bool
}

func (w *answeringWriter) begin() {
	if !w.answered {
		w.answered = true
		Answer(w.Header(), w.request)
	}
}

func (w *answeringWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

func (w *answeringWriter) Write(data []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(data)
}

// Unwrap lets http.ResponseController find the inner writer.
func (w *answeringWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
