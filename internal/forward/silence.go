package forward

import (
	"time"

	"godwitcart/internal/placement"
)

const (
	// minGapSamples is the number of gaps after which their mean and deviation are used.
	minGapSamples = 8
	// silenceShare is the share of the route's maximum gap up to which a silence is never an interruption: an engine that
	// is slow within the gap is not left. The rest is left for stopping it and for the start at the backup. Routes without
	// a maximum gap use defaultSilence.
	silenceShare   = 0.7
	defaultSilence = 100 * time.Millisecond
	// minDeviationShare is the least deviation of the gaps, as a share of their mean: an even stream shows next to none, and its
	// next event may still be a few milliseconds late.
	minDeviationShare = 1.0 / 16
)

// silenceLimit returns the silence after which a stream with such gaps between its events counts as interrupted. It
// returns false while too few gaps have been seen to tell.
func silenceLimit(gaps smoothed, maxGap time.Duration) (time.Duration, bool) {
	if gaps.samples < minGapSamples {
		return 0, false
	}
	floor := defaultSilence
	if maxGap > 0 {
		floor = time.Duration(silenceShare * float64(maxGap))
	}
	deviation := max(gaps.deviation, time.Duration(minDeviationShare*float64(gaps.mean)))
	return max(floor, gaps.mean+deviationFactor*deviation), true
}

// watchSilence begins the wait for the next event, and starts the timers that end it: that of a silence for a stream with a backup, and
// that of a stall. The caller must be the relay.
func (s *stream) watchSilence(lease *placement.Lease) {
	limit, known := silenceLimit(s.gaps, s.route.MaxGap)
	target := lease.Target
	if known && s.hasUsableBackup() {
		s.silenceTimer = restartTimer(s.silenceTimer, limit, func() {
			s.relocate(target, func() *continuation { return s.switchToBackup(target, movedOffSilent) })
		})
	}
	s.stallTimer = restartTimer(s.stallTimer, stallLimit(limit, known), func() { s.endStall(target) })
}

// restartTimer starts a timer anew; nil for one that has not been made.
func restartTimer(timer *time.Timer, wait time.Duration, end func()) *time.Timer {
	if timer == nil {
		return time.AfterFunc(wait, end)
	}
	timer.Reset(wait)
	return timer
}

// pauseSilenceWatch stops the timers until the next call of watchSilence.
func (s *stream) pauseSilenceWatch() {
	for _, timer := range []*time.Timer{s.silenceTimer, s.stallTimer} {
		if timer != nil {
			timer.Stop()
		}
	}
}

// stopWatchingSilence stops the timers once the target's response has ended.
func (s *stream) stopWatchingSilence() {
	s.pauseSilenceWatch()
	s.silenceTimer, s.stallTimer = nil, nil
}
