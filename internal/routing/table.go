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

// Table is one VM's view of all targets. It is safe for concurrent use.
type Table struct {
	options Options
	// entryVMCount is the number of entry VMs that send to the same targets.
	entryVMCount atomic.Int64

	mu sync.RWMutex
	// shards maps service names to shards, and shardByTarget target names.
	shards        map[string]*shard
	shardByTarget map[string]*shard
	priorities    []int
}

// shard is the state of one service, guarded by its own lock.
type shard struct {
	service      string
	options      *Options
	entryVMCount *atomic.Int64

	mu            sync.Mutex
	random        *rand.Rand
	targets       map[string]*target
	sortedTargets []*target
	// retired holds targets that are no longer listed, until retiredTTL has passed.
	retired    map[string]*target
	candidates map[candidateKey]*candidates
	priorities []int
	// cachedCurve is the distribution of the service's output lengths, refetched after maxCurveUses uses.
	cachedCurve *lengths.Curve
	curveUses   int
}

// candidateKey identifies a list of candidates.
type candidateKey struct {
	variant policy.Variant
	zone    string
}

// candidates are the targets that have a variant loaded, grouped by zone.
type candidates struct {
	sameZone   []*target
	otherZones []*target
}

const (
	// maxCandidateLists bounds the memory of the cached lists, since queries may name any variant.
	maxCandidateLists = 256
	// maxCurveUses is the number of uses after which the service's curve is fetched again.
	maxCurveUses = 64
)

// NewTable returns an empty Table.
func NewTable(options Options) *Table {
	table := &Table{
		options:       options.withDefaults(),
		shards:        make(map[string]*shard),
		shardByTarget: make(map[string]*shard),
	}
	table.entryVMCount.Store(int64(table.options.EntryVMCount))
	return table
}

// SetEntryVMCount sets the number of live entry VMs that send to the same targets.
func (t *Table) SetEntryVMCount(count int) { t.entryVMCount.Store(int64(max(count, 1))) }

// SetPriorities sets the priorities of all classes and ranks them from the lowest up. From the eighth on, they share
// the highest rank; see maxPriorityRanks.
func (t *Table) SetPriorities(priorities []int) {
	sorted := slices.Compact(slices.Sorted(slices.Values(priorities)))
	t.mu.Lock()
	t.priorities = sorted
	shards := t.sortedShards()
	t.mu.Unlock()
	for _, s := range shards {
		s.setPriorities(sorted)
	}
}

// sortedShards returns the shards ordered by service. The caller holds the lock.
func (t *Table) sortedShards() []*shard {
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

// SetTargets replaces the targets of a service, keeping the state of those that remain. The state of removed
// targets is kept for retiredTTL, since a target may be missing only briefly.
func (t *Table) SetTargets(service string, targets []membership.VM, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, found := t.shards[service]
	if !found {
		s = t.newShard(service)
		t.shards[service] = s
	}
	for _, name := range s.updateTargets(targets, now) {
		if t.shardByTarget[name] == s {
			delete(t.shardByTarget, name)
		}
	}
	for i := range targets {
		t.shardByTarget[targets[i].Name] = s
	}
}

func (t *Table) newShard(service string) *shard {
	return &shard{
		service:      service,
		options:      &t.options,
		entryVMCount: &t.entryVMCount,
		random:       rand.New(rand.NewPCG(t.options.Seed, uint64(len(t.shards)))),
		targets:      make(map[string]*target),
		retired:      make(map[string]*target),
		candidates:   make(map[candidateKey]*candidates),
		priorities:   t.priorities,
	}
}

func (t *Table) shard(service string) *shard {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.shards[service]
}

func (t *Table) shardOf(target string) *shard {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.shardByTarget[target]
}

// ApplyReport applies the load report of a target that arrived now. A report that is not newer than the last one is
// dropped.
func (t *Table) ApplyReport(target string, report enginewire.LoadReport, now time.Time) {
	if s := t.shardOf(target); s != nil {
		s.applyReport(target, &report, now)
	}
}

// ApplyCacheEvents applies a page of cache events of a target.
func (t *Table) ApplyCacheEvents(target string, events []enginewire.CacheEvent) {
	if s := t.shardOf(target); s != nil {
		s.applyCacheEvents(target, events)
	}
}

// MarkLeaving records that the current incarnation of the target is leaving; it gets no new work.
func (t *Table) MarkLeaving(target string) {
	s := t.shardOf(target)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if found := s.targets[target]; found != nil {
		found.leaving = true
	}
}

// Progress records the total number of tokens that the attempt has produced. It has no effect after Done.
func (t *Table) Progress(choice Choice, tokens int) {
	r := choice.reservation
	if r == nil {
		return
	}
	s := r.target.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	if !r.ended {
		r.target.updateProgress(r, tokens)
	}
}

// Preempted records that the engine preempted the attempt. The engine is short of memory, so only the highest
// priority gets new work there for pressureDuration.
func (t *Table) Preempted(choice Choice, now time.Time) {
	r := choice.reservation
	if r == nil {
		return
	}
	s := r.target.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	r.target.underPressureUntil = now.Add(pressureDuration)
}

// pressureDuration is how long a target that preempted an attempt gets only work of the highest priority.
const pressureDuration = 200 * time.Millisecond

// Done ends the attempt and releases its reservation. Later calls have no effect.
func (t *Table) Done(choice Choice, outcome Outcome, now time.Time) {
	r := choice.reservation
	if r == nil {
		return
	}
	s := r.target.shard
	s.mu.Lock()
	done := r.ended
	if !done {
		s.endAttempt(r, outcome, now)
	}
	s.mu.Unlock()
	if !done && outcome == OutcomeCompleted && r.curve != nil {
		t.options.Lengths.Observe(r.key, r.produced)
	}
}

// Lengths returns the output length distributions in which the table records completed outputs.
func (t *Table) Lengths() *lengths.Estimator { return t.options.Lengths }

// Rows returns the state of the targets of all services, ordered by service and name.
func (t *Table) Rows(now time.Time) []TargetRow {
	t.mu.RLock()
	shards := t.sortedShards()
	t.mu.RUnlock()
	var rows []TargetRow
	for _, s := range shards {
		rows = s.appendRows(rows, now)
	}
	return rows
}

// prefixView returns the target's view of cached prefixes, created on first use.
func (t *target) prefixView() *prefix.Index {
	if t.cachedPrefixes == nil {
		t.cachedPrefixes = prefix.NewIndex()
	}
	return t.cachedPrefixes
}
