package delivery

import (
	"strconv"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/eventstream"
	"godwitcart/internal/upstream"
)

var (
	// ErrNotContinued marks the error of an answer that does not continue the stream that the caller has begun to receive.
	ErrNotContinued = errors.New("the answer does not continue the stream")
	// ErrNotWhole marks the error of an answer whose end does not prove that of the stream.
	ErrNotWhole = errors.New("the end of the answer does not prove the end of the stream")
)

// eventStreamType is the media type of streams. Engines that leave it out are understood where all of a stream do.
const eventStreamType = "text/event-stream"

// maxHeldComments bounds the bytes of comments that are held before the first event.
const maxHeldComments = 4 << 10

// maxComments bounds the bytes of comments between two events. A target that sends nothing else would keep this VM busy until
// the deadline.
const maxComments = 256 << 10

// ErrTooManyComments is the error of a source that sends comments without end.
var ErrTooManyComments = errors.Newf("more than %d bytes of comments without an event", maxComments)

// Source is the answer of one target to a run of a stream, or to a part of it.
type Source struct {
	answer *Answer
	target string
	head   Head
	// sent is the number of events that the caller has received from this source.
	sent int
	// drops is set while the last event was one that the caller had already, and lastID is the id of the last one with an id.
	drops  bool
	lastID string
	// comments are held until the first event: they are nothing that a run has made. commentBytes counts them since the last event.
	comments     []byte
	commentBytes int
}

// NextEvent is an event that follows the last one that the caller has. Only Source.Admit makes one.
type NextEvent struct {
	id  string
	raw []byte
}

// From returns the source for the answer of a target. The error is marked with ErrNotContinued if the caller has the head
// of a stream that such an answer cannot continue.
func (a *Answer) From(target string, head Head) (*Source, error) {
	if err := a.CheckHead(head); err != nil {
		return nil, err
	}
	return &Source{answer: a, target: target, head: head}, nil
}

// CheckHead returns an error marked with ErrNotContinued if the caller has the head of a stream that an answer with the given head
// cannot continue.
func (a *Answer) CheckHead(head Head) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	var reason error
	switch {
	case a.head.Status == 0:
	case head.Status != a.head.Status:
		reason = errors.Newf("the target answered with status %d in the middle of a stream", head.Status)
	case head.mediaType() != eventStreamType && head.mediaType() != a.head.mediaType():
		reason = errors.Newf("the target answered with a body of type %q in the middle of a stream", head.mediaType())
	case a.lastEvent == "":
		reason = errors.New("the events that the caller has received have no ids")
	}
	return errors.Mark(reason, ErrNotContinued)
}

// Admit returns the event as one that can be sent, and false if the caller has it already: an engine that continues a run
// repeats the events that another has sent in the meantime. The error is marked with ErrNotContinued if the event cannot
// follow the last one.
func (s *Source) Admit(event eventstream.Event) (NextEvent, bool, error) {
	isNew, err := s.follows(event.ID)
	if err != nil {
		return NextEvent{}, false, errors.Mark(err, ErrNotContinued)
	}
	s.drops = !isNew
	if event.ID != "" {
		s.lastID = event.ID
	}
	return NextEvent{id: event.ID, raw: event.Raw}, isNew, nil
}

// follows reports whether the caller lacks the event, and returns an error if it comes after a gap.
func (s *Source) follows(id string) (bool, error) {
	lastID := s.answer.LastEvent()
	joins := s.sent == 0 && lastID != ""
	if id == "" {
		return !joins && !s.drops, nil // it belongs to the event before it
	}
	last, isLastNumber := number(lastID)
	next, isNumber := number(id)
	switch {
	case !isLastNumber:
		return true, nil
	case !isNumber && joins:
		return false, errors.Newf("event %q of one answer follows event %d of another", id, last)
	case !isNumber:
		return true, nil
	case joins && s.answer.isConsecutive && next > last+1:
		return false, errors.Newf("event %d of one answer follows event %d of another", next, last)
	default:
		return next > last, nil
	}
}

// number returns the number of an event; one without an id has none.
func number(id string) (uint64, bool) {
	value, err := strconv.ParseUint(id, 10, 64)
	return value, err == nil
}

// Send passes the event on, after the head and the comments that were held.
func (s *Source) Send(next NextEvent) error {
	if len(s.comments) > 0 {
		if err := s.answer.send(s.head, s.comments); err != nil {
			return err
		}
		s.comments = nil
	}
	if err := s.answer.send(s.head, next.raw); err != nil {
		return err
	}
	s.sent++
	s.commentBytes = 0
	s.answer.recordEvent(next.id)
	return nil
}

// SendComment passes a comment on, or holds it until the first event. The error is ErrTooManyComments if there are too many.
func (s *Source) SendComment(raw []byte) error {
	if s.commentBytes += len(raw); s.commentBytes > maxComments {
		return ErrTooManyComments
	}
	if s.sent > 0 {
		return s.answer.send(s.head, raw)
	}
	if len(s.comments)+len(raw) > maxHeldComments {
		s.comments = s.comments[:0] // a part of a comment may look like an event
	}
	if len(raw) <= maxHeldComments {
		s.comments = append(s.comments, raw...)
	}
	return nil
}

// Complete ends the stream as complete after the body of the source has ended. The error is marked with ErrNotWhole if that
// does not prove the end of the stream; another target may then continue it.
func (s *Source) Complete(end upstream.End) error {
	a := s.answer
	if !s.proves(end) {
		if end.IsUnstated() {
			s.RecordEnd(end)
		}
		return errors.Mark(errors.Newf("the answer ended (%s) after %d new events", end, s.sent), ErrNotWhole)
	}
	if !a.HasBegun() {
		a.begin(s.head)
	}
	a.isComplete = true
	return nil
}

// RecordEnd records that the body of the source has ended in order where that alone proves nothing. The end of another
// source after the same event then proves the end of the stream.
func (s *Source) RecordEnd(end upstream.End) {
	if s.sentLast() {
		s.answer.endedBy, s.answer.endedAs = s, end
	}
}

// sentLast reports whether the last event that the caller has is also the last one that the source has sent.
func (s *Source) sentLast() bool {
	return (s.sent > 0 || s.lastID != "") && s.lastID == s.answer.LastEvent()
}

// proves reports whether the end of the source proves that of the stream. A stated end after the last event does. So does
// the second of two targets that end in order after sending the same last event (RecordEnd). A source without events proves
// only what another one has stated, since a target that should continue a stream may answer wrongly; that may be one of the same
// target, which was to stop its first run and states that the second one, from its memory, has nothing to add. Where the caller
// has no part of this answer yet, it is a target's whole answer.
func (s *Source) proves(end upstream.End) bool {
	a := s.answer
	isSecond := a.endedBy != nil && a.endedBy != s
	switch {
	case end.IsStated() && s.lastID == "" && s.sent == 0 && !s.drops:
		return isSecond && a.endedAs.IsStated() || !a.HasBegun()
	case end.IsStated():
		return s.sentLast()
	default:
		return end.IsUnstated() && isSecond && a.endedBy.target != s.target && s.sentLast()
	}
}
