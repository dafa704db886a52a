package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"godwitcart/internal/routing"
	"godwitcart/internal/wire/enginewire"
)

const (
	// intraZoneLatency is the one-way latency between an entry VM and a target in the same zone.
	intraZoneLatency = 500 * time.Microsecond
	// reportInterval is how often the load of an engine is read, reportDelay how much later the report arrives,
	// and reportLossRate the fraction of reports that are lost.
	reportInterval = 250 * time.Millisecond
	reportDelay    = time.Second
	reportLossRate = 0.1
	// cacheEventLossRate is the fraction of cache events that are lost.
	cacheEventLossRate = 0.05
	// membershipInterval is how often live targets are confirmed.
	membershipInterval = time.Second
	// engineDowntime is the maximum time from the failure of an engine to its restart.
	engineDowntime = 40 * time.Second
	// maxAttempts limits the attempts of a job. failureDetectionDelay is the time until a failed attempt is noticed.
	maxAttempts           = 6
	failureDetectionDelay = 2 * time.Millisecond
	// drainFactor limits a run: jobs that are unfinished at this multiple of the duration are cut off.
	drainFactor = 3
)

// jobState is the part of a job that changes during a run.
type jobState struct {
	priority       int
	arrivalOrder   uint64
	wasPreempted   bool
	producedTokens int
	// target is the index of the target that the job was sent to.
	target          int
	attempts        int
	excludedTargets []string // names of the targets on which an attempt failed
	// policyState is data that the policy attaches to the attempt.
	policyState any

	lastTokenAt  time.Duration
	firstTokenAt time.Duration
	stall        time.Duration
	preemptions  int
	isEnded      bool
}

// memoryTokens returns the number of tokens that the job occupies in engine memory while it runs.
func (j *job) memoryTokens() int { return j.promptTokens + j.producedTokens }

// schedulingPolicy decides where jobs run. For every job passed to submit, it calls simulation.send or
// simulation.refuse, immediately or later.
type schedulingPolicy interface {
	start(sim *simulation)
	submit(j *job)
	onProgress(j *job)
	onPreempted(j *job)
	onEnded(j *job, outcome routing.Outcome)
	onReport(target int, report *enginewire.LoadReport, events []enginewire.CacheEvent)
}

// target is an engine or a target of a plain service; exactly one of engine and plain is set.
type target struct {
	name    string
	zone    string
	service int
	engine  *engine
	plain   *plainTarget
}

// simulation runs the workload of a deployment under one policy.
type simulation struct {
	deployment *Deployment
	workload   *workload
	clock      clock
	targets    []*target
	policy     schedulingPolicy
	statistics *statistics
	random     *rand.Rand
	unfinished int
}

func newSimulation(d *Deployment, seed uint64, policy schedulingPolicy) *simulation {
	sim := &simulation{deployment: d, policy: policy, random: rand.New(rand.NewPCG(seed, 2))}
	sim.workload = newWorkload(d, seed)
	sim.unfinished = len(sim.workload.jobs)
	sim.statistics = newStatistics(d)
	for s := range d.services {
		sim.addService(s)
	}
	return sim
}

func (s *simulation) addService(service int) {
	model := &s.deployment.services[service]
	for i := range model.replicas {
		t := &target{name: fmt.Sprintf("%s-%03d", model.name, i), zone: s.deployment.zones[i%len(s.deployment.zones)], service: service}
		if model.isPlain() {
			t.plain = &plainTarget{index: len(s.targets), name: t.name, zone: t.zone, service: service, workers: model.workers, clock: &s.clock, observer: s}
		} else {
			t.engine = &engine{index: len(s.targets), name: t.name, zone: t.zone, service: service, model: &s.deployment.engine, clock: &s.clock, observer: s}
			t.engine.cache = newBlockCache(s.deployment.engine.cacheBlocks)
		}
		s.targets = append(s.targets, t)
	}
}

// run simulates the whole workload and returns its statistics.
func (s *simulation) run() *statistics {
	s.policy.start(s)
	s.scheduleArrivals(0)
	for i, t := range s.targets {
		if t.engine != nil {
			// Report the load once at the start, because the fleet was running before the simulated period.
			first := s.readLoad(t.engine)
			s.policy.onReport(i, &first, nil)
			s.scheduleReports(i, time.Duration(i)*reportInterval/time.Duration(len(s.targets)))
		}
	}
	if s.deployment.engineFailure {
		s.scheduleEngineFailure()
	}
	s.clock.run(drainFactor*s.deployment.Duration, func() bool { return s.unfinished == 0 })
	for _, j := range s.workload.jobs {
		if !j.isEnded && j.arrival < s.deployment.Duration {
			s.statistics.recordCutOff(j, s.clock.now)
		}
	}
	return s.statistics
}

