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
	return max(floor, gaps.mean+deviationFactor*gaps.deviation), true
}

// watchSilence begins the wait for the next event, and starts the timer that ends it. Only a stream with a backup has one. The
// caller must be the relay.
func (s *stream) watchSilence(lease *placement.Lease) {
	limit, known := silenceLimit(s.gaps, s.route.MaxGap)
	if !known || !s.hasUsableBackup() {
		return
	}
	if s.silenceTimer == nil {
		target := lease.Target
		s.silenceTimer = time.AfterFunc(limit, func() {
			s.relocate(target, func() *continuation { return s.switchToBackup(target, movedOffSilent, true) })
		})
		return
	}
	s.silenceTimer.Reset(limit)
}

// pauseSilenceWatch stops the timer until the next call of watchSilence.
func (s *stream) pauseSilenceWatch() {
	if s.silenceTimer != nil {
		s.silenceTimer.Stop()
	}
}

// stopWatchingSilence stops the timer once the target's response has ended.
func (s *stream) stopWatchingSilence() {
	if s.silenceTimer != nil {
		s.silenceTimer.Stop()
		s.silenceTimer = nil
	}
}
