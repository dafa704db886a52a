package forward

import (
	"context"
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
	// minDenials is how often an engine denies a generation until that counts: one that was preempted is denied while it waits.
	minDenials = 2
	// Callers abandon a stream after minPatience without an event, patienceObjectives times the latency objective of its route or
	// patienceGaps times its longest gap, whichever is longest.
	minPatience        = 2 * time.Second
	patienceObjectives = 4
	patienceGaps       = 8
)

// closedDenied is why this VM closes the connection to an engine that does not have the generation any more, for the log.
const closedDenied = "the engine denies that it runs the generation"

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
	// denials counts the times that the engine has said that it does not run the generation, the first of which was at deniedAt.
	// isRelayed is set if the last of these came through another VM.
	denials   int
	deniedAt  time.Time
	isRelayed bool
}

func (t *stall) isDenied() bool { return t.denials > 0 }

func (t *stall) recordDenial(isRelayed bool) {
	if t.denials == 0 {
		t.deniedAt = time.Now()
	}
	t.denials++
	t.isRelayed = isRelayed
}

// endStall is called once the stream stands still at the engine. It takes the generation off its connection: a stream that may be resumed goes on elsewhere after its last
// event, any other from the memory that its engine keeps when it is asked to stop. While neither can be done, the stream keeps its
// connection, and both are tried again, until the engine is known not to have the generation any more.
func (s *stream) endStall(source roster.Target) {
	s.mu.Lock()
	stalled := &stall{source: source, response: s.response, events: s.events}
	s.mu.Unlock()
	for ; s.isStalled(stalled) && !s.options.Table.IsLeaving(source); pause.For(s.ctx, minStall) {
		if stalled.isDenied() && s.hasQueue(source) {
			continue // it may wait there, to be read in again
		}
		s.log("stream stalled", "target", source.ID, "events", stalled.events, "denials", stalled.denials)
		s.metrics.stalls.Inc(1)
		s.relocate(source, func() *continuation { return s.leaveStalled(stalled) })
		if s.isGone(stalled) {
			s.giveUpStalled(stalled)
		}
	}
}

// isStalled reports whether the stream still stands still at the engine, for which its caller is not the cause.
func (s *stream) isStalled(stalled *stall) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ctx.Err() == nil && s.response != nil && s.response == stalled.response && s.events == stalled.events && !s.isSending && !s.hasReadEnd
}

// hasQueue reports whether requests wait at the engine, by its own report.
func (s *stream) hasQueue(engine roster.Target) bool {
	ctx, cancel := context.WithTimeout(s.ctx, askTimeout)
	defer cancel()
	report, err := s.options.Reports.Report(ctx, engine.Address)
	return err == nil && report.Queued > 0
}

// isGone reports whether no more events can come from the engine: it has denied the generation twice, between which it had no queue, and
// what it may have sent before is not held up on the way. It may be where the engine is reached through another VM alone.
func (s *stream) isGone(stalled *stall) bool {
	if stalled.denials < minDenials {
		return false
	}
	return !stalled.isRelayed || time.Since(stalled.deniedAt) > s.callerPatience()
}

// callerPatience returns the time without an event after which callers abandon a stream.
func (s *stream) callerPatience() time.Duration {
	return max(minPatience, patienceObjectives*s.route.LatencyObjective, patienceGaps*s.route.MaxGap)
}

// giveUpStalled ends the answer of an engine that does not have the generation any more.
func (s *stream) giveUpStalled(stalled *stall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.response == stalled.response && s.events == stalled.events {
		s.response.CloseConnection(closedDenied)
	}
}

// leaveStalled returns where the generation continues off its connection; nil if it stays, after which stalled tells whether the engine has
// denied it.
func (s *stream) leaveStalled(stalled *stall) *continuation {
	if s.route.Resumable {
		return s.resumeElsewhere(stalled.source)
	}
	left := s.leaveOnce(stalled.source, s.stopDestination(stalled.source), 0)
	for s.isStalled(stalled) && !left.isDone() && pause.For(s.ctx, stallCheckInterval) {
	}
	next := s.continueStopped(stalled.source, stalled.source)
	if left.isDone() && left.isAbsent() {
		stalled.recordDenial(left.isRelayed)
	}
	return next
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
