package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"godwitcart/platform/platformtest"
)

// crashCause is what requests have in common under which targets crash; empty for sound ones.
type crashCause string

const (
	// partCause is a part of the prompts of checks, checkCause a check that is repeated and has nothing but its last part to
	// itself, and peekCause a plain request that is repeated.
	partCause  crashCause = "part"
	checkCause crashCause = "check"
	peekCause  crashCause = "peek"
)

// crashesToNotice is the number of crashes after which, and contactTime, at most maxAfterCrashes requests of the cause may reach
// targets.
var crashesToNotice = map[crashCause]int{partCause: 5, checkCause: 3, peekCause: 3}

const (
	maxAfterCrashes = 3
	// The parts of prompts and the path under which targets crash once the fault has begun.
	crashingPart    = "bad"
	crashingOwnPart = "bad-own"
	crashingPath    = "/peek/bad"
	// popularPart is the second part of half of the checks.
	popularPart = "popular"
	// crashingShare is the share of requests of the kind with the cause from then on.
	crashingShare = 0.15
	// maxSoundRefused is the share of sound requests of a kind that may be refused as if targets crashed under them.
	maxSoundRefused = 0.1
	// crashRestartTime is how long a target is down after a crash.
	crashRestartTime = 800 * time.Millisecond
	// blockedText is in the answers to requests that are refused because they crash engines.
	blockedText = "targets crash when they answer"
)

// choosePrefix returns the parts of a check's prompt, which share the first one.
func (h *harness) choosePrefix(c *call, random *rand.Rand) string {
	second, own := popularPart, c.id
	if random.Float64() < 0.5 {
		second = fmt.Sprintf("subject-%d", random.IntN(200))
	}
	switch draw := random.Float64(); {
	case draw < crashingShare && h.partCrashes.Load():
		second, c.crashCause = crashingPart, partCause
	case draw > 1-crashingShare && h.requestCrashes.Load():
		second, own, c.crashCause = popularPart, crashingOwnPart, checkCause
	}
	return fmt.Sprintf("common:80,%s:100,%s:50", second, own)
}

// choosePath returns the path of a plain request that may run twice.
func (h *harness) choosePath(c *call, path string, random *rand.Rand) string {
	if random.Float64() < crashingShare && h.requestCrashes.Load() {
		c.crashCause = peekCause
		return crashingPath
	}
	return path
}

// setCrashes makes a target crash under the requests that are to.
func (h *harness) setCrashes(slot *targetSlot, target *platformtest.Target) {
	onCrash := func(cause crashCause) func(*platformtest.Target) {
		return func(crashed *platformtest.Target) { h.recordCrash(slot, crashed, cause) }
	}
	target.SetCrash(crashingPart, onCrash(partCause))
	target.SetCrash(crashingOwnPart, onCrash(checkCause))
	target.SetCrashPath(crashingPath, onCrash(peekCause))
}

// recordCrash records the crash of a target and replaces it.
func (h *harness) recordCrash(slot *targetSlot, target *platformtest.Target, cause crashCause) {
	h.mu.Lock()
	h.crashes[cause] = append(h.crashes[cause], time.Now())
	h.mu.Unlock()
	h.replaceCrashed(slot, target)
}

// crashCount returns the number of crashes of all causes. The caller holds mu, or the run has ended.
func (h *harness) crashCount() int {
	count := 0
	for _, times := range h.crashes {
		count += len(times)
	}
	return count
}

// replaceCrashed records the fault of a target that has crashed, and starts another one at its address later.
func (h *harness) replaceCrashed(slot *targetSlot, target *platformtest.Target) {
	end := h.recordFault("target_crash", target.ID)
	go func() {
		defer end()
		slot.faultMu.Lock()
		defer slot.faultMu.Unlock()
		if slot.target.Load() == target {
			h.startSuccessor(slot, target, crashRestartTime)
		}
	}()
}

// checkCrashes checks what reached targets after their crashes, and that sound requests were served.
func (h *harness) checkCrashes() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, cause := range slices.Sorted(maps.Keys(h.crashes)) {
		h.checkCrashesOf(cause)
	}
	h.checkSoundRefused()
}

// checkCrashesOf requires mu.
func (h *harness) checkCrashesOf(cause crashCause) {
	crashes, notice := h.crashes[cause], crashesToNotice[cause]
	if len(crashes) < notice {
		return
	}
	from := crashes[notice-1].Add(contactTime)
	calls := h.callsByID()
	late := 0
	for _, target := range h.Targets() {
		for _, arrival := range target.Arrivals() {
			if c := calls[arrival.ID]; c != nil && c.crashCause == cause && arrival.At.After(from) && !h.disturbed(c.vm, c.sentAt, arrival.At) && !h.runsProduction(c.vm, c.sentAt) {
				late++
			}
		}
	}
	if late > maxAfterCrashes {
		h.violations = append(h.violations, Violation{Guarantee: "crashing_requests_sent", Kind: string(cause), At: from, Detail: fmt.Sprintf("%d requests reached targets, %d crashes in all", late, len(crashes))})
	}
}

// checkSoundRefused compares, for each kind, the sound requests that were refused as if targets crashed under them with all,
// from contactTime after the first crashes on. The caller holds mu.
func (h *harness) checkSoundRefused() {
	if h.crashCount() == 0 {
		return
	}
	var first time.Time
	for cause, times := range h.crashes {
		if noticed := times[min(crashesToNotice[cause], len(times))-1]; first.IsZero() || noticed.Before(first) {
			first = noticed
		}
	}
	sound, refused := make(map[string]int), make(map[string]int)
	for _, c := range h.calls {
		if c.crashCause == "" && c.sentAt.After(first.Add(contactTime)) && !h.runsProduction(c.vm, c.sentAt) {
			sound[c.kind]++
			if c.refusedAsCrashing {
				refused[c.kind]++
			}
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(sound)) {
		if float64(refused[kind]) > 2+maxSoundRefused*float64(sound[kind]) {
			h.violations = append(h.violations, Violation{Guarantee: "sound_requests_refused", Kind: kind, At: first, Detail: fmt.Sprintf("%d of %d", refused[kind], sound[kind])})
		}
	}
}
