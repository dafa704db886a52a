package placement

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// releaseTime is the time constant of the observed release of memory.
	releaseTime = 2 * time.Second
	// minReturnSpread is the least time over which callers that were refused return: those of one moment must not all
	// return at another.
	minReturnSpread = 500 * time.Millisecond
)

// releaseMeter is an exponentially weighted count of the memory that generations have released.
type releaseMeter struct {
	tokens float64
	at     time.Time
}

func (m *releaseMeter) record(tokens int, now time.Time) {
	m.tokens = m.tokens*m.remaining(now) + float64(tokens)
	m.at = now
}

// rate returns the release in tokens a second.
func (m *releaseMeter) rate(now time.Time) float64 {
	return m.tokens * m.remaining(now) / releaseTime.Seconds()
}

func (m *releaseMeter) remaining(now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(m.at)).Seconds() / releaseTime.Seconds())
}

// recordReleases records what a peer has released between two reports. Memory of targets that take no work is no room.
func (t *Table) recordReleases(before, after map[string]Load, now time.Time) {
	for id, old := range before {
		released := old.MemoryTokens - after[id].MemoryTokens
		if current := t.targets[id]; released > 0 && current != nil && !current.leaving {
			current.service.released.record(released, now)
		}
	}
}

// ReturnAfter returns when a refused caller should come back: when the requests that wait at all VMs and go first, and
// then this one, are expected to have got room, spread over that time again. It returns false if no memory is being released, or
// if objectives do not compete.
func (t *Table) ReturnAfter(q Query, now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expirePeerReports(now)
	s := t.services[q.Service]
	if s == nil || q.MemoryTokens == 0 || !s.objectivesCompete() {
		return 0, false
	}
	rate := s.released.rate(now)
	if rate < 1 {
		return 0, false
	}
	expected := time.Duration(float64(t.tokensAhead(s, &q, now)+q.memory()) / rate * float64(time.Second))
	return expected + rand.N(max(expected, minReturnSpread)), true
}

// tokensAhead returns the memory that waiting requests need which go before a new one of the query.
func (t *Table) tokensAhead(s *service, q *Query, now time.Time) int {
	own := s.newWaiter(q, now).precedence(now)
	tokens := 0
	for _, w := range s.queue.waiting {
		if w.precedence(now).Before(own) {
			tokens += w.tokens
		}
	}
	for _, report := range t.peerLoads {
		if demand := report.demands[q.Service]; demand.WaitingTokens > 0 && demand.headPrecedence.Before(own) {
			tokens += demand.WaitingTokens
		}
	}
	return tokens
}
