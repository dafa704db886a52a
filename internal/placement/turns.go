package placement

import "time"

// turnTime is about the time until the other VMs know of a placement.
const turnTime = 25 * time.Millisecond

// turnWait returns the wait before a waiting request looks for capacity that has become free. All VMs learn of it at the same
// moment; if each took it at once, one engine would receive the requests of all.
//
// The requests that wait at all VMs take turns in the order of their precedence: one looks after those before it have
// had time to place and to tell of it. As many as find free places need no turn of their own. VMs that do not state what waits there
// have no place in the order: among them the wait is random, as it is at services whose objectives do not compete.
func (t *Table) turnWait(q *Query, w *waiter, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expirePeerReports(now)
	unknown := 0
	for _, report := range t.peerLoads {
		if len(report.demands) == 0 || !w.byObjective {
			unknown += report.waitingVMs
		}
	}
	turns := t.random.Float64() * float64(unknown)
	if w.byObjective {
		turns += float64(t.countVMsAhead(q, w, now)) / float64(max(1, t.countPlaces(q, now)))
	}
	return time.Duration(turns * float64(turnTime))
}

// countVMsAhead returns the number of other VMs where a request waits that goes first.
func (t *Table) countVMsAhead(q *Query, w *waiter, now time.Time) int {
	own, count := w.precedence(now), 0
	for _, report := range t.peerLoads {
		if demand := report.demands[q.Service]; demand.WaitingTokens > 0 && demand.headPrecedence.Before(own) {
			count++
		}
	}
	return count
}

// countPlaces returns how many generations of the size of the query fit into the free memory of its service.
func (t *Table) countPlaces(q *Query, now time.Time) int {
	s := t.services[q.Service]
	if s == nil || q.MemoryTokens == 0 || q.memory() == 0 {
		return 0
	}
	limit := int(s.memoryLimit(q) * float64(q.MemoryTokens))
	room := keptRoom{placeTokens: q.memory()}
	places := 0
	for _, member := range s.targets {
		if q.accepts(member, now) && !t.isOutsideKnownZone(member) {
			load := member.ownLoad.Plus(member.peerLoad)
			places += room.freePlaces(load.MemoryTokens, limit, member.Slots-load.Requests)
		}
	}
	return places
}
