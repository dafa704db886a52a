package targetlimit

import "time"

const (
	// limitShare is the part of a limit that is given out. The rest is left for requests that are sent without a permit.
	limitShare = 0.95
	// minRate is the lowest rate of permits in requests a second: without requests, the end of a limit is not learned.
	minRate = 0.25
	// burst is the number of permits that may be used at once after a time without requests.
	burst = 2
	// maxWait bounds the time that a refusal states.
	maxWait = 10 * time.Second
)

// Ask is the question of a VM to the coordinator for one permit.
type Ask struct {
	Target Incarnation
	Number uint32
	// Urgent is set if no other target can take the request. Patience is how long it can wait for its permit.
	Urgent   bool
	Patience time.Duration
}

// Answer is the coordinator's answer to the Ask of the same number.
type Answer struct {
	Target  Incarnation
	Number  uint32
	Granted bool
	// Wait is the time until the permit may be used or, for a refusal, until one is expected to be free.
	Wait time.Duration
}

// Message is an Ask, an Answer, or the word that a brittle target had no room for a request.
type Message struct {
	Ask        *Ask
	Answer     *Answer
	TurnedAway *Incarnation
}

// schedule spaces the permits at one target.
type schedule struct {
	// balance is the number of permits saved up, at most burst; it is negative while a permit given out is not due yet.
	balance   float64
	updatedAt time.Time
	// refusedUntil is the time of the permit after those that refused VMs have been told of.
	refusedUntil time.Time
}

// advance adds the permits that have become due at the rate, in permits a second.
func (s *schedule) advance(rate float64, now time.Time) {
	s.balance = min(s.balance+rate*now.Sub(s.updatedAt).Seconds(), burst)
	s.updatedAt = now
}

// SetCoordination replaces the coordinator and the share. A VM that becomes the coordinator begins without permits.
func (l *Ledger) SetCoordination(coordination Coordination, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.coordination
	if previous == coordination {
		return
	}
	for _, known := range l.limits {
		if previous.Share == 0 {
			known.schedule = schedule{updatedAt: now}
		} else {
			known.schedule.advance(l.rate(known), now)
		}
	}
	l.coordination = coordination
	l.options.Logger.Info("coordinator of request limits changed", "coordinator", coordination.Coordinator, "share", coordination.Share, "known", coordination.Known)
}

// isCoordinator reports whether this VM gives out permits. The caller holds mu.
func (l *Ledger) isCoordinator() bool { return l.coordination.Share > 0 }

// rate returns the permits a second at the target that this VM gives out. The caller holds mu.
func (l *Ledger) rate(known *limit) float64 { return l.fullRate(known) * l.coordination.Share }

// fullRate returns the permits a second at the target that all coordinators give out together.
func (l *Ledger) fullRate(known *limit) float64 {
	rate := known.adaptive.perSecond
	if known.Limited {
		rate = limitShare * known.PerSecond
	}
	if known.Limited && known.Brittle > 0 {
		rate = min(rate, known.adaptive.perSecond)
	}
	return max(rate, minRate)
}

// waitForPermit returns the time until this VM, the coordinator, can give out a permit. A request that is not urgent gets
// one only while more are saved up. The caller holds mu.
func (l *Ledger) waitForPermit(known *limit, urgent bool, now time.Time) time.Duration {
	known.schedule.advance(l.rate(known), now)
	needed := 1.0
	if !urgent {
		needed = burst
	}
	wait := max(time.Duration((needed-known.schedule.balance)/l.rate(known)*float64(time.Second)), 0)
	if known.Brittle > 0 {
		wait = max(wait, known.adaptive.heldFor(now))
	}
	return wait
}

// HandleMessage handles a message of another VM.
func (l *Ledger) HandleMessage(vm string, message Message, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answer := message.Answer; answer != nil {
		if known := l.limits[answer.Target]; known != nil && vm == l.coordination.Coordinator {
			l.receiveAnswer(known, *answer, now)
		}
		return
	}
	if turnedAway := message.TurnedAway; turnedAway != nil {
		if known := l.inForce(*turnedAway); known != nil && known.Brittle > 0 {
			l.recordTurnedAway(known, now)
		}
		return
	}
	if message.Ask == nil {
		return
	}
	answer := Answer{Target: message.Ask.Target, Number: message.Ask.Number, Wait: noCoordinatorPause}
	if known := l.inForce(message.Ask.Target); known != nil {
		answer = l.answer(known, *message.Ask, now)
	}
	l.options.Transmit(vm, Message{Answer: &answer})
}

// answer gives out a permit or refuses it. VMs that are refused are told of different times. The caller holds mu.
func (l *Ledger) answer(known *limit, ask Ask, now time.Time) Answer {
	answer := Answer{Target: ask.Target, Number: ask.Number}
	if !l.isCoordinator() {
		answer.Wait = noCoordinatorPause
		return answer
	}
	wait := l.waitForPermit(known, ask.Urgent, now)
	if wait > 0 && ask.Urgent {
		known.adaptive.wanted(now)
	}
	if wait <= ask.Patience {
		known.schedule.balance--
		answer.Granted, answer.Wait = true, wait
		return answer
	}
	s := &known.schedule
	s.refusedUntil = latest(s.refusedUntil, now.Add(wait))
	answer.Wait = min(s.refusedUntil.Sub(now), maxWait)
	if ask.Urgent && answer.Wait < maxWait {
		s.refusedUntil = s.refusedUntil.Add(time.Duration(float64(time.Second) / l.rate(known)))
	}
	return answer
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
