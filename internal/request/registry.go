package request

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Sizes and limits of a Registry.
const (
	registryShards = 32
	// recentlyEndedPerShard is the number of ended requests that a shard retains for queries.
	recentlyEndedPerShard = 128
	// maxStepsPerRequest bounds the steps that are retained per request.
	maxStepsPerRequest = 64
)

// Step is one state transition of a request.
type Step struct {
	At     time.Time `json:"at"`
	State  State     `json:"state"`
	Target string    `json:"target,omitempty"`
	// Attempt is the id of the attempt that the step belongs to; empty before the first attempt.
	Attempt string `json:"attempt,omitempty"`
	// Reason is a sentence fragment that tells operators why the transition happened.
	Reason string `json:"reason"`
}

// Snapshot is a copy of a request's record for queries.
type Snapshot struct {
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
	StateSince    time.Time `json:"since"`
	Reason        string    `json:"reason,omitempty"`
	Steps         []Step    `json:"steps,omitempty"`
}

// Registry holds the records of the active requests of this VM and of those that ended recently.
// It is safe for concurrent use.
type Registry struct {
	shards [registryShards]registryShard
}

type registryShard struct {
	mu            sync.Mutex
	active        map[string]*Record
	recentlyEnded []Snapshot
	oldestEnded   int
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	registry := &Registry{}
	for i := range registry.shards {
		registry.shards[i].active = make(map[string]*Record)
	}
	return registry
}

// Record holds the state of one request and its history. It is safe for concurrent use.
type Record struct {
	registry *Registry
	cancel   func(reason string)

	mu      sync.Mutex
	current Snapshot
}

// Register adds a request as waiting. cancel is called when an operator cancels it.
func (g *Registry) Register(r *Request, cancel func(reason string)) *Record {
	record := &Record{registry: g, cancel: cancel}
	record.current = Snapshot{
		ID: r.ID, Account: r.Account, Class: r.Class, Service: r.Service, Model: r.Variant.Model,
		State: StateWaiting, NonIdempotent: r.NonIdempotent, ReceivedAt: r.ReceivedAt, StateSince: r.ReceivedAt,
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

// Transition changes the state and appends the step to the history. A transition that is not allowed returns an error
// and changes nothing.
func (r *Record) Transition(step Step) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := CheckTransition(r.current.State, step.State); err != nil {
		return err
	}
	r.apply(step)
	if step.State.Final() {
		r.registry.moveToEnded(r.current)
	}
	return nil
}

// apply changes the current state by the step. The caller holds mu.
func (r *Record) apply(step Step) {
	if step.State == StateDispatched {
		r.current.Attempts++
	}
	if step.State == StatePreempted {
		r.current.Preemptions++
	}
	if step.Target != "" {
		r.current.Target = step.Target
	}
	r.current.State = step.State
	r.current.StateSince = step.At
	r.current.Reason = step.Reason
	if len(r.current.Steps) < maxStepsPerRequest {
		r.current.Steps = append(r.current.Steps, step)
	}
}

// State returns the current state.
func (r *Record) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current.State
}

// AddTokens counts tokens that were delivered to the caller.
func (r *Record) AddTokens(count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current.Tokens += count
}

// snapshot returns a deep copy of the current state.
func (r *Record) snapshot() Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := r.current
	snapshot.Steps = append([]Step(nil), r.current.Steps...)
	return snapshot
}

// moveToEnded moves a request from the active requests to the ring buffer of recently ended ones.
func (g *Registry) moveToEnded(snapshot Snapshot) {
	shard := g.shard(snapshot.ID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.active, snapshot.ID)
	if len(shard.recentlyEnded) < recentlyEndedPerShard {
		shard.recentlyEnded = append(shard.recentlyEnded, snapshot)
		return
	}
	shard.recentlyEnded[shard.oldestEnded] = snapshot
	shard.oldestEnded = (shard.oldestEnded + 1) % recentlyEndedPerShard
}

// Snapshots returns the snapshots of the active requests and of those that ended recently.
func (g *Registry) Snapshots() []Snapshot {
	var snapshots []Snapshot
	for i := range g.shards {
		snapshots = g.shards[i].appendSnapshots(snapshots)
	}
	return snapshots
}

func (s *registryShard) appendSnapshots(snapshots []Snapshot) []Snapshot {
	s.mu.Lock()
	active := make([]*Record, 0, len(s.active))
	for _, record := range s.active {
		active = append(active, record)
	}
	snapshots = append(snapshots, s.recentlyEnded...)
	s.mu.Unlock()
	for _, record := range active {
		snapshots = append(snapshots, record.snapshot())
	}
	return snapshots
}

// Find returns the snapshot of an active or recently ended request.
func (g *Registry) Find(id string) (Snapshot, bool) {
	shard := g.shard(id)
	shard.mu.Lock()
	record, active := shard.active[id]
	ended, found := shard.findRecentlyEnded(id)
	shard.mu.Unlock()
	if active {
		return record.snapshot(), true
	}
	return ended, found
}

// findRecentlyEnded looks up a request that ended recently. The caller holds mu.
func (s *registryShard) findRecentlyEnded(id string) (Snapshot, bool) {
	for _, snapshot := range s.recentlyEnded {
		if snapshot.ID == id {
			return snapshot, true
		}
	}
	return Snapshot{}, false
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

// Cancel cancels an active request for an operator. It reports whether the request was active on this VM.
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
