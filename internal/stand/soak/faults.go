package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/stand/rig"
	"godwitcart/platform/platformtest"
)

// fault is an injected fault that affects one subject for some time.
type fault struct {
	kind    string
	subject string
	from    time.Time
	// to is zero while the fault is active.
	to time.Time
}

// storeSubject is the subject of faults of the platform's store; other subjects are VM names, target IDs and a VM's
// link to the store.
const storeSubject = "store"

const (
	// No faults start during warmUp at the start of a run and coolDown at its end.
	warmUp   = time.Second
	coolDown = 2 * time.Second
	// The time between the starts of two faults and the duration of each fault are drawn from these ranges.
	minFaultGap, maxFaultGap           = 100 * time.Millisecond, 1200 * time.Millisecond
	minFaultDuration, maxFaultDuration = 200 * time.Millisecond, 5 * time.Second
	// leavingNotice is the time between a target's leaving notice and its end.
	leavingNotice = 2 * time.Second
	// failEvery is the number of requests at a failing target per failed request.
	failEvery = 3
	// limitChoices is the number of request limits that targets name, 0.5 and more by one.
	limitChoices = 6
	// rollGap is the time between two targets that are replaced when the software changes.
	rollGap = 400 * time.Millisecond
	// killTime is how long the ends of a target's connections take to reach the VMs before its link is cut.
	killTime = 20 * time.Millisecond
	// slowLinkDelay is the delay added to each read on a slow link.
	slowLinkDelay = 80 * time.Millisecond
)

// faultKinds are the kinds of fault; repeated kinds are drawn more often.
var faultKinds = []string{
	"vm_kill", "vm_stop", "vm_stop", "vm_freeze", "vm_reload", "store_cut", "store_stall", "store_slow", "zone_store_cut",
	"store_down", "store_forgets", "target_stall", "target_answers_stall", "target_slow", "target_reset", "target_cut",
	"target_leaves", "target_leaves", "target_leaves", "copies_refused", "target_fails", "target_fails", "revoke", "versions", "rolling_stop",
	"target_limits", "target_limits", "roll", "target_says_leaving", "target_says_leaving", "target_turns_away", "target_turns_away",
	"part_crashes", "part_crashes", "part_crashes", "request_crashes", "request_crashes", "request_crashes", "target_cut_vms", "target_cut_vms", "target_cut_vms", "targets_brittle", "targets_brittle", "zone_evacuated", "zone_evacuated",
	"target_cold_again", "target_cold_again", "target_cold_again",
	breaksOff + string(platformtest.BreakClose), breaksOff + string(platformtest.BreakClose), breaksOff + string(platformtest.BreakInside),
	breaksOff + string(platformtest.BreakInside), breaksOff + string(platformtest.BreakReset), continuesWrongly, continuesWrongly,
	leavesLate, leavesLate, release, backupsHesitate, backupsHesitate, targetCrowded, targetCrowded, rollingStops,
}

// chooseKinds returns the kinds of fault with those names, as often as they are drawn; all of them if there is no name.
func chooseKinds(names []string) ([]string, error) {
	if len(names) == 0 {
		return faultKinds, nil
	}
	for _, name := range names {
		if !slices.Contains(faultKinds, name) {
			return nil, errors.Newf("there is no kind of fault %q", name)
		}
	}
	return slices.DeleteFunc(slices.Clone(faultKinds), func(kind string) bool { return !slices.Contains(names, kind) }), nil
}

// injectFaults injects random faults, which may overlap, and returns when all have ended.
func (h *harness) injectFaults(ctx context.Context) {
	random := rand.New(rand.NewPCG(h.options.Seed, 1))
	var running sync.WaitGroup
	defer running.Wait()
	end := time.Now().Add(h.options.Duration - coolDown)
	time.Sleep(warmUp)
	for time.Now().Before(end) && ctx.Err() == nil {
		kind := h.faultKinds[random.IntN(len(h.faultKinds))]
		duration := randomDuration(random, minFaultDuration, maxFaultDuration)
		subjectIndex := random.IntN(1 << 16)
		running.Go(func() { h.runFault(kind, subjectIndex, duration) })
		time.Sleep(randomDuration(random, minFaultGap, maxFaultGap))
	}
}

