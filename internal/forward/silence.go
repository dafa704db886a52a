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
		s.silence.start(limit, func() {
			s.relocate(target, func() *continuation { return s.switchToBackup(target, movedOffSilent) })
		})
	}
	s.stall.start(stallLimit(limit, known), func() { s.endStall(target) })
}

// pauseSilenceWatch holds the timers until the next call of watchSilence or resumeSilenceWatch.
func (s *stream) pauseSilenceWatch() {
	s.silence.pause()
	s.stall.pause()
}

// resumeSilenceWatch goes on with the timers where they were paused.
func (s *stream) resumeSilenceWatch() {
	s.silence.resume()
	s.stall.resume()
}

// stopWatchingSilence stops the timers once the target's response has ended.
func (s *stream) stopWatchingSilence() {
	s.pauseSilenceWatch()
	s.silence, s.stall = waitTimer{}, waitTimer{}
}

// waitTimer is a timer that can be paused. The zero value has not been started.
type waitTimer struct {
	timer  *time.Timer
	endsAt time.Time
	// left is the time that was left when the timer was paused; zero if it was not, or had ended by then.
	left time.Duration
}

// start starts the timer anew. What is called at its end is that of the first start.
func (t *waitTimer) start(wait time.Duration, end func()) {
	t.endsAt, t.left = time.Now().Add(wait), 0
	if t.timer == nil {
		t.timer = time.AfterFunc(wait, end)
		return
	}
	t.timer.Reset(wait)
}

func (t *waitTimer) pause() {
	if t.timer != nil && t.timer.Stop() {
		t.left = max(time.Until(t.endsAt), 1)
	}
}

func (t *waitTimer) resume() {
	if t.left > 0 {
		t.endsAt = time.Now().Add(t.left)
		t.timer.Reset(t.left)
		t.left = 0
	}
}
