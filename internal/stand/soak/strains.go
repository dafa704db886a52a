package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"godwitcart/platform/platformtest"
)

// Kinds of fault that harm no run, so that they excuse no answer that is lost. They are recorded under subjects of their own.
const (
	leavesLate       = "target_leaves_late"
	release          = "release"
	backupsHesitate  = "backups_hesitate"
	targetCrowded    = "target_crowded"
	rollingStops     = "rolling_stops"
	lateSubject      = "/late"
	crowdedSubject   = "/crowded"
	hesitatesSubject = "engines/hesitate"
)

const (
	// maxServeOn is how long an engine that leaves late serves on at most, and serveOnInterval how often that is checked.
	maxServeOn      = 8 * time.Second
	serveOnInterval = 20 * time.Millisecond
	// releaseGap is the time between two targets of a release, which replaces one of releaseEvery.
	releaseGap   = 250 * time.Millisecond
	releaseEvery = 2
	// The wait of a request to go on from a copy, and how long a preempted stream stands still, are drawn from these ranges.
	minHesitation, maxHesitation = 100 * time.Millisecond, 1500 * time.Millisecond
	minStandStill, maxStandStill = 300 * time.Millisecond, 600 * time.Millisecond
	// minCrowded and maxCrowded bound the time for which a target is crowded.
	minCrowded, maxCrowded = 500 * time.Millisecond, 4 * time.Second
	// hesitationStream is added to the number of a target in the seed of its hesitations.
	hesitationStream = 1 << 22
)

// engineSlot returns an engine's slot; those come first.
func (h *harness) engineSlot(index int) *targetSlot { return h.slots[index%h.options.Engines] }

// leaveLate replaces the engine in the slot as leaving engines are that serve on until what they run has ended, also where it
// is stopped to go on elsewhere.
func (h *harness) leaveLate(slot *targetSlot, duration time.Duration) {
	slot.faultMu.Lock()
	defer slot.faultMu.Unlock()
	target := slot.target.Load()
	defer h.recordFault(leavesLate, target.ID+lateSubject)()
	h.MarkLeaving(target.ID)
	time.Sleep(leavingNotice)
	for end := time.Now().Add(maxServeOn - leavingNotice); !target.IsIdle() && time.Now().Before(end); {
		time.Sleep(serveOnInterval)
	}
	if !target.IsIdle() {
		defer h.recordFault("target_leaves", target.ID)()
		target.Kill()
	}
	service := h.Service(target.ID)
	h.Unregister(target.ID)
	slot.link.Refuse() // what the kernel has not sent yet of ended streams stays
	time.Sleep(min(duration, time.Second))
	h.startColdTarget(slot, service)
	slot.link.Accept()
}

// releaseSoftware replaces every releaseEvery-th engine by one of the next software version; they leave late and overlap.
func (h *harness) releaseSoftware(first int, duration time.Duration) {
	h.version.Add(1)
	var replaced sync.WaitGroup
	for i := first % releaseEvery; i < h.options.Engines; i += releaseEvery {
		replaced.Go(func() { h.leaveLate(h.slots[i], duration) })
		time.Sleep(releaseGap)
	}
	replaced.Wait()
}

// hesitateAtBackups makes all engines hesitate to go on from copies.
func (h *harness) hesitateAtBackups(duration time.Duration) {
	defer h.recordFault(backupsHesitate, hesitatesSubject)()
	h.hesitating.Add(1)
	time.Sleep(duration)
	h.hesitating.Add(-1)
}

// hesitation returns how the target hesitates while backupsHesitate lasts: it refuses half of the requests in the end.
func (h *harness) hesitation(target int64) func(attempt string) (time.Duration, bool) {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(h.options.Seed, hesitationStream+uint64(target)))
	return func(attempt string) (time.Duration, bool) {
		if h.hesitating.Load() == 0 {
			return 0, false
		}
		h.mu.Lock()
		h.hesitated[attempt] = true
		h.mu.Unlock()
		mu.Lock()
		defer mu.Unlock()
		return randomDuration(random, minHesitation, maxHesitation), random.IntN(2) == 0
	}
}

// crowd makes the engine in the slot reset new connections, have no room for copies, and preempt each of its streams once.
func (h *harness) crowd(slot *targetSlot, subjectIndex int) {
	slot.faultMu.Lock()
	defer slot.faultMu.Unlock()
	target := slot.target.Load()
	defer h.recordFault(targetCrowded, target.ID+crowdedSubject)()
	random := rand.New(rand.NewPCG(h.options.Seed, uint64(subjectIndex)))
	slot.link.Refuse()
	target.SetRefuseCopies(true)
	target.StandStill(func() time.Duration { return randomDuration(random, minStandStill, maxStandStill) })
	time.Sleep(randomDuration(random, minCrowded, maxCrowded))
	target.SetRefuseCopies(false)
	slot.link.Accept()
}

// stopInSeries stops all VMs in turn, in two series at once that begin half the way apart.
func (h *harness) stopInSeries(first int) {
	var series sync.WaitGroup
	for _, offset := range []int{first, first + len(h.vms)/2} {
		series.Go(func() {
			for i := range h.vms {
				h.runVMFault("vm_stop", h.vms[(offset+i)%len(h.vms)], minFaultDuration, nil)
			}
		})
	}
	series.Wait()
}

// StrainedStreams counts streams that met something which must not harm them, and those of them that were whole.
type StrainedStreams struct {
	Streams int `json:"streams"`
	Whole   int `json:"whole"`
}

// slowlyRead is the strain of streams whose callers read slowly.
const slowlyRead = "read_slowly"

// strains returns what the stream met, of the faults of this file and slowlyRead.
func (h *harness) strains(c *call, runs []platformtest.Run) []string {
	found := make(map[string]bool)
	for _, run := range runs {
		endedAt := run.EndedAt
		if endedAt.IsZero() {
			endedAt = c.endedAt
		}
		found[leavesLate] = found[leavesLate] || h.hasFaultWithin(0, run.Target+lateSubject, run.BegunAt, endedAt)
		found[targetCrowded] = found[targetCrowded] || h.hasFaultWithin(0, run.Target+crowdedSubject, run.BegunAt, endedAt)
	}
	found[backupsHesitate] = h.hesitated[c.id]
	found["vm_stop"] = h.hasFaultWithin(0, c.vm, c.sentAt, c.endedAt, "vm_stop")
	found[slowlyRead] = c.pace.isSlow()
	var names []string
	for name, met := range found {
		if met {
			names = append(names, name)
		}
	}
	return names
}

// countStrained counts the streams that ran at a target and whose callers did not leave, by what they met. Those of
// isSoundButBroken are counted elsewhere.
func (h *harness) countStrained(r *Report) {
	r.Strained = make(map[string]*StrainedStreams)
	for _, c := range h.calls {
		runs := h.Cluster.Runs(c.id)
		if !c.streaming || c.disconnected || len(runs) == 0 || c.isSoundButBroken(runs) {
			continue
		}
		for _, name := range h.strains(c, runs) {
			if r.Strained[name] == nil {
				r.Strained[name] = &StrainedStreams{}
			}
			r.Strained[name].Streams++
			r.Strained[name].Whole += count(c.complete && c.lastEvent() == c.expectedEvents)
		}
	}
}
