package admin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/result"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
)

// pathPrefix is the path of the API.
const pathPrefix = "/admin/v1"

// maxBodyBytes is the size of the largest body, that of a signed bundle.
const maxBodyBytes = platform.MaxValueBytes

const mediaTypeCBOR = "application/cbor"

// handler serves the API.
type handler struct {
	backend  Backend
	verifier *Verifier
}

// NewHandler returns a handler that serves the API alone.
func NewHandler(backend Backend, verifier *Verifier) http.Handler {
	router := mux.NewRouter()
	Register(router, backend, verifier)
	return router
}

// Register adds the API to a router.
func Register(router *mux.Router, backend Backend, verifier *Verifier) {
	h := &handler{backend: backend, verifier: verifier}
	routes := router.PathPrefix(pathPrefix).Subrouter()
	routes.HandleFunc("/hello", h.hello).Methods(http.MethodGet)
	routes.HandleFunc("/status", h.signed(h.status)).Methods(http.MethodGet)
	routes.HandleFunc("/assignments", h.signed(h.assignments)).Methods(http.MethodGet)
	routes.HandleFunc("/bundles/{version:[0-9]+}", h.signed(h.bundle)).Methods(http.MethodGet)
	routes.HandleFunc("/rollouts", h.signed(h.rollout)).Methods(http.MethodPost)
	routes.HandleFunc("/rollouts/{version:[0-9]+}", h.signed(h.progress)).Methods(http.MethodGet)
	routes.HandleFunc(clearPath, h.signed(h.clear)).Methods(http.MethodPost)
	routes.HandleFunc("/explain/{kind}/{name}", h.signed(h.explain)).Methods(http.MethodGet)
	routes.PathPrefix("/").HandlerFunc(h.notFound)
}

// call is a verified request.
type call struct {
	ctx  context.Context
	vars map[string]string
	body []byte
}

// version returns the version in the path.
func (c call) version() (uint64, error) {
	version, err := strconv.ParseUint(c.vars["version"], 10, 64)
	if err != nil {
		return 0, result.Errorf(result.AdminMalformed, "the version is out of range")
	}
	return version, nil
}

// rawAnswer is an answer that is not JSON.
type rawAnswer []byte

// signed wraps a call that needs an operator's signature. Nothing is done before the signature is verified.
func (h *handler) signed(next func(call) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		answer, err := h.verified(w, r, next)
		if err != nil {
			writeError(w, err)
			return
		}
		writeAnswer(w, answer)
	}
}

func (h *handler) verified(w http.ResponseWriter, r *http.Request, next func(call) (any, error)) (any, error) {
	if _, err := parseHeaders(r); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return nil, result.Errorf(result.AdminMalformed, "the body was not read: %v", err)
	}
	operator, err := h.verifier.Verify(r, body)
	if err != nil {
		return nil, err
	}
	ctx := context.WithValue(r.Context(), operatorKey{}, operator)
	return next(call{ctx: ctx, vars: mux.Vars(r), body: body})
}

func (h *handler) hello(w http.ResponseWriter, _ *http.Request) {
	writeAnswer(w, Hello{HostID: h.verifier.HostID(), UnixMS: h.verifier.Now().UnixMilli()})
}

func (h *handler) notFound(w http.ResponseWriter, _ *http.Request) {
	writeError(w, result.Errorf(result.AdminNotFound, "no such call"))
}

func (h *handler) status(c call) (any, error) {
	return h.backend.Status(c.ctx), nil
}

func (h *handler) assignments(c call) (any, error) {
	return h.backend.Assignments(c.ctx), nil
}

func (h *handler) bundle(c call) (any, error) {
	version, err := c.version()
	if err != nil {
		return nil, err
	}
	signed, err := h.backend.Bundle(c.ctx, version)
	if err != nil {
		return nil, coded(err, result.StoreUnavailable)
	}
	return rawAnswer(signed), nil
}

func (h *handler) rollout(c call) (any, error) {
	report, err := h.backend.Rollout(c.ctx, c.body)
	if err != nil {
		// An error without a code proves nothing about the commit.
		return nil, coded(err, result.RolloutUnresolved)
	}
	return report, nil
}

func (h *handler) progress(c call) (any, error) {
	version, err := c.version()
	if err != nil {
		return nil, err
	}
	return h.backend.RolloutProgress(c.ctx, version), nil
}

func (h *handler) explain(c call) (any, error) {
	explanation := h.backend.Explain(c.ctx, c.vars["kind"], c.vars["name"])
	if !explanation.Found {
		return nil, result.Errorf(result.AdminNotFound, "%s %q", c.vars["kind"], c.vars["name"])
	}
	return explanation, nil
}

// coded gives an error without a code the given one.
func coded(err error, code result.Code) error {
	var withCode *result.Error
	var problems bundle.Problems
	if errors.As(err, &withCode) || errors.As(err, &problems) {
		return err
	}
	return result.Errorf(code, "%v", err)
}

func writeAnswer(w http.ResponseWriter, answer any) {
	if raw, ok := answer.(rawAnswer); ok {
		w.Header().Set("Content-Type", mediaTypeCBOR)
		_, _ = w.Write(raw) // the client sees a short answer
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

func writeError(w http.ResponseWriter, err error) {
	report := NewErrorReport(err)
	if report.RetryAfterMS > 0 {
		seconds := (report.RetryAfterMS + 999) / 1000
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeJSON(w, httpStatus(report.Code), report)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		http.Error(w, "the answer could not be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text) // the client sees a short answer
}

// NewErrorReport describes an error that is a *result.Error or bundle.Problems.
func NewErrorReport(err error) ErrorReport {
	var problems bundle.Problems
	var withCode *result.Error
	switch {
	case errors.As(err, &problems):
		return ErrorReport{Code: problems.Code(), Name: result.Lookup(problems.Code()).Name,
			Message: result.Lookup(problems.Code()).Message, Problems: problems}
	case errors.As(err, &withCode):
		info := result.Lookup(withCode.Code)
		retry := info.RetryAfter
		if withCode.RetryAfter > 0 {
			retry = withCode.RetryAfter
		}
		return ErrorReport{Code: info.Code, Name: info.Name, Message: info.Message, Detail: withCode.Detail,
			RetryAfterMS: int64(retry / time.Millisecond)}
	}
	return ErrorReport{Message: err.Error()}
}

// httpStatus returns the HTTP status for a code.
func httpStatus(code result.Code) int {
	switch code {
	case result.AdminUnauthenticated, result.AdminReplayed:
		return http.StatusUnauthorized
	case result.AdminMalformed:
		return http.StatusBadRequest
	case result.AdminNotFound:
		return http.StatusNotFound
	case result.VersionNotHigher, result.RolloutConflict, result.BudgetExceeded:
		return http.StatusConflict
	case result.RolloutUnresolved, result.StoreUnavailable:
		return http.StatusServiceUnavailable
	case 0:
		return http.StatusInternalServerError
	}
	return http.StatusUnprocessableEntity
}
