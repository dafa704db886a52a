package placement

import (
	"math"
	"time"

	"godwitcart/internal/apierror"
	"godwitcart/internal/roster"
)

// A score estimates the delay until the first event in milliseconds, plus penalties for later costs of the choice.
// The constants are its terms and the capacity limits.
const (
	// defaultPrefillRate applies until prompts have been timed, in tokens per millisecond. It is half of the rate
	// that an engine reaches without other work.
	defaultPrefillRate = 7.0
	// prefillRateWeight is the weight of one timed prompt in the moving average of the prefill rate.
	prefillRateWeight = 0.05
	// minPrefillRate bounds the effect of one very late event, which could otherwise stop all work.
	minPrefillRate = 1.0
	// crossZoneCost covers the round trip to another zone and the price of its traffic. aggregatedZoneCost applies
	// where the loads of other zones are known only as zone totals: these are older, and many VMs would choose the
	// same engine.
	crossZoneCost      = 8.0
	aggregatedZoneCost = 200.0
	// runningGenerationCost is the delay that one more running generation adds to the decoding steps of the others.
	runningGenerationCost = 6.0
	// memoryPressureCost is added in proportion as the expected memory use goes from memoryPressureThreshold to 1.
	// An engine that runs out of memory preempts generations, which costs a second or more.
	memoryPressureCost      = 3000.0
	memoryPressureThreshold = 0.7
	// ordinaryMemoryLimit and urgentMemoryLimit are the shares of an engine's memory up to which it accepts new
	// generations; the urgent limit applies to the highest priority, zero. The rest is kept for generations that
	// move there and for the growth of running ones.
	ordinaryMemoryLimit = 0.85
	urgentMemoryLimit   = 1.0
	// prefillObjectiveShare is the part of the latency objective that the prefill backlog of an engine may take.
	prefillObjectiveShare = 0.6
	// copyMemoryLimit and moveMemoryLimit are the shares of an engine's memory up to which it accepts copies, and
	// generations that move. Copies are also refused once all engines together use more than copyMemoryLimit: soon new
	// generations would need the memory.
	copyMemoryLimit = 0.6
	moveMemoryLimit = 0.95
	// crossZoneTransferWeight scales the weight of engines in other zones, to which transfers take twice as long.
	crossZoneTransferWeight = 0.1
	// plainRequestCost is the cost of the requests in progress at a plain target that fill all its slots.
	plainRequestCost = 100.0
	// failureCost is the penalty of a target that fails all requests.
	failureCost = 2000.0
	// slowStartCost is the penalty of a target that is warming up.
	slowStartCost = 150.0
	// scoreJitter keeps VMs with the same view of the loads from choosing the same target.
	scoreJitter = 4.0
	// sampledTargets is the mean number of targets of other zones that a choice considers where their loads are known only
	// as zone totals. These are half a second old: if all VMs compared all targets, all would choose the same one.
	sampledTargets = 2.0
)

// Lease is the reservation of one request or one copy at a target. It is held until Done is called.
type Lease struct {
	Target roster.Target
	// ExpectedFirstEvent is the expected delay until the first event.
	ExpectedFirstEvent time.Duration
	// CandidateCount is the number of targets that may take work, with free capacity or without.
	CandidateCount int
	// Wait is the wait for the reservation; zero if there was none.
	Wait Wait

	table          *Table
	target         *target
	load           Load
	promptTokens   int
	sentAt         time.Time
	prefillBacklog float64
	firstEventSeen bool
	// urgent is the part of the urgent demand that ends with the lease.
	urgent UrgentDemand
	// sendCounted is set once the request has been counted at a target with a request limit.
	sendCounted bool
	done        bool
	// wasLeaving and pausedUntil are what the target had said when it was reserved.
	wasLeaving  bool
	pausedUntil time.Time
}

