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

// rebootTimeout bounds the call by which the platform tells an upstream stand-in to reboot.
const rebootTimeout = 500 * time.Millisecond

// rebootClient uses no proxy.
var rebootClient = &http.Client{Transport: &http.Transport{}}

// maxControlBytes bounds the bodies of calls under /control.
const maxControlBytes = 1 << 20

func (p *Platform) controlRoutes() {
	p.router.HandleFunc("/control/faults", func(w http.ResponseWriter, r *http.Request) {
		var faults PlatformFaults
		if !decode(w, r, &faults) {
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
		encode(w, faults)
	}).Methods(http.MethodGet)
	p.router.HandleFunc("/control/counters", func(w http.ResponseWriter, r *http.Request) {
		encode(w, p.Counters())
	}).Methods(http.MethodGet)
	p.router.HandleFunc("/control/hosts/{id}", func(w http.ResponseWriter, r *http.Request) {
		var host Host
		if decode(w, r, &host) {
			p.SetHost(mux.Vars(r)["id"], host)
		}
	}).Methods(http.MethodPut)
}

// SetHost adds or changes a host of the host list.
func (p *Platform) SetHost(id string, host Host) {
	p.hosts.update(time.Now(), id, func(h *Host) { *h = host })
}

// reboot reboots a drained host: it is out of the list for RebootMS. A host that is not drained is refused.
func (p *Platform) reboot(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	faults := p.enter(r, func(c *PlatformCounters) { c.Reboots++ })
	code := p.startReboot(id, time.Duration(faults.RebootMS)*time.Millisecond)
	p.leave(r, faults)
	status := map[platform.Code]int{
		platform.CodeOK:       http.StatusOK,
		platform.CodeNotFound: http.StatusNotFound,
		platform.CodeConflict: http.StatusConflict,
	}
	writeCode(w, status[code], code)
}

func (p *Platform) startReboot(id string, pause time.Duration) platform.Code {
	host, known := p.hosts.get(id)
	switch {
	case !known:
		return platform.CodeNotFound
	case host.State == platform.HostGone:
		return platform.CodeOK // a reboot is under way
	case !tellReboot(host.Upstream, pause):
		return platform.CodeConflict
	}
	p.setState(id, platform.HostGone)
	time.AfterFunc(pause, func() { p.setState(id, platform.HostLive) })
	return platform.CodeOK
}

func (p *Platform) setState(id string, state platform.HostState) {
	p.hosts.update(time.Now(), id, func(h *Host) { h.State = state })
}

// tellReboot reboots an upstream stand-in and returns false if that refuses because it is not drained. One that does
// not answer is rebooted all the same.
func tellReboot(address string, pause time.Duration) bool {
	if address == "" {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), rebootTimeout)
	defer cancel()
	body, _ := json.Marshal(RebootRequest{PauseMS: pause.Milliseconds(), Planned: true})
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

// readBody reads at most limit bytes; what is beyond is dropped with the connection.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, limit))
	if err != nil {
		http.Error(w, "the body could not be read", http.StatusBadRequest)
	}
	return body, err
}

// decode reads a JSON body strictly and answers 400 if it is malformed.
func decode(w http.ResponseWriter, r *http.Request, target any) bool {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxControlBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func encode(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
