package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/pause"
	"godwitcart/internal/placement"
	"godwitcart/internal/policy"
	"godwitcart/internal/roster"
	"godwitcart/internal/upstream"
)

// Evacuate moves the running generations off a target that is leaving or whose zone is in evacuation. It does not wait for them.
func (f *Forwarder) Evacuate(leaving roster.Target) {
	streams := f.streams.ofTarget(leaving.ID)
	if len(streams) > 0 {
		go f.evacuateStreams(streams, leaving, time.Now())
	}
}

// evacuateStreams switches streams with a backup to it at once. It moves the others, and those whose backup refuses, one at
// a time after the moves that precede those of this VM. Streams with the most output come first, since losing them costs
// the most.
func (f *Forwarder) evacuateStreams(streams []*stream, leaving roster.Target, noticedAt time.Time) {
	slices.SortFunc(streams, func(a, b *stream) int { return b.eventCount() - a.eventCount() })
	toMove := make(chan *stream, len(streams))
	var switching sync.WaitGroup
	for _, s := range streams {
		switch {
		case s.route.Resumable: // resumed after its last event once the target stops; most complete before that
		case s.hasUsableBackup():
			switching.Go(func() {
				s.relocate(leaving, func() *continuation { return s.switchToBackup(leaving, movedOffLeaving) })
				if s.isServedBy(leaving) {
					toMove <- s
				}
			})
		default:
			toMove <- s
		}
	}
	go func() {
		switching.Wait()
		close(toMove)
	}()
	f.moveInTurn(toMove, leaving, noticedAt)
}

// moveInTurn moves the streams off the target one after the other, once it is this VM's turn. Copies share the target's
// link: if all were made at once, none might be complete when the target ends.
func (f *Forwarder) moveInTurn(toMove <-chan *stream, leaving roster.Target, noticedAt time.Time) {
	isFirst := true
	for s := range toMove {
		if isFirst {
			f.awaitTurn(s, 1+len(toMove), leaving, noticedAt)
			isFirst = false
		}
		// A stream that finds no destination must not delay the others.
		next := make(chan struct{})
		var letNextMove sync.Once
		go func() {
			defer letNextMove.Do(func() { close(next) })
			s.evacuate(leaving, noticedAt, func() { letNextMove.Do(func() { close(next) }) })
		}()
		select {
		case <-next:
		case <-time.After(maxMoveTurn):
		}
	}
}

// awaitTurn waits until no generation of another VM is to move before the given number of this VM, the first of which is s.
// It waits at most for as long as moving those takes.
func (f *Forwarder) awaitTurn(s *stream, streams int, leaving roster.Target, noticedAt time.Time) {
	tokensAhead := f.options.Table.TokensAhead(leaving.ID, time.Now())
	wait := min(transferTime(s.service.Engine, tokensAhead), minNoticeTime)
	s.log("move waits for those of other VMs", "target", leaving.ID, "streams", streams, "tokens_ahead", tokensAhead, "wait_ms", wait.Milliseconds())
	for time.Since(noticedAt) < wait && f.options.Table.TokensAhead(leaving.ID, time.Now()) > 0 {
		if !pause.For(s.ctx, turnCheckInterval) {
			return
		}
	}
}

// transferTime returns how long an engine takes to send the KV cache of that many tokens within its zone.
func transferTime(engine *policy.Engine, tokens int) time.Duration {
	if engine == nil || engine.LinkMbps <= 0 {
		return 0
	}
	const bitsPerByte, bitsPerMegabit = 8, 1e6
	seconds := float64(tokens) * engine.KVBytesPerToken * bitsPerByte / (engine.LinkMbps * bitsPerMegabit)
	return time.Duration(seconds * float64(time.Second))
}

// eventCount returns the number of events sent to the caller.
func (s *stream) eventCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events
}

// evacuate moves the generation to another target: to its backup, which already has the KV cache, else by copying it. It
// calls blocked while it cannot copy.
func (s *stream) evacuate(leaving roster.Target, noticedAt time.Time, blocked func()) {
	if s.route.Resumable {
		return // resumed after its last event once the target stops; most complete before that
	}
	s.relocate(leaving, func() *continuation {
		next := s.switchToBackup(leaving, movedOffLeaving)
		if engine := s.service.Engine; next == nil && engine != nil && engine.SupportsMoves {
			next = s.move(leaving, noticedAt, blocked)
		}
		return next
	})
}

