package forward

import (
	"slices"
	"time"

	"godwitcart/internal/pause"
	"godwitcart/internal/placement"
	"godwitcart/internal/roster"
)

const (
	// stallFactor is how many times the limit of a silence a stream stands still until it counts as stalled, and minStall the least such
	// time: engines that preempt a generation or read a long prompt go on before that, and callers wait for at least two seconds.
	stallFactor = 4
	minStall    = time.Second
	// unknownStall is that time while too few gaps have been seen to tell.
	unknownStall = 2 * time.Second
	// stallCheckInterval is the time between two checks whether a stalled stream has gone on.
	stallCheckInterval = 20 * time.Millisecond
)

// stallLimit returns the time without an event after which a stream counts as stalled, by the limit of a silence if that is known.
func stallLimit(limit time.Duration, known bool) time.Duration {
	if !known {
		return unknownStall
	}
	return max(minStall, stallFactor*limit)
}

// stall is a stream that stands still: no event has come for long, and no backup has gone on with the generation. Its connection may have
// gone silent for good while its engine works and new connections to it pass.
type stall struct {
	source   roster.Target
	response *answer
	// events is the number of events before the stall.
	events int
}

// endStall takes the generation of a stalled stream off its connection: a stream that may be resumed goes on elsewhere after its last
// event, any other from the memory that its engine keeps when it is asked to stop. While neither can be done, the stream keeps its
// connection, and both are tried again.
func (s *stream) endStall(source roster.Target) {
	s.mu.Lock()
	stalled := stall{source: source, response: s.response, events: s.events}
	s.mu.Unlock()
	for s.isStalled(stalled) && !s.options.Table.IsLeaving(source) {
		s.log("stream stalled", "target", source.ID, "events", stalled.events)
		s.metrics.stalls.Inc(1)
		s.relocate(source, func() *continuation { return s.leaveStalled(stalled) })
		if !pause.For(s.ctx, minStall) {
			return
		}
	}
}

// isStalled reports whether the stream still stands still at the engine, for which its caller is not the cause.
func (s *stream) isStalled(stalled stall) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.response != nil && s.response == stalled.response && s.events == stalled.events && !s.isSending && !s.hasReadEnd
}

func (s *stream) leaveStalled(stalled stall) *continuation {
	if s.route.Resumable {
		return s.resumeElsewhere(stalled.source)
	}
	left := s.leaveOnce(stalled.source, s.stopDestination(stalled.source), 0)
	for s.isStalled(stalled) && !left.isDone() && pause.For(s.ctx, stallCheckInterval) {
	}
	return s.continueStopped(stalled.source, stalled.source)
}

// resumeElsewhere returns where a stream continues that may be resumed after its last event; nil if that may be nowhere.
func (s *stream) resumeElsewhere(source roster.Target) *continuation {
	if s.attempts.Load() >= min(maxAttempts, int64(s.route.MaxAttempts)) || !s.mayRepeatAfterCrashes() {
		return nil
	}
	query := s.boundQuery()
	query.Excluded = append(slices.Clone(s.excluded), source.ID)
	lease, err := s.options.Table.Pick(query, time.Now())
	if err != nil {
		return nil
	}
	if !s.options.Budget.Spend(s.service.Name) {
		lease.Done(placement.Canceled, time.Now())
		return nil
	}
	s.leaveOnce(source, s.stopDestination(source), closeNoticeTime)
	return &continuation{lease: lease}
}