// Pick chooses a target and reserves it. The error is an *apierror.Error.
func (t *Table) Pick(q Query, now time.Time) (*Lease, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expirePeerReports(now)
	s := t.services[q.Service]
	if s == nil {
		return nil, apierror.Newf(apierror.KindNotRun, "come back after the time given", "no target of service %q is known", q.Service)
	}
	return t.pick(s, &q, now)
}

// pick requires the lock. The error is of kind overloaded if targets are available but none has capacity. It is a
// *limitError if one has capacity but no permit within its request limit.
func (t *Table) pick(s *service, q *Query, now time.Time) (*Lease, error) {
	var best *target
	var candidates int
	if q.Copy || q.Move {
		best, candidates = t.drawTransferTarget(s, q, now)
	} else {
		best, candidates = t.lowestScoreTarget(s, q, now)
	}
	if best == nil && !q.Copy && !q.Move {
		if limited := t.limitedTarget(s, q, now); limited != nil {
			return nil, limited
		}
	}
	if best == nil && candidates == 0 {
		if paused := t.pausedTargets(s, q, now); paused != nil {
			return nil, paused
		}
		if evacuated := t.evacuatedTargets(s, q, now); evacuated != nil {
			return nil, evacuated
		}
	}
	if best == nil && candidates > 0 {
		return nil, apierror.Newf(apierror.KindOverloaded, "come back after the time given",
			"none of the %d targets of service %q that serve has room for %d tokens; lacking: %s; passed over: %s", candidates, q.Service, q.memory(), q.lacking, t.passedOver(s, now))
	}
	if best == nil && q.VersionFixed {
		return nil, apierror.Newf(apierror.KindNotRun, "send the request again from its start",
			"none of the %d targets of service %q has software version %q, at which the stream began", len(s.targets), q.Service, q.Version)
	}
	if best == nil {
		return nil, apierror.Newf(apierror.KindNotRun, "come back after the time given",
			"none of the %d targets of service %q may take the request", len(s.targets), q.Service)
	}
	return t.reserve(best, q, now, candidates), nil
}

// lowestScoreTarget returns the target with the lowest score among the candidates with capacity, and the number of
// candidates. Candidates are the targets that are not excluded and can take work, with free capacity or without.
//
// Where a target has capacity but no permit within its request limit, a permit is asked for in passing if another target
// takes the request, so that the limited one remains in use.
func (t *Table) lowestScoreTarget(s *service, q *Query, now time.Time) (best *target, candidates int) {
	lowest := math.Inf(1)
	var withoutPermit, skipped, missing *target
	skippedCount := 0
	sampleShare := t.sampleShare(s)
	q.kept, q.lacking = t.keptRoomFor(s, q, now), shortages{}
	for _, candidate := range s.targets {
		if !q.accepts(candidate, now) {
			continue
		}
		candidates++
		if lacking := t.shortage(s, candidate, q); lacking != noShortage {
			q.lacking[lacking]++
			continue
		}
		if !t.limits.MayTake(candidate.Target, now) {
			withoutPermit = candidate
			continue
		}
		if candidate.isLastChoice(now) {
			missing = candidate
			continue
		}
		if sampleShare < 1 && candidate.Zone != t.self.Zone && t.random.Float64() >= sampleShare {
			skippedCount++
			if t.random.IntN(skippedCount) == 0 {
				skipped = candidate
			}
			continue
		}
		if score := t.score(s, candidate, q, now) + t.random.Float64()*scoreJitter; score < lowest {
			best, lowest = candidate, score
		}
	}
	if best == nil {
		best = skipped // any target outside the sample is better than a refusal
	}
	if best == nil {
		best = missing // it may only have to register again
	}
	if best != nil && withoutPermit != nil {
		t.limits.Ask(withoutPermit.Target, false, 0, now)
	}
	return best, candidates
}

// sampleShare returns the probability with which a target of another zone is considered.
func (t *Table) sampleShare(s *service) float64 {
	if t.zoneAggregates == 0 {
		return 1
	}
	return sampledTargets / float64(len(s.targets))
}

