// Package placement chooses the target of each request and of each copy of a running generation.
//
// A Table knows the targets of the platform's list, what this VM has sent to each and what peers say that
// they have sent, and how each target has answered of late. Pick filters the targets of a service, scores
// the rest on a snapshot and reserves the best, so that the next decision counts what no report shows yet.
// Time is passed in.
package placement

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"godwitcart/internal/roster"
)

// Load is what one entry VM has sent to one target.
type Load struct {
	// Requests counts the requests in progress.
	Requests int
	// PrefillTokens counts prompt tokens of requests whose first event has not come.
	PrefillTokens int
	// MemoryTokens is the memory of the requests' generations, copies included.
	MemoryTokens int
}

func (l *Load) add(other Load) {
	l.Requests += other.Requests
	l.PrefillTokens += other.PrefillTokens
	l.MemoryTokens += other.MemoryTokens
}

// Plus returns the sum of both.
func (l Load) Plus(other Load) Load {
	l.add(other)
	return l
}

func (l *Load) subtract(other Load) {
	l.Requests -= other.Requests
	l.PrefillTokens -= other.PrefillTokens
	l.MemoryTokens -= other.MemoryTokens
}

// Query describes a request that needs a target.
type Query struct {
	Service string
	// Zone is preferred, since a request that stays in it costs less and survives a cut between zones.
	Zone string
	// MemoryTokens is the memory of an engine of the service; zero stands for a plain service.
	MemoryTokens int
	// PromptTokens is the length of the prompt, and OutputTokens the expected length of the output.
	PromptTokens int
	OutputTokens int
	// Objective is the time within which the first event is on time; zero where there is none.
	Objective time.Duration
	// Priority orders requests that wait for room; the lowest comes first.
	Priority int
	// Excluded names targets that must not be chosen.
	Excluded []string
	// Copy asks for room for a copy of a generation in place of work; it is refused where memory is short.
	Copy bool
	// Move says that the memory of the generation comes from another engine, so that little is read anew.
	Move bool
}

func (q *Query) load() Load {
	load := Load{MemoryTokens: q.memory()}
	if !q.Copy {
		load.Requests = 1
	}
	load.PrefillTokens = q.prefill()
	return load
}

// memory returns the tokens that count for the generation from its start: others end while it grows, so that
// half of its expected output stands for the growth.
func (q *Query) memory() int { return q.PromptTokens + q.OutputTokens/2 }

// prefill returns the number of prompt tokens that the target reads.
func (q *Query) prefill() int {
	if q.Copy || q.Move {
		return 0
	}
	return q.PromptTokens
}

func (q *Query) excludes(id string) bool { return slices.Contains(q.Excluded, id) }

// Outcome says how a request ended at its target.
type Outcome int

// The outcomes.
const (
	// Answered means that the target gave an answer that reached the caller, or a part of a stream.
	Answered Outcome = iota
	// Refused means that the target stated that it did not run the request.
	Refused
	// Failed means that the target answered with a failure of its own, or broke off.
	Failed
	// Unreachable means that no connection could be made.
	Unreachable
	// Canceled means that the caller left or the time was over.
	Canceled
	// Moved means that the request goes on at another target.
	Moved
)

// Sender is an entry VM, or with an empty VM all those of a zone together.
type Sender struct {
	VM   string
	Zone string
}

// Options configures a Table.
type Options struct {
	Self Sender
	// Placed is called, with the lock held, when the work at an engine has changed; nil for nobody.
	Placed func()
	// Seed makes the choice between equal targets reproducible.
	Seed uint64
}

// Table is the view of all targets from one VM. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	random   *rand.Rand
	targets  map[string]*target
	services map[string]*service
	self     Sender
	placed   func()
	peers    map[Sender]peerLoad
	// sums counts the peers that stand for a whole zone.
	sums int
	// changed is closed when room may have become free.
	changed chan struct{}
}

// service is what is known of the targets of a service together.
type service struct {
	targets []*target
	// queue are the requests that wait for room.
	queue queue
	// prefillRate is the observed rate of reading prompts, in tokens a millisecond.
	prefillRate float64
}

type target struct {
	roster.Target
	service *service
	left    bool
	own     Load
	peers   Load
	health  health
	// slowUntil is when the target has warmed up after its start.
	slowUntil time.Time
}

