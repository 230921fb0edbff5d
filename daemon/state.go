package daemon

import (
	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
)

// state is the configuration in force, as the control goroutine published it. It is never changed.
type state struct {
	record      *control.Record
	index       *bundle.Index
	signed      []byte
	assignments map[string]control.Assignment
}

func newState(record *control.Record, signed []byte, index *bundle.Index) *state {
	s := &state{record: record, index: index, signed: signed}
	s.assignments = make(map[string]control.Assignment, len(record.Assignments))
	for _, a := range record.Assignments {
		s.assignments[a.Host] = a
	}
	return s
}
