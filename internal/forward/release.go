package forward

import (
	"time"

	"godwitcart/internal/placement"
)

// release frees the reservations, response and KV cache copies that the stream still holds.
func (s *stream) release() {
	s.mu.Lock()
	next := s.continuation
	s.continuation, s.isReleased = nil, true
	s.mu.Unlock()
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
		next.response.Close(true)
		next.cancel()
	} else if next.from != nil {
		go s.freeMemory(*next.from)
	}
}
