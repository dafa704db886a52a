package admission

import (
	"slices"
	"sync"
	"time"

	"godwitcart/internal/apierror"
	"godwitcart/internal/lengths"
	"godwitcart/internal/routing"
)

// serviceQueue holds the waiting requests of one service, guarded by its own lock.
type serviceQueue struct {
	service    string
	controller *Controller

	mu sync.Mutex
	// classes are sorted by descending priority.
	classes     []*classQueue
	waiterCount int
	grantRate   grantRateAverage
	timerArmed  bool
}

// delivery is a decision that is delivered after the queue is unlocked.
type delivery struct {
	deliver func(*Grant, error)
	grant   *Grant
	err     error
}

func deliverAll(deliveries []delivery) {
	for _, d := range deliveries {
		d.deliver(d.grant, d.err)
	}
}

// submit enqueues the waiter or refuses it, and grants the requests that fit.
func (q *serviceQueue) submit(w *waiter, now time.Time) {
	q.mu.Lock()
	deliveries := q.enqueue(w, now)
	if !w.done {
		deliveries = q.grantWaiters(deliveries, now)
	}
	if !w.done {
		deliveries = q.refuseIfLate(deliveries, w, now)
	}
	q.grantRate.setBacklogged(q.waiterCount > 0, now)
	q.armTimer()
	q.mu.Unlock()
	deliverAll(deliveries)
}

// process ends expired waits and grants the requests that fit.
func (q *serviceQueue) process(now time.Time) {
	q.mu.Lock()
	deliveries := q.expireWaiters(nil, now)
	deliveries = q.grantWaiters(deliveries, now)
	q.grantRate.setBacklogged(q.waiterCount > 0, now)
	q.armTimer()
	q.mu.Unlock()
	deliverAll(deliveries)
}

// armTimer schedules another pass while requests wait, since nothing else may trigger one. The caller holds the
// lock.
func (q *serviceQueue) armTimer() {
	if q.timerArmed || q.waiterCount == 0 {
		return
	}
	q.timerArmed = true
	q.controller.options.AfterFunc(recheckInterval, func() {
		q.mu.Lock()
		q.timerArmed = false
		q.mu.Unlock()
		q.process(q.controller.options.Now())
	})
}

// cancel removes the waiter and reports whether it was still waiting.
func (q *serviceQueue) cancel(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.done {
		return false
	}
	q.removeWaiter(w)
	return true
}

func (q *serviceQueue) removeWaiter(w *waiter) {
	q.classQueueFor(w.ticket.Class, w.ticket.Priority).remove(w)
	q.waiterCount--
}

// classQueueFor returns the queue of the class, creating it on first use, and updates its priority.
func (q *serviceQueue) classQueueFor(name string, priority int) *classQueue {
	for _, c := range q.classes {
		if c.name == name {
			if c.priority != priority {
				c.priority = priority
				q.sortClasses()
			}
			return c
		}
	}
	c := &classQueue{name: name, priority: priority, accounts: make(map[string]*accountQueue)}
	q.classes = append(q.classes, c)
	q.sortClasses()
	return c
}

func (q *serviceQueue) sortClasses() {
	slices.SortStableFunc(q.classes, func(a, b *classQueue) int { return b.priority - a.priority })
}

// enqueue adds the waiter and returns the refusal, if any, that this causes. If the queue is full, the waiter replaces
// the one that waiterToEvict selects, or is refused itself. Retries are added to a full queue too.
func (q *serviceQueue) enqueue(w *waiter, now time.Time) []delivery {
	var deliveries []delivery
	if q.waiterCount >= q.controller.options.MaxWaiting && !w.ticket.Retry {
		evicted := q.waiterToEvict(w)
		if evicted == w {
			w.done = true
			return append(deliveries, q.refusal(w, q.overloadedError(w, now)))
		}
		q.removeWaiter(evicted)
		deliveries = append(deliveries, q.refusal(evicted, q.overloadedError(evicted, now)))
	}
	w.enqueuedAt = now
	w.reason = WaitQueued
	w.deadline = now.Add(q.controller.options.MaxWait)
	if !w.ticket.Deadline.IsZero() {
		w.deadline = w.ticket.Deadline
	}
	w.cost = q.expectedCost(&w.ticket)
	q.classQueueFor(w.ticket.Class, w.ticket.Priority).push(w)
	q.waiterCount++
	return deliveries
}

// waiterToEvict returns the waiter to refuse when the queue is full; retries are never chosen. If classes below the
// newcomer's priority have waiters, it is one of the lowest such class. Otherwise, it is one of the busiest account in
// the newcomer's class, if that account has more waiters than the newcomer's would have. In both cases it is the
// newest waiter of the class's busiest account. If there is none, the newcomer is returned.
func (q *serviceQueue) waiterToEvict(newcomer *waiter) *waiter {
	for i := len(q.classes) - 1; i >= 0; i-- {
		c := q.classes[i]
		if c.priority < newcomer.ticket.Priority && c.newestOfBusiestAccount() != nil {
			return c.newestOfBusiestAccount()
		}
		if c.name != newcomer.ticket.Class {
			continue
		}
		newest := c.newestOfBusiestAccount()
		if newest != nil && c.accountWaiterCount(newcomer.ticket.Account)+1 < len(newest.accountQueue.waiters) {
			return newest
		}
	}
	return newcomer
}

