package schedule_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
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
