package poison

import (
	"time"

	"godwitcart/internal/targetlimit"
)

// Kind is the kind of a Message.
type Kind uint8

// Kinds of messages.
const (
	// Crashed reports that a target ended while a request with the features waited for its answer to begin.
	Crashed Kind = iota + 1
	// Answered reports that requests with the features have been answered.
	Answered
	// Alive reports that a target has answered after it was reported as crashed.
	Alive
	// Blocked states that the features are blocked, Unblocked that they no longer are.
	Blocked
	Unblocked
	// Tried reports that a blocked request has been sent to a target to see whether it still crashes.
	Tried
	// Asked asks for the blocks, for a VM that has started or was suspended.
	Asked
)

// Message is the word of one VM to all others.
type Message struct {
	Kind Kind
	// Target is set in Crashed and Alive.
	Target targetlimit.Incarnation
	// Request identifies the request that Crashed reports.
	Request uint64
	// Features are listed from the most widely shared one on, after the one of the request itself if NamesRequest is set.
	Features     []Feature
	NamesRequest bool
	// Age is the time since the event; of Blocked, since the first block.
	Age time.Duration
	// Remaining is the time until the block may be tried, and Failures the number of trials that have failed.
	Remaining time.Duration
	Failures  int
	// Duration is how long the block lasts from the last crash on; zero in the word of VMs that do not state it.
	Duration time.Duration
}

// features returns the features of the message, of which there are at most maxFeatures.
func (m *Message) features() Features {
	return Features{list: m.Features[:min(len(m.Features), maxFeatures)], namesRequest: m.NamesRequest}
}

// resendDelays are the times after which a message is sent again; some datagrams are lost.
var resendDelays = []time.Duration{100 * time.Millisecond, 400 * time.Millisecond}

// broadcast sends a message about an event at the given time to all other VMs, and repeats it.
func (r *Registry) broadcast(message Message, at time.Time) {
	send := func() {
		message := message
		message.Age = time.Since(at)
		r.options.Broadcast(message)
	}
	send()
	for _, delay := range resendDelays {
		time.AfterFunc(delay, send)
	}
}

// HandleMessage records the word of another VM.
func (r *Registry) HandleMessage(vm string, message Message) {
	now := time.Now()
	at := now.Add(-max(message.Age, 0))
	r.mu.Lock()
	defer r.mu.Unlock()
	switch message.Kind {
	case Crashed:
		r.recordCrash(vm, message, at, now)
	case Answered:
		r.recordPublicAnswer(message.features(), at, now)
	case Alive:
		r.refute(message.Target, now)
	case Blocked:
		r.recordStatement(vm, message, now)
	case Unblocked:
		r.recordLift(vm, message, now)
	case Tried:
		r.recordTrial(message, at)
	case Asked:
		r.answerQuestion(vm, now)
	}
}
