package soak

import (
	"math/rand/v2"
	"time"

	"godwitcart/platform/platformtest"
)

const (
	// overlapBound is how long a target may work on a stream that goes on at another one, and leftBound how long on one whose
	// caller has gone.
	overlapBound = 400 * time.Millisecond
	leftBound    = 500 * time.Millisecond
	// One of ignoringEvery targets does not drop a run when its connection closes.
	ignoringEvery = 3
	// ignoringStream is added to the number of a target in the seed of that choice.
	ignoringStream = 1 << 21
)

// ignoresCloses reports whether the runs of a target outlive their connections.
func (h *harness) ignoresCloses(target int64) bool {
	random := rand.New(rand.NewPCG(h.options.Seed, ignoringStream+uint64(target)))
	return random.IntN(ignoringEvery) == 0
}

// overlaps reports whether a target worked on the stream of the call beside the next one, though nothing kept the VM from
// stopping it.
func (h *harness) overlaps(c *call, runs []platformtest.Run, now time.Time) bool {
	if h.cannotReachTargets(c) {
		return false
	}
	for _, overlap := range platformtest.Overlaps(runs, overlapBound+h.options.Slack, now) {
		if !h.cannotBeStopped(overlap.Before.Target, c.sentAt, overlap.After.BegunAt.Add(overlap.Duration)) {
			return true
		}
	}
	return false
}

// worksForNobody reports whether a target worked on the stream of the call for long after its caller had gone.
func (h *harness) worksForNobody(c *call, runs []platformtest.Run, now time.Time) bool {
	if !c.disconnected || h.cannotReachTargets(c) {
		return false
	}
	for _, run := range runs {
		endedAt := run.EndedAt
		if endedAt.IsZero() {
			endedAt = now
		}
		if endedAt.Sub(c.endedAt) > leftBound+h.options.Slack && !h.cannotBeStopped(run.Target, c.sentAt, endedAt) {
			return true
		}
	}
	return false
}

// cannotBeStopped reports whether a fault kept VMs from asking the target to stop a run.
func (h *harness) cannotBeStopped(target string, from, to time.Time) bool {
	return h.hasFault(target, from, to) || h.hasFault(target+crowdedSubject, from, to)
}

// cannotReachTargets reports whether the call's VM could not ask targets all the time, or runs a build that does not.
func (h *harness) cannotReachTargets(c *call) bool {
	until := c.endedAt.Add(leftBound + h.options.Slack)
	return h.hasFault(c.vm, c.sentAt, until) || h.hasFault(c.vm+pathSubject, c.sentAt, until) || h.runsProduction(c.vm, c.sentAt)
}
