package placement

import (
	"math"
	"time"

	"godwitcart/internal/apierror"
	"godwitcart/internal/roster"
)

// The weights of a score. A score is the time in milliseconds after which the first event is expected, with
// surcharges for what the choice may cost later.
const (
	// assumedPrefillRate is used until prompts have been timed, in tokens a millisecond: half of the rate
	// that engines reach without other work.
	assumedPrefillRate = 7.0
	// rateWeight is the weight of one timed prompt in the observed rate.
	rateWeight = 0.05
	// minPrefillRate keeps one very late event from stopping all work.
	minPrefillRate = 1.0
	// nearZoneCost covers the way to another zone and back, and the price of the traffic. summedZoneCost holds
	// where the loads of another zone are known only by its sums, which are older: many VMs would choose the
	// same engine of it.
	nearZoneCost   = 8.0
	summedZoneCost = 200.0
	// runningCost is what one more running generation adds to the steps of the others.
	runningCost = 6.0
	// fullMemoryCost is added as the expected memory goes from highMemory to all of it: an engine that runs
	// out preempts generations, which costs a second and more.
	fullMemoryCost = 3000.0
	highMemory     = 0.7
	// ordinaryMemory and urgentMemory are the shares of an engine's memory up to which it takes new
	// generations: what is left is for those that move there and for the growth of those that run.
	ordinaryMemory = 0.85
	urgentMemory   = 1.0
	// backlogShare is the part of the objective that the prompts at an engine may take to be read.
	backlogShare = 0.6
	// copyMemory and movedMemory are the shares of an engine's memory up to which it takes copies, and
	// generations that move.
	copyMemory  = 0.25
	movedMemory = 0.95
	// otherZoneTransfer is the weight of engines in other zones, to which transfers take twice as long.
	otherZoneTransfer = 0.1
	// plainRequestCost is what a request in progress adds at a plain target, in its slots.
	plainRequestCost = 100.0
	// failureCost is added to a target that fails all requests.
	failureCost = 2000.0
	// slowStartCost is added while a target warms up.
	slowStartCost = 150.0
	// jitter keeps VMs that see the same loads from choosing the same target.
	jitter = 4.0
)

// Lease is the reservation of one request, or of one copy, at a target. Done must be called once.
type Lease struct {
	Target roster.Target
	// Expected is the time after which the first event is expected.
	Expected time.Duration
	// Candidates is the number of targets that could be chosen.
	Candidates int

	table   *Table
	target  *target
	load    Load
	prompt  int
	sentAt  time.Time
	backlog float64
	started bool
	done    bool
}

// Pick chooses a target and reserves it. The error is an *apierror.Error.
func (t *Table) Pick(q Query, now time.Time) (*Lease, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[q.Service]
	if s == nil {
		return nil, apierror.Newf(apierror.KindNotRun, "come back after the time given", "no target of service %q is known", q.Service)
	}
	return t.pick(s, &q, now)
}

// pick is called with the lock held. The error is of kind overloaded where targets serve and none has room.
func (t *Table) pick(s *service, q *Query, now time.Time) (*Lease, error) {
	var best *target
	var candidates int
	if q.Copy || q.Move {
		best, candidates = t.drawTransfer(s, q, now)
	} else {
		best, candidates = t.lowestScore(s, q, now)
	}
	if best == nil && candidates > 0 {
		return nil, apierror.Newf(apierror.KindOverloaded, "come back after the time given",
			"none of the %d targets of service %q that serve has room for %d tokens", candidates, q.Service, q.memory())
	}
	if best == nil {
		return nil, apierror.Newf(apierror.KindNotRun, "come back after the time given",
			"none of the %d targets of service %q may take the request", len(s.targets), q.Service)
	}
	return t.reserve(best, q, now, candidates), nil
}

// hasRoom reports whether a new generation fits the target's memory and slots, and its first event the
// objective. Plain services queue themselves.
func (s *service) hasRoom(t *target, q *Query) bool {
	if q.MemoryTokens == 0 {
		return true
	}
	limit := ordinaryMemory
	if q.Priority <= 0 {
		limit = urgentMemory
	}
	used := t.own.MemoryTokens + t.peers.MemoryTokens
	fits := float64(used+q.memory()) <= limit*float64(q.MemoryTokens) || used == 0
	if !fits || t.own.Requests+t.peers.Requests >= t.Slots {
		return false
	}
	backlog := t.own.PrefillTokens + t.peers.PrefillTokens
	expected := float64(backlog+q.prefill()) / s.prefillRate * float64(time.Millisecond)
	return q.Objective == 0 || backlog == 0 || expected <= backlogShare*float64(q.Objective)
}

// lowestScore returns the target with the lowest score of those with room, and the number of those that serve.
func (t *Table) lowestScore(s *service, q *Query, now time.Time) (best *target, candidates int) {
	lowest := math.Inf(1)
	for _, known := range s.targets {
		if q.excludes(known.ID) || !known.usable(now) {
			continue
		}
		candidates++
		if !s.hasRoom(known, q) {
			continue
		}
		if score := t.score(s, known, q, now) + t.random.Float64()*jitter; score < lowest {
			best, lowest = known, score
		}
	}
	return best, candidates
}

