package placement

import (
	"time"

	"godwitcart/internal/roster"
)

// OtherTarget returns the target of the service that holds the fewest tokens, apart from the given one, and reports whether
// there is one that takes work and copies. It reserves nothing there.
func (t *Table) OtherTarget(service string, excluded roster.Target, now time.Time) (roster.Target, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expirePeerReports(now)
	s := t.services[service]
	if s == nil {
		return roster.Target{}, false
	}
	var best *target
	for _, candidate := range s.targets {
		if candidate.ID == excluded.ID || !candidate.canTakeWork(now) || t.takesNoTransfers(candidate, now) {
			continue
		}
		if best == nil || candidate.memoryTokens() < best.memoryTokens() {
			best = candidate
		}
	}
	if best == nil {
		return roster.Target{}, false
	}
	return best.Target, true
}

// memoryTokens returns the tokens of all requests at the target, as far as this VM knows.
func (t *target) memoryTokens() int { return t.ownLoad.MemoryTokens + t.peerLoad.MemoryTokens }
