// Package witness lets the owner of the fleet act for a short time without the store, with permits of other hosts, its witnesses, and
// lets the next owner learn from any one of them whether it did. A witness remembers the permits that it has granted, in
// memory only: each response names its process, and memory of another process proves nothing.
package witness

import (
	"time"
)

// maxGenerations is the number of generations whose permits a witness remembers. An owner without permits takes none of them, so a
// generation is asked about while few others have followed it.
const maxGenerations = 16

// State is the memory of a witness. Times are of a monotonic clock. It is not safe for concurrent use.
type State struct {
	newest       uint64 // highest generation that has asked for anything
	permits      map[uint64]*permit
	forgotten    uint64 // highest generation that was forgotten
	hasForgotten bool
}

// permit is what a witness knows of the permits of a generation.
type permit struct {
	number   uint64 // highest number of a request
	open     bool   // a permit was granted and not returned
	expireAt time.Duration
	jobs     uint64 // highest Request.NewestJob since the last return
}

// NewState returns a memory without permits.
func NewState() *State { return &State{permits: map[uint64]*permit{}} }

// Handle handles a request that has passed its check, and returns the response without the process.
func (s *State) Handle(r Request, now time.Duration) Response {
	if r.Kind == Query {
		s.newest = max(s.newest, r.Generation)
		return s.query(r.About, now)
	}
	if r.Generation < s.newest || s.isForgotten(r.Generation) {
		return Response{Outcome: Denied}
	}
	s.newest = r.Generation
	known := s.of(r.Generation)
	if r.Number <= known.number && known.number != 0 {
		return Response{Outcome: Denied}
	}
	known.number = r.Number
	if r.Kind == Return {
		known.open, known.jobs = false, 0
		return Response{Outcome: Returned}
	}
	known.open, known.jobs = true, max(known.jobs, r.NewestJob)
	known.expireAt = max(known.expireAt, now+time.Duration(r.DurationMS)*time.Millisecond)
	return Response{Outcome: Granted}
}

// query returns what is known of a generation's permits.
func (s *State) query(generation uint64, now time.Duration) Response {
	known := s.permits[generation]
	switch {
	case known == nil && s.isForgotten(generation):
		return Response{Outcome: Forgotten}
	case known == nil || !known.open:
		return Response{Outcome: None}
	}
	left := max(known.expireAt-now, 0)
	return Response{Outcome: Open, LeftMS: (left + time.Millisecond - 1).Milliseconds(), NewestJob: known.jobs}
}

func (s *State) isForgotten(generation uint64) bool {
	return s.hasForgotten && generation <= s.forgotten
}

// of returns the memory of a generation, and forgets the lowest one if there are too many.
func (s *State) of(generation uint64) *permit {
	known := s.permits[generation]
	if known != nil {
		return known
	}
	known = &permit{}
	s.permits[generation] = known
	if len(s.permits) > maxGenerations {
		lowest := generation
		for g := range s.permits {
			lowest = min(lowest, g)
		}
		delete(s.permits, lowest)
		s.forgotten, s.hasForgotten = max(s.forgotten, lowest), true
	}
	return known
}
