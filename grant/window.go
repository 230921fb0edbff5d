package grant

import "time"

const windowBuckets = 4

// windowMax tracks the maximum of the values in a sliding time window, with a resolution of a quarter of the window.
type windowMax struct {
	window      time.Duration
	bucketStart time.Time // start of the current bucket
	buckets     [windowBuckets + 1]int
}

func (w *windowMax) add(now time.Time, value int) {
	bucketLength := w.window / windowBuckets
	for range w.buckets {
		if now.Sub(w.bucketStart) < bucketLength {
			break
		}
		copy(w.buckets[1:], w.buckets[:windowBuckets])
		w.buckets[0] = 0
		w.bucketStart = w.bucketStart.Add(bucketLength)
	}
	if now.Sub(w.bucketStart) >= bucketLength {
		w.bucketStart = now
	}
	w.buckets[0] = max(w.buckets[0], value)
}

// reset discards all earlier values and records value at time now.
func (w *windowMax) reset(now time.Time, value int) {
	w.bucketStart = now
	w.buckets = [windowBuckets + 1]int{value}
}

func (w *windowMax) max() int {
	m := 0
	for _, v := range w.buckets {
		m = max(m, v)
	}
	return m
}
