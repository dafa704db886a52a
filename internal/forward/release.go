package forward

import (
	"time"

	"godwitcart/internal/placement"
)

// closedForNext is why this VM closes the connection to an engine whose answer is in progress, for the log.
const closedForNext = "another engine has answered"

// stoppedEndTime is how long an engine that has stopped a generation gets to end its response. A stated end tells that the
// generation was complete before.
const stoppedEndTime = 50 * time.Millisecond

// endRelocation ends a relocation, after which the generation continues as given; nil means that it stays. It releases what is of
// no use to a stream that has ended in the meantime.
func (s *stream) endRelocation(next *continuation) {
	s.mu.Lock()
	isReleased := s.isReleased
	if !isReleased {
		s.continuation = next
	}
	s.moveDone = nil
	if next != nil && s.response != nil && s.reading != nil {
		s.reading.forget()
	}
	switch {
	case next == nil || s.response == nil:
	case s.stops.mayHaveStopped():
		time.AfterFunc(stoppedEndTime, s.closeStopped(s.response))
	default:
		s.response.CloseConnection(closedForNext)
	}
	s.mu.Unlock()
	if isReleased {
		s.releaseContinuation(next)
	}
}

// closeStopped returns what closes the connection of a response if it is still read: later the connection may serve another call.
func (s *stream) closeStopped(response *answer) func() {
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.response == response {
			response.CloseConnection(closedForNext)
		}
	}
}

// release frees the reservations, response and KV cache copies that the stream still holds.
func (s *stream) release() {
	s.mu.Lock()
	next := s.continuation
	s.continuation, s.isReleased = nil, true
	s.mu.Unlock()
	s.freeUnused(s.takeLeft())
	s.releaseBackup(false)
	s.releaseContinuation(next)
}

// releaseContinuation frees what a continuation holds that is not used; nil holds nothing.
func (s *stream) releaseContinuation(next *continuation) {
	if next == nil {
		return
	}
	next.lease.Done(placement.Canceled, time.Now())
	if next.response != nil {
		next.closeReading()
		next.response.Close(true)
		next.cancel()
		s.leaveUnused(next.lease.Target)
	} else if next.from != nil {
		go s.freeMemory(*next.from)
	}
}
