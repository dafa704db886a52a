package routing

import "time"

const (
	historyLength = 32
	// historyStep is the least time between two samples.
	historyStep = 100 * time.Millisecond
)

// sample is what this VM's attempts held on a target at a time.
type sample struct {
	at     time.Time
	tokens int
	count  int
}

// history remembers the last seconds of a target's samples, so that a lagging report can be
// compared with what this VM held when the report was true.
type history struct {
	samples [historyLength]sample
	next    int
}

// record notes the state that held up to now.
func (h *history) record(now time.Time, tokens, count int) {
	last := h.samples[(h.next+historyLength-1)%historyLength]
	if now.Sub(last.at) < historyStep {
		return
	}
	h.samples[h.next] = sample{at: now, tokens: tokens, count: count}
	h.next = (h.next + 1) % historyLength
}

// at returns the state at the time, and false when nothing was recorded since.
func (h *history) at(when time.Time) (sample, bool) {
	for i := range historyLength {
		s := h.samples[(h.next+i)%historyLength]
		if !s.at.IsZero() && !s.at.Before(when) {
			return s, true
		}
	}
	return sample{}, false
}
