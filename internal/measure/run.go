package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"godwitcart/internal/routing"
	"godwitcart/internal/wire/enginewire"
)

const (
	// clientHop is the time of one hop between an entry VM and a target of its zone.
	targetHop = 500 * time.Microsecond
	// reportEvery and reportLag say how often an engine's load is read and how late it arrives;
	// reportLoss is the share of readings that never do.
	reportEvery = 250 * time.Millisecond
	reportLag   = time.Second
	reportLoss  = 0.1
	// eventLoss is the share of cache events that never arrive.
	eventLoss = 0.05
	// membershipEvery is how often targets that live are confirmed.
	membershipEvery = time.Second
	// lostFor is how long the lost target stays away.
	lostFor = 40 * time.Second
	// maxTries bounds the attempts of one job; retryWait is the time until a failure is noticed.
	maxTries  = 6
	retryWait = 2 * time.Millisecond
	// drainFactor bounds the run: work still in progress at this multiple of the duration is cut off.
	drainFactor = 3
)

// progress is what a run does to a job.
type progress struct {
	priority  int
	order     uint64
	displaced bool
	produced  int
	// target is the index of the target that the job was sent to.
	target   int
	tries    int
	excluded []string
	// handle is the policy's own record of the attempt.
	handle any

	lastToken   time.Duration
	firstToken  time.Duration
	stall       time.Duration
	preemptions int
	ended       bool
}

// memory returns the tokens that the job holds while it runs.
func (j *job) memory() int { return j.prompt + j.produced }

// strategy decides where jobs go. It answers submit by run.send or run.refuse, at once or later.
type strategy interface {
	start(r *run)
	submit(j *job)
	progressed(j *job)
	preempted(j *job)
	ended(j *job, outcome routing.Outcome)
	reported(target int, report *enginewire.LoadReport, events []enginewire.CacheEvent)
}

// node is one target of either kind.
type node struct {
	name    string
	zone    string
	service int
	engine  *engine
	plain   *plainTarget
}

// run plays the work of a deployment under one policy.
type run struct {
	d      *Deployment
	work   *work
	clock  clock
	nodes  []*node
	policy strategy
	score  *score
	random *rand.Rand
	left   int
}

func newRun(d *Deployment, seed uint64, p strategy) *run {
	r := &run{d: d, policy: p, random: rand.New(rand.NewPCG(seed, 2))}
	r.work = newWork(d, seed)
	r.left = len(r.work.jobs)
	r.score = newScore(d)
	for s := range d.services {
		r.addService(s)
	}
	return r
}

func (r *run) addService(service int) {
	model := &r.d.services[service]
	for i := range model.replicas {
		n := &node{name: fmt.Sprintf("%s-%03d", model.name, i), zone: r.d.zones[i%len(r.d.zones)], service: service}
		if model.plain() {
			n.plain = &plainTarget{index: len(r.nodes), name: n.name, zone: n.zone, service: service, workers: model.workers, clock: &r.clock, watch: r}
		} else {
			n.engine = &engine{index: len(r.nodes), name: n.name, zone: n.zone, service: service, model: &r.d.engine, clock: &r.clock, watch: r}
			n.engine.cache = newBlockCache(r.d.engine.cacheBlocks)
		}
		r.nodes = append(r.nodes, n)
	}
}

// play runs all work and returns the score.
func (r *run) play() *score {
	r.policy.start(r)
	r.scheduleArrivals(0)
	for i, n := range r.nodes {
		if n.engine != nil {
			// The fleet was up before the run, so that its targets are known.
			first := r.read(n.engine)
			r.policy.reported(i, &first, nil)
			r.scheduleReports(i, time.Duration(i)*reportEvery/time.Duration(len(r.nodes)))
		}
	}
	if r.d.loss {
		r.scheduleLoss()
	}
	r.clock.play(drainFactor*r.d.Duration, func() bool { return r.left == 0 })
	for _, j := range r.work.jobs {
		if !j.ended && j.arrival < r.d.Duration {
			r.score.cutOff(j, r.clock.now)
		}
	}
	return r.score
}