// relocate takes the generation off its target by the given way, which returns nil if the generation stays. It does
// nothing if the target no longer serves the stream or another relocation is in progress.
func (s *stream) relocate(source roster.Target, way func() *continuation) {
	s.mu.Lock()
	if s.response == nil || s.moveDone != nil || s.continuation != nil || !s.lease.Target.SameIncarnation(source) {
		s.mu.Unlock()
		return
	}
	moveDone := make(chan struct{})
	s.moveDone = moveDone
	s.mu.Unlock()
	next := way()
	s.endRelocation(next)
	close(moveDone)
}

// Messages of the log lines on streams that continue at another target.
const (
	movedOffLeaving = "stream moved off a leaving target"
	movedOffSilent  = "stream moved off a silent target"
)

const (
	// minNoticeTime is the time for which an engine is sure to keep running after its notice. The notice time is
	// specified as about two seconds.
	minNoticeTime = 1300 * time.Millisecond
	// moveTimeout bounds a move. Engines in a planned replacement keep running for longer than minNoticeTime.
	moveTimeout = 6 * time.Second
	// evacuationMoveShare is the part of the bound of an evacuation in which generations move. The rest is left for the
	// time until this VM learned of it.
	evacuationMoveShare = 0.5
	// maxMoveTurn is how long one move may hold up the next ones of this VM. A copy takes a third of it on a free link.
	maxMoveTurn = 600 * time.Millisecond
	// turnCheckInterval is the time between two checks whether the moves of other VMs are complete.
	turnCheckInterval = 20 * time.Millisecond
	// A generation is stopped for its final copy once a copy has taken no longer than finalCopyShare of the route's
	// maximum gap between events; the start at the destination takes another share of the gap. Routes without a
	// maximum gap use defaultFinalCopy instead.
	finalCopyShare   = 1.0 / 3
	defaultFinalCopy = 60 * time.Millisecond
	// moveRetryDelay is the wait before the next try if the generation is not running at its source, for example
	// because it was preempted, if the source did not answer, or if no other engine has capacity.
	moveRetryDelay = 150 * time.Millisecond
	// crossZoneTransferFactor is how much longer a transfer between zones takes than one within a zone.
	crossZoneTransferFactor = 2
	// freeTimeout bounds the call that frees an unused copy of a KV cache.
	freeTimeout = time.Second
)

// move copies the generation's KV cache to another engine while it runs, until little is left; then it stops the
// generation, copies the rest and returns the continuation. It returns nil if the generation stays at its source. It calls
// blocked when no target has room, or when the source does not answer or does not run the generation.
func (s *stream) move(leaving roster.Target, noticedAt time.Time, blocked func()) *continuation {
	noticedAt = s.noticeLeaving(leaving, noticedAt)
	ctx, cancel := context.WithTimeout(s.ctx, s.moveTimeout(leaving, noticedAt))
	defer cancel()
	excluded := []string{leaving.ID}
	for ctx.Err() == nil && s.isServedBy(leaving) {
		query := s.transferQuery(leaving)
		query.Excluded = append(slices.Clone(excluded), s.targetsBeingLeft()...)
		query.Zone = leaving.Zone
		query.Move = true
		lease, err := s.options.Table.Pick(query, time.Now())
		if err != nil {
			s.recordMoveFailure(leaving, "", err)
			blocked()
			excluded = excluded[:1] // the destinations that refused may be tried again
			pause.For(ctx, moveRetryDelay)
			continue
		}
		result, err := s.copyTo(ctx, leaving, lease, noticedAt)
		if err == nil && !result.Refused && !result.Unknown {
			s.metrics.moves.Inc(1)
			s.log(movedOffLeaving, "target", leaving.ID, "way", "move", "destination", lease.Target.ID, "told_ms", time.Since(noticedAt).Milliseconds())
			return &continuation{lease: lease, from: &result.KVCache, source: &leaving}
		}
		lease.Done(placement.Canceled, time.Now())
		s.recordMoveFailure(leaving, lease.Target.ID, err, "refused", result.Refused, "unknown", result.Unknown)
		var notSent *upstream.NotSentError
		switch {
		case errors.As(err, &notSent): // the source cannot be reached, and holds the place at the destination up
			return nil
		case err != nil || result.Unknown: // a crowded engine resets new connections, and one may have preempted the generation
			blocked()
			pause.For(ctx, moveRetryDelay)
		case result.KVCache.Handle != "": // stopped for the final copy, which was refused
			s.recordRefusedLastCopy()
			return s.resumeAfterRefusal(leaving, lease.Target, result.KVCache)
		default:
			excluded = append(excluded, lease.Target.ID)
		}
	}
	return nil
}

