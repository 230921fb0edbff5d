package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"

	"citrongauge.example/citrongauge/job"
	"citrongauge.example/citrongauge/owner"
)

const (
	// explainPath is the path prefix of job explanations on the internal address. A job ID follows it.
	explainPath    = "/explain/"
	explainTimeout = time.Second
)

// explain responds with a job's progress and what it waits for. Hosts other than the owner redirect to the owner.
func (h *Host) explain(w http.ResponseWriter, request *http.Request) {
	id, err := job.ParseID(mux.Vars(request)["job"])
	if err != nil {
		h.writeOutcome(w, badID)
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), explainTimeout)
	defer cancel()
	explanation, ok, err := h.owner.Explain(ctx, id)
	address := h.owner.OwnerAddress()
	switch {
	case errors.Is(err, owner.ErrNotOwner) && address != "" && address != h.internalAddress:
		http.Redirect(w, request, "http://"+address+explainPath+string(id), http.StatusTemporaryRedirect)
		return
	case err != nil:
		h.writeOutcome(w, noOwner)
		return
	case !ok:
		h.writeOutcome(w, noJob)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(explanation); err != nil {
		h.logEvent("writing the response failed", "path", request.URL.Path, "error", err.Error())
	}
}

func (h *Host) writeOutcome(w http.ResponseWriter, o outcome) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(o.status)
	if _, err := w.Write(o.body()); err != nil {
		h.logEvent("writing the response failed", "code", o.code, "error", err.Error())
	}
}
