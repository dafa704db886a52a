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
)

// streamSet holds the streams by the target that they come from.
type streamSet struct {
	mu       *sync.Mutex
	byTarget map[string]map[*stream]struct{}
}

func newStreamSet() streamSet {
	return streamSet{mu: &sync.Mutex{}, byTarget: make(map[string]map[*stream]struct{})}
}

func (s *streamSet) add(target string, added *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byTarget[target] == nil {
		s.byTarget[target] = make(map[*stream]struct{})
	}
	s.byTarget[target][added] = struct{}{}
}

func (s *streamSet) remove(target string, removed *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byTarget[target], removed)
	if len(s.byTarget[target]) == 0 {
		delete(s.byTarget, target)
	}
}

func (s *streamSet) at(target string) []*stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	streams := make([]*stream, 0, len(s.byTarget[target]))
	for held := range s.byTarget[target] {
		streams = append(streams, held)
	}
	return streams
}

// Evacuate takes the running generations off a target that leaves. It does not wait for them.
func (f *Forwarder) Evacuate(leaving roster.Target) {
	streams := f.streams.at(leaving.ID)
	if len(streams) > 0 {
		go f.evacuate(streams, leaving, time.Now())
	}
}

// evacuate takes streams to their backups at once, and moves the others one after the other when it is the
// turn of this VM. Those that have produced the most come first: they have the most to lose.
func (f *Forwarder) evacuate(streams []*stream, leaving roster.Target, toldAt time.Time) {
	slices.SortFunc(streams, func(a, b *stream) int { return b.produced() - a.produced() })
	var moves []*stream
	for _, held := range streams {
		if held.hasBackup() {
			go held.evacuate(leaving, toldAt)
		} else if !held.route.Resumable {
			moves = append(moves, held)
		}
	}
	if len(moves) == 0 {
		return
	}
	ahead := f.options.Table.TokensAhead(leaving.ID)
	wait := transferTime(moves[0].service.Engine, ahead)
	moves[0].log("move waits for its turn", "target", leaving.ID, "streams", len(moves), "tokens_ahead", ahead, "wait_ms", wait.Milliseconds())
	pause.For(moves[0].ctx, min(wait, noticeTime))
	for _, held := range moves {
		moved := make(chan struct{})
		go func() {
			defer close(moved)
			held.evacuate(leaving, toldAt)
		}()
		// One that finds no room must not keep the others from moving.
		select {
		case <-moved:
		case <-time.After(transferTime(held.service.Engine, held.tokens()) + moveSlack):
		}
	}
}

// transferTime is the time in which an engine sends the memory of generations within its zone.
func transferTime(engine *policy.Engine, tokens int) time.Duration {
	if engine == nil || engine.LinkMegabits <= 0 {
		return 0
	}
	const bitsPerByte, bitsPerMegabit = 8, 1e6
	seconds := float64(tokens) * engine.BytesPerToken * bitsPerByte / (engine.LinkMegabits * bitsPerMegabit)
	return time.Duration(seconds * float64(time.Second))
}

// produced is the number of events that the caller has.
func (s *stream) produced() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events
}

// tokens is the memory of the generation.
func (s *stream) tokens() int { return s.call.Prompt.Tokens + s.produced()*tokensPerEvent }

func (s *stream) hasBackup() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started && s.backup != nil
}

// evacuate takes the generation to another target: to its backup, which has the memory already, else by a move.
func (s *stream) evacuate(leaving roster.Target, toldAt time.Time) {
	if s.route.Resumable {
		return // it starts again after its last event when the target ends; most end before
	}
	s.mu.Lock()
	if s.answer == nil || s.moving != nil || s.next != nil || !s.lease.Target.SameIncarnation(leaving) {
		s.mu.Unlock()
		return
	}
	moving := make(chan struct{})
	s.moving = moving
	started := s.started
	s.mu.Unlock()
	var next *continuation
	if started {
		next = s.switchToBackup(leaving)
	}
	if engine := s.service.Engine; next == nil && engine != nil && engine.Moves {
		next = s.move(leaving, toldAt)
	}
	s.mu.Lock()
	s.next = next
	s.moving = nil
	if next != nil && s.answer != nil {
		s.answer.Break()
	}
	s.mu.Unlock()
	close(moving)
}

