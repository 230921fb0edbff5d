package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/intake"
	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/result"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
)

// pathPrefix is the common path prefix of the API.
const pathPrefix = "/admin/v1"

// maxBodyBytes is the maximum size of a request body. The largest body is a signed bundle.
const maxBodyBytes = platform.MaxValueBytes

const mediaTypeCBOR = "application/cbor"

// handler implements the endpoints of the API.
type handler struct {
	backend  Backend
	verifier *Verifier
}

// NewHandler returns a handler that serves only the admin API.
func NewHandler(backend Backend, verifier *Verifier) http.Handler {
	router := mux.NewRouter()
	Register(router, backend, verifier)
	return router
}

// Register adds the admin API to a router.
func Register(router *mux.Router, backend Backend, verifier *Verifier) {
	h := &handler{backend: backend, verifier: verifier}
	routes := router.PathPrefix(pathPrefix).Subrouter()
	routes.HandleFunc("/hello", h.hello).Methods(http.MethodGet)
	routes.HandleFunc("/status", h.requireSignature(h.status)).Methods(http.MethodGet)
	routes.HandleFunc("/assignments", h.requireSignature(h.assignments)).Methods(http.MethodGet)
	routes.HandleFunc("/bundles/{version:[0-9]+}", h.requireSignature(h.bundle)).Methods(http.MethodGet)
	routes.HandleFunc("/rollouts", h.requireSignature(h.rollout)).Methods(http.MethodPost)
	routes.HandleFunc("/rollouts/{version:[0-9]+}", h.requireSignature(h.rolloutProgress)).Methods(http.MethodGet)
	routes.HandleFunc(clearDepartedPath, h.requireSignature(h.clearDeparted)).Methods(http.MethodPost)
	routes.HandleFunc("/explain/{kind}/{name}", h.requireSignature(h.explain)).Methods(http.MethodGet)
	routes.PathPrefix("/").HandlerFunc(h.notFound)
}

// verifiedRequest is a request whose signature has been verified.
type verifiedRequest struct {
	ctx  context.Context
	vars map[string]string
	body []byte
}

// version returns the bundle version in the request path.
func (r verifiedRequest) version() (uint64, error) {
	version, err := strconv.ParseUint(r.vars["version"], 10, 64)
	if err != nil {
		return 0, result.Errorf(result.AdminMalformed, "the version is out of range")
	}
	return version, nil
}

// rawResponse is a response body that is already encoded as CBOR.
type rawResponse []byte

// requireSignature wraps an endpoint that requires an operator's signature. The endpoint is not called before the
// signature has been verified.
func (h *handler) requireSignature(next func(verifiedRequest) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		response, err := h.verifyAndHandle(r, next)
		if err != nil {
			writeError(w, err)
			return
		}
		writeResponse(w, response)
	}
}

// verifyAndHandle verifies the signature and calls the endpoint. It checks the headers before it reads the body.
func (h *handler) verifyAndHandle(r *http.Request, next func(verifiedRequest) (any, error)) (any, error) {
	if _, err := parseHeaders(r); err != nil {
		return nil, err
	}
	// Whether the operator is known shows only when the body has been read.
	err := intake.Identify(r, false)
	var body []byte
	if err == nil {
		body, err = intake.ReadBody(r, maxBodyBytes)
	}
	if err != nil {
		return nil, result.Errorf(result.AdminMalformed, "the body was not read: %v", err)
	}
	operator, err := h.verifier.Verify(r, body)
	if err != nil {
		return nil, err
	}
	ctx := context.WithValue(r.Context(), operatorContextKey{}, operator)
	return next(verifiedRequest{ctx: ctx, vars: mux.Vars(r), body: body})
}

func (h *handler) hello(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, HelloResponse{HostID: h.verifier.HostID(), UnixMS: h.verifier.Now().UnixMilli()})
}

func (h *handler) notFound(w http.ResponseWriter, _ *http.Request) {
	writeError(w, result.Errorf(result.AdminNotFound, "no such call"))
}

func (h *handler) status(r verifiedRequest) (any, error) {
	return h.backend.Status(r.ctx), nil
}

func (h *handler) assignments(r verifiedRequest) (any, error) {
	return h.backend.Assignments(r.ctx), nil
}

func (h *handler) bundle(r verifiedRequest) (any, error) {
	version, err := r.version()
	if err != nil {
		return nil, err
	}
	signed, err := h.backend.Bundle(r.ctx, version)
	if err != nil {
		return nil, withDefaultCode(err, result.StoreUnavailable)
	}
	return rawResponse(signed), nil
}

func (h *handler) rollout(r verifiedRequest) (any, error) {
	report, err := h.backend.Rollout(r.ctx, r.body)
	if err != nil {
		// An error without a code does not tell whether the bundle was committed.
		return nil, withDefaultCode(err, result.RolloutUnresolved)
	}
	return report, nil
}

func (h *handler) rolloutProgress(r verifiedRequest) (any, error) {
	version, err := r.version()
	if err != nil {
		return nil, err
	}
	return h.backend.RolloutProgress(r.ctx, version), nil
}

func (h *handler) explain(r verifiedRequest) (any, error) {
	explanation := h.backend.Explain(r.ctx, r.vars["kind"], r.vars["name"])
	if !explanation.Found {
		return nil, result.Errorf(result.AdminNotFound, "%s %q", r.vars["kind"], r.vars["name"])
	}
	return explanation, nil
}

// withDefaultCode returns err if it has a result code or is a list of problems, otherwise an error with the given code.
func withDefaultCode(err error, code result.Code) error {
	var resultErr *result.Error
	var problems bundle.Problems
	if errors.As(err, &resultErr) || errors.As(err, &problems) {
		return err
	}
	return result.Errorf(code, "%v", err)
}

func writeResponse(w http.ResponseWriter, response any) {
	if raw, ok := response.(rawResponse); ok {
		w.Header().Set("Content-Type", mediaTypeCBOR)
		_, _ = w.Write(raw) // on failure, the client gets a truncated response
		return
	}
	writeJSON(w, http.StatusOK, response)
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
	_, _ = w.Write(text) // on failure, the client gets a truncated response
}

// NewErrorReport returns the report of an error, with its code if it is a *result.Error or bundle.Problems.
func NewErrorReport(err error) ErrorReport {
	var problems bundle.Problems
	var resultErr *result.Error
	switch {
	case errors.As(err, &problems):
		return ErrorReport{Code: problems.Code(), Name: result.Lookup(problems.Code()).Name,
			Message: result.Lookup(problems.Code()).Message, Problems: problems}
	case errors.As(err, &resultErr):
		info := result.Lookup(resultErr.Code)
		retry := info.RetryAfter
		if resultErr.RetryAfter > 0 {
			retry = resultErr.RetryAfter
		}
		return ErrorReport{Code: info.Code, Name: info.Name, Message: info.Message, Detail: resultErr.Detail,
			RetryAfterMS: int64(retry / time.Millisecond)}
	}
	return ErrorReport{Message: err.Error()}
}

// httpStatus returns the HTTP status for a result code.
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
