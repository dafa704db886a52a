package measure

import (
	"slices"
	"time"

	"godwitcart/internal/routing"
	"godwitcart/internal/wire/enginewire"
)

// clairvoyant decides for all entry VMs at one place, knows every length and the true state, and
// sends a job only when the memory that everything on the target will need is there. Its queue is
// by class and then by length, the shortest first, which keeps the sum of all waits small.
type clairvoyant struct {
	r        *run
	services [][]int
	assigned [][]*job
	queues   [][]*job
	rests    []rest
}

// rest is what is left of a job: its size now and the tokens to come.
type rest struct{ size, left int }

func (c *clairvoyant) start(r *run) {
	c.r = r
	c.services = make([][]int, len(r.d.services))
	c.queues = make([][]*job, len(r.d.services))
	c.assigned = make([][]*job, len(r.nodes))
	for i, n := range r.nodes {
		c.services[n.service] = append(c.services[n.service], i)
	}
	if r.d.loss {
		c.tick()
	}
}

// tick looks at the queues again, for engines that came back.
func (c *clairvoyant) tick() {
	for s := range c.queues {
		c.pump(s)
	}
	c.r.clock.after(time.Second, c.tick)
}

func (c *clairvoyant) submit(j *job) {
	if c.r.d.services[j.service].plain() {
		c.assign(j, c.leastAssigned(j.service))
		return
	}
	queue := c.queues[j.service]
	at, _ := slices.BinarySearchFunc(queue, j, func(a, b *job) int {
		if a.priority != b.priority {
			return b.priority - a.priority
		}
		if a.output != b.output {
			return a.output - b.output
		}
		return a.id - b.id
	})
	c.queues[j.service] = slices.Insert(queue, at, j)
	c.pump(j.service)
}

func (c *clairvoyant) leastAssigned(service int) int {
	best := -1
	for _, i := range c.services[service] {
		if best < 0 || len(c.assigned[i]) < len(c.assigned[best]) {
			best = i
		}
	}
	return best
}

// pump sends jobs in the order of the queue until the first that finds no room.
func (c *clairvoyant) pump(service int) {
	for len(c.queues[service]) > 0 {
		j := c.queues[service][0]
		target := c.find(j, 0)
		if target < 0 {
			target = c.find(j, j.priority)
		}
		if target < 0 {
			return
		}
		c.queues[service] = c.queues[service][1:]
		c.assign(j, target)
	}
}

// find returns the engine with the least memory needed among those with room, counting the work
// of at least the priority, or -1.
func (c *clairvoyant) find(j *job, priority int) int {
	best, least := -1, 0
	for _, i := range c.services[j.service] {
		if c.r.nodes[i].engine.dead {
			continue
		}
		peak, count := c.peak(j, i, priority)
		if peak > c.r.d.engine.memoryTokens || count > c.r.d.engine.maxBatch {
			continue
		}
		if best < 0 || peak < least {
			best, least = i, peak
		}
	}
	return best
}

// peak returns the most memory that the target will need with the job, and the batch.
func (c *clairvoyant) peak(j *job, target, priority int) (memory, count int) {
	c.rests = append(c.rests[:0], rest{size: j.memory(), left: j.output - j.produced})
	for _, other := range c.assigned[target] {
		if other.priority >= priority {
			c.rests = append(c.rests, rest{size: other.memory(), left: other.output - other.produced})
		}
	}
	slices.SortFunc(c.rests, func(a, b rest) int { return b.left - a.left })
	size := 0
	for i, r := range c.rests {
		size += r.size
		memory = max(memory, size+(i+1)*(r.left+1))
	}
	return memory, len(c.rests)
}

func (c *clairvoyant) assign(j *job, target int) {
	c.assigned[target] = append(c.assigned[target], j)
	c.r.send(j, target)
}

func (c *clairvoyant) progressed(*job) {}
func (c *clairvoyant) preempted(*job)  {}

func (c *clairvoyant) ended(j *job, _ routing.Outcome) {
	list := c.assigned[j.target]
	at := slices.Index(list, j)
	c.assigned[j.target] = slices.Delete(list, at, at+1)
	if !c.r.d.services[j.service].plain() {
		c.pump(j.service)
	}
}

func (c *clairvoyant) reported(int, *enginewire.LoadReport, []enginewire.CacheEvent) {}
