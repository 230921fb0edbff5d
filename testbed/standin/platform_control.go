package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"citrongauge.example/citrongauge/platform"
)

// rebootTimeout limits the call that requests a reboot from an upstream stand-in.
const rebootTimeout = 500 * time.Millisecond

// rebootClient ignores the proxy settings of the environment, unlike http.DefaultClient.
var rebootClient = &http.Client{Transport: &http.Transport{}}

// maxControlBytes limits the request bodies under /control.
const maxControlBytes = 1 << 20

func (p *Platform) registerControlRoutes() {
	p.router.HandleFunc("/control/faults", func(w http.ResponseWriter, r *http.Request) {
		var faults PlatformFaults
		if !decodeJSON(w, r, &faults) {
			return
		}
		if err := p.SetFaults(faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	}).Methods(http.MethodPut)
	p.router.HandleFunc("/control/faults", func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		faults := p.faults
		p.mu.Unlock()
		encodeJSON(w, faults)
	}).Methods(http.MethodGet)
	p.router.HandleFunc("/control/counters", func(w http.ResponseWriter, r *http.Request) {
		encodeJSON(w, p.Counters())
	}).Methods(http.MethodGet)
	p.router.HandleFunc("/control/hosts/{id}", func(w http.ResponseWriter, r *http.Request) {
		var host Host
		if decodeJSON(w, r, &host) {
			p.SetHost(mux.Vars(r)["id"], host)
		}
	}).Methods(http.MethodPut)
}

// SetHost adds or changes a host of the host list.
func (p *Platform) SetHost(id string, host Host) {
	p.hosts.update(time.Now(), id, func(h *Host) { *h = host })
}

// reboot starts the reboot of a host, which is listed as gone for RebootMS. The response is a conflict if the host's
// upstream stand-in is not drained.
func (p *Platform) reboot(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	faults := p.beginCall(r, func(c *PlatformCounters) { c.Reboots++ })
	code := p.startReboot(id, time.Duration(faults.RebootMS)*time.Millisecond)
	p.endCall(r, faults)
	status := map[platform.Code]int{
		platform.CodeOK:       http.StatusOK,
		platform.CodeNotFound: http.StatusNotFound,
		platform.CodeConflict: http.StatusConflict,
	}
	writeCode(w, status[code], code)
}

func (p *Platform) startReboot(id string, downtime time.Duration) platform.Code {
	host, known := p.hosts.get(id)
	switch {
	case !known:
		return platform.CodeNotFound
	case host.State == platform.HostGone:
		return platform.CodeOK // a reboot is in progress
	case !requestReboot(host.Upstream, downtime):
		return platform.CodeConflict
	}
	p.setHostState(id, platform.HostGone)
	time.AfterFunc(downtime, func() { p.setHostState(id, platform.HostLive) })
	return platform.CodeOK
}

func (p *Platform) setHostState(id string, state platform.HostState) {
	p.hosts.update(time.Now(), id, func(h *Host) { h.State = state })
}

// requestReboot requests a reboot from an upstream stand-in. It returns false if the stand-in rejects the request
// because it is not drained. If the stand-in does not respond, the host counts as rebooted.
func requestReboot(address string, downtime time.Duration) bool {
	if address == "" {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), rebootTimeout)
	defer cancel()
	body, _ := json.Marshal(RebootRequest{DowntimeMS: downtime.Milliseconds(), Planned: true})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/control/reboot", bytes.NewReader(body))
	if err != nil {
		return true
	}
	response, err := rebootClient.Do(request)
	if err != nil {
		return true
	}
	_ = response.Body.Close()
	return response.StatusCode != http.StatusConflict
}

// readBody reads at most limit bytes of the request body and leaves the rest unread. On failure, it responds with
// status 400.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, limit))
	if err != nil {
		http.Error(w, "cannot read the request body", http.StatusBadRequest)
	}
	return body, err
}

// decodeJSON decodes the request body and rejects unknown fields. On failure, it responds with status 400 and returns
// false.
func decodeJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxControlBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func encodeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