// expectedCost returns the expected work of the ticket, in output tokens.
func (q *serviceQueue) expectedCost(ticket *Ticket) float64 {
	estimator := q.controller.options.Lengths
	if estimator == nil || ticket.Variant.Model == "" {
		return 1
	}
	curve := estimator.Curve(lengths.Key{Service: ticket.Service, Class: ticket.Class, Account: ticket.Account})
	output := curve.Mean()
	if ticket.MaxTokens > 0 {
		output = min(output, float64(ticket.MaxTokens))
	}
	return float64(ticket.PromptTokens)/promptTokensPerCost + output
}

// promptTokensPerCost is the number of prompt tokens that cost as much as one output token.
const promptTokensPerCost = 8

// grantWaiters grants waiting requests, the highest class first, until routing finds no more capacity. Once a
// variant has no capacity for a class, lower classes are not tried for it in this round, so that they cannot take
// capacity ahead of that class.
func (q *serviceQueue) grantWaiters(deliveries []delivery, now time.Time) []delivery {
	if q.waiterCount == 0 {
		return deliveries
	}
	r := &grantRound{now: now}
	for {
		w := q.nextWaiter(r)
		if w == nil {
			return deliveries
		}
		if d, waitEnded := q.tryGrant(w, r); waitEnded {
			deliveries = append(deliveries, d)
		}
	}
}

// nextWaiter returns the waiter to try next, or nil: of the next waiters of all classes, the one with the highest rank
// after ageing.
func (q *serviceQueue) nextWaiter(r *grantRound) *waiter {
	var best *waiter
	bestRank := 0.0
	for i, c := range q.classes {
		if c.waiterCount == 0 {
			continue
		}
		w := c.nextWaiter(r)
		if w == nil {
			continue
		}
		rank := float64(len(q.classes)-i) + q.agedRanks(w, r.now)
		if best == nil || rank > bestRank {
			best, bestRank = w, rank
		}
	}
	return best
}

// agedRanks returns the number of ranks that the waiter has gained by waiting.
func (q *serviceQueue) agedRanks(w *waiter, now time.Time) float64 {
	return float64(now.Sub(w.enqueuedAt) / q.controller.options.AgeStep)
}

// tryGrant asks routing for a target for the waiter. If that ends the wait, with a grant or an error, it returns the
// delivery and true. Otherwise it excludes the waiter from the rest of the round, along with its account or variant if
// they are the cause.
func (q *serviceQueue) tryGrant(w *waiter, r *grantRound) (delivery, bool) {
	if !q.controller.accounts.startRequest(&w.ticket) {
		w.reason = WaitConcurrency
		r.markAtLimit(w)
		return delivery{}, false
	}
	choice, err := q.controller.picker.Pick(q.routingQuery(w, r.now), r.now)
	if err != nil {
		q.controller.accounts.endRequest(w.ticket.Account)
		return q.recordPickError(w, r, err)
	}
	c := q.classQueueFor(w.ticket.Class, w.ticket.Priority)
	c.chargeWaiter(w)
	q.removeWaiter(w)
	q.grantRate.addGrant()
	q.controller.counters.granted.Add(1)
	grant := &Grant{Choice: choice, Waited: r.now.Sub(w.enqueuedAt), controller: q.controller, queue: q, account: w.ticket.Account}
	return delivery{deliver: w.deliver, grant: grant}, true
}

func (r *grantRound) markAtLimit(w *waiter) {
	if w.accountQueue == nil {
		r.skipWaiter(w)
		return
	}
	if r.accountsAtLimit == nil {
		r.accountsAtLimit = make(map[string]struct{})
	}
	r.accountsAtLimit[w.ticket.Account] = struct{}{}
}

func (r *grantRound) skipWaiter(w *waiter) {
	if r.skipped == nil {
		r.skipped = make(map[*waiter]struct{})
	}
	r.skipped[w] = struct{}{}
}

// recordPickError records why the waiter keeps waiting and excludes its variant from the rest of the round. A waiter
// with excluded targets is skipped alone, since other waiters may use those targets. An error that waiting cannot
// resolve ends the wait: it is returned as a delivery, with true.
func (q *serviceQueue) recordPickError(w *waiter, r *grantRound, err error) (delivery, bool) {
	switch apierror.KindOf(err) {
	case apierror.KindOverloaded:
		w.reason = WaitNoCapacity
	case apierror.KindNotRun:
		w.reason = WaitNoTarget
	default:
		q.removeWaiter(w)
		return delivery{deliver: w.deliver, err: err}, true
	}
	if len(w.ticket.Excluded) > 0 {
		r.skipWaiter(w)
		return delivery{}, false
	}
	r.variantsWithoutCapacity = append(r.variantsWithoutCapacity, w.ticket.Variant)
	return delivery{}, false
}

func (q *serviceQueue) routingQuery(w *waiter, now time.Time) routing.Query {
	t := &w.ticket
	return routing.Query{
		Service:      t.Service,
		Variant:      t.Variant,
		Account:      t.Account,
		Class:        t.Class,
		Priority:     t.Priority,
		PromptTokens: t.PromptTokens,
		MaxTokens:    t.MaxTokens,
		PrefixHashes: t.PrefixHashes,
		Excluded:     t.Excluded,
		Aged:         q.agedRanks(w, now) >= 1,
		Preempt:      now.Sub(w.enqueuedAt) >= q.controller.options.PreemptAfter,
	}
}