// switchToBackup lets the generation go on at the engine that has a copy of it, and returns nil where that
// engine refuses: it may have had no room for the copy. The source works on until the backup has answered, so
// a refusal costs nothing; what both send meanwhile is told apart by the events' numbers.
func (s *stream) switchToBackup(leaving roster.Target) *continuation {
	next, found := s.fromBackup()
	if !found {
		return nil
	}
	ctx, cancel := context.WithDeadline(s.ctx, s.deadline)
	next.cancel = cancel
	answer, end := s.offer(ctx, next.lease, Send{LastEventID: s.cursor(), From: next.from, BackupAddress: s.reserveBackup(next.lease)})
	if end == nil && answer.StatusCode/100 != 2 {
		answer.Close(true)
		end = &ending{outcome: placement.Failed, cause: errors.Newf("the backup answered with status %d", answer.StatusCode)}
	}
	if end != nil {
		cancel()
		next.lease.Done(end.outcome, time.Now())
		s.releaseBackup(false)
		s.moveFailed(leaving, next.lease.Target.ID, end, "way", "backup")
		return nil
	}
	s.metrics.fromBackup.Inc(1)
	s.log("stream leaves its target", "target", leaving.ID, "way", "backup", "destination", next.lease.Target.ID)
	next.answer = answer
	return next
}

const (
	// noticeTime is how long an engine surely works on after its notice; the brief speaks of about two seconds.
	noticeTime = 1300 * time.Millisecond
	// moveTimeout bounds a move; engines that are replaced without haste work on for longer than noticeTime.
	moveTimeout = 6 * time.Second
	// moveSlack is added to the time of one move before the next begins, for the way there and back.
	moveSlack = 100 * time.Millisecond
	// shortShare is the part of the longest pause that is on time in which a copy is made that lets the
	// generation stop for the rest: the start at the destination takes another part. unboundedCopy holds where
	// a route names no pause.
	shortShare    = 1.0 / 3
	unboundedCopy = 60 * time.Millisecond
	// absentPause is the wait before the next try where the engine does not run the generation now, as while
	// it is preempted, and where no other has room.
	absentPause = 150 * time.Millisecond
	// dropTimeout bounds the freeing of memory that nobody goes on from.
	dropTimeout = time.Second
)

// move copies the generation to another engine while it runs, until little is left; then it stops it, copies
// the rest and returns where it goes on. It returns nil when the generation stays at its source.
func (s *stream) move(leaving roster.Target, toldAt time.Time) *continuation {
	ctx, cancel := context.WithTimeout(s.ctx, moveTimeout)
	defer cancel()
	full := []string{leaving.ID}
	for ctx.Err() == nil && s.runsAt(leaving) {
		query := s.query()
		query.Excluded = full
		query.Zone = leaving.Zone
		query.Move = true
		lease, err := s.options.Table.Pick(query, time.Now())
		if err != nil {
			s.moveFailed(leaving, "", err)
			full = full[:1]
			pause.For(ctx, absentPause)
			continue
		}
		copied, err := s.copyTo(ctx, leaving, lease, toldAt)
		if err == nil && !copied.Refused && !copied.Unknown {
			s.metrics.moves.Inc(1)
			s.log("stream leaves its target", "target", leaving.ID, "way", "move", "destination", lease.Target.ID, "told_ms", time.Since(toldAt).Milliseconds())
			return &continuation{lease: lease, from: &copied.Memory}
		}
		lease.Done(placement.Canceled, time.Now())
		s.moveFailed(leaving, lease.Target.ID, err, "refused", copied.Refused, "unknown", copied.Unknown)
		switch {
		case err != nil:
			return nil
		case copied.Unknown:
			pause.For(ctx, absentPause)
		case copied.Memory.Handle != "":
			return s.stay(leaving, copied.Memory)
		default:
			full = append(full, lease.Target.ID)
		}
	}
	return nil
}

