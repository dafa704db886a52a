package measure

import (
	"slices"
	"time"

	"godwitcart/internal/routing"
	"godwitcart/internal/wire/enginewire"
)

// clairvoyant is the reference policy: a central scheduler for all entry VMs that knows the output length of every
// job and the current state of every engine. It dispatches a job only to an engine whose memory suffices for all
// of its jobs until they complete. Its queues are ordered by priority and then by output length, shortest first,
// which keeps the total waiting time low.
type clairvoyant struct {
	sim              *simulation
	targetsByService [][]int
	assigned         [][]*job // by target
	queues           [][]*job // by service
	// demands is a scratch buffer of peakMemory.
	demands []memoryDemand
}

// memoryDemand is the memory that a job uses now and the number of tokens that it will still produce.
type memoryDemand struct{ tokens, remainingTokens int }

func (c *clairvoyant) start(sim *simulation) {
	c.sim = sim
	c.targetsByService = make([][]int, len(sim.deployment.services))
	c.queues = make([][]*job, len(sim.deployment.services))
	c.assigned = make([][]*job, len(sim.targets))
	for i, t := range sim.targets {
		c.targetsByService[t.service] = append(c.targetsByService[t.service], i)
	}
	if sim.deployment.engineFailure {
		c.retryQueues()
	}
}

// retryQueues dispatches from all queues once per second, because no job ends to trigger that when a failed engine
// restarts.
func (c *clairvoyant) retryQueues() {
	for s := range c.queues {
		c.dispatchQueue(s)
	}
	c.sim.clock.after(time.Second, c.retryQueues)
}

func (c *clairvoyant) submit(j *job) {
	if c.sim.deployment.services[j.service].isPlain() {
		c.assign(j, c.leastAssigned(j.service))
		return
	}
	queue := c.queues[j.service]
	index, _ := slices.BinarySearchFunc(queue, j, func(a, b *job) int {
		if a.priority != b.priority {
			return b.priority - a.priority
		}
		if a.outputTokens != b.outputTokens {
			return a.outputTokens - b.outputTokens
		}
		return a.id - b.id
	})
	c.queues[j.service] = slices.Insert(queue, index, j)
	c.dispatchQueue(j.service)
}

func (c *clairvoyant) leastAssigned(service int) int {
	best := -1
	for _, i := range c.targetsByService[service] {
		if best < 0 || len(c.assigned[i]) < len(c.assigned[best]) {
			best = i
		}
	}
	return best
}

// dispatchQueue dispatches jobs in queue order until no engine has room for the next one. An engine that has room
// without preemption is preferred to one that would preempt jobs of lower priority.
func (c *clairvoyant) dispatchQueue(service int) {
	for len(c.queues[service]) > 0 {
		j := c.queues[service][0]
		target := c.findEngine(j, 0)
		if target < 0 {
			target = c.findEngine(j, j.priority)
		}
		if target < 0 {
			return
		}
		c.queues[service] = c.queues[service][1:]
		c.assign(j, target)
	}
}

// findEngine returns the engine with the lowest peak memory among those with room for the job, or -1 if there is
// none. Only jobs of at least the given priority count, because the others can be preempted.
func (c *clairvoyant) findEngine(j *job, priority int) int {
	best, lowestPeak := -1, 0
	for _, i := range c.targetsByService[j.service] {
		if c.sim.targets[i].engine.isDown {
			continue
		}
		peak, count := c.peakMemory(j, i, priority)
		if peak > c.sim.deployment.engine.memoryTokens || count > c.sim.deployment.engine.maxBatch {
			continue
		}
		if best < 0 || peak < lowestPeak {
			best, lowestPeak = i, peak
		}
	}
	return best
}

// peakMemory returns the peak memory, in tokens, that the target will need with the job added, and the batch size.
// Jobs are taken in descending order of remaining tokens: at the time when one ends, it and all jobs before it
// have grown by its remaining tokens, and those after it have ended. One more token per job is reserved for the
// next step, as in engine.freeTokens.
func (c *clairvoyant) peakMemory(j *job, target, priority int) (memory, count int) {
	c.demands = append(c.demands[:0], memoryDemand{tokens: j.memoryTokens(), remainingTokens: j.outputTokens - j.producedTokens})
	for _, other := range c.assigned[target] {
		if other.priority >= priority {
			c.demands = append(c.demands, memoryDemand{tokens: other.memoryTokens(), remainingTokens: other.outputTokens - other.producedTokens})
		}
	}
	slices.SortFunc(c.demands, func(a, b memoryDemand) int { return b.remainingTokens - a.remainingTokens })
	total := 0
	for i, demand := range c.demands {
		total += demand.tokens
		memory = max(memory, total+(i+1)*(demand.remainingTokens+1))
	}
	return memory, len(c.demands)
}

func (c *clairvoyant) assign(j *job, target int) {
	c.assigned[target] = append(c.assigned[target], j)
	c.sim.send(j, target)
}

func (c *clairvoyant) onProgress(*job)  {}
func (c *clairvoyant) onPreempted(*job) {}

func (c *clairvoyant) onEnded(j *job, _ routing.Outcome) {
	list := c.assigned[j.target]
	index := slices.Index(list, j)
	c.assigned[j.target] = slices.Delete(list, index, index+1)
	if !c.sim.deployment.services[j.service].isPlain() {
		c.dispatchQueue(j.service)
	}
}

func (c *clairvoyant) onReport(int, *enginewire.LoadReport, []enginewire.CacheEvent) {}