// drawTransferTarget picks the engine that receives the memory of a generation, at random and weighted by free
// memory. When an engine leaves, many VMs choose at the same moment from the same view; always choosing the engine
// with the most free memory would overfill it. Each engine replaces the one drawn before it with the probability
// weight/total, so that one pass draws in proportion to the weights. Engines that name a request limit are in need, and
// they and cold ones receive no transfers.
func (t *Table) drawTransferTarget(s *service, q *Query, now time.Time) (drawn *target, candidates int) {
	if q.Copy && s.memoryUse(q, now) > copyMemoryLimit {
		return nil, len(s.targets)
	}
	total := 0.0
	for _, candidate := range s.targets {
		if !q.accepts(candidate, now) {
			continue
		}
		candidates++
		weight := candidate.transferWeight(q)
		if weight <= 0 || candidate.isLastChoice(now) || t.takesNoTransfers(candidate, now) {
			continue
		}
		total += weight
		if t.random.Float64()*total < weight {
			drawn = candidate
		}
	}
	return drawn, candidates
}

// memoryUse returns the share of the memory of all engines that can take work that is in use.
func (s *service) memoryUse(q *Query, now time.Time) float64 {
	used, usable := 0, 0
	for _, member := range s.targets {
		if member.canTakeWork(now) {
			used += member.ownLoad.MemoryTokens + member.peerLoad.MemoryTokens
			usable++
		}
	}
	if usable == 0 {
		return 1
	}
	return float64(used) / float64(usable*q.MemoryTokens)
}

// transferWeight returns the engine's free memory in tokens, scaled down in other zones; zero if the generation
// does not fit.
func (t *target) transferWeight(q *Query) float64 {
	limit := moveMemoryLimit
	if q.Copy {
		limit = copyMemoryLimit
	}
	free := limit*float64(q.MemoryTokens) - float64(t.ownLoad.MemoryTokens+t.peerLoad.MemoryTokens)
	if free < float64(q.memory()) || t.ownLoad.Requests+t.peerLoad.Requests >= t.Slots {
		return 0
	}
	if t.Zone != q.Zone {
		free *= crossZoneTransferWeight
	}
	return free
}

// PickTarget reserves the given target, which already holds the memory of the generation. It returns false if the
// target may take no work, or names a request limit and there is no permit.
func (t *Table) PickTarget(wanted roster.Target, q Query, now time.Time) (*Lease, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expirePeerReports(now)
	q.Excluded = nil // a target that failed an earlier attempt still holds the memory
	current := t.targets[wanted.ID]
	if current == nil || !current.SameIncarnation(wanted) || !q.accepts(current, now) || !q.Copy && t.takesNoTransfers(current, now) && !t.limits.MayTake(current.Target, now) {
		return nil, false
	}
	return t.reserve(current, &q, now, 1), true
}

// ReserveLeaving reserves a target that may be leaving, for a generation that no other target can take.
func (t *Table) ReserveLeaving(wanted roster.Target, q Query, now time.Time) *Lease {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expirePeerReports(now)
	current := t.targets[wanted.ID]
	if current == nil || !current.SameIncarnation(wanted) {
		current = &target{Target: wanted, leaving: true, service: &service{prefillRate: defaultPrefillRate}}
	}
	return t.reserve(current, &q, now, 1)
}

func (t *Table) reserve(chosen *target, q *Query, now time.Time, candidates int) *Lease {
	lease := &Lease{Target: chosen.Target, CandidateCount: candidates, table: t, target: chosen, load: q.load(), promptTokens: q.PromptTokens, sentAt: now, wasLeaving: chosen.leaving, pausedUntil: chosen.pause.until}
	lease.prefillBacklog = float64(chosen.ownLoad.PrefillTokens + chosen.peerLoad.PrefillTokens + q.prefill())
	lease.ExpectedFirstEvent = time.Duration(lease.prefillBacklog / chosen.service.prefillRate * float64(time.Millisecond))
	chosen.ownLoad.add(lease.load)
	if chosen.service.isUrgent(q) && !q.Copy {
		lease.urgent = UrgentDemand{Running: 1, Tokens: q.memory()}
		chosen.service.recordUrgent(lease.urgent, now)
	}
	if !q.Copy {
		chosen.pause.requestSent(now)
	}
	if !q.Copy && !q.Move {
		lease.sendCounted = true
		t.limits.Take(chosen.Target, now)
	}
	if t.onLoadChange != nil && (q.MemoryTokens > 0 || t.limits.IsBrittle(chosen.Target)) {
		t.onLoadChange()
	}
	return lease
}

