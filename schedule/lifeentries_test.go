package schedule_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/platform"
	"citrongauge.example/citrongauge/schedule"
)

// Guards against an upstream whose entries are taken for those of an ended life (DRAIN): its time of day had jumped back, the new owner's
// roster has its current life, and the store still had the entry of the life before.
func TestEntryOfTheLifeInTheRosterIsFollowedAfterAnOlderOne(t *testing.T) {
	is := is.New(t)
	f := newLifeFleet(t)
	f.begin("u-1", earlierBorn, 1000)
	f.takeOver()
	id := f.inherit(earlierBorn)
	f.deliverEntry("u-1", firstBorn)
	f.runUnseen(id)
	f.live(time.Second)
	is.Equal(f.runsOn("u-1", id), 1)
	entry := upstreamEntry("u-1", 16000)
	entry.StartedMS, entry.Draining = earlierBorn, true
	f.core.SetUpstream(entry)
	f.starts = nil
	f.addShort(2, 1, 100*time.Millisecond)
	f.live(time.Second)
	is.Equal(len(f.starts), 0)
}

// Guards against the entry of a new life that is taken for that of an ended one (DRAIN): the time of day has jumped back, a late entry of
// another life had raised a doubt before, and the poll that settles it had been sent, and answered by the known life, before the entry came.
func TestSecondEntryInADoubtIsSettledByALaterPoll(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	setEntry := func(born int64, draining bool) {
		entry := upstreamEntry("u-1", 16000)
		entry.StartedMS, entry.Draining = born, draining
		h.core.SetUpstream(entry)
	}
	answer := func(polls []schedule.Poll, born int64) {
		is.Equal(len(polls), 1)
		h.core.HandlePollResult(polls[0], platform.PollResult{StartedMS: born, ClockMS: h.now.Milliseconds()}, nil)
	}
	setEntry(100, false)
	h.core.RosterStored(h.core.TakeRosterChange())
	answer(h.decide().polls, 100)
	h.advance(time.Second)
	setEntry(50, false)
	early := h.decide().polls
	setEntry(60, false)
	late := h.decide().polls
	answer(early, 100)
	answer(late, 60)
	h.advance(time.Second)
	setEntry(60, true)
	h.addUniformJob(1, 1, 1000)
	is.Equal(len(h.decide().starts), 0)
}
