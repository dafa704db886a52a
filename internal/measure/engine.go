package measure

import (
	"container/list"
	"slices"
	"time"

	"godwitcart/internal/wire/enginewire"
)

// observer is notified of the progress of jobs on targets.
type observer interface {
	onToken(j *job)
	onPreempted(j *job, e *engine)
	onEnded(j *job)
}

// engine models one model engine with continuous batching, a priority queue and a token memory (KV cache).
// Generations that do not fit into the memory are preempted and start again from the queue with the tokens that
// they already produced.
type engine struct {
	index    int
	name     string
	zone     string
	service  int
	model    *engineModel
	clock    *clock
	observer observer

	incarnation  int
	isDown       bool
	isStepping   bool
	running      []*job
	waiting      []*job
	usedTokens   int
	preemptions  uint64
	arrivalCount uint64
	cache        *blockCache
}

// submit queues the job. It returns false if the engine is down.
func (e *engine) submit(j *job) bool {
	if e.isDown {
		return false
	}
	e.arrivalCount++
	j.arrivalOrder = e.arrivalCount
	e.enqueue(j)
	if !e.isStepping {
		e.step()
	}
	return true
}

func (e *engine) enqueue(j *job) {
	index, _ := slices.BinarySearchFunc(e.waiting, j, compareQueueOrder)
	e.waiting = slices.Insert(e.waiting, index, j)
}

// compareQueueOrder orders the queue by descending priority, then preempted jobs first, then by arrival.
func compareQueueOrder(a, b *job) int {
	if a.priority != b.priority {
		return b.priority - a.priority
	}
	if a.wasPreempted != b.wasPreempted {
		if a.wasPreempted {
			return -1
		}
		return 1
	}
	return int(a.arrivalOrder) - int(b.arrivalOrder)
}

// isPreemptedBefore orders jobs for preemption: the lowest priority first, then the fewest produced tokens, then the
// latest arrival.
func isPreemptedBefore(a, b *job) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if a.producedTokens != b.producedTokens {
		return a.producedTokens < b.producedTokens
	}
	return a.arrivalOrder > b.arrivalOrder
}

// step starts the next step, or stops stepping if there is no job to run.
func (e *engine) step() {
	e.preemptUntilFit()
	prefill := e.admit()
	if len(e.running) == 0 {
		e.isStepping = false
		return
	}
	e.isStepping = true
	duration := e.model.stepBase + time.Duration(len(e.running))*e.model.stepPerSequence
	duration += time.Duration(prefill) * e.model.stepPerPrefill
	incarnation := e.incarnation
	e.clock.after(duration, func() {
		if e.incarnation == incarnation && !e.isDown {
			e.endStep()
		}
	})
}

// endStep adds one token to each running job and starts the next step.
func (e *engine) endStep() {
	var ended []*job
	running := e.running[:0]
	for _, j := range e.running {
		j.producedTokens++
		e.usedTokens++
		if j.producedTokens >= j.outputTokens {
			e.usedTokens -= j.memoryTokens()
			ended = append(ended, j)
			continue
		}
		running = append(running, j)
	}
	clear(e.running[len(running):])
	e.running = running
	// The callbacks may submit jobs to this engine; isStepping is still set, so that submit does not start a step.
	for _, j := range e.running {
		e.observer.onToken(j)
	}
	for _, j := range ended {
		e.observer.onToken(j)
		e.observer.onEnded(j)
	}
	e.step()
}

// freeTokens returns the free memory after reserving one token per running job for the next step; it is negative if
// the next step does not fit.
func (e *engine) freeTokens() int { return e.model.memoryTokens - e.usedTokens - len(e.running) }

// preemptUntilFit preempts jobs until the tokens of the next step fit into the memory.
func (e *engine) preemptUntilFit() {
	for e.freeTokens() < 0 && len(e.running) > 1 {
		victim := e.running[0]
		for _, j := range e.running[1:] {
			if isPreemptedBefore(j, victim) {
				victim = j
			}
		}
		e.preempt(victim)
	}
}

func (e *engine) preempt(j *job) {
	index := slices.Index(e.running, j)
	e.running = slices.Delete(e.running, index, index+1)
	e.usedTokens -= j.memoryTokens()
	e.preemptions++
	j.wasPreempted = true
	e.enqueue(j)
	e.observer.onPreempted(j, e)
}

