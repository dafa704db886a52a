package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/pause"
	"godwitcart/internal/placement"
	"godwitcart/internal/roster"
)

const (
	// maxOverlap is how long a backup that may be running the generation already may take to answer while the source still works: two
	// engines must not work on it for more than 400 ms. The rest of these is left for asking and stopping the backup.
	maxOverlap = 250 * time.Millisecond
	// beginAskTimeout bounds the question whether the backup has begun. One that has not says so at once.
	beginAskTimeout = 100 * time.Millisecond
	// maxBackupWait is how long a backup that has not begun may take in all. Most of the notice of a leaving source is left for a move.
	maxBackupWait = 750 * time.Millisecond
)

var (
	// errSourceWorks is why a backup is given up that has not answered within maxOverlap.
	errSourceWorks = errors.New("the backup has not answered in time, and the source still works")
	// errSourceWasLate is why a backup is not asked, or given up, whose source was silent and has sent an event since.
	errSourceWasLate = errors.New("the source was late and works")
)

// handover is a call to the backup of a stream whose source has not been given up.
//
// A crowded backup refuses late, or begins late. For as long as it says that it does not run the generation, the source is the only engine
// that works on it, and both keep their parts.
//
// Invariant: while neither engine has said what becomes of the generation, it is the backup that is given up and not the source, as
// long as the source sends events. A source that sends nothing is asked to stop, since it may work all the same, and keeps its
// connection: it and the memory that it keeps may be all that is left if the backup refuses.
//
// A source that is to be left since it was silent keeps the generation once it sends an event: it was merely late.
type handover struct {
	// keepsIfLate is set for a source that is not leaving, and eventsBefore is the number of events before the handover.
	keepsIfLate  bool
	eventsBefore int
	// backup is the engine that was called, at sentAt.
	backup roster.Target
	sentAt time.Time
	// cancel ends the call to the backup, and stopSource asks the source to stop the generation and to keep its memory.
	cancel     context.CancelFunc
	stopSource func()
	// sourceSent is set once the source has sent an event since the call was sent.
	sourceSent bool
	// isOver is set once the backup may have run the generation for maxOverlap, and isGivenUp when the call was canceled for that.
	isOver, isGivenUp bool
}

// newHandover returns the handover of the generation from its source to its backup.
func (s *stream) newHandover(source roster.Target) *handover {
	_, isEvacuated := s.options.Table.EvacuatedSince(source)
	return &handover{keepsIfLate: !isEvacuated && !s.options.Table.IsLeaving(source), eventsBefore: s.eventCount()}
}

// mayBegin reports whether the backup is still to be asked.
func (s *stream) mayBegin(h *handover) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !h.keepsIfLate || s.events == h.eventsBefore
}

// beginHandover starts the time that the backup has. It is called when the call is to be sent, which its error prevents: while a
// connection is being made, the source is the only engine that works on the generation.
func (s *stream) beginHandover(h *handover) error {
	if !s.mayBegin(h) {
		return errSourceWasLate
	}
	h.sentAt = time.Now()
	s.mu.Lock()
	s.handover = h
	s.mu.Unlock()
	time.AfterFunc(maxOverlap, func() { s.decideHandover(h) })
	return nil
}

// decideHandover waits on while the backup has not begun. Then it ends one part: the backup is given up, or the source is asked to stop.
func (s *stream) decideHandover(h *handover) {
	for time.Since(h.sentAt) < maxBackupWait && s.isUndecided(h) {
		askedAt := time.Now()
		if s.mayHaveBegun(h) || !pause.For(s.ctx, time.Until(askedAt.Add(maxOverlap))) {
			break
		}
	}
	s.mu.Lock()
	h.isOver = true
	s.giveUpBackup()
	s.mu.Unlock()
	if s.isUndecided(h) {
		h.stopSource()
	}
}

// isUndecided reports whether nothing is known yet of the backup, and of a source that may work.
func (s *stream) isUndecided(h *handover) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handover == h && !h.isGivenUp && s.response != nil && !s.stops.mayHaveStopped()
}

// mayHaveBegun asks the backup whether it runs the generation, and reports false if it denies that. The call asks for a copy, which a run
// outlives; one that is made is freed.
func (s *stream) mayHaveBegun(h *handover) bool {
	ctx, cancel := context.WithTimeout(s.ctx, beginAskTimeout)
	defer cancel()
	result, err := s.requestCopy(ctx, h.backup, s.stopDestination(h.backup), false)
	if result.KVCache.Handle != "" {
		go s.freeMemory(result.KVCache)
	}
	return err != nil || !result.Unknown
}

// endHandover ends the time that the backup has, and reports whether it was given up.
func (s *stream) endHandover() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.handover
	s.handover = nil
	return h != nil && h.isGivenUp
}

// sourceSentEvent records an event of the source during a handover. It requires mu.
func (s *stream) sourceSentEvent() {
	if s.handover == nil {
		return
	}
	s.handover.sourceSent = true
	s.giveUpBackup()
}

// errGivenUp is why the backup is given up.
func (h *handover) errGivenUp() error {
	if h.keepsIfLate {
		return errSourceWasLate
	}
	return errSourceWorks
}

// giveUpBackup gives the backup up if its time is over, or was given for a source that was merely late, and the source works: it has
// sent an event, or its events wait for the caller. A source that may have been stopped is not relied on. It requires mu.
func (s *stream) giveUpBackup() {
	h := s.handover
	if h == nil || !h.isOver && !h.keepsIfLate || h.isGivenUp || s.stops.mayHaveStopped() || s.response == nil {
		return
	}
	if !s.hasReadEnd && (h.sourceSent || s.isSending) {
		h.isGivenUp = true
		h.cancel()
	}
}

// awaitNextEvent waits until the answer of the backup has brought an event that continues the stream: an answer that brings none, or
// another one, is no reason to give the source up. The error is that of an answer which does not continue the stream.
func (s *stream) awaitNextEvent(next *continuation, response *answer) *attemptError {
	if response.StatusCode/100 != 2 {
		return rejectBackup(next, response, errors.Newf("the backup answered with status %d", response.StatusCode))
	}
	if err := s.caller.CheckHead(s.headOf(response)); err != nil {
		return rejectBackup(next, response, err)
	}
	next.reading = newReading(response)
	for {
		got, err := next.reading.next()
		switch {
		case err != nil:
			return rejectBackup(next, response, errors.Wrap(err, "the answer of the backup brought no event"))
		case got.event.IsComment || got.event.ID == "":
		case !s.caller.MayFollow(got.event.ID):
			return rejectBackup(next, response, errors.Newf("the backup went on with event %q", got.event.ID))
		default:
			next.reading.first, next.response = &got, response
			return nil
		}
	}
}

// rejectBackup closes an answer of the backup with which the generation does not go on.
func rejectBackup(next *continuation, response *answer, cause error) *attemptError {
	next.closeReading()
	next.response = nil
	response.trial.Done()
	response.Close(true)
	return &attemptError{outcome: placement.Failed, cause: cause}
}

// closeReading ends the use of the response, if it has begun.
func (c *continuation) closeReading() {
	if c.reading != nil {
		c.reading.close()
		c.reading = nil
	}
}
