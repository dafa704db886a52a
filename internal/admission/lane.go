package admission

import (
	"slices"
	"sync"
	"time"

	"godwitcart/internal/apierror"
	"godwitcart/internal/lengths"
	"godwitcart/internal/routing"
)

// lane holds the queues of one service under its own lock.
type lane struct {
	service    string
	controller *Controller

	mu sync.Mutex
	// classes are ordered by priority, the highest first.
	classes []*classQueue
	waiting int
	drain   drainRate
	timing  bool
}

// delivery is a decision that is handed over after the lane is unlocked.
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

// submit queues the ticket, or refuses it, and grants what has room.
func (l *lane) submit(w *waiter, now time.Time) {
	l.mu.Lock()
	deliveries := l.enqueue(w, now)
	if !w.gone {
		deliveries = l.pump(deliveries, now)
	}
	if !w.gone {
		deliveries = l.refuseLate(deliveries, w, now)
	}
	l.drain.observe(l.waiting > 0, now)
	l.arm()
	l.mu.Unlock()
	deliverAll(deliveries)
}

// run grants what has room and ends what waited too long.
func (l *lane) run(now time.Time) {
	l.mu.Lock()
	deliveries := l.expire(nil, now)
	deliveries = l.pump(deliveries, now)
	l.drain.observe(l.waiting > 0, now)
	l.arm()
	l.mu.Unlock()
	deliverAll(deliveries)
}

// arm makes sure that a lane with waiters is looked at again. The caller holds the lock.
func (l *lane) arm() {
	if l.timing || l.waiting == 0 {
		return
	}
	l.timing = true
	l.controller.options.AfterFunc(pumpInterval, func() {
		l.mu.Lock()
		l.timing = false
		l.mu.Unlock()
		l.run(l.controller.options.Now())
	})
}

// cancel takes the waiter out; it reports whether it was still waiting.
func (l *lane) cancel(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.gone {
		return false
	}
	l.drop(w)
	return true
}

func (l *lane) drop(w *waiter) {
	l.class(w.ticket.Class, w.ticket.Priority).remove(w)
	l.waiting--
}

// class returns the queue of the class, which is made on first use and follows its priority.
func (l *lane) class(name string, priority int) *classQueue {
	for _, c := range l.classes {
		if c.name == name {
			if c.priority != priority {
				c.priority = priority
				l.sort()
			}
			return c
		}
	}
	c := &classQueue{name: name, priority: priority, accounts: make(map[string]*accountQueue)}
	l.classes = append(l.classes, c)
	l.sort()
	return c
}

func (l *lane) sort() {
	slices.SortStableFunc(l.classes, func(a, b *classQueue) int { return b.priority - a.priority })
}

// enqueue adds the waiter. In a full lane it takes the place of the newest waiter of a lower
// class, or is refused.
func (l *lane) enqueue(w *waiter, now time.Time) []delivery {
	var deliveries []delivery
	if l.waiting >= l.controller.options.MaxWaiting && !w.ticket.Retry {
		victim := l.victim(w)
		if victim == w {
			w.gone = true
			return append(deliveries, l.refuse(w, l.overloaded(w, now)))
		}
		l.drop(victim)
		deliveries = append(deliveries, l.refuse(victim, l.overloaded(victim, now)))
	}
	w.since = now
	w.reason = WaitTurn
	w.deadline = now.Add(l.controller.options.MaxWait)
	if !w.ticket.Deadline.IsZero() {
		w.deadline = w.ticket.Deadline
	}
	w.cost = l.cost(&w.ticket)
	l.class(w.ticket.Class, w.ticket.Priority).push(w)
	l.waiting++
	return deliveries
}

// victim returns the waiter that a full lane refuses: the newest of the lowest class, or the
// newcomer when no class is lower. Within the newcomer's class the account with the most
// waiters gives way when the newcomer's has fewer.
func (l *lane) victim(newcomer *waiter) *waiter {
	for i := len(l.classes) - 1; i >= 0; i-- {
		c := l.classes[i]
		if c.priority < newcomer.ticket.Priority && c.last() != nil {
			return c.last()
		}
		if c.name != newcomer.ticket.Class {
			continue
		}
		last := c.last()
		if last != nil && c.waitersOf(newcomer.ticket.Account)+1 < len(last.queue.waiters) {
			return last
		}
	}
	return newcomer
}

