package admission

import (
	"slices"
	"time"

	"godwitcart/internal/policy"
)

type waiter struct {
	ticket     Ticket
	enqueuedAt time.Time
	deadline   time.Time
	reason     WaitReason
	deliver    func(*Grant, error)
	// cost is the expected work of the request, in output tokens.
	cost         float64
	done         bool
	accountQueue *accountQueue
}

// accountQueue holds the waiters of one account in one class, in order of arrival.
type accountQueue struct {
	account string
	waiters []*waiter
	// pass is the work granted to the account divided by its share, as in stride scheduling: the account with the
	// lowest pass is served next.
	pass float64
}

type classQueue struct {
	name     string
	priority int
	// retries are further attempts of admitted requests; they are served first.
	retries []*waiter
	// accounts holds the pass of each account; active lists the accounts that have waiters.
	accounts map[string]*accountQueue
	active   []*accountQueue
	// globalPass is the largest pass served so far. An account that was idle starts from it, so that it gets no
	// credit for the idle time.
	globalPass  float64
	waiterCount int
}

// push appends the waiter to the retries if it is one, and to the queue of its account otherwise.
func (c *classQueue) push(w *waiter) {
	c.waiterCount++
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
		queue.pass = max(queue.pass, c.globalPass)
		c.active = append(c.active, queue)
	}
	w.accountQueue = queue
	queue.waiters = append(queue.waiters, w)
}

func (c *classQueue) remove(w *waiter) {
	w.done = true
	c.waiterCount--
	if w.accountQueue == nil {
		c.retries = without(c.retries, w)
		return
	}
	w.accountQueue.waiters = without(w.accountQueue.waiters, w)
	if len(w.accountQueue.waiters) == 0 {
		c.active = without(c.active, w.accountQueue)
		c.dropIdleAccounts()
	}
}

// without returns the list without the first occurrence of the element.
func without[T comparable](list []T, element T) []T {
	at := slices.Index(list, element)
	if at < 0 {
		return list
	}
	return slices.Delete(list, at, at+1)
}

// classCleanupThreshold is the number of accounts in a class above which the idle ones are dropped.
const classCleanupThreshold = 512

// dropIdleAccounts drops accounts without waiters whose pass is not ahead of the global pass; dropping others would
// erase work that they have already been granted.
func (c *classQueue) dropIdleAccounts() {
	if len(c.accounts) <= classCleanupThreshold {
		return
	}
	for name, queue := range c.accounts {
		if len(queue.waiters) == 0 && queue.pass <= c.globalPass {
			delete(c.accounts, name)
		}
	}
}

// chargeWaiter charges the waiter's cost to its account. Retries, which are in no account's queue, are not charged.
func (c *classQueue) chargeWaiter(w *waiter) {
	if w.accountQueue == nil {
		return
	}
	c.globalPass = max(c.globalPass, w.accountQueue.pass)
	w.accountQueue.pass += w.cost / float64(max(w.ticket.Share, 1))
}

// grantRound is the state of one pass over the waiting requests of a service.
type grantRound struct {
	now time.Time
	// variantsWithoutCapacity are the variants for which routing found no capacity in this round.
	variantsWithoutCapacity []policy.Variant
	// skipped are waiters that cannot be granted in this round for reasons that affect only them.
	skipped map[*waiter]struct{}
	// accountsAtLimit are the accounts at their concurrency limit.
	accountsAtLimit map[string]struct{}
}

// isEligible reports whether the waiter is to be tried in this round.
func (r *grantRound) isEligible(w *waiter) bool {
	if slices.Contains(r.variantsWithoutCapacity, w.ticket.Variant) {
		return false
	}
	_, skipped := r.skipped[w]
	return !skipped
}

// nextWaiter returns the waiter of the class to try next, or nil: the first eligible retry, or else the first eligible
// waiter of the account with the lowest pass.
func (c *classQueue) nextWaiter(r *grantRound) *waiter {
	for _, w := range c.retries {
		if r.isEligible(w) {
			return w
		}
	}
	var best *waiter
	for _, queue := range c.active {
		if _, atLimit := r.accountsAtLimit[queue.account]; atLimit {
			continue
		}
		for _, w := range queue.waiters {
			if !r.isEligible(w) {
				continue
			}
			if best == nil || queue.pass < best.accountQueue.pass {
				best = w
			}
			break
		}
	}
	return best
}

// accountWaiterCount returns the number of waiters of the account, without retries.
func (c *classQueue) accountWaiterCount(account string) int {
	if queue := c.accounts[account]; queue != nil {
		return len(queue.waiters)
	}
	return 0
}

// newestOfBusiestAccount returns the newest waiter of the account with the most waiters per share, or nil.
func (c *classQueue) newestOfBusiestAccount() *waiter {
	var newest *waiter
	most := 0.0
	for _, queue := range c.active {
		w := queue.waiters[len(queue.waiters)-1]
		load := float64(len(queue.waiters)) / float64(max(w.ticket.Share, 1))
		if load > most {
			newest, most = w, load
		}
	}
	return newest
}
