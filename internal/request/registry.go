package request

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The bounds of a Registry.
const (
	registryShards = 32
	// endedPerShard is the number of ended requests that a shard remembers for queries.
	endedPerShard = 128
	// maxSteps bounds the steps that one request remembers.
	maxSteps = 64
)

// Step is one decision or change of state in the life of a request.
type Step struct {
	At     time.Time `json:"at"`
	State  State     `json:"state"`
	Target string    `json:"target,omitempty"`
	// Attempt is the attempt that the step belongs to; empty before the first.
	Attempt string `json:"attempt,omitempty"`
	// Reason says why, in a sentence fragment for operators.
	Reason string `json:"reason"`
}

// View is a copy of one request's life for queries.
type View struct {
	ID            string    `json:"id"`
	Account       string    `json:"account"`
	Class         string    `json:"class"`
	Service       string    `json:"service"`
	Model         string    `json:"model,omitempty"`
	State         State     `json:"state"`
	Target        string    `json:"target,omitempty"`
	Attempts      int       `json:"attempts"`
	Tokens        int       `json:"tokens"`
	Preemptions   int       `json:"preemptions"`
	NonIdempotent bool      `json:"non_idempotent"`
	ReceivedAt    time.Time `json:"received_at"`
	Since         time.Time `json:"since"`
	Reason        string    `json:"reason,omitempty"`
	Steps         []Step    `json:"steps,omitempty"`
}

// Registry remembers the requests that this VM serves and those that ended lately.
type Registry struct {
	shards [registryShards]registryShard
}

type registryShard struct {
	mu     sync.Mutex
	active map[string]*Record
	ended  []View
	next   int
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	registry := &Registry{}
	for i := range registry.shards {
		registry.shards[i].active = make(map[string]*Record)
	}
	return registry
}

// Record is the life of one request. It is safe for concurrent use.
type Record struct {
	registry *Registry
	cancel   func(reason string)

	mu   sync.Mutex
	view View
}

// Begin enters a request. cancel is called when an operator cancels it.
func (g *Registry) Begin(r *Request, cancel func(reason string)) *Record {
	record := &Record{registry: g, cancel: cancel}
	record.view = View{
		ID: r.ID, Account: r.Account, Class: r.Class, Service: r.Service, Model: r.Variant.Model,
		State: StateWaiting, NonIdempotent: r.NonIdempotent, ReceivedAt: r.ReceivedAt, Since: r.ReceivedAt,
	}
	shard := g.shard(r.ID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.active[r.ID] = record
	return record
}

func (g *Registry) shard(id string) *registryShard {
	return &g.shards[xxhash.Sum64String(id)%registryShards]
}

// Move changes the state and remembers why. A transition that is not allowed is an error and
// changes nothing.
func (c *Record) Move(step Step) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := CheckTransition(c.view.State, step.State); err != nil {
		return err
	}
	c.apply(step)
	if step.State.Final() {
		c.registry.end(c.view)
	}
	return nil
}

// apply is called with mu held.
func (c *Record) apply(step Step) {
	if step.State == StateDispatched {
		c.view.Attempts++
	}
	if step.State == StatePreempted {
		c.view.Preemptions++
	}
	if step.Target != "" {
		c.view.Target = step.Target
	}
	c.view.State = step.State
	c.view.Since = step.At
	c.view.Reason = step.Reason
	if len(c.view.Steps) < maxSteps {
		c.view.Steps = append(c.view.Steps, step)
	}
}

// State returns the present state.
func (c *Record) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.State
}

// AddTokens counts tokens that were handed to the caller.
func (c *Record) AddTokens(count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.Tokens += count
}

// snapshot returns a copy that shares nothing with the record.
func (c *Record) snapshot() View {
	c.mu.Lock()
	defer c.mu.Unlock()
	view := c.view
	view.Steps = append([]Step(nil), c.view.Steps...)
	return view
}

// end moves a request from the active ones to the ring of ended ones.
func (g *Registry) end(view View) {
	shard := g.shard(view.ID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.active, view.ID)
	if len(shard.ended) < endedPerShard {
		shard.ended = append(shard.ended, view)
		return
	}
	shard.ended[shard.next] = view
	shard.next = (shard.next + 1) % endedPerShard
}

// Views returns copies of the active requests and of those that ended lately.
func (g *Registry) Views() []View {
	var views []View
	for i := range g.shards {
		views = g.shards[i].appendViews(views)
	}
	return views
}

func (s *registryShard) appendViews(views []View) []View {
	s.mu.Lock()
	active := make([]*Record, 0, len(s.active))
	for _, record := range s.active {
		active = append(active, record)
	}
	views = append(views, s.ended...)
	s.mu.Unlock()
	for _, record := range active {
		views = append(views, record.snapshot())
	}
	return views
}

// Find returns the life of one request.
func (g *Registry) Find(id string) (View, bool) {
	shard := g.shard(id)
	shard.mu.Lock()
	record, active := shard.active[id]
	ended, found := shard.findEnded(id)
	shard.mu.Unlock()
	if active {
		return record.snapshot(), true
	}
	return ended, found
}

// findEnded is called with mu held.
func (s *registryShard) findEnded(id string) (View, bool) {
	for _, view := range s.ended {
		if view.ID == id {
			return view, true
		}
	}
	return View{}, false
}

// Active returns the number of requests in progress.
func (g *Registry) Active() int {
	total := 0
	for i := range g.shards {
		shard := &g.shards[i]
		shard.mu.Lock()
		total += len(shard.active)
		shard.mu.Unlock()
	}
	return total
}

// Cancel cancels a request on an operator's behalf; it reports whether the request was active here.
func (g *Registry) Cancel(id, reason string) bool {
	shard := g.shard(id)
	shard.mu.Lock()
	record, found := shard.active[id]
	shard.mu.Unlock()
	if found {
		record.cancel(reason)
	}
	return found
}
