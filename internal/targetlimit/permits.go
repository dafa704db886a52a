package targetlimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"godwitcart/internal/roster"
)

const (
	// permitTTL is how long a permit may be used after it has become usable.
	permitTTL = time.Second
	// askTimeout is the time after which a question counts as lost, and its answer as too old.
	askTimeout = 300 * time.Millisecond
	// maxOpenAsks is the number of unanswered questions about one target.
	maxOpenAsks = 4
	// maxAskPause bounds the time for which a refusal keeps a VM from asking again, so that permits that others leave
	// unused are found.
	maxAskPause = time.Second
	// noCoordinatorPause is the pause before the next question while no coordinator is known.
	noCoordinatorPause = 200 * time.Millisecond
	// spareAsksPerPermit is how often all VMs together ask for each permit of a target that they do not need.
	spareAsksPerPermit = 2
	minSparePause      = 250 * time.Millisecond
	maxSparePause      = 10 * time.Second
	// maxWaitingAtLimit and maxWaitingAtBrittle are the numbers of requests of a VM that wait for permits of a target with a
	// request limit, and of one that is only brittle: the latter takes many more.
	maxWaitingAtLimit   = 4
	maxWaitingAtBrittle = 16
	// maxOverdrawn bounds the permits that requests without one use up in advance, so that a burst of them does not keep
	// others from the target for long.
	maxOverdrawn = 8
)

// permit is the permission to send one request.
type permit struct{ usableAt, expiresAt time.Time }

// openAsk is a question that the coordinator has not answered yet.
type openAsk struct {
	number uint32
	urgent bool
	sentAt time.Time
}

// permits is what a VM holds of the permits at one target.
type permits struct {
	unused []permit
	asks   []openAsk
	// overdrawn counts requests that were sent without a permit. Each takes one of the next permits.
	overdrawn int
	// nextAskAt is when the next question is useful after a refusal, and nextPermitAt when a permit was then expected.
	nextAskAt, nextPermitAt time.Time
	nextSpareAskAt          time.Time
}

// inForce returns the limit of the incarnation, or nil if none is in force. The caller holds mu.
func (l *Ledger) inForce(target Incarnation) *limit {
	if known := l.limits[target]; known != nil && known.isInForce() {
		return known
	}
	return nil
}

// MayTake reports whether a request may be sent to the target now: it has no limit, or this VM has a permit there. The
// coordinator has those that are saved up beyond what an urgent request of another VM may need. At a cold target, it must
// be this VM's turn.
func (l *Ledger) MayTake(target roster.Target, now time.Time) bool {
	return l.options.Cold.mayTake(target, now) && l.hasPermit(target, now)
}

func (l *Ledger) hasPermit(target roster.Target, now time.Time) bool {
	if !l.Active() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.inForce(IncarnationOf(target))
	if known == nil {
		return true
	}
	known.permits.expire(now)
	return known.permits.usable(now) >= 0 || l.isCoordinator() && l.waitForPermit(known, false, now) == 0
}

// NamesLimit reports whether the target has named a limit.
func (l *Ledger) NamesLimit(target roster.Target) bool { return l.statementInForce(target).Limited }

// IsCold reports whether the target is cold and has a limit for that time.
func (l *Ledger) IsCold(target roster.Target, now time.Time) bool {
	return l.options.Cold.isCold(target, now)
}

// Unreachable records that the target could not be reached and gets no requests of this VM until the given time.
func (l *Ledger) Unreachable(target roster.Target, until, now time.Time) {
	l.options.Cold.Unreachable(target, until, now)
}

// IsBrittle reports whether the target says that it is brittle.
func (l *Ledger) IsBrittle(target roster.Target) bool { return l.statementInForce(target).Brittle > 0 }

// IsLimited reports whether requests to the target need permits.
func (l *Ledger) IsLimited(target roster.Target) bool {
	return l.statementInForce(target).isInForce()
}

