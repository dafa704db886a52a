package forward

import (
	"io"
	"time"

	"godwitcart/internal/delivery"
	"godwitcart/internal/placement"
)

// relay forwards events as they arrive, until the target's response ends.
func (s *stream) relay(next *continuation, response *answer, source *delivery.Source) error {
	lease := next.lease
	if next.reading == nil {
		next.reading = newReading(response)
	}
	s.setReading(next.reading)
	next.reading.ended = func(err error) { s.recordReadEnd(lease, response, err) }
	defer next.closeReading()
	for {
		got, err := next.reading.next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		event := got.event
		if event.IsComment {
			// A comment is no progress: an engine that sends nothing else is silent.
			if err := s.sendComment(source, event.Raw); err != nil {
				return err
			}
			continue
		}
		response.trial.Answered()
		admitted, isNew, err := source.Admit(event)
		if err != nil {
			return err
		}
		if !isNew {
			continue
		}
		s.refuteStops(got)
		if !s.versionFixed {
			s.fixVersion(lease)
		}
		s.recordEvent(lease, got.waited)
		if err := next.reading.during(func() error { return s.sendEvent(source, admitted) }); err != nil {
			return err
		}
		s.watchSilence(lease)
	}
}

// sendEvent passes an event on to the caller. While the caller does not take it, the engine's next events are not read, so that
// their lack is no silence.
func (s *stream) sendEvent(source *delivery.Source, next delivery.NextEvent) error {
	s.pauseSilenceWatch()
	s.setSending(true)
	defer s.setSending(false)
	return source.Send(next)
}

// sendComment passes a comment on to the caller. The time that it waits for the caller is not the engine's silence.
func (s *stream) sendComment(source *delivery.Source, text []byte) error {
	s.pauseSilenceWatch()
	defer s.resumeSilenceWatch()
	s.setSending(true)
	defer s.setSending(false)
	return source.SendComment(text)
}

func (s *stream) setSending(isSending bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isSending = isSending
}

func (s *stream) setReading(current *reading) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading = current
}

// recordReadEnd follows the end of an answer of which events wait for the caller. Where it is stated, the places at the target and at
// the backup are free; where it is not and there is a backup, that one continues at once.
func (s *stream) recordReadEnd(lease *placement.Lease, response *answer, err error) {
	s.mu.Lock()
	s.hasReadEnd = true
	current := s.reading
	s.mu.Unlock()
	if err != io.EOF && s.hasUsableBackup() {
		current.forget()
	}
	if err != io.EOF || !response.End().IsStated() || s.wasAskedToStop() {
		return
	}
	lease.Done(placement.Answered, time.Now())
	s.releaseBackup(true)
	s.log("engine's answer read to its end, its caller still takes events", "target", lease.Target.ID)
}

// recordEvent updates the metrics, the lease and the log for an event for which the relay has waited.
func (s *stream) recordEvent(lease *placement.Lease, waited time.Duration) {
	now := time.Now()
	s.mu.Lock()
	s.events++
	s.mu.Unlock()
	if s.events == 1 {
		s.firstEventDelay = now.Sub(s.arrivedAt)
		s.metrics.firstEvent.Update(int64(s.firstEventDelay))
	} else {
		s.longestGap = max(s.longestGap, now.Sub(s.lastEventAt))
		s.metrics.eventGap.Update(int64(now.Sub(s.lastEventAt)))
	}
	s.mu.Lock()
	isFirstOfTarget := !s.targetSentEvent
	s.targetSentEvent = true
	s.sourceSentEvent()
	if isFirstOfTarget {
		s.firstOfTargetAt = now
	}
	s.mu.Unlock()
	lease.Progress(s.events * tokensPerEvent)
	if isFirstOfTarget {
		s.freeUnused(s.takeLeft())
		lease.FirstEvent(now)
		s.gaps = smoothed{}
		if s.options.Table.IsLeaving(lease.Target) {
			go s.evacuate(lease.Target, now, func() {})
		} else if since, evacuated := s.options.Table.EvacuatedSince(lease.Target); evacuated {
			go s.evacuate(lease.Target, since, func() {})
		}
		if s.events > 1 {
			s.metrics.resumeGap.Update(int64(now.Sub(s.lastEventAt)))
			s.log("stream resumed", "target", lease.Target.ID, "pause_ms", now.Sub(s.lastEventAt).Milliseconds(), "after_event", s.caller.LastEvent())
		}
	}
	if !isFirstOfTarget {
		s.gaps.observe(waited)
	}
	s.lastEventAt = now
}
