package measure

import (
	"math/rand/v2"
	"slices"
	"time"

	"godwitcart/internal/routing"
	"godwitcart/internal/wire/enginewire"
)

// avoidFor is how long the plain policies avoid a target on which an attempt failed.
const avoidFor = 5 * time.Second

// baseline is what the plain policies share: each entry VM sends at once, and knows a target by
// its last report and by what it sent since.
type baseline struct {
	r          *run
	services   [][]int
	reports    []enginewire.LoadReport
	reportedAt []time.Duration
	entries    []entryView
	choose     func(b *baseline, j *job, targets []int) int
}

// entryView is what one entry VM knows.
type entryView struct {
	random  *rand.Rand
	next    int
	sent    [][]time.Duration
	held    []int
	avoided []time.Duration
}

func (b *baseline) start(r *run) {
	b.r = r
	b.services = make([][]int, len(r.d.services))
	for i, n := range r.nodes {
		b.services[n.service] = append(b.services[n.service], i)
	}
	b.reports = make([]enginewire.LoadReport, len(r.nodes))
	b.reportedAt = make([]time.Duration, len(r.nodes))
	for i := range r.d.entries {
		b.entries = append(b.entries, entryView{
			random:  rand.New(rand.NewPCG(uint64(i), 3)),
			next:    i,
			sent:    make([][]time.Duration, len(r.nodes)),
			held:    make([]int, len(r.nodes)),
			avoided: make([]time.Duration, len(r.nodes)),
		})
	}
}

func (b *baseline) submit(j *job) {
	view := &b.entries[j.entry]
	targets := slices.DeleteFunc(slices.Clone(b.services[j.service]), func(i int) bool {
		return view.avoided[i] > b.r.clock.now || slices.Contains(j.excluded, b.r.nodes[i].name)
	})
	if len(targets) == 0 {
		b.r.refuse(j)
		return
	}
	target := b.choose(b, j, targets)
	view.sent[target] = append(view.sent[target], b.r.clock.now)
	view.held[target]++
	b.r.send(j, target)
}

// load returns the requests on the target as the entry VM knows it.
func (b *baseline) load(j *job, target int) int {
	view := &b.entries[j.entry]
	if b.r.nodes[target].plain != nil {
		return view.held[target]
	}
	since := view.sent[target]
	for len(since) > 0 && since[0] < b.reportedAt[target] {
		since = since[1:]
	}
	view.sent[target] = since
	return b.reports[target].Running + b.reports[target].Waiting + len(since)
}

func (b *baseline) progressed(*job) {}
func (b *baseline) preempted(*job)  {}

func (b *baseline) ended(j *job, outcome routing.Outcome) {
	view := &b.entries[j.entry]
	view.held[j.target]--
	if outcome == routing.OutcomeFailed {
		view.avoided[j.target] = b.r.clock.now + avoidFor
	}
}

func (b *baseline) reported(target int, report *enginewire.LoadReport, _ []enginewire.CacheEvent) {
	b.reports[target] = *report
	b.reportedAt[target] = b.r.clock.now - reportLag
}

func (b *baseline) chooseRoundRobin(j *job, targets []int) int {
	view := &b.entries[j.entry]
	view.next++
	return targets[view.next%len(targets)]
}

// chooseLeastLoaded takes the least loaded, by turns among equals.
func (b *baseline) chooseLeastLoaded(j *job, targets []int) int {
	view := &b.entries[j.entry]
	start := view.random.IntN(len(targets))
	best, least := targets[start], b.load(j, targets[start])
	for i := 1; i < len(targets); i++ {
		candidate := targets[(start+i)%len(targets)]
		if load := b.load(j, candidate); load < least {
			best, least = candidate, load
		}
	}
	return best
}

func (b *baseline) chooseOfTwo(j *job, targets []int) int {
	view := &b.entries[j.entry]
	first := targets[view.random.IntN(len(targets))]
	second := targets[view.random.IntN(len(targets))]
	if b.load(j, second) < b.load(j, first) {
		return second
	}
	return first
}
