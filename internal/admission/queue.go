package admission

import (
	"slices"
	"time"

	"godwitcart/internal/policy"
)

// waiter is one waiting request.
type waiter struct {
	ticket   Ticket
	since    time.Time
	deadline time.Time
	reason   WaitReason
	deliver  func(*Grant, error)
	// cost is the expected work of the request, in tokens.
	cost  float64
	gone  bool
	queue *accountQueue
}

// accountQueue holds the waiters of one account in one class, first come first served.
type accountQueue struct {
	account string
	waiters []*waiter
	// pass is the work granted to the account divided by its share; the least is served next.
	pass float64
}

// classQueue holds the waiters of one class.
type classQueue struct {
	name     string
	priority int
	// retries are further attempts of admitted requests; they go first.
	retries []*waiter
	// accounts remembers the pass of each account; active are those with waiters.
	accounts map[string]*accountQueue
	active   []*accountQueue
	// virtual is the largest pass served; an account that was idle starts from it.
	virtual float64
	count   int
}

// push appends the waiter to its account, or to the retries.
func (c *classQueue) push(w *waiter) {
	c.count++
	if w.ticket.Retry {
		c.retries = append(c.retries, w)
		return
	}
	queue := c.accounts[w.ticket.Account]
	if queue == nil {
		queue = &accountQueue{account: w.ticket.Account}
		c.accounts[w.ticket.Account] = queue
	}
	if len(queue.waiters) == 0 {
		queue.pass = max(queue.pass, c.virtual)
		c.active = append(c.active, queue)
	}
	w.queue = queue
	queue.waiters = append(queue.waiters, w)
}

// remove takes the waiter out of the class.
func (c *classQueue) remove(w *waiter) {
	w.gone = true
	c.count--
	if w.queue == nil {
		c.retries = without(c.retries, w)
		return
	}
	w.queue.waiters = without(w.queue.waiters, w)
	if len(w.queue.waiters) == 0 {
		c.active = without(c.active, w.queue)
		c.forgetIdle()
	}
}

// without returns the list without the first occurrence of gone.
func without[T comparable](list []T, gone T) []T {
	at := slices.Index(list, gone)
	if at < 0 {
		return list
	}
	return slices.Delete(list, at, at+1)
}

// maxIdleAccounts is the number of accounts without waiters that a class remembers.
const maxIdleAccounts = 512

// forgetIdle drops idle accounts that hold no debt.
func (c *classQueue) forgetIdle() {
	if len(c.accounts) <= maxIdleAccounts {
		return
	}
	for name, queue := range c.accounts {
		if len(queue.waiters) == 0 && queue.pass <= c.virtual {
			delete(c.accounts, name)
		}
	}
}

// served charges the waiter's cost to its account.
func (c *classQueue) served(w *waiter) {
	if w.queue == nil {
		return
	}
	c.virtual = max(c.virtual, w.queue.pass)
	w.queue.pass += w.cost / float64(max(w.ticket.Share, 1))
}

// round is the state of one pass over a lane's queues.
type round struct {
	now time.Time
	// blocked are the variants for which routing found no room in this round.
	blocked []policy.Variant
	// skipped are waiters that cannot be granted in this round for reasons of their own.
	skipped map[*waiter]struct{}
	// full are the accounts at their concurrency limit.
	full map[string]struct{}
}

// passes reports whether the waiter is to be tried in this round.
func (r *round) passes(w *waiter) bool {
	if slices.Contains(r.blocked, w.ticket.Variant) {
		return false
	}
	_, skipped := r.skipped[w]
	return !skipped
}

// next returns the waiter of the class to try next, or nil.
func (c *classQueue) next(r *round) *waiter {
	for _, w := range c.retries {
		if r.passes(w) {
			return w
		}
	}
	var best *waiter
	for _, queue := range c.active {
		if _, full := r.full[queue.account]; full {
			continue
		}
		for _, w := range queue.waiters {
			if !r.passes(w) {
				continue
			}
			if best == nil || queue.pass < best.queue.pass {
				best = w
			}
			break
		}
	}
	return best
}

// waitersOf returns the number of waiters of the account, without retries.
func (c *classQueue) waitersOf(account string) int {
	if queue := c.accounts[account]; queue != nil {
		return len(queue.waiters)
	}
	return 0
}

// last returns the newest waiter of the account with the most waiters per share, or nil.
func (c *classQueue) last() *waiter {
	var worst *waiter
	most := 0.0
	for _, queue := range c.active {
		w := queue.waiters[len(queue.waiters)-1]
		load := float64(len(queue.waiters)) / float64(max(w.ticket.Share, 1))
		if load > most {
			worst, most = w, load
		}
	}
	return worst
}
