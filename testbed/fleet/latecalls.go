package fleet

import (
	"net/http"
	"time"
)

// fenceTime is how long after its first poll an owner has had the time to fence a new life off from calls to the earlier ones, even if one
// of its calls gets no answer. Before that, no owner can prevent what a late call does there.
const fenceTime = time.Second

// holdsBack reports whether a call is one of those that get no answer, and has it carried out later.
func (u *Upstream) holdsBack(name string, body requestBody, life int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.calls++
	if u.faults.LateNthCall == 0 || u.calls%u.faults.LateNthCall != 0 {
		return false
	}
	time.AfterFunc(u.faults.LateBy, func() { u.carryOut(name, body, life) })
	return true
}

// carryOut has the present life carry out a call that the given life has received.
func (u *Upstream) carryOut(name string, body requestBody, life int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	isFenced := !u.polledAt.IsZero() && time.Since(u.polledAt) > fenceTime
	if u.down || u.life != life && !isFenced {
		return
	}
	w := noResponse{}
	switch name {
	case "run-start":
		u.beginRun(w, body)
	case "run-stop":
		u.stop(w, body)
	case "hold":
		if !u.rejectStaleToken(w, body.Token) {
			u.takePoll(body)
		}
	}
}

// noResponse discards the response to a call for which nobody waits.
type noResponse struct{}

func (noResponse) Header() http.Header               { return http.Header{} }
func (noResponse) Write(content []byte) (int, error) { return len(content), nil }
func (noResponse) WriteHeader(int)                   {}
