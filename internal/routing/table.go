package routing

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"godwitcart/internal/lengths"
	"godwitcart/internal/membership"
	"godwitcart/internal/policy"
	"godwitcart/internal/prefix"
	"godwitcart/internal/wire/enginewire"
)

// Table is the view of all targets from one VM. It is safe for concurrent use.
type Table struct {
	options Options
	// entries is the number of entry VMs that send to the same targets.
	entries atomic.Int64

	mu sync.RWMutex
	// shards are the services by name; owners the shard of each target by its name.
	shards     map[string]*shard
	owners     map[string]*shard
	priorities []int
}

// shard is the state of one service under its own lock.
type shard struct {
	service string
	options *Options
	entries *atomic.Int64

	mu      sync.Mutex
	random  *rand.Rand
	targets map[string]*target
	order   []*target
	// retired are targets that are no longer listed.
	retired    map[string]*target
	candidates map[candidateKey]*candidates
	priorities []int
	// serviceCurve is the distribution of the service's outputs, renewed now and then.
	serviceCurve *lengths.Curve
	curveUses    int
}

// candidateKey names a list of candidates.
type candidateKey struct {
	variant policy.Variant
	zone    string
}

// candidates are the targets that have a variant loaded, by zone.
type candidates struct {
	own   []*target
	other []*target
}

const (
	// maxCandidateLists bounds the memory of the lists; queries name variants freely.
	maxCandidateLists = 256
	// curveReuse is the number of uses after which the service's curve is fetched again.
	curveReuse = 64
)

// NewTable returns an empty Table.
func NewTable(options Options) *Table {
	table := &Table{
		options: options.withDefaults(),
		shards:  make(map[string]*shard),
		owners:  make(map[string]*shard),
	}
	table.entries.Store(int64(table.options.Entries))
	return table
}

// SetEntries tells the number of live entry VMs that send to the same targets.
func (t *Table) SetEntries(count int) { t.entries.Store(int64(max(count, 1))) }

// SetPriorities tells the priorities of all classes. Priorities beyond the eighth share a rank.
func (t *Table) SetPriorities(priorities []int) {
	sorted := slices.Compact(slices.Sorted(slices.Values(priorities)))
	t.mu.Lock()
	t.priorities = sorted
	shards := t.allShards()
	t.mu.Unlock()
	for _, s := range shards {
		s.setPriorities(sorted)
	}
}

// allShards returns the shards in order of name. The caller holds the lock.
func (t *Table) allShards() []*shard {
	shards := make([]*shard, 0, len(t.shards))
	for _, s := range t.shards {
		shards = append(shards, s)
	}
	slices.SortFunc(shards, func(a, b *shard) int {
		if a.service < b.service {
			return -1
		}
		return 1
	})
	return shards
}

// SetTargets replaces the targets of a service by those listed, keeping what is known of them; what
// is known of the others is kept for a while, since a target may be missing only for a moment.
func (t *Table) SetTargets(service string, targets []membership.VM, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, found := t.shards[service]
	if !found {
		s = t.newShard(service)
		t.shards[service] = s
	}
	for _, name := range s.setTargets(targets, now) {
		if t.owners[name] == s {
			delete(t.owners, name)
		}
	}
	for i := range targets {
		t.owners[targets[i].Name] = s
	}
}

func (t *Table) newShard(service string) *shard {
	return &shard{
		service:    service,
		options:    &t.options,
		entries:    &t.entries,
		random:     rand.New(rand.NewPCG(t.options.Seed, uint64(len(t.shards)))),
		targets:    make(map[string]*target),
		retired:    make(map[string]*target),
		candidates: make(map[candidateKey]*candidates),
		priorities: t.priorities,
	}
}

func (t *Table) shard(service string) *shard {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.shards[service]
}

func (t *Table) owner(target string) *shard {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.owners[target]
}

// ApplyReport takes the load report of a target, received now. A report that is older than the
// last one of the same incarnation is dropped.
func (t *Table) ApplyReport(target string, report enginewire.LoadReport, now time.Time) {
	if s := t.owner(target); s != nil {
		s.applyReport(target, &report, now)
	}
}

// ApplyCacheEvents takes a page of cache events of a target.
func (t *Table) ApplyCacheEvents(target string, events []enginewire.CacheEvent) {
	if s := t.owner(target); s != nil {
		s.applyCacheEvents(target, events)
	}
}

// MarkLeaving records that the current incarnation of the target leaves; it gets no new work.
func (t *Table) MarkLeaving(target string) {
	s := t.owner(target)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if found := s.targets[target]; found != nil {
		found.leaving = true
	}
}

// Progress records that the attempt has produced tokens in all. After its end it has no effect.
func (t *Table) Progress(choice Choice, tokens int) {
	r := choice.reservation
	if r == nil {
		return
	}
	s := r.target.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	if !r.done {
		r.target.progress(r, tokens)
	}
}

// Preempted records that the engine preempted the attempt: its memory is short, so classes
// below the highest get no new work there for a while.
func (t *Table) Preempted(choice Choice, now time.Time) {
	r := choice.reservation
	if r == nil {
		return
	}
	s := r.target.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	r.target.pressuredUntil = now.Add(pressureFor)
}

// pressureFor is how long a target that preempted gets only work of the highest class.
const pressureFor = 200 * time.Millisecond

// Done ends the attempt and frees what it reserved. Ending twice has no effect.
func (t *Table) Done(choice Choice, outcome Outcome, now time.Time) {
	r := choice.reservation
	if r == nil {
		return
	}
	s := r.target.shard
	s.mu.Lock()
	done := r.done
	if !done {
		s.done(r, outcome, now)
	}
	s.mu.Unlock()
	if !done && outcome == OutcomeCompleted && r.curve != nil {
		t.options.Lengths.Observe(r.key, r.produced)
	}
}

// Lengths returns the book of output lengths that the table observes in.
func (t *Table) Lengths() *lengths.Book { return t.options.Lengths }

// Rows returns the state of the targets of all services, ordered by service and name.
func (t *Table) Rows(now time.Time) []TargetRow {
	t.mu.RLock()
	shards := t.allShards()
	t.mu.RUnlock()
	var rows []TargetRow
	for _, s := range shards {
		rows = s.appendRows(rows, now)
	}
	return rows
}

// view returns the prefix view of the target, which is made on first use.
func (t *target) view() *prefix.View {
	if t.cache == nil {
		t.cache = prefix.NewView()
	}
	return t.cache
}
