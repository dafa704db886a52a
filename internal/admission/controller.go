package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"godwitcart/internal/apierror"
	"godwitcart/internal/routing"
)

// Controller admits requests. It is safe for concurrent use.
type Controller struct {
	options  Options
	picker   Picker
	accounts accounts
	counters counters

	mu     sync.RWMutex
	queues map[string]*serviceQueue
}

type counters struct {
	granted          atomic.Uint64
	rateLimited      atomic.Uint64
	overloaded       atomic.Uint64
	deadlineExceeded atomic.Uint64
	canceled         atomic.Uint64
}

// NewController returns a Controller that uses the picker to choose targets.
func NewController(options Options, picker Picker) *Controller {
	return &Controller{options: options.withDefaults(), picker: picker, queues: make(map[string]*serviceQueue)}
}

// Grant is the permission to send one attempt to the chosen target. It must be released once.
type Grant struct {
	routing.Choice
	// Waited is how long the request waited for the grant.
	Waited time.Duration

	controller *Controller
	queue      *serviceQueue
	account    string
	released   atomic.Bool
}

// Progress records the total number of tokens that the attempt has produced.
func (g *Grant) Progress(tokens int) { g.controller.picker.Progress(g.Choice, tokens) }

// Preempted records that the engine preempted the attempt.
func (g *Grant) Preempted() { g.controller.picker.Preempted(g.Choice, g.controller.options.Now()) }

// Release ends the attempt and lets waiting requests use its capacity. Later calls have no effect.
func (g *Grant) Release(outcome routing.Outcome) {
	if g.released.Swap(true) {
		return
	}
	now := g.controller.options.Now()
	g.controller.picker.Done(g.Choice, outcome, now)
	g.controller.accounts.endRequest(g.account)
	g.queue.process(now)
}

// Acquire waits until a target has capacity for the ticket and returns the grant. Errors are of type
// *apierror.Error: rate_limited, overloaded, deadline_exceeded, canceled and those of routing. A request that gets
// an error did not run.
func (c *Controller) Acquire(ctx context.Context, ticket Ticket) (*Grant, error) {
	results := make(chan delivery, 1)
	cancel := c.Submit(ticket, func(grant *Grant, err error) { results <- delivery{grant: grant, err: err} })
	select {
	case result := <-results:
		return result.grant, result.err
	case <-ctx.Done():
		return c.cancelWait(ctx, cancel, results)
	}
}

// cancelWait ends the wait of a caller that disconnected. A grant that was made in the meantime is released.
func (c *Controller) cancelWait(ctx context.Context, cancel func() bool, results <-chan delivery) (*Grant, error) {
	if !cancel() {
		if result := <-results; result.grant != nil {
			result.grant.Release(routing.OutcomeCanceled)
		}
	}
	c.counters.canceled.Add(1)
	return nil, apierror.Wrap(context.Cause(ctx), apierror.KindCanceled,
		"the request was canceled while it waited", "send it again; it did not run")
}

// Submit is the asynchronous form of Acquire. It calls deliver once, possibly before it returns, unless the
// returned function cancels the wait first. That function reports whether it did.
func (c *Controller) Submit(ticket Ticket, deliver func(*Grant, error)) (cancel func() bool) {
	now := c.options.Now()
	if !ticket.Retry {
		if err := c.accounts.takeRequest(&ticket, now); err != nil {
			c.counters.rateLimited.Add(1)
			deliver(nil, err)
			return func() bool { return false }
		}
	}
	q := c.getQueue(ticket.Service)
	w := &waiter{ticket: ticket, deliver: deliver}
	q.submit(w, now)
	return func() bool { return q.cancel(w) }
}

func (c *Controller) getQueue(service string) *serviceQueue {
	c.mu.RLock()
	queue := c.queues[service]
	c.mu.RUnlock()
	if queue != nil {
		return queue
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queues[service] == nil {
		c.queues[service] = &serviceQueue{service: service, controller: c}
	}
	return c.queues[service]
}

// NotifyCapacity retries the waiting requests of the service. It is called when targets may have free capacity, for
// example after a load report.
func (c *Controller) NotifyCapacity(service string) {
	c.mu.RLock()
	queue := c.queues[service]
	c.mu.RUnlock()
	if queue != nil {
		queue.process(c.options.Now())
	}
}

// Counters returns the numbers of decisions since the start.
func (c *Controller) Counters() Counters {
	return Counters{
		Granted:          c.counters.granted.Load(),
		RateLimited:      c.counters.rateLimited.Load(),
		Overloaded:       c.counters.overloaded.Load(),
		DeadlineExceeded: c.counters.deadlineExceeded.Load(),
		Canceled:         c.counters.canceled.Load(),
	}
}

// HasWaiting reports whether requests wait for a place at a target.
func (c *Controller) HasWaiting() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, q := range c.queues {
		if q.hasWaiting() {
			return true
		}
	}
	return false
}

func (q *serviceQueue) hasWaiting() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiterCount > 0
}

// Rows returns the waiting requests of all services.
func (c *Controller) Rows() []WaitingRow {
	now := c.options.Now()
	c.mu.RLock()
	queues := make([]*serviceQueue, 0, len(c.queues))
	for _, q := range c.queues {
		queues = append(queues, q)
	}
	c.mu.RUnlock()
	var rows []WaitingRow
	for _, q := range queues {
		rows = q.appendRows(rows, now)
	}
	return rows
}

func (q *serviceQueue) appendRows(rows []WaitingRow, now time.Time) []WaitingRow {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.forEachWaiter(func(w *waiter) {
		rows = append(rows, WaitingRow{
			RequestID:     w.ticket.RequestID,
			Account:       w.ticket.Account,
			Class:         w.ticket.Class,
			Service:       q.service,
			Model:         w.ticket.Variant.Model,
			WaitedSeconds: now.Sub(w.enqueuedAt).Seconds(),
			Reason:        w.reason,
			Retry:         w.ticket.Retry,
		})
	})
	return rows
}
