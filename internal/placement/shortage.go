package placement

import (
	"fmt"
	"time"
)

// shortage is what a target lacks for a query.
type shortage int

const (
	noShortage shortage = iota
	memoryShortage
	slotShortage
	// keptShortage means that the memory is kept for urgent generations.
	keptShortage
	// prefillShortage means that the prompts before it take too much of the latency objective.
	prefillShortage
	shortageCount
)

// shortages counts the targets by what they lack.
type shortages [shortageCount]int

// String implements fmt.Stringer for refusals and logs.
func (s shortages) String() string {
	if s == (shortages{}) {
		return ""
	}
	return fmt.Sprintf("memory at %d, a slot at %d, memory not kept for urgent ones at %d, time to prefill at %d",
		s[memoryShortage], s[slotShortage], s[keptShortage], s[prefillShortage])
}

// hasCapacity reports whether the target has memory and a slot for a new generation and can prefill its prompt
// within the latency objective. Memory that is not used at all always suffices, and an engine without a backlog always
// meets the objective, since waiting would not improve either. Less urgent generations leave the memory free that is kept
// for urgent ones. Plain services queue requests themselves, so they
// always have capacity, but for brittle targets, whose queues may become shorter at any time: these get no more than
// they can run at once. Where a service has several software versions, a stream that continues has no other targets than
// those of its version: it may use all memory, and its prefill is not held against the objective.
func (t *Table) hasCapacity(s *service, candidate *target, q *Query) bool {
	return t.shortage(s, candidate, q) == noShortage
}

// shortage returns what the target lacks for the query.
func (t *Table) shortage(s *service, candidate *target, q *Query) shortage {
	requests := candidate.ownLoad.Requests + candidate.peerLoad.Requests
	if q.MemoryTokens == 0 {
		if requests >= candidate.Slots && t.limits.IsBrittle(candidate.Target) {
			return slotShortage
		}
		return noShortage
	}
	limit := s.memoryLimit(q)
	isConfined := q.VersionFixed && len(s.versions) > 1
	if isConfined {
		limit = urgentMemoryLimit
	}
	used := candidate.ownLoad.MemoryTokens + candidate.peerLoad.MemoryTokens
	backlog := candidate.ownLoad.PrefillTokens + candidate.peerLoad.PrefillTokens
	expected := float64(backlog+q.prefill()) / s.prefillRate * float64(time.Millisecond)
	switch {
	case used > 0 && float64(used+q.memory()) > limit*float64(q.MemoryTokens):
		return memoryShortage
	case requests >= candidate.Slots:
		return slotShortage
	case !t.isOutsideKnownZone(candidate) && !q.kept.leavesEnough(used, candidate.Slots-requests, q.memory()):
		return keptShortage
	case backlog > 0 && q.FirstEventObjective > 0 && !isConfined && expected > prefillObjectiveShare*float64(q.FirstEventObjective):
		return prefillShortage
	default:
		return noShortage
	}
}

// memoryLimit returns the share of an engine's memory up to which it accepts the query.
func (s *service) memoryLimit(q *Query) float64 {
	if q.Priority <= 0 || s.isUrgent(q) {
		return urgentMemoryLimit
	}
	return ordinaryMemoryLimit
}