type peerLoad struct {
	at    time.Time
	loads map[string]Load
}

// peerLoadLife is how long a peer's digest counts; a VM that has stopped sends none.
const peerLoadLife = 3 * time.Second

// NewTable returns a Table without targets.
func NewTable(options Options) *Table {
	return &Table{
		random:   rand.New(rand.NewPCG(options.Seed, 0)),
		targets:  make(map[string]*target),
		services: make(map[string]*service),
		self:     options.Self,
		placed:   options.Placed,
		peers:    make(map[Sender]peerLoad),
		changed:  make(chan struct{}),
	}
}

// Listed replaces the targets by those listed.
func (t *Table) Listed(listed map[string]roster.Target, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, entry := range listed {
		known := t.targets[id]
		if known == nil || !known.SameIncarnation(entry) {
			known = &target{}
			t.targets[id] = known
			if entry.SlowFor > 0 {
				known.slowUntil = now.Add(entry.SlowFor)
			}
		}
		known.left = known.left || entry.Leaving
		known.Target = entry
	}
	for id, known := range t.targets {
		if _, found := listed[id]; !found {
			known.left = true
			delete(t.targets, id)
		}
	}
	t.regroup()
	t.wakeWaiters()
}

func (t *Table) regroup() {
	for _, s := range t.services {
		s.targets = s.targets[:0]
	}
	for _, known := range t.targets {
		s := t.services[known.Service]
		if s == nil {
			s = &service{prefillRate: assumedPrefillRate}
			t.services[known.Service] = s
		}
		known.service = s
		s.targets = append(s.targets, known)
	}
	t.sumPeers()
}

// MarkLeaving records that the target said that it leaves; it gets no new work.
func (t *Table) MarkLeaving(leaving roster.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.targets[leaving.ID]; known != nil && known.SameIncarnation(leaving) {
		known.left = true
	}
}

// PeerLoads takes what a peer says that it has sent.
func (t *Table) PeerLoads(peer Sender, loads map[string]Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(peer)
	for sender, sent := range t.peers {
		if now.Sub(sent.at) > peerLoadLife {
			t.forget(sender)
		}
	}
	t.peers[peer] = peerLoad{at: now, loads: loads}
	if peer.VM == "" {
		t.sums++
	}
	t.count(loads)
	t.wakeWaiters()
}

// forget takes off what a peer had sent. It is called with the lock held, as count is: digests come in many times
// a second, so the loads of all peers are not summed up anew for each.
func (t *Table) forget(sender Sender) {
	sent, found := t.peers[sender]
	if !found {
		return
	}
	delete(t.peers, sender)
	if sender.VM == "" {
		t.sums--
	}
	for id, load := range sent.loads {
		if known := t.targets[id]; known != nil {
			known.peers.subtract(load)
		}
	}
}

// count adds what a peer has sent.
func (t *Table) count(loads map[string]Load) {
	for id, load := range loads {
		if known := t.targets[id]; known != nil {
			known.peers.add(load)
		}
	}
}

// sumPeers counts the loads of all peers anew, after the targets have changed.
func (t *Table) sumPeers() {
	for _, known := range t.targets {
		known.peers = Load{}
	}
	for _, sent := range t.peers {
		t.count(sent.loads)
	}
}

// otherZoneCost is the surcharge of a target in another zone.
func (t *Table) otherZoneCost() float64 {
	if t.sums > 0 {
		return summedZoneCost
	}
	return nearZoneCost
}

// OwnLoads returns what this VM has sent, for its peers.
func (t *Table) OwnLoads() map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := make(map[string]Load)
	for id, known := range t.targets {
		if known.own != (Load{}) {
			loads[id] = known.own
		}
	}
	return loads
}

// Serves reports whether the service has a target that may take work, beside those excluded.
func (t *Table) Serves(serviceName string, excluded []string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[serviceName]
	if s == nil {
		return false
	}
	query := Query{Excluded: excluded}
	return slices.ContainsFunc(s.targets, func(known *target) bool { return known.usable(now) && !query.excludes(known.ID) })
}

func (t *target) usable(now time.Time) bool {
	return !t.left && t.health.allows(now)
}