// score estimates in milliseconds what choosing the target costs this request and others.
func (t *Table) score(s *service, candidate *target, q *Query, now time.Time) float64 {
	load := candidate.ownLoad
	load.add(candidate.peerLoad)
	score := failureCost * candidate.health.failureRate()
	if candidate.Zone != q.Zone {
		score += t.zoneSurcharge()
		if q.NotResumable {
			score += float64(q.prefill()) / s.prefillRate
		}
	}
	if now.Before(candidate.slowStartUntil) {
		score += slowStartCost
	}
	if q.MemoryTokens == 0 {
		return score + plainRequestCost*float64(load.Requests)/float64(max(candidate.Slots, 1))
	}
	score += float64(load.PrefillTokens+q.prefill()) / s.prefillRate
	score += runningGenerationCost * float64(load.Requests)
	score += s.versionCost(candidate, q)
	used := float64(load.MemoryTokens+q.memory()) / float64(q.MemoryTokens)
	if used > memoryPressureThreshold {
		score += memoryPressureCost * (used - memoryPressureThreshold) / (1 - memoryPressureThreshold)
	}
	return score
}

// FirstEvent records that the first event, or the whole response, has arrived.
func (l *Lease) FirstEvent(now time.Time) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if l.firstEventSeen || l.done {
		return
	}
	l.firstEventSeen = true
	l.target.health.answered(now)
	l.target.pause.unanswered = false
	l.target.ownLoad.PrefillTokens -= l.load.PrefillTokens
	l.load.PrefillTokens = 0
	if l.table.onLoadChange != nil && l.promptTokens > 0 {
		l.table.onLoadChange()
	}
	if elapsedMillis := now.Sub(l.sentAt).Seconds() * 1000; elapsedMillis > 0 && l.prefillBacklog > 0 {
		s := l.target.service
		s.prefillRate += prefillRateWeight * (max(l.prefillBacklog/elapsedMillis, minPrefillRate) - s.prefillRate)
	}
}

// Progress records the total number of tokens that the generation has produced.
func (l *Lease) Progress(produced int) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if growth := l.promptTokens + produced - l.load.MemoryTokens; growth > 0 && !l.done {
		l.load.MemoryTokens += growth
		l.target.ownLoad.MemoryTokens += growth
	}
}

// IsLeaving reports whether the target is leaving, or is no longer listed in this incarnation.
func (t *Table) IsLeaving(wanted roster.Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.targets[wanted.ID]
	return current == nil || !current.SameIncarnation(wanted) || current.leaving
}

// Done releases the reservation. Later calls have no effect.
func (l *Lease) Done(outcome Outcome, now time.Time) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if l.done {
		return
	}
	l.done = true
	l.target.ownLoad.subtract(l.load)
	if !l.target.leaving {
		l.target.service.released.record(l.load.MemoryTokens, now)
	}
	l.target.service.recordUrgent(l.urgent.times(-1), now)
	if l.table.onLoadChange != nil && (outcome == Moved || outcome == Unreachable || l.table.limits.IsBrittle(l.Target)) {
		l.table.onLoadChange() // other VMs wait for their turn to move generations, or for a slot, or should avoid the target
	}
	l.target.health.record(outcome, now)
	if outcome == Unreachable {
		l.table.limits.Unreachable(l.Target, l.target.health.blockedUntil, now)
	}
	if outcome == Answered {
		l.target.pause.unanswered = false
		l.target.service.recordServiceTime(now.Sub(l.sentAt))
	}
	l.table.wakeWaiters()
}