// statementInForce returns what the target says about its limit and of being brittle; the zero Statement for nothing.
func (l *Ledger) statementInForce(target roster.Target) Statement {
	if !l.Active() {
		return Statement{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.inForce(IncarnationOf(target)); known != nil {
		return known.Statement
	}
	return Statement{}
}

// Take counts a request that is sent to the target, also if there is no permit for it.
func (l *Ledger) Take(target roster.Target, now time.Time) {
	l.options.Cold.take(target, now)
	if !l.Active() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.inForce(IncarnationOf(target))
	if known == nil {
		return
	}
	l.metrics.sent.Inc(1)
	if i := known.permits.usable(now); i >= 0 {
		known.permits.unused = slices.Delete(known.permits.unused, i, i+1)
		return
	}
	if l.isCoordinator() {
		known.schedule.advance(l.rate(known), now)
		known.schedule.balance--
		return
	}
	l.metrics.overdrawn.Inc(1)
	known.permits.overdrawn = min(known.permits.overdrawn+1, maxOverdrawn)
}

// Ask asks the coordinator for a permit at the target, unless a question is open or the last refusal makes it pointless.
// A request that is urgent needs the permit within its patience.
func (l *Ledger) Ask(target roster.Target, urgent bool, patience time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.inForce(IncarnationOf(target))
	if known == nil {
		return
	}
	known.permits.expire(now)
	if len(known.permits.asks) >= maxOpenAsks || now.Before(known.permits.nextAskAt) || !urgent && !known.permits.startSpareAsk(l.sparePause(known), now) {
		return
	}
	if l.coordination.Coordinator == "" {
		known.permits.refuse(noCoordinatorPause, now)
		return
	}
	l.askNumber++
	known.permits.asks = append(known.permits.asks, openAsk{number: l.askNumber, urgent: urgent, sentAt: now})
	ask := Ask{Target: IncarnationOf(target), Number: l.askNumber, Urgent: urgent, Patience: patience}
	if l.coordination.Coordinator == l.options.VM {
		l.receiveAnswer(known, l.answer(known, ask, now), now)
		return
	}
	l.options.Transmit(l.coordination.Coordinator, Message{Ask: &ask})
}

// Wait returns the time until a permit at the target is expected, and whether asking is pointless until then.
func (l *Ledger) Wait(target roster.Target, now time.Time) (wait time.Duration, refused bool) {
	if wait, cold := l.options.Cold.wait(target, now); cold {
		return wait, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.inForce(IncarnationOf(target))
	if known == nil {
		return 0, false
	}
	return max(known.permits.nextPermitAt.Sub(now), 0), now.Before(known.permits.nextAskAt)
}

// MaxWaiting returns how many requests of a VM may wait for permits at the target.
func (l *Ledger) MaxWaiting(target roster.Target, now time.Time) int {
	if l.options.Cold.isCold(target, now) {
		return maxWaitingAtCold
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.inForce(IncarnationOf(target)); known != nil && !known.Limited {
		return maxWaitingAtBrittle
	}
	return maxWaitingAtLimit
}

// Describe returns the limit of the target, who gives out its permits, and the source and age of the statement; empty
// for none.
func (l *Ledger) Describe(target roster.Target, now time.Time) string {
	if cold := l.options.Cold.describe(target, now); cold != "" {
		return cold
	}
	if !l.Active() {
		return ""
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.inForce(IncarnationOf(target))
	if known == nil {
		return ""
	}
	if known.Brittle > 0 {
		return fmt.Sprintf("brittle, %.1f/s by %s, stated to %s %d ms ago", l.fullRate(known), l.coordination.Coordinator, known.source, now.Sub(known.statedAt).Milliseconds())
	}
	return fmt.Sprintf("%g/s by %s, stated to %s %d ms ago", known.PerSecond, l.coordination.Coordinator, known.source, now.Sub(known.statedAt).Milliseconds())
}

// receiveAnswer records the answer to an open question. The caller holds mu.
func (l *Ledger) receiveAnswer(known *limit, answer Answer, now time.Time) {
	known.permits.expire(now)
	i := slices.IndexFunc(known.permits.asks, func(open openAsk) bool { return open.number == answer.Number })
	if i < 0 {
		return
	}
	urgent := known.permits.asks[i].urgent
	known.permits.asks = slices.Delete(known.permits.asks, i, i+1)
	if !answer.Granted {
		l.metrics.refused.Inc(1)
		if urgent {
			known.permits.refuse(answer.Wait, now)
			l.permitAvailable(0) // the waiting requests learn of the refusal
		}
		return
	}
	l.metrics.granted.Inc(1)
	if known.permits.overdrawn > 0 {
		known.permits.overdrawn--
		return
	}
	usableAt := now.Add(answer.Wait)
	known.permits.unused = append(known.permits.unused, permit{usableAt: usableAt, expiresAt: usableAt.Add(permitTTL)})
	l.permitAvailable(answer.Wait)
}

func (l *Ledger) permitAvailable(after time.Duration) {
	if l.options.PermitAvailable != nil {
		l.options.PermitAvailable(after)
	}
}

// sparePause returns the pause between two questions for a permit that is not needed. It grows with the number of VMs
// that ask. The caller holds mu.
func (l *Ledger) sparePause(known *limit) time.Duration {
	rate := spareAsksPerPermit * l.fullRate(known)
	pause := time.Duration(float64(l.coordination.Known) / rate * float64(time.Second))
	return min(max(pause, minSparePause), maxSparePause)
}

// startSpareAsk reports whether a question for a permit that is not needed is due.
func (p *permits) startSpareAsk(pause time.Duration, now time.Time) bool {
	if len(p.unused) > 0 || len(p.asks) > 0 || now.Before(p.nextSpareAskAt) {
		return false
	}
	p.nextSpareAskAt = now.Add(pause/2 + rand.N(pause))
	return true
}

func (p *permits) refuse(wait time.Duration, now time.Time) {
	p.nextPermitAt = now.Add(wait)
	p.nextAskAt = now.Add(min(wait/2, maxAskPause))
}

// usable returns the index of a permit that may be used now, or -1.
func (p *permits) usable(now time.Time) int {
	return slices.IndexFunc(p.unused, func(unused permit) bool { return !now.Before(unused.usableAt) && now.Before(unused.expiresAt) })
}

// expire drops the permits that were not used and the questions that were not answered in time.
func (p *permits) expire(now time.Time) {
	p.unused = slices.DeleteFunc(p.unused, func(unused permit) bool { return !now.Before(unused.expiresAt) })
	p.asks = slices.DeleteFunc(p.asks, func(open openAsk) bool { return now.Sub(open.sentAt) >= askTimeout })
}
