package measure

import (
	"math/rand/v2"
	"slices"
	"time"

	"godwitcart/internal/routing"
	"godwitcart/internal/wire/enginewire"
)

// failureBackoff is how long an entry VM avoids a target after a failed attempt under a baseline policy.
const failureBackoff = 5 * time.Second

// baseline implements the simple policies. Each entry VM dispatches a job immediately. It knows the load of a
// target only from the last load report and from the jobs that it sent since that report.
type baseline struct {
	sim              *simulation
	targetsByService [][]int
	reports          []enginewire.LoadReport
	reportedAt       []time.Duration
	entryVMs         []entryVMState
	choose           func(b *baseline, j *job, targets []int) int
}

// entryVMState is the state of one entry VM. The slices have one element per target.
type entryVMState struct {
	random     *rand.Rand
	nextTarget int
	sentAt     [][]time.Duration
	inFlight   []int
	avoidUntil []time.Duration
}

func (b *baseline) start(sim *simulation) {
	b.sim = sim
	b.targetsByService = make([][]int, len(sim.deployment.services))
	for i, t := range sim.targets {
		b.targetsByService[t.service] = append(b.targetsByService[t.service], i)
	}
	b.reports = make([]enginewire.LoadReport, len(sim.targets))
	b.reportedAt = make([]time.Duration, len(sim.targets))
	for i := range sim.deployment.entryVMCount {
		b.entryVMs = append(b.entryVMs, entryVMState{
			random:     rand.New(rand.NewPCG(uint64(i), 3)),
			nextTarget: i,
			sentAt:     make([][]time.Duration, len(sim.targets)),
			inFlight:   make([]int, len(sim.targets)),
			avoidUntil: make([]time.Duration, len(sim.targets)),
		})
	}
}

func (b *baseline) submit(j *job) {
	vm := &b.entryVMs[j.entryVM]
	targets := slices.DeleteFunc(slices.Clone(b.targetsByService[j.service]), func(i int) bool {
		return vm.avoidUntil[i] > b.sim.clock.now || slices.Contains(j.excludedTargets, b.sim.targets[i].name)
	})
	if len(targets) == 0 {
		b.sim.refuse(j)
		return
	}
	target := b.choose(b, j, targets)
	vm.sentAt[target] = append(vm.sentAt[target], b.sim.clock.now)
	vm.inFlight[target]++
	b.sim.send(j, target)
}

// load returns the number of jobs on the target as estimated by the entry VM of the job. A plain service sends no
// load reports, so only the jobs of this entry VM are counted.
func (b *baseline) load(j *job, target int) int {
	vm := &b.entryVMs[j.entryVM]
	if b.sim.targets[target].plain != nil {
		return vm.inFlight[target]
	}
	sentSinceReport := vm.sentAt[target]
	for len(sentSinceReport) > 0 && sentSinceReport[0] < b.reportedAt[target] {
		sentSinceReport = sentSinceReport[1:]
	}
	vm.sentAt[target] = sentSinceReport
	return b.reports[target].Running + b.reports[target].Waiting + len(sentSinceReport)
}

func (b *baseline) onProgress(*job)  {}
func (b *baseline) onPreempted(*job) {}

func (b *baseline) onEnded(j *job, outcome routing.Outcome) {
	vm := &b.entryVMs[j.entryVM]
	vm.inFlight[j.target]--
	if outcome == routing.OutcomeFailed {
		vm.avoidUntil[j.target] = b.sim.clock.now + failureBackoff
	}
}

func (b *baseline) onReport(target int, report *enginewire.LoadReport, _ []enginewire.CacheEvent) {
	b.reports[target] = *report
	b.reportedAt[target] = b.sim.clock.now - reportDelay
}

func (b *baseline) chooseRoundRobin(j *job, targets []int) int {
	vm := &b.entryVMs[j.entryVM]
	vm.nextTarget++
	return targets[vm.nextTarget%len(targets)]
}

// chooseLeastLoaded returns the target with the lowest load. It starts at a random target, so that targets with
// equal load are chosen evenly.
func (b *baseline) chooseLeastLoaded(j *job, targets []int) int {
	vm := &b.entryVMs[j.entryVM]
	start := vm.random.IntN(len(targets))
	best, lowestLoad := targets[start], b.load(j, targets[start])
	for i := 1; i < len(targets); i++ {
		candidate := targets[(start+i)%len(targets)]
		if load := b.load(j, candidate); load < lowestLoad {
			best, lowestLoad = candidate, load
		}
	}
	return best
}

// chooseTwoChoices returns the less loaded of two targets drawn at random.
func (b *baseline) chooseTwoChoices(j *job, targets []int) int {
	vm := &b.entryVMs[j.entryVM]
	first := targets[vm.random.IntN(len(targets))]
	second := targets[vm.random.IntN(len(targets))]
	if b.load(j, second) < b.load(j, first) {
		return second
	}
	return first
}
