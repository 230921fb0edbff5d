package grant

import "time"

const peakParts = 4

// peak is the highest value seen in a sliding window, with a resolution of a quarter of the window.
type peak struct {
	window time.Duration
	start  time.Time // of the current part
	parts  [peakParts + 1]int
}

func (p *peak) add(now time.Time, value int) {
	part := p.window / peakParts
	for range p.parts {
		if now.Sub(p.start) < part {
			break
		}
		copy(p.parts[1:], p.parts[:peakParts])
		p.parts[0] = 0
		p.start = p.start.Add(part)
	}
	if now.Sub(p.start) >= part {
		p.start = now
	}
	p.parts[0] = max(p.parts[0], value)
}

// restart forgets the past and counts the value as seen now in the whole window.
func (p *peak) restart(now time.Time, value int) {
	p.start = now
	p.parts = [peakParts + 1]int{value}
}

func (p *peak) max() int {
	m := 0
	for _, v := range p.parts {
		m = max(m, v)
	}
	return m
}