func randomDuration(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// runFault injects a fault, waits for its duration and lifts it. subjectIndex selects the affected VM or target.
func (h *harness) runFault(kind string, subjectIndex int, duration time.Duration) {
	entryVM := h.vms[subjectIndex%len(h.vms)]
	slot := h.slots[subjectIndex%len(h.slots)]
	switch kind {
	case "vm_kill", "vm_stop", "vm_freeze", "vm_reload":
		h.runVMFault(kind, entryVM, duration, nil)
	case "rolling_stop":
		for _, v := range h.vms {
			h.runVMFault("vm_stop", v, minFaultDuration, nil)
		}
	case rollingStops:
		h.stopInSeries(subjectIndex)
	case leavesLate:
		h.leaveLate(h.engineSlot(subjectIndex), duration)
	case release:
		h.releaseSoftware(subjectIndex, duration)
	case backupsHesitate:
		h.hesitateAtBackups(duration)
	case targetCrowded:
		h.crowd(h.engineSlot(subjectIndex), subjectIndex)
	case "store_cut", "store_stall", "store_slow":
		h.runStoreLinkFault(kind, entryVM, duration)
	case "zone_store_cut":
		var cuts sync.WaitGroup
		for _, v := range h.vms {
			if v.zone == entryVM.zone {
				cuts.Go(func() { h.runStoreLinkFault("store_cut", v, duration) })
			}
		}
		cuts.Wait()
	case "store_down":
		defer h.recordFault(kind, storeSubject)()
		h.Store.SetDown(true)
		time.Sleep(duration)
		h.Store.SetDown(false)
	case "store_forgets":
		defer h.recordFault(kind, storeSubject)()
		h.Store.Compact()
	case "revoke":
		h.keys.issue(h, 1)
		time.Sleep(duration)
		h.keys.revokeOldest(h)
	case "versions":
		for range 8 {
			h.keys.republish(h)
			time.Sleep(minFaultDuration)
		}
	case "target_limits":
		target := slot.target.Load()
		defer h.recordFault(kind, target.ID+"/limit")()
		h.runLimit(target, float64(subjectIndex%limitChoices)+0.5, duration)
	case "target_cold_again":
		h.runColdAgain(slot, duration)
	case "roll":
		h.rollSoftware(subjectIndex)
	case continuesWrongly:
		h.continueWrongly(subjectIndex, duration)
	case "target_cut_vms":
		h.cutTargetPaths(subjectIndex, duration)
	case "targets_brittle":
		h.runBrittle(subjectIndex, duration)
	case "zone_evacuated":
		h.evacuateZone(subjectIndex, duration)
	case "part_crashes":
		h.partCrashes.Store(true) // until the end of the run
	case "request_crashes":
		h.requestCrashes.Store(true) // as above
	default:
		h.runTargetFault(kind, slot, duration)
	}
}

// rollSoftware replaces every other target by one of the next software version, one after the other.
func (h *harness) rollSoftware(first int) {
	h.version.Add(1)
	var replaced sync.WaitGroup
	for i := first % 2; i < len(h.slots); i += 2 {
		replaced.Go(func() { h.runTargetFault("target_leaves", h.slots[i], minFaultDuration) })
		time.Sleep(rollGap)
	}
	replaced.Wait()
}

// recordFault records the start of a fault and returns a function that records its end.
func (h *harness) recordFault(kind, subject string) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	index := len(h.faults)
	h.faults = append(h.faults, fault{kind: kind, subject: subject, from: time.Now()})
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.faults[index].to = time.Now()
	}
}

