package schedule_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/job"
)

// Guards against TWICE: a poll after an unnoticed restart acknowledges the ends of the new life with the number of the earlier one
// (review/8). The upstream was idle, and starts arrive before the poll.
func TestPollAcknowledgesNoUnseenEndAfterStarts(t *testing.T) {
	for _, c := range lifeClocks {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := acknowledgedUpstream(t)
			f.restartUnnoticed("u-1", laterBorn, c.ahead)
			f.pollDelay = 100 * time.Millisecond
			id := f.addShort(2, 2, 50*time.Millisecond)
			f.live(20 * time.Millisecond)
			f.pollDelay = 0
			f.live(4 * time.Second)
			is.Equal(f.phases[id], job.Succeeded)
		})
	}
}

// Guards as above, with a poll in flight whose connection stays silent after the life has ended: the first poll after its time-out
// acknowledges the ends of the new life.
func TestPollAcknowledgesNoUnseenEndAfterASilentPoll(t *testing.T) {
	for _, c := range lifeClocks {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := acknowledgedUpstream(t)
			f.addLasting(2)
			f.live(1300 * time.Millisecond)
			f.restartUnnoticed("u-1", laterBorn, c.ahead)
			id := f.addShort(3, 2, 50*time.Millisecond)
			f.live(5 * time.Second)
			is.Equal(f.phases[id], job.Succeeded)
		})
	}
}

// Guards as above, with a poll of the new life that arrives before the starts: it is to be answered with nothing to acknowledge.
func TestPollAcknowledgesNoUnseenEndBeforeStarts(t *testing.T) {
	for _, c := range lifeClocks {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := acknowledgedUpstream(t)
			f.addLasting(2)
			f.live(1300 * time.Millisecond)
			f.restartUnnoticed("u-1", laterBorn, c.ahead)
			f.live(callTimeout) // the poll in flight is given up, and another one reaches the new life
			id := f.addShort(3, 2, 50*time.Millisecond)
			f.live(4 * time.Second)
			is.Equal(f.phases[id], job.Succeeded)
		})
	}
}

// Guards as above, with ends of the earlier life that are still being stored when it ends. Starts overtake the first poll after that.
func TestPollAcknowledgesNoUnseenEndWhileEndsAreStored(t *testing.T) {
	for _, c := range lifeClocks {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newLifeFleet(t, "u-1")
			f.addShort(1, 3, 50*time.Millisecond)
			f.live(30 * time.Millisecond)
			f.storeDelay = 380 * time.Millisecond
			f.live(60 * time.Millisecond)
			is.Equal(f.lives["u-1"].listed, uint64(3))
			f.storeDelay = 0
			f.restartUnnoticed("u-1", laterBorn, c.ahead)
			f.pollDelay = 100 * time.Millisecond
			id := f.addShort(2, 2, 50*time.Millisecond) // starts when the ends are stored
			f.live(500 * time.Millisecond)
			f.pollDelay = 0
			f.live(5 * time.Second)
			is.Equal(f.phases[id], job.Succeeded)
		})
	}
}

// Guards as above, with a poll after a failed one (TestHistoriesOfUnnoticedRestarts, seeds 35166893 and, with -lives.rising, 30237187). It
// needs a new connection, on which it may reach a new life late, when that has ends.
func TestPollAfterAFailedOneAcknowledgesNothing(t *testing.T) {
	is := is.New(t)
	f := newLifeFleet(t, "u-1")
	f.addShort(1, 3, 50*time.Millisecond)
	f.live(30 * time.Millisecond)
	f.storeDelay = 380 * time.Millisecond
	f.live(60 * time.Millisecond)
	is.Equal(f.lives["u-1"].listed, uint64(3)) // and is to be acknowledged when it is stored
	f.cut["u-1"], f.polls = true, nil
	f.live(6 * time.Second)
	is.True(len(f.polls) > 2)
	for _, poll := range f.polls[1:] {
		is.Equal(poll.Request.AckedSeq, uint64(0))
	}
	f.cut["u-1"] = false
	f.live(3 * time.Second)
	is.Equal(len(f.lives["u-1"].ended), 0)
}

// Guards against ends that are acknowledged late, which counts as a missed duty: in normal operation they are within half a second.
func TestEndsAreAcknowledgedPromptly(t *testing.T) {
	is := is.New(t)
	f := newLifeFleet(t, "u-1")
	f.addLasting(1)
	for number := 2; number < 12; number++ {
		f.addShort(number, 3, 50*time.Millisecond)
		f.live(550 * time.Millisecond)
		is.Equal(len(f.lives["u-1"].ended), 0)
	}
	is.Equal(f.lives["u-1"].seq, uint64(30))
}

// Guards against ends that are not acknowledged while starts are always in flight for longer than usual (Acks): a busy upstream behind a
// slow link. The list of ends grows until an answer does not hold them all.
func TestEndsAreAcknowledgedWhileStartsTakeLong(t *testing.T) {
	for _, delay := range []time.Duration{150 * time.Millisecond, 300 * time.Millisecond, 450 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			is := is.New(t)
			f := newLifeFleet(t, "u-1")
			f.startDelay = delay
			f.addLasting(1)
			f.live(time.Second)
			for number := 2; number < 102; number++ { // one start every 50 ms
				f.addShort(number, 1, 50*time.Millisecond)
				f.live(50 * time.Millisecond)
				is.True(len(f.lives["u-1"].ended) <= 10) // those of half a second
			}
		})
	}
}
