package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
)

// Guards against a wave that learns of its first machines' return only when the list would have been read without it. In
// testbed run karri-sched-large quiet-1 120 spare machines counted as down for 8 s, so that few others were drained.
func TestMachineListIsReadMoreOftenFromTheStartOfAWave(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	s := &session{core: schedule.New(schedule.Options{Log: func(string, ...any) {}})}
	is.True(s.listDue(now)) // never read
	s.lastList = now
	is.True(!s.listDue(now + listInterval))
	is.True(s.listDue(now + idleListInterval))
	s.core.SetWaves([]platform.Wave{{Number: 1, Machines: []string{"m-1"}, MaxConcurrent: 1, TimeLimit: time.Minute}}, nil)
	is.True(s.listDue(now + listInterval))
	is.True(!s.listDue(now + listInterval - time.Millisecond))
}