// copyTo copies the generation to the destination of the lease and stops it at its source. Copies of several
// generations queue on the engine's link, so it stops only after a copy that was short, or when time is short.
func (s *stream) copyTo(ctx context.Context, leaving roster.Target, lease *placement.Lease, toldAt time.Time) (Copied, error) {
	for {
		copyAt := time.Now()
		copied, err := s.options.Mover.Copy(ctx, leaving.Address, s.call.ID, lease.Target.Address, false)
		if err != nil || copied.Refused || copied.Unknown {
			return copied, err
		}
		if time.Since(copyAt) <= s.shortCopy() || time.Since(toldAt) > noticeTime {
			return s.options.Mover.Copy(ctx, leaving.Address, s.call.ID, lease.Target.Address, true)
		}
	}
}

// shortCopy is the time of a copy after which the generation may stop.
func (s *stream) shortCopy() time.Duration {
	if s.route.MaxGap == 0 {
		return unboundedCopy
	}
	return time.Duration(shortShare * float64(s.route.MaxGap))
}

// runsAt reports whether the stream still comes from the target.
func (s *stream) runsAt(target roster.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answer != nil && s.lease.Target.SameIncarnation(target)
}

// stay goes on at the source after the generation was stopped there and could not be copied.
func (s *stream) stay(leaving roster.Target, memory Memory) *continuation {
	lease := s.options.Table.Hold(leaving, s.query(), time.Now())
	return &continuation{lease: lease, from: &memory}
}

func (s *stream) moveFailed(leaving roster.Target, destination string, err error, fields ...any) {
	s.metrics.movesFailed.Inc(1)
	s.log("move failed", append([]any{"target", leaving.ID, "destination", destination, "error", err}, fields...)...)
}

// reserveBackup chooses an engine that keeps a copy of the generation, where memory allows it.
func (s *stream) reserveBackup(lease *placement.Lease) string {
	s.releaseBackup(false)
	engine := s.service.Engine
	if engine == nil || !engine.Backups || s.route.Resumable {
		return ""
	}
	query := s.query()
	query.Copy = true
	query.Zone = lease.Target.Zone
	query.Excluded = append(slices.Clone(s.excluded), lease.Target.ID)
	backup, err := s.options.Table.Pick(query, time.Now())
	if err != nil {
		return "" // no engine has memory to spare; the generation runs without a copy
	}
	s.mu.Lock()
	s.backup = backup
	s.mu.Unlock()
	return backup.Target.Address
}

// releaseBackup gives up the copy of the generation. An engine frees it by itself only when the generation
// has ended well where it began; otherwise the copy would hold memory for seconds.
func (s *stream) releaseBackup(endedWell bool) {
	s.mu.Lock()
	backup := s.backup
	s.backup = nil
	s.mu.Unlock()
	if backup == nil {
		return
	}
	backup.Done(placement.Moved, time.Now())
	if !endedWell {
		go s.drop(Memory{Address: backup.Target.Address, Handle: s.call.ID})
	}
}

// drop frees memory that nobody goes on from. It is best effort: the engine frees it too, later.
func (s *stream) drop(memory Memory) {
	ctx, cancel := context.WithTimeout(context.Background(), dropTimeout)
	defer cancel()
	if err := s.options.Mover.Drop(ctx, memory); err != nil {
		s.log("copy not freed", "address", memory.Address, "error", err)
	}
}

// useBackup prepares to go on from the backup after the target has broken off.
func (s *stream) useBackup() bool {
	s.mu.Lock()
	started := s.started
	s.mu.Unlock()
	if !started {
		return false
	}
	next, found := s.fromBackup()
	if !found {
		return false
	}
	s.metrics.fromBackup.Inc(1)
	s.mu.Lock()
	s.next = next
	s.mu.Unlock()
	return true
}

// fromBackup turns the reservation of the backup into one for the generation to go on there.
func (s *stream) fromBackup() (*continuation, bool) {
	s.mu.Lock()
	backup := s.backup
	s.backup = nil
	s.mu.Unlock()
	if backup == nil {
		return nil, false
	}
	backup.Done(placement.Moved, time.Now())
	query := s.query()
	query.Move = true
	lease, usable := s.options.Table.PickTarget(backup.Target, query, time.Now())
	if !usable {
		return nil, false
	}
	return &continuation{lease: lease, from: &Memory{Address: backup.Target.Address, Handle: s.call.ID}}, true
}
