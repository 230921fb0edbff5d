package api

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"

	"citrongauge.example/citrongauge/intake"
	"citrongauge.example/citrongauge/result"
)

// MaxRequestIDs is the maximum number of request IDs that one call issues.
const MaxRequestIDs = 1000

const maxJSONDepth = 32

// Backend implements the API calls. Each method reports every outcome, including a failure, with a result code.
type Backend interface {
	IssueRequestIDs(count int) ([]string, *result.Error)
	// Submit submits a task. If wait is set, it returns the outcome; otherwise it returns once the task is accepted.
	Submit(ctx context.Context, key, queue string, s Submission, wait bool) Answer
	// Status returns the state of a task. If wait is set, it waits for the outcome and returns that.
	Status(ctx context.Context, key, requestID string, wait bool) Answer
	// Cancel cancels a task, whether it is waiting or running.
	Cancel(ctx context.Context, key, requestID string) Answer
}

// RequestIDs is the response to a call that issues request IDs.
type RequestIDs struct {
	RequestIDs []string `json:"request_ids"`
}

// KeyChecker may be implemented by a Backend. The bodies of requests with a known key are shed last when memory is scarce.
type KeyChecker interface {
	IsKnownKey(key string) bool
}

type server struct {
	backend      Backend
	maxBodyBytes int64
}

// Register adds the routes of the API to a router. Request bodies are limited to maxBodyBytes.
func Register(router *mux.Router, backend Backend, maxBodyBytes int64) {
	s := &server{backend: backend, maxBodyBytes: maxBodyBytes}
	router.HandleFunc("/v1/request-ids", s.requestIDs).Methods(http.MethodPost)
	router.HandleFunc("/v1/queues/{queue}/tasks", s.submit).Methods(http.MethodPost)
	router.HandleFunc("/v1/tasks/{id}", s.status).Methods(http.MethodGet)
	router.HandleFunc("/v1/tasks/{id}", s.cancel).Methods(http.MethodDelete)
}

func (s *server) requestIDs(w http.ResponseWriter, r *http.Request) {
	count := 1
	if text := r.URL.Query().Get("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > MaxRequestIDs {
			writeError(w, result.Errorf(result.RequestMalformed, "count: not within 1 to %d", MaxRequestIDs))
			return
		}
		count = n
	}
	ids, err := s.backend.IssueRequestIDs(count)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, RequestIDs{RequestIDs: ids})
}

func (s *server) submit(w http.ResponseWriter, r *http.Request) {
	err := intake.Identify(r, s.isKnown(bearerToken(r)))
	var body []byte
	if err == nil {
		body, err = intake.ReadBody(r, s.maxBodyBytes)
	}
	if err != nil {
		writeError(w, bodyError(err))
		return
	}
	submission, parseErr := ParseSubmission(body)
	if parseErr != nil {
		writeError(w, parseErr)
		return
	}
	wait := r.URL.Query().Get("wait") != "false"
	writeAnswer(w, s.backend.Submit(r.Context(), bearerToken(r), mux.Vars(r)["queue"], submission, wait))
}

// isKnown reports whether the backend knows a key. It is always true for a backend that is no KeyChecker.
func (s *server) isKnown(key string) bool {
	checker, ok := s.backend.(KeyChecker)
	return !ok || checker.IsKnownKey(key)
}

func bodyError(err error) *result.Error {
	switch {
	case errors.Is(err, intake.ErrBodyTooLarge):
		return result.Errorf(result.RequestTooLarge, "%v", err)
	case errors.Is(err, intake.ErrNoRoom), errors.Is(err, intake.ErrNoBytes), errors.Is(err, intake.ErrBodyStalled):
		return result.Errorf(result.RequestNotRead, "%v", err)
	}
	return result.Errorf(result.RequestMalformed, "body: %v", err)
}

func (s *server) status(w http.ResponseWriter, r *http.Request) {
	if err := intake.Identify(r, s.isKnown(bearerToken(r))); err != nil {
		writeError(w, bodyError(err))
		return
	}
	wait := r.URL.Query().Get("wait") == "true"
	writeAnswer(w, s.backend.Status(r.Context(), bearerToken(r), mux.Vars(r)["id"], wait))
}

func (s *server) cancel(w http.ResponseWriter, r *http.Request) {
	writeAnswer(w, s.backend.Cancel(r.Context(), bearerToken(r), mux.Vars(r)["id"]))
}