// admit moves jobs from the queue into the batch while they fit, and returns the number of tokens to prefill.
func (e *engine) admit() int {
	prefill := 0
	for len(e.waiting) > 0 {
		next := e.waiting[0]
		if !e.tryMakeRoom(next) {
			break
		}
		e.waiting = slices.Delete(e.waiting, 0, 1)
		e.running = append(e.running, next)
		e.usedTokens += next.memoryTokens()
		prefill += max(0, next.memoryTokens()-e.cache.lookupAndStore(next.prefixHashes)*blockTokens)
	}
	return prefill
}

// tryMakeRoom reports whether next fits into the batch. If necessary, it preempts jobs of lower priority, but none
// if preempting all of them would not be enough.
func (e *engine) tryMakeRoom(next *job) bool {
	required := next.memoryTokens() + 1
	free, batch := e.freeTokens(), len(e.running)
	fits := func() bool { return free >= required && batch < e.model.maxBatch }
	if fits() {
		return true
	}
	if !slices.ContainsFunc(e.running, func(j *job) bool { return j.priority < next.priority }) {
		return false
	}
	victims := slices.DeleteFunc(slices.Clone(e.running), func(j *job) bool { return j.priority >= next.priority })
	slices.SortFunc(victims, func(a, b *job) int {
		if isPreemptedBefore(a, b) {
			return -1
		}
		return 1
	})
	for i, victim := range victims {
		free += victim.memoryTokens() + 1
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

// kill takes the engine down and returns the jobs that were running or queued on it.
func (e *engine) kill() []*job {
	jobs := slices.Concat(e.running, e.waiting)
	e.running, e.waiting = nil, nil
	e.usedTokens = 0
	e.isDown = true
	e.isStepping = false
	return jobs
}

// restart brings the engine up without jobs and with an empty cache, as a new incarnation.
func (e *engine) restart() {
	e.isDown = false
	e.incarnation++
	e.preemptions = 0
	e.cache = newBlockCache(e.model.cacheBlocks)
}

// loadReport returns the current load.
func (e *engine) loadReport() enginewire.LoadReport {
	return enginewire.LoadReport{
		Target:         e.name,
		Incarnation:    string(rune('a' + e.incarnation)),
		AsOfUnixMillis: e.clock.time().UnixMilli(),
		Running:        len(e.running),
		Waiting:        len(e.waiting),
		MemoryTokens:   e.model.memoryTokens,
		UsedTokens:     e.usedTokens,
		Preemptions:    e.preemptions,
	}
}

// blockCache models the prefix cache as an LRU cache of blocks.
type blockCache struct {
	capacity int
	blocks   map[uint64]*list.Element
	lru      *list.List
	sequence uint64
	// events are the events that takeEvents has not returned yet.
	events []enginewire.CacheEvent
}

func newBlockCache(capacity int) *blockCache {
	return &blockCache{capacity: capacity, blocks: make(map[uint64]*list.Element), lru: list.New()}
}

// lookupAndStore stores the blocks and returns how many of the leading blocks were cached already.
func (c *blockCache) lookupAndStore(hashes []uint64) int {
	cached, hit := 0, true
	for _, hash := range hashes {
		element, found := c.blocks[hash]
		hit = hit && found
		if hit {
			cached++
		}
		if found {
			c.lru.MoveToFront(element)
			continue
		}
		c.blocks[hash] = c.lru.PushFront(hash)
		c.recordEvent(hash, false)
		if c.lru.Len() > c.capacity {
			oldest := c.lru.Remove(c.lru.Back()).(uint64)
			delete(c.blocks, oldest)
			c.recordEvent(oldest, true)
		}
	}
	return cached
}

func (c *blockCache) recordEvent(hash uint64, evicted bool) {
	c.sequence++
	c.events = append(c.events, enginewire.CacheEvent{Sequence: c.sequence, PrefixHash: hash, Evicted: evicted})
}

// takeEvents returns the events since the last call.
func (c *blockCache) takeEvents() []enginewire.CacheEvent {
	events := c.events
	c.events = nil
	return events
}