// copyTo copies the generation to the destination of the lease and stops it at its source. Copies of several
// generations share the engine's link, so it stops the generation only after a copy that was fast enough, or once
// minNoticeTime has passed.
func (s *stream) copyTo(ctx context.Context, leaving roster.Target, lease *placement.Lease, noticedAt time.Time) (CopyResult, error) {
	for {
		startedAt := time.Now()
		result, err := s.requestCopy(ctx, leaving, lease.Target.Address, false)
		if err != nil || result.Refused || result.Unknown {
			return result, err
		}
		if time.Since(startedAt) <= s.finalCopyLimit() || time.Since(noticedAt) > minNoticeTime {
			if !s.mayStopForCopy(ctx, noticedAt) {
				return CopyResult{Refused: true}, nil
			}
			return s.requestLastCopy(ctx, leaving, lease.Target.Address)
		}
	}
}

// requestCopy asks the source for a copy. The call counts against the source's request limit, but does not wait for it:
// the generation would be lost.
func (s *stream) requestCopy(ctx context.Context, source roster.Target, destination string, stop bool) (CopyResult, error) {
	s.options.Limits.Take(source, time.Now())
	return s.options.Mover.Copy(ctx, source.Address, s.call.ID, destination, stop)
}

// finalCopyLimit returns the duration up to which a copy is fast enough for the generation to be stopped.
func (s *stream) finalCopyLimit() time.Duration {
	if s.route.MaxGap == 0 {
		return defaultFinalCopy
	}
	return time.Duration(finalCopyShare * float64(s.route.MaxGap))
}

// isServedBy reports whether the stream still comes from the target.
func (s *stream) isServedBy(target roster.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.response != nil && s.lease.Target.SameIncarnation(target)
}

// moveTimeout bounds a move that begins now. A generation at a target of a zone in evacuation may stay where it runs, so it
// moves only while the zone is still being emptied.
func (s *stream) moveTimeout(source roster.Target, noticedAt time.Time) time.Duration {
	if _, evacuated := s.options.Table.EvacuatedSince(source); evacuated && !s.options.Table.IsLeaving(source) {
		return time.Until(noticedAt.Add(time.Duration(evacuationMoveShare * float64(s.options.EvacuateWithin))))
	}
	return moveTimeout
}

// resumeAfterRefusal continues a generation that was stopped and whose last copy was refused: at its source or, where that
// may get no request, at another target, which reads what it lacks from the source. It returns nil if there is none.
func (s *stream) resumeAfterRefusal(source, refused roster.Target, cache KVCacheRef) *continuation {
	if _, evacuated := s.options.Table.EvacuatedSince(source); !evacuated {
		return s.resumeAtSource(source, cache)
	}
	query := s.transferQuery(source)
	query.Excluded = append([]string{source.ID, refused.ID}, s.targetsBeingLeft()...)
	query.Move = true
	lease, err := s.options.Table.Pick(query, time.Now())
	if err != nil {
		s.recordMoveFailure(source, "", err, "stopped", true)
		return nil
	}
	return &continuation{lease: lease, from: &cache}
}

// resumeAtSource continues at the source after the generation was stopped there and could not be copied.
func (s *stream) resumeAtSource(leaving roster.Target, cache KVCacheRef) *continuation {
	lease := s.options.Table.ReserveLeaving(leaving, s.query(), time.Now())
	return &continuation{lease: lease, from: &cache, isAtSource: true}
}

func (s *stream) recordMoveFailure(leaving roster.Target, destination string, err error, fields ...any) {
	s.metrics.movesFailed.Inc(1)
	s.log("move failed", append([]any{"target", leaving.ID, "destination", destination, "error", err}, fields...)...)
}

// freeMemory frees a copy of the KV cache that is not needed. It is best effort: the engine frees it later anyway.
func (s *stream) freeMemory(cache KVCacheRef) {
	if s.options.Table.IsEvacuated(cache.Address) {
		return // the engine may get no call
	}
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	if err := s.options.Mover.Free(ctx, cache); err != nil {
		s.log("KV cache copy not freed", "address", cache.Address, "error", err)
	}
}