// cost returns the expected work of the ticket, in tokens.
func (l *lane) cost(ticket *Ticket) float64 {
	book := l.controller.options.Lengths
	if book == nil || ticket.Variant.Model == "" {
		return 1
	}
	curve := book.Curve(lengths.Key{Service: ticket.Service, Class: ticket.Class, Account: ticket.Account})
	output := curve.Mean()
	if ticket.MaxTokens > 0 {
		output = min(output, float64(ticket.MaxTokens))
	}
	return float64(ticket.PromptTokens)/promptTokensPerCost + output
}

// promptTokensPerCost is the number of prompt tokens that cost as much as one output token.
const promptTokensPerCost = 8

// pump grants waiters, the highest class first, until routing finds no more room. A class for
// which a variant has no room keeps lower classes from taking that room.
func (l *lane) pump(deliveries []delivery, now time.Time) []delivery {
	if l.waiting == 0 {
		return deliveries
	}
	r := &round{now: now}
	for {
		w := l.next(r)
		if w == nil {
			return deliveries
		}
		if d, granted := l.try(w, r); granted {
			deliveries = append(deliveries, d)
		}
	}
}

// next returns the waiter to try next: of the class with the highest aged priority.
func (l *lane) next(r *round) *waiter {
	var best *waiter
	bestRank := 0.0
	for i, c := range l.classes {
		if c.count == 0 {
			continue
		}
		w := c.next(r)
		if w == nil {
			continue
		}
		rank := float64(len(l.classes)-i) + l.age(w, r.now)
		if best == nil || rank > bestRank {
			best, bestRank = w, rank
		}
	}
	return best
}

// age returns the whole ranks that the waiter has gained by waiting.
func (l *lane) age(w *waiter, now time.Time) float64 {
	return float64(now.Sub(w.since) / l.controller.options.AgeStep)
}

// try asks routing for a target for the waiter.
func (l *lane) try(w *waiter, r *round) (delivery, bool) {
	if !l.controller.accounts.enter(&w.ticket) {
		w.reason = WaitConcurrency
		r.fill(w)
		return delivery{}, false
	}
	choice, err := l.controller.picker.Pick(l.query(w, r.now), r.now)
	if err != nil {
		l.controller.accounts.leave(w.ticket.Account)
		return l.blocked(w, r, err)
	}
	c := l.class(w.ticket.Class, w.ticket.Priority)
	c.served(w)
	l.drop(w)
	l.drain.count()
	l.controller.counters.granted.Add(1)
	grant := &Grant{Choice: choice, Waited: r.now.Sub(w.since), controller: l.controller, lane: l, account: w.ticket.Account}
	return delivery{deliver: w.deliver, grant: grant}, true
}

func (r *round) fill(w *waiter) {
	if w.queue == nil {
		r.skip(w)
		return
	}
	if r.full == nil {
		r.full = make(map[string]struct{})
	}
	r.full[w.ticket.Account] = struct{}{}
}

func (r *round) skip(w *waiter) {
	if r.skipped == nil {
		r.skipped = make(map[*waiter]struct{})
	}
	r.skipped[w] = struct{}{}
}

// blocked notes why the waiter waits on. An error that waiting does not cure ends it.
func (l *lane) blocked(w *waiter, r *round, err error) (delivery, bool) {
	switch apierror.KindOf(err) {
	case apierror.KindOverloaded:
		w.reason = WaitNoRoom
	case apierror.KindNotRun:
		w.reason = WaitNoTarget
	default:
		l.drop(w)
		return delivery{deliver: w.deliver, err: err}, true
	}
	if len(w.ticket.Excluded) > 0 {
		r.skip(w)
		return delivery{}, false
	}
	r.blocked = append(r.blocked, w.ticket.Variant)
	return delivery{}, false
}

func (l *lane) query(w *waiter, now time.Time) routing.Query {
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
		Aged:         l.age(w, now) >= 1,
		Preempt:      now.Sub(w.since) >= l.controller.options.PreemptAfter,
	}
}