// bearerToken returns the caller's key from the Authorization header, or "" if there is none.
func bearerToken(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(key)
}

// ParseSubmission decodes a submission and checks the ranges of its numbers. It rejects unknown and duplicate fields,
// deep nesting and a second JSON value after the object.
func ParseSubmission(body []byte) (Submission, *result.Error) {
	var s Submission
	if nestingDepth(body) > maxJSONDepth {
		return s, result.Errorf(result.RequestMalformed, "nested deeper than %d", maxJSONDepth)
	}
	if name := duplicateField(body); name != "" {
		return s, result.Errorf(result.RequestMalformed, "field %q given twice", name)
	}
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return s, result.Errorf(result.RequestMalformed, "%v", err)
	}
	if decoder.More() {
		return s, result.Errorf(result.RequestMalformed, "text after the request")
	}
	if s.Slots == 0 {
		s.Slots = 1
	}
	return s, s.validate()
}

const maxResourceAmount = 1 << 30

func (s *Submission) validate() *result.Error {
	amounts := map[string]int{"slots": s.Slots, "cpus": s.CPUs, "memory_mb": s.MemoryMB, "accelerators": s.Accelerators}
	for name, amount := range amounts {
		if amount < 0 || amount > maxResourceAmount {
			return result.Errorf(result.RequestMalformed, "%s: not within 0 to %d", name, maxResourceAmount)
		}
	}
	if s.RunMS < 0 {
		return result.Errorf(result.RequestMalformed, "run_ms: negative")
	}
	if s.DeadlineMS < 0 {
		return result.Errorf(result.DeadlineInvalid, "deadline_ms: negative")
	}
	return nil
}

// nestingDepth returns the maximum nesting depth of brackets outside strings. The text need not be valid JSON.
func nestingDepth(text []byte) int {
	deepest, level := 0, 0
	inString, escaped := false, false
	for _, c := range text {
		switch {
		case escaped:
			escaped = false
		case inString && c == '\\':
			escaped = true
		case c == '"':
			inString = !inString
		case inString:
		case c == '{' || c == '[':
			level++
			deepest = max(deepest, level)
		case c == '}' || c == ']':
			level--
		}
	}
	return deepest
}

// duplicateField returns the name of a field that occurs twice in the top-level object, or "". It ignores case, as
// encoding/json does when it matches field names.
func duplicateField(body []byte) string {
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return ""
	}
	seen := make(map[string]bool)
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return ""
		}
		name, _ := token.(string)
		if seen[strings.ToLower(name)] {
			return name
		}
		seen[strings.ToLower(name)] = true
		var value json.RawMessage
		if decoder.Decode(&value) != nil {
			return ""
		}
	}
	return ""
}

func writeError(w http.ResponseWriter, err *result.Error) {
	writeAnswer(w, AnswerFromError(err))
}

func writeAnswer(w http.ResponseWriter, a Answer) {
	if a.RetryAfterMS > 0 {
		const millisecondsPerSecond = 1000
		seconds := (a.RetryAfterMS + millisecondsPerSecond - 1) / millisecondsPerSecond
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeJSON(w, httpStatus(a.Code), a)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// httpStatus maps a result code to an HTTP status. A code for work that may have run never maps to a status on which
// load balancers retry a request, such as 502 or 503.
func httpStatus(code result.Code) int {
	switch code {
	case result.OK:
		return http.StatusOK
	case result.Accepted, result.Pending:
		return http.StatusAccepted
	case result.KeyUnknown, result.KeyWithdrawn:
		return http.StatusUnauthorized
	case result.TeamNotAllowed:
		return http.StatusForbidden
	case result.QueueUnknown:
		return http.StatusNotFound
	case result.RequestTooLarge:
		return http.StatusRequestEntityTooLarge
	case result.QueueFull, result.DeadlineTooShort:
		return http.StatusTooManyRequests
	case result.RequestIDMismatch, result.RequestIDNotRun, result.CancelledBeforeRun:
		return http.StatusConflict
	}
	switch result.Lookup(code).Run {
	case result.RunYes:
		return http.StatusUnprocessableEntity
	case result.RunUnknown:
		return http.StatusInternalServerError
	}
	if result.Lookup(code).Retry == result.RetryAny {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}
