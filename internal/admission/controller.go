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

	mu    sync.RWMutex
	lanes map[string]*lane
}

type counters struct {
	granted          atomic.Uint64
	rateLimited      atomic.Uint64
	overloaded       atomic.Uint64
	deadlineExceeded atomic.Uint64
	canceled         atomic.Uint64
}

// NewController returns a Controller that chooses targets by the picker.
func NewController(options Options, picker Picker) *Controller {
	return &Controller{options: options.withDefaults(), picker: picker, lanes: make(map[string]*lane)}
}

// Grant is the permission to send one attempt to the chosen target. It must be released once.
type Grant struct {
	routing.Choice
	// Waited is how long the request waited for the grant.
	Waited time.Duration

	controller *Controller
	lane       *lane
	account    string
	released   atomic.Bool
}

// Progress records that the attempt has produced tokens in all.
func (g *Grant) Progress(tokens int) { g.controller.picker.Progress(g.Choice, tokens) }

// Preempted records that the engine preempted the attempt.
func (g *Grant) Preempted() { g.controller.picker.Preempted(g.Choice, g.controller.options.Now()) }

// Release ends the attempt and lets waiting requests take its place. Releasing twice has no effect.
func (g *Grant) Release(outcome routing.Outcome) {
	if g.released.Swap(true) {
		return
	}
	now := g.controller.options.Now()
	g.controller.picker.Done(g.Choice, outcome, now)
	g.controller.accounts.leave(g.account)
	g.lane.run(now)
}

// Acquire waits until a target has room for the ticket and returns the grant. Errors are of type
// *apierror.Error: rate_limited, overloaded, deadline_exceeded, canceled and those of routing.
// A request that gets an error did not run.
func (c *Controller) Acquire(ctx context.Context, ticket Ticket) (*Grant, error) {
	results := make(chan delivery, 1)
	cancel := c.Submit(ticket, func(grant *Grant, err error) { results <- delivery{grant: grant, err: err} })
	select {
	case result := <-results:
		return result.grant, result.err
	case <-ctx.Done():
		return c.abandon(ctx, cancel, results)
	}
}

// abandon ends the wait of a caller that left. A grant that was made meanwhile is returned to
// the target's room.
func (c *Controller) abandon(ctx context.Context, cancel func() bool, results <-chan delivery) (*Grant, error) {
	if !cancel() {
		if result := <-results; result.grant != nil {
			result.grant.Release(routing.OutcomeCanceled)
		}
	}
	c.counters.canceled.Add(1)
	return nil, apierror.Wrap(context.Cause(ctx), apierror.KindCanceled,
		"the request was canceled while it waited", "send it again; it did not run")
}

// Submit is Acquire without waiting: deliver is called once, perhaps before Submit returns,
// unless the returned function cancels the wait first, which it reports.
func (c *Controller) Submit(ticket Ticket, deliver func(*Grant, error)) (cancel func() bool) {
	now := c.options.Now()
	if !ticket.Retry {
		if err := c.accounts.allow(&ticket, now); err != nil {
			c.counters.rateLimited.Add(1)
			deliver(nil, err)
			return func() bool { return false }
		}
	}
	l := c.lane(ticket.Service)
	w := &waiter{ticket: ticket, deliver: deliver}
	l.submit(w, now)
	return func() bool { return l.cancel(w) }
}

func (c *Controller) lane(service string) *lane {
	c.mu.RLock()
	found := c.lanes[service]
	c.mu.RUnlock()
	if found != nil {
		return found
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lanes[service] == nil {
		c.lanes[service] = &lane{service: service, controller: c}
	}
	return c.lanes[service]
}

// Notify tells that targets of the service may have room, as after a load report.
func (c *Controller) Notify(service string) {
	c.mu.RLock()
	found := c.lanes[service]
	c.mu.RUnlock()
	if found != nil {
		found.run(c.options.Now())
	}
}

// Counters returns the counts of decisions.
func (c *Controller) Counters() Counters {
	return Counters{
		Granted:          c.counters.granted.Load(),
		RateLimited:      c.counters.rateLimited.Load(),
		Overloaded:       c.counters.overloaded.Load(),
		DeadlineExceeded: c.counters.deadlineExceeded.Load(),
		Canceled:         c.counters.canceled.Load(),
	}
}

// Rows returns the waiting requests of all services.
func (c *Controller) Rows() []WaitingRow {
	now := c.options.Now()
	c.mu.RLock()
	lanes := make([]*lane, 0, len(c.lanes))
	for _, l := range c.lanes {
		lanes = append(lanes, l)
	}
	c.mu.RUnlock()
	var rows []WaitingRow
	for _, l := range lanes {
		rows = l.appendRows(rows, now)
	}
	return rows
}

func (l *lane) appendRows(rows []WaitingRow, now time.Time) []WaitingRow {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.each(func(w *waiter) {
		rows = append(rows, WaitingRow{
			RequestID:     w.ticket.RequestID,
			Account:       w.ticket.Account,
			Class:         w.ticket.Class,
			Service:       l.service,
			Model:         w.ticket.Variant.Model,
			WaitedSeconds: now.Sub(w.since).Seconds(),
			Reason:        w.reason,
			Retry:         w.ticket.Retry,
		})
	})
	return rows
}
