package daemon

import (
	"citrongauge.example/citrongauge/bundle"
	"citrongauge.example/citrongauge/control"
)

// controlState is the current control record with its bundle and assignments, as the control goroutine published it.
// It is never modified.
type controlState struct {
	record      *control.Record
	index       *bundle.Index                 // nil while there is no current bundle
	signed      []byte                        // the signed form of the bundle
	assignments map[string]control.Assignment // by host
}

func newControlState(record *control.Record, signed []byte, index *bundle.Index) *controlState {
	s := &controlState{record: record, index: index, signed: signed}
	s.assignments = make(map[string]control.Assignment, len(record.Assignments))
	for _, a := range record.Assignments {
		s.assignments[a.Host] = a
	}
	return s
}
