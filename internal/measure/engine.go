package measure

import (
	"container/list"
	"slices"
	"time"

	"godwitcart/internal/wire/enginewire"
)

// observer is told what happens to jobs on targets.
type observer interface {
	token(j *job)
	preempted(j *job, t *engine)
	ended(j *job)
}

// engine models one engine: a batch that is stepped, a queue by priority, token memory.
type engine struct {
	index   int
	name    string
	zone    string
	service int
	model   *engineModel
	clock   *clock
	watch   observer

	incarnation int
	dead        bool
	stepping    bool
	running     []*job
	waiting     []*job
	used        int
	preemptions uint64
	arrivals    uint64
	cache       *blockCache
}

// submit queues the job; it reports false when the engine is dead.
func (e *engine) submit(j *job) bool {
	if e.dead {
		return false
	}
	e.arrivals++
	j.order = e.arrivals
	e.enqueue(j)
	if !e.stepping {
		e.step()
	}
	return true
}

func (e *engine) enqueue(j *job) {
	at, _ := slices.BinarySearchFunc(e.waiting, j, servedBefore)
	e.waiting = slices.Insert(e.waiting, at, j)
}

// servedBefore orders the queue: the higher priority, then preempted jobs, then arrival.
func servedBefore(a, b *job) int {
	if a.priority != b.priority {
		return b.priority - a.priority
	}
	if a.displaced != b.displaced {
		if a.displaced {
			return -1
		}
		return 1
	}
	return int(a.order) - int(b.order)
}

// preemptedBefore orders the victims: the lowest priority, then the fewest tokens, then the latest.
func preemptedBefore(a, b *job) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if a.produced != b.produced {
		return a.produced < b.produced
	}
	return a.order > b.order
}

// step begins the next step, or stops when there is nothing to run.
func (e *engine) step() {
	e.shrink()
	prefill := e.admit()
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	e.stepping = true
	duration := e.model.stepBase + time.Duration(len(e.running))*e.model.stepPerSequence
	duration += time.Duration(prefill) * e.model.stepPerPrefill
	incarnation := e.incarnation
	e.clock.after(duration, func() {
		if e.incarnation == incarnation && !e.dead {
			e.endStep()
		}
	})
}

// endStep gives each running job its token and begins the next step.
func (e *engine) endStep() {
	var ended []*job
	kept := e.running[:0]
	for _, j := range e.running {
		j.produced++
		e.used++
		if j.produced >= j.output {
			e.used -= j.memory()
			ended = append(ended, j)
			continue
		}
		kept = append(kept, j)
	}
	clear(e.running[len(kept):])
	e.running = kept
	// The callbacks may submit to this engine; stepping keeps them from starting a step.
	for _, j := range e.running {
		e.watch.token(j)
	}
	for _, j := range ended {
		e.watch.token(j)
		e.watch.ended(j)
	}
	e.step()
}

func (e *engine) free() int { return e.model.memoryTokens - e.used - len(e.running) }

// shrink preempts until the next step fits.
func (e *engine) shrink() {
	for e.free() < 0 && len(e.running) > 1 {
		victim := e.running[0]
		for _, j := range e.running[1:] {
			if preemptedBefore(j, victim) {
				victim = j
			}
		}
		e.preempt(victim)
	}
}

func (e *engine) preempt(j *job) {
	at := slices.Index(e.running, j)
	e.running = slices.Delete(e.running, at, at+1)
	e.used -= j.memory()
	e.preemptions++
	j.displaced = true
	e.enqueue(j)
	e.watch.preempted(j, e)
}

// admit moves jobs from the queue into the batch and returns the prompt tokens to compute.
func (e *engine) admit() int {
	prefill := 0
	for len(e.waiting) > 0 {
		next := e.waiting[0]
		if !e.makeRoom(next) {
			break
		}
		e.waiting = slices.Delete(e.waiting, 0, 1)
		e.running = append(e.running, next)
		e.used += next.memory()
		prefill += max(0, next.memory()-e.cache.use(next.hashes)*blockTokens)
	}
	return prefill
}

// makeRoom reports whether next fits, after preempting lower priorities where that is enough.
func (e *engine) makeRoom(next *job) bool {
	need := next.memory() + 1
	free, batch := e.free(), len(e.running)
	fits := func() bool { return free >= need && batch < e.model.maxBatch }
	if fits() {
		return true
	}
	if !slices.ContainsFunc(e.running, func(j *job) bool { return j.priority < next.priority }) {
		return false
	}
	victims := slices.DeleteFunc(slices.Clone(e.running), func(j *job) bool { return j.priority >= next.priority })
	slices.SortFunc(victims, func(a, b *job) int {
		if preemptedBefore(a, b) {
			return -1
		}
		return 1
	})
	for i, victim := range victims {
		free += victim.memory() + 1
		batch--
		if fits() {
			for _, v := range victims[:i+1] {
				e.preempt(v)
			}
			return true
		}
	}
	return false
}

// kill ends the engine and returns the jobs that were on it.
func (e *engine) kill() []*job {
	jobs := slices.Concat(e.running, e.waiting)
	e.running, e.waiting = nil, nil
	e.used = 0
	e.dead = true
	e.stepping = false
	return jobs
}

// restart brings the engine back, empty.
func (e *engine) restart() {
	e.dead = false
	e.incarnation++
	e.preemptions = 0
	e.cache = newBlockCache(e.model.cacheBlocks)
}

// report returns the load as it is.
func (e *engine) report() enginewire.LoadReport {
	return enginewire.LoadReport{
		Target:         e.name,
		Incarnation:    string(rune('a' + e.incarnation)),
		AsOfUnixMillis: e.clock.time().UnixMilli(),
		Running:        len(e.running),
		Waiting:        len(e.waiting),
		MemoryTokens:   e.model.memoryTokens,
		UsedTokens:     e.used,
		Preemptions:    e.preemptions,
	}
}

// blockCache models the prefix cache, the least recently used block evicted first.
type blockCache struct {
	limit    int
	blocks   map[uint64]*list.Element
	recent   *list.List
	sequence uint64
	// events are those not taken yet.
	events []enginewire.CacheEvent
}

func newBlockCache(limit int) *blockCache {
	return &blockCache{limit: limit, blocks: make(map[uint64]*list.Element), recent: list.New()}
}

// use stores the blocks and returns the number of leading ones that were stored already.
func (c *blockCache) use(hashes []uint64) int {
	cached, hit := 0, true
	for _, hash := range hashes {
		element, found := c.blocks[hash]
		hit = hit && found
		if hit {
			cached++
		}
		if found {
			c.recent.MoveToFront(element)
			continue
		}
		c.blocks[hash] = c.recent.PushFront(hash)
		c.log(hash, false)
		if c.recent.Len() > c.limit {
			oldest := c.recent.Remove(c.recent.Back()).(uint64)
			delete(c.blocks, oldest)
			c.log(oldest, true)
		}
	}
	return cached
}

func (c *blockCache) log(hash uint64, evicted bool) {
	c.sequence++
	c.events = append(c.events, enginewire.CacheEvent{Sequence: c.sequence, PrefixHash: hash, Evicted: evicted})
}

// take returns the events since the last call.
func (c *blockCache) take() []enginewire.CacheEvent {
	events := c.events
	c.events = nil
	return events
}