// runVMFault injects a fault of an entry VM's process. A VM that was killed or stopped is restarted, after whileDown has
// been called unless it is nil.
func (h *harness) runVMFault(kind string, v *vm, duration time.Duration, whileDown func()) {
	v.FaultMu.Lock()
	defer v.FaultMu.Unlock()
	if !v.IsRunning() {
		h.addViolation(Violation{Guarantee: "ended_by_itself", VM: v.Name})
		return
	}
	defer h.recordFault(kind, v.Name)()
	switch kind {
	case "vm_reload":
		v.Signal(syscall.SIGHUP)
		return
	case "vm_freeze":
		v.Signal(syscall.SIGSTOP)
		time.Sleep(duration)
		v.Signal(syscall.SIGCONT)
		return
	case "vm_kill":
		v.Kill()
	case "vm_stop":
		v.Signal(syscall.SIGTERM)
		if !v.WaitExit(graceBound + h.options.Slack) {
			h.addViolation(Violation{Guarantee: "stop_longer_than_grace", VM: v.Name})
			v.Kill()
		}
	}
	v.inRotation.Store(false)
	time.Sleep(min(duration, time.Second))
	if whileDown != nil {
		whileDown()
	}
	if err := v.Start(context.Background()); err != nil {
		h.addViolation(Violation{Guarantee: "not_ready_after_start", VM: v.Name, Detail: err.Error()})
	}
}

// runLinkFault injects a fault of a link and lifts it. The prefix of the kind names the link's destination.
func (h *harness) runLinkFault(link *rig.Link, kind string, duration time.Duration) {
	switch kind {
	case "store_cut", "target_cut":
		link.Cut()
		time.Sleep(duration)
		h.checkRestored(link.Restore())
	case "store_stall", "target_stall":
		link.Stall()
		time.Sleep(duration)
		link.Unstall()
	case "target_answers_stall":
		link.StallResponses()
		time.Sleep(duration)
		link.UnstallResponses()
	case "store_slow", "target_slow":
		link.AddDelay(slowLinkDelay)
		time.Sleep(duration)
		link.AddDelay(-slowLinkDelay)
	case "target_reset":
		link.Reset()
	}
}

func (h *harness) runStoreLinkFault(kind string, v *vm, duration time.Duration) {
	defer h.recordFault(kind, v.Name+"/"+storeSubject)()
	h.runLinkFault(v.storeLink, kind, duration)
}

// checkRestored records a violation when the harness failed to restore a link, which invalidates the results of the
// run.
func (h *harness) checkRestored(err error) {
	if err != nil {
		h.addViolation(Violation{Guarantee: "harness_failed", Detail: err.Error()})
	}
}

func (h *harness) runTargetFault(kind string, slot *targetSlot, duration time.Duration) {
	slot.faultMu.Lock()
	defer slot.faultMu.Unlock()
	target := slot.target.Load()
	defer h.recordFault(kind, target.ID)()
	switch kind {
	case "copies_refused":
		target.SetRefuseCopies(true)
		time.Sleep(duration)
		target.SetRefuseCopies(false)
	case "target_fails":
		target.FailEvery(failEvery)
		time.Sleep(duration)
		target.FailEvery(0)
	case "target_leaves":
		h.replaceTarget(slot, target, duration)
	case "target_says_leaving":
		h.runSaysLeaving(slot, target, duration)
	case "target_turns_away":
		h.runTurnsAway(target, duration)
	default:
		if how, breaks := strings.CutPrefix(kind, breaksOff); breaks {
			target.SetBreaks(breakEvery, platformtest.Break(how))
			time.Sleep(duration)
			target.SetBreaks(0, "")
			return
		}
		h.runLinkFault(slot.link, kind, duration)
	}
}

// replaceTarget removes the target as the platform reclaims engines: leavingNotice after a notice, even while requests
// run there. It then starts another target at the same address.
func (h *harness) replaceTarget(slot *targetSlot, target *platformtest.Target, duration time.Duration) {
	h.MarkLeaving(target.ID)
	time.Sleep(leavingNotice)
	h.startSuccessor(slot, target, duration)
}

// startSuccessor ends the target, even while requests run there, and starts another one at the same address.
func (h *harness) startSuccessor(slot *targetSlot, target *platformtest.Target, duration time.Duration) {
	service := h.Service(target.ID)
	target.Kill() // its connections end in order, as those of a killed process
	time.Sleep(killTime)
	slot.link.Cut()
	h.Unregister(target.ID)
	time.Sleep(min(duration, time.Second))
	h.startColdTarget(slot, service)
	h.checkRestored(slot.link.Restore())
}

func portOf(address string) string {
	_, number, err := net.SplitHostPort(address)
	if err != nil {
		panic(err) // the address comes from the port pool
	}
	return number
}
