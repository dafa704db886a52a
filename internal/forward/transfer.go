package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"godwitcart/internal/placement"
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
	// Those that have just begun have the most to lose, and the least memory to copy.
	slices.SortFunc(streams, func(a, b *stream) int { return b.arrivedAt.Compare(a.arrivedAt) })
	for _, held := range streams {
		go held.evacuate(leaving)
	}
}

// evacuate takes the generation to another target, by its backup or by a move.
func (s *stream) evacuate(leaving roster.Target) {
	if s.route.Resumable {
		return // it starts again after its last event when the target ends; most end before
	}
	s.mu.Lock()
	if s.answer == nil || s.moving != nil || s.next != nil || !s.lease.Target.SameIncarnation(leaving) {
		s.mu.Unlock()
		return
	}
	if s.started && s.backup != nil && s.nextFromBackup() {
		s.answer.Break()
		s.mu.Unlock()
		s.log("stream leaves its target", "target", leaving.ID, "way", "backup")
		return
	}
	engine := s.service.Engine
	if engine == nil || !engine.Moves {
		s.mu.Unlock()
		return
	}
	moving := make(chan struct{})
	s.moving = moving
	s.mu.Unlock()
	next := s.move(leaving)
	s.mu.Lock()
	s.next = next
	s.moving = nil
	if next != nil && s.answer != nil {
		s.answer.Break()
	}
	s.mu.Unlock()
	close(moving)
}

const (
	// moveTimeout bounds the copies of one move; engines give about two seconds of notice.
	moveTimeout = 3 * time.Second
	// moveTries bounds the destinations that one move asks.
	moveTries = 3
	// dropTimeout bounds the freeing of memory that nobody goes on from; the engine does it too, later.
	dropTimeout = time.Second
)

// move copies the generation to another engine while it runs, stops it, copies the rest and returns where it
// goes on; nil means that it stays.
func (s *stream) move(leaving roster.Target) *continuation {
	ctx, cancel := context.WithTimeout(context.Background(), moveTimeout)
	defer cancel()
	excluded := append(slices.Clone(s.excluded), leaving.ID)
	startedAt := time.Now()
	for range moveTries {
		query := s.query()
		query.PromptTokens += s.events * tokensPerEvent
		query.Excluded = excluded
		lease, err := s.options.Table.Pick(query, time.Now())
		if err != nil {
			s.moveFailed(leaving, "", err)
			return nil
		}
		destination := lease.Target.Address
		copied, err := s.options.Mover.Copy(ctx, leaving.Address, s.call.ID, destination, false)
		if err == nil && !copied.Refused && !copied.Unknown {
			copied, err = s.options.Mover.Copy(ctx, leaving.Address, s.call.ID, destination, true)
			if err == nil && !copied.Refused && !copied.Unknown {
				s.metrics.moves.Inc(1)
				s.log("stream leaves its target", "target", leaving.ID, "way", "move", "destination", lease.Target.ID, "copied_ms", time.Since(startedAt).Milliseconds())
				return &continuation{lease: lease, from: &copied.Memory}
			}
		}
		lease.Done(placement.Canceled, time.Now())
		s.moveFailed(leaving, lease.Target.ID, err, "refused", copied.Refused, "unknown", copied.Unknown)
		if err != nil || copied.Unknown {
			return nil
		}
		if copied.Memory.Handle != "" {
			return s.stay(leaving, copied.Memory)
		}
		excluded = append(excluded, lease.Target.ID)
	}
	return nil
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
	s.releaseBackup()
	engine := s.service.Engine
	if engine == nil || !engine.Backups || s.route.Resumable {
		return ""
	}
	query := s.query()
	query.Copy = true
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

func (s *stream) releaseBackup() {
	s.mu.Lock()
	backup := s.backup
	s.backup = nil
	s.mu.Unlock()
	if backup != nil {
		backup.Done(placement.Moved, time.Now())
	}
}

// useBackup prepares to go on from the backup after the target has broken off.
func (s *stream) useBackup() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started && s.backup != nil && s.nextFromBackup()
}

// nextFromBackup is called with mu held.
func (s *stream) nextFromBackup() bool {
	backup := s.backup
	query := s.query()
	lease, usable := s.options.Table.PickTarget(backup.Target, query, time.Now())
	if !usable {
		return false
	}
	s.backup = nil
	backup.Done(placement.Moved, time.Now())
	s.next = &continuation{lease: lease, from: &Memory{Address: backup.Target.Address, Handle: s.call.ID}}
	s.metrics.fromBackup.Inc(1)
	return true
}