// drawTransfer draws the engine that takes the memory of a generation, by the memory that it has free. When an
// engine leaves, many VMs choose at the same moment on the same view; the one with the most memory for all of
// them would be full at once.
func (t *Table) drawTransfer(s *service, q *Query, now time.Time) (drawn *target, candidates int) {
	total := 0.0
	for _, known := range s.targets {
		if q.excludes(known.ID) || !known.usable(now) {
			continue
		}
		candidates++
		weight := known.transferWeight(q)
		if weight <= 0 {
			continue
		}
		total += weight
		if t.random.Float64()*total < weight {
			drawn = known
		}
	}
	return drawn, candidates
}

// transferWeight is the free memory of the engine in tokens, less where the transfer takes longer; zero where
// the memory does not fit.
func (t *target) transferWeight(q *Query) float64 {
	limit := movedMemory
	if q.Copy {
		limit = copyMemory
	}
	free := limit*float64(q.MemoryTokens) - float64(t.own.MemoryTokens+t.peers.MemoryTokens)
	if free < float64(q.memory()) || t.own.Requests+t.peers.Requests >= t.Slots {
		return 0
	}
	if t.Zone != q.Zone {
		free *= otherZoneTransfer
	}
	return free
}

// PickTarget reserves the named target, where a generation goes on whose memory is there; false means that
// it may take no work.
func (t *Table) PickTarget(wanted roster.Target, q Query, now time.Time) (*Lease, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.targets[wanted.ID]
	if known == nil || !known.SameIncarnation(wanted) || !known.usable(now) {
		return nil, false
	}
	return t.reserve(known, &q, now, 1), true
}

// Hold reserves a target that may be leaving, for a generation that has nowhere else to go.
func (t *Table) Hold(wanted roster.Target, q Query, now time.Time) *Lease {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.targets[wanted.ID]
	if known == nil || !known.SameIncarnation(wanted) {
		known = &target{Target: wanted, left: true, service: &service{prefillRate: assumedPrefillRate}}
	}
	return t.reserve(known, &q, now, 1)
}

func (t *Table) reserve(chosen *target, q *Query, now time.Time, candidates int) *Lease {
	lease := &Lease{Target: chosen.Target, Candidates: candidates, table: t, target: chosen, load: q.load(), prompt: q.PromptTokens, sentAt: now}
	lease.backlog = float64(chosen.own.PrefillTokens + chosen.peers.PrefillTokens + q.prefill())
	lease.Expected = time.Duration(lease.backlog / chosen.service.prefillRate * float64(time.Millisecond))
	chosen.own.add(lease.load)
	if q.MemoryTokens > 0 && t.placed != nil {
		t.placed()
	}
	return lease
}

// score estimates what the choice of the target costs the request and others, in milliseconds.
func (t *Table) score(s *service, known *target, q *Query, now time.Time) float64 {
	load := known.own
	load.add(known.peers)
	score := failureCost * known.health.failureShare()
	if known.Zone != q.Zone {
		score += t.otherZoneCost()
	}
	if now.Before(known.slowUntil) {
		score += slowStartCost
	}
	if q.MemoryTokens == 0 {
		return score + plainRequestCost*float64(load.Requests)/float64(max(known.Slots, 1))
	}
	score += float64(load.PrefillTokens+q.prefill()) / s.prefillRate
	score += runningCost * float64(load.Requests)
	used := float64(load.MemoryTokens+q.memory()) / float64(q.MemoryTokens)
	if used > highMemory {
		score += fullMemoryCost * (used - highMemory) / (1 - highMemory)
	}
	return score
}

// FirstEvent records that the first event, or the answer, has come.
func (l *Lease) FirstEvent(now time.Time) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if l.started || l.done {
		return
	}
	l.started = true
	l.target.own.PrefillTokens -= l.load.PrefillTokens
	l.load.PrefillTokens = 0
	if l.table.placed != nil && l.prompt > 0 {
		l.table.placed()
	}
	if waited := now.Sub(l.sentAt).Seconds() * 1000; waited > 0 && l.backlog > 0 {
		s := l.target.service
		s.prefillRate += rateWeight * (max(l.backlog/waited, minPrefillRate) - s.prefillRate)
	}
}

// Progress records the tokens that the generation has produced in all.
func (l *Lease) Progress(produced int) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if more := l.prompt + produced - l.load.MemoryTokens; more > 0 && !l.done {
		l.load.MemoryTokens += more
		l.target.own.MemoryTokens += more
	}
}

// Leaving reports whether the target is known to leave, or has left.
func (t *Table) Leaving(wanted roster.Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.targets[wanted.ID]
	return known == nil || !known.SameIncarnation(wanted) || known.left
}

// Done gives the reservation back.
func (l *Lease) Done(outcome Outcome, now time.Time) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if l.done {
		return
	}
	l.done = true
	l.target.own.subtract(l.load)
	l.target.health.record(outcome, now)
	l.table.wakeWaiters()
}