// scheduleArrivals schedules the arrival of the job at the index, which then schedules the next one.
func (s *simulation) scheduleArrivals(index int) {
	if index >= len(s.workload.jobs) {
		return
	}
	j := s.workload.jobs[index]
	s.clock.at(j.arrival, func() {
		j.priority = s.priority(j)
		s.scheduleArrivals(index + 1)
		s.policy.submit(j)
	})
}

func (s *simulation) priority(j *job) int { return s.deployment.classes[j.class].priority }

// scheduleReports reads the load of an engine periodically; reports arrive late, and some are lost.
func (s *simulation) scheduleReports(index int, at time.Duration) {
	s.clock.at(at, func() {
		s.scheduleReports(index, at+reportInterval)
		e := s.targets[index].engine
		lost := s.random.Float64() < reportLossRate
		if e.isDown || lost {
			return
		}
		report := s.readLoad(e)
		events := s.dropCacheEvents(e.cache.takeEvents())
		s.clock.after(reportDelay, func() { s.policy.onReport(index, &report, events) })
	})
}

// readLoad returns the current load report of the engine, with its loaded model.
func (s *simulation) readLoad(e *engine) enginewire.LoadReport {
	report := e.loadReport()
	report.Loaded = []enginewire.ModelVariant{{Model: s.deployment.services[e.service].model}}
	return report
}

// dropCacheEvents returns the events without those that are lost.
func (s *simulation) dropCacheEvents(events []enginewire.CacheEvent) []enginewire.CacheEvent {
	var received []enginewire.CacheEvent
	for _, event := range events {
		if s.random.Float64() >= cacheEventLossRate {
			received = append(received, event)
		}
	}
	return received
}

// scheduleEngineFailure takes the first engine down after 70% of the duration and restarts it later.
func (s *simulation) scheduleEngineFailure() {
	at := s.deployment.Duration * 7 / 10
	failing := s.targets[0].engine
	s.clock.at(at, func() {
		for _, j := range failing.kill() {
			s.failAttempt(j)
		}
	})
	s.clock.at(at+min(engineDowntime, s.deployment.Duration/6), failing.restart)
}

// send sends the job to the target over the simulated network.
func (s *simulation) send(j *job, target int) {
	j.target = target
	j.attempts++
	j.wasPreempted = false
	t := s.targets[target]
	s.clock.after(s.networkLatency(j, t), func() {
		if t.plain != nil {
			t.plain.submit(j)
			return
		}
		if !t.engine.submit(j) {
			s.failAttempt(j)
		}
	})
}

// networkLatency returns the one-way latency from the entry VM of the job to the target.
func (s *simulation) networkLatency(j *job, t *target) time.Duration {
	if s.entryZone(j.entryVM) == t.zone {
		return intraZoneLatency
	}
	return intraZoneLatency + s.deployment.interZoneLatency
}

func (s *simulation) entryZone(entry int) string {
	return s.deployment.zones[entry%len(s.deployment.zones)]
}

// failAttempt ends an attempt on a failed engine. A job that already produced tokens or reached maxAttempts is lost;
// any other job is submitted again.
func (s *simulation) failAttempt(j *job) {
	s.clock.after(failureDetectionDelay, func() {
		s.policy.onEnded(j, routing.OutcomeFailed)
		if j.producedTokens > 0 || j.attempts >= maxAttempts {
			s.finish(j)
			s.statistics.recordLoss(j)
			return
		}
		j.excludedTargets = append(j.excludedTargets, s.targets[j.target].name)
		s.policy.submit(j)
	})
}

// refuse ends a job that the policy does not run.
func (s *simulation) refuse(j *job) {
	s.finish(j)
	s.statistics.recordRefusal(j)
}

func (s *simulation) finish(j *job) {
	j.isEnded = true
	s.unfinished--
}

// onToken implements observer.
func (s *simulation) onToken(j *job) {
	s.statistics.recordToken(j, s.clock.now)
	s.policy.onProgress(j)
}

// onPreempted implements observer.
func (s *simulation) onPreempted(j *job, e *engine) {
	s.statistics.recordPreemption(j, e)
	s.policy.onPreempted(j)
}

// onEnded implements observer.
func (s *simulation) onEnded(j *job) {
	s.finish(j)
	s.statistics.recordCompletion(j, s.clock.now)
	s.policy.onEnded(j, routing.OutcomeCompleted)
}
