package schedule_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citrongauge.example/citrongauge/platform"
)

// Guards against an upkeep that begins while as many machines as the wave allows are down (LIMIT): an upstream had started anew, unnoticed,
// before its machine was commanded, and the entry of that life arrives after the command was accepted.
func TestLateEntryOfALifeFromBeforeTheUpkeepDoesNotCompleteIt(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.addUpstream("u-1")
	h.addUpstream("u-2")
	h.core.SetWaves(testWave(1, "m-u-1", "m-u-2"), nil)
	h.fenceAll(platform.PollResult{})
	h.listMachines("u-1", "u-2")
	first := h.awaitUpkeepCommand().upkeeps
	is.Equal(len(first), 1)
	h.core.HandleUpkeepResult(first[0], nil)
	down := first[0].Machine[len("m-"):]
	entry := upstreamEntry(down, 16000)
	entry.StartedMS = 2
	h.core.SetUpstream(entry)
	for end := h.now + testBounds.UpkeepDuration; h.now < end; h.advance(50 * time.Millisecond) {
		next := h.decide()
		is.Equal(len(next.upkeeps), 0)
		for _, poll := range next.polls {
			if poll.Target.ID == down {
				h.core.HandlePollResult(poll, platform.PollResult{}, lostStart)
			} else {
				h.answerPoll(poll, platform.PollResult{})
			}
		}
	}
	entry.StartedMS = 3 // it is back
	h.core.SetUpstream(entry)
	for _, poll := range h.decide().polls {
		h.core.HandlePollResult(poll, platform.PollResult{StartedMS: entry.StartedMS, ClockMS: 10}, nil)
	}
	h.advance(100 * time.Millisecond)
	is.Equal(h.awaitUpkeepCommand().upkeeps[0].Machine != first[0].Machine, true)
}

// Guards against a wave that waits for ever: the machine comes back under the ID that was removed meanwhile.
func TestMachineBackUnderARemovedIDCompletesItsUpkeep(t *testing.T) {
	is := is.New(t)
	h := newWaveHarness(t)
	h.core.HandleUpkeepResult(h.awaitUpkeepCommand().upkeeps[0], nil)
	h.core.UnlistUpstream("u-1")
	for end := h.now + testBounds.UpkeepDuration; h.now < end; h.advance(50 * time.Millisecond) {
		for _, poll := range h.decide().polls {
			h.core.HandlePollResult(poll, platform.PollResult{}, lostStart)
		}
	}
	h.core.WaveRecords()
	h.addUpstream("u-1")
	for range 4 {
		h.answerAll(h.decide(), nil)
		h.advance(100 * time.Millisecond)
	}
	records := h.core.WaveRecords()
	is.Equal(len(records), 1)
	is.Equal(records[0].Done, []string{"m-u-1"})
}
