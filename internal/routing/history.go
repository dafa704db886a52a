package routing

import "time"

const (
	loadHistoryLength = 32
	// minSampleInterval is the least time between two samples.
	minSampleInterval = 100 * time.Millisecond
)

// loadSample is the memory and number of this VM's attempts on a target at one time.
type loadSample struct {
	at       time.Time
	tokens   int
	attempts int
}

// loadHistory is a ring buffer of a target's samples of the last seconds. It lets a delayed load report be compared
// with this VM's own load at the time of the report.
type loadHistory struct {
	samples [loadHistoryLength]loadSample
	next    int
}

// record stores the state that was valid up to now, unless the last sample is too recent.
func (h *loadHistory) record(now time.Time, tokens, attempts int) {
	last := h.samples[(h.next+loadHistoryLength-1)%loadHistoryLength]
	if now.Sub(last.at) < minSampleInterval {
		return
	}
	h.samples[h.next] = loadSample{at: now, tokens: tokens, attempts: attempts}
	h.next = (h.next + 1) % loadHistoryLength
}

// sampleAt returns the state at the given time, or false if nothing has been recorded since. A sample holds the state
// before a change, so this is the first sample that is not older than the given time.
func (h *loadHistory) sampleAt(when time.Time) (loadSample, bool) {
	for i := range loadHistoryLength {
		s := h.samples[(h.next+i)%loadHistoryLength]
		if !s.at.IsZero() && !s.at.Before(when) {
			return s, true
		}
	}
	return loadSample{}, false
}