// scheduleArrivals submits the job at the index and then the next one.
func (r *run) scheduleArrivals(index int) {
	if index >= len(r.work.jobs) {
		return
	}
	j := r.work.jobs[index]
	r.clock.at(j.arrival, func() {
		j.priority = r.priority(j)
		r.scheduleArrivals(index + 1)
		r.policy.submit(j)
	})
}

func (r *run) priority(j *job) int { return r.d.classes[j.class].priority }

// scheduleReports reads an engine's load every now and then; readings arrive late or never.
func (r *run) scheduleReports(index int, at time.Duration) {
	r.clock.at(at, func() {
		r.scheduleReports(index, at+reportEvery)
		e := r.nodes[index].engine
		lost := r.random.Float64() < reportLoss
		if e.dead || lost {
			return
		}
		report := r.read(e)
		events := r.thin(e.cache.take())
		r.clock.after(reportLag, func() { r.policy.reported(index, &report, events) })
	})
}

// read returns the engine's report as it is.
func (r *run) read(e *engine) enginewire.LoadReport {
	report := e.report()
	report.Loaded = []enginewire.Loaded{{Model: r.d.services[e.service].model}}
	return report
}

// thin drops some events.
func (r *run) thin(events []enginewire.CacheEvent) []enginewire.CacheEvent {
	var kept []enginewire.CacheEvent
	for _, event := range events {
		if r.random.Float64() >= eventLoss {
			kept = append(kept, event)
		}
	}
	return kept
}

// scheduleLoss kills the first engine late in the run and brings it back empty.
func (r *run) scheduleLoss() {
	at := r.d.Duration * 7 / 10
	lost := r.nodes[0].engine
	r.clock.at(at, func() {
		for _, j := range lost.kill() {
			r.fail(j)
		}
	})
	r.clock.at(at+min(lostFor, r.d.Duration/6), lost.restart)
}

// send takes the job to the target over the network.
func (r *run) send(j *job, target int) {
	j.target = target
	j.tries++
	j.displaced = false
	n := r.nodes[target]
	r.clock.after(r.hop(j, n), func() {
		if n.plain != nil {
			n.plain.submit(j)
			return
		}
		if !n.engine.submit(j) {
			r.fail(j)
		}
	})
}

// hop returns the time between the job's entry VM and the target.
func (r *run) hop(j *job, n *node) time.Duration {
	if r.entryZone(j.entry) == n.zone {
		return targetHop
	}
	return targetHop + r.d.zoneHop
}

func (r *run) entryZone(entry int) string { return r.d.zones[entry%len(r.d.zones)] }

// fail ends an attempt on a dead target. A job without a token is tried again; one with tokens is lost.
func (r *run) fail(j *job) {
	r.clock.after(retryWait, func() {
		r.policy.ended(j, routing.OutcomeFailed)
		if j.produced > 0 || j.tries >= maxTries {
			r.end(j)
			r.score.lost(j)
			return
		}
		j.excluded = append(j.excluded, r.nodes[j.target].name)
		r.policy.submit(j)
	})
}

// refuse ends a job that did not run.
func (r *run) refuse(j *job) {
	r.end(j)
	r.score.refused(j)
}

func (r *run) end(j *job) {
	j.ended = true
	r.left--
}

// token implements observer.
func (r *run) token(j *job) {
	r.score.token(j, r.clock.now)
	r.policy.progressed(j)
}

// preempted implements observer.
func (r *run) preempted(j *job, e *engine) {
	r.score.preempted(j, e)
	r.policy.preempted(j)
}

// ended implements observer.
func (r *run) ended(j *job) {
	r.end(j)
	r.score.answered(j, r.clock.now)
	r.policy.ended(j, routing.OutcomeCompleted)
}
