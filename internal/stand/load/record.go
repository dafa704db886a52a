package load

import (
	"strings"
	"time"
)

// Record is one request and what its callers received, with one Answer for each copy.
type Record struct {
	Request Request
	Started time.Time
	Answers []Answer
}

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes of requests.
const (
	// OutcomeAnswered means that the caller received a complete answer.
	OutcomeAnswered Outcome = "answered"
	// OutcomeError means that the caller received an error from the system.
	OutcomeError Outcome = "error"
	// OutcomeDisconnected means that the caller disconnected in the middle of a stream, as planned.
	OutcomeDisconnected Outcome = "left"
	// OutcomeNone means that the deadline passed without a final answer.
	OutcomeNone Outcome = "none"
)

// Answer is what one caller received, over all its tries.
type Answer struct {
	Outcome Outcome
	// ErrorKind is the type of the error that the caller received.
	ErrorKind string
	// Message is the error's message and remedy.
	Message string
	// Text is all received text, over all tries of a resumed stream.
	Text string
	// Events counts the stream events with text.
	Events int
	Tries  []Try
	// Started is when the request was first sent, First when the first token was received, and Ended when the answer
	// was final or the caller gave up. First is zero without tokens.
	Started, First, Ended time.Time
	// Gaps are the intervals between successive tokens.
	Gaps []time.Duration
}

// Try is one HTTP exchange.
type Try struct {
	Entry     string
	RequestID string
	Resumed   bool
	Started   time.Time
	Ended     time.Time
	// LastReceived is when the last event was received, or Started if there was none.
	LastReceived time.Time `json:"Heard"`
	// GaveUp is set when the caller abandoned the exchange after the idle timeout.
	GaveUp bool
	// Failure is the error that ended the exchange; it is empty when the exchange ended normally.
	Failure string `json:"Break"`
	// NotSent is set when the connection failed, so that nothing was sent.
	NotSent bool
	// HandedOver is set when the entry VM asked the caller to resume at another one.
	HandedOver bool
}

// IsNotRun reports whether the system told the caller that the request did not run.
func (a Answer) IsNotRun() bool {
	if a.Outcome != OutcomeError {
		return false
	}
	switch a.ErrorKind {
	case "not_run", "overloaded", "rate_limited":
		return true
	default:
		return strings.Contains(a.Message, notRunPhrase)
	}
}

// CoversOnlyThisCopy reports whether the error that the request did not run covers only this copy: another copy may
// have run.
func (a Answer) CoversOnlyThisCopy() bool { return strings.Contains(a.Message, onlyThisCopyPhrase) }

// Phrases in the messages of other error kinds that say that the request or this copy of it did not run.
const (
	notRunPhrase       = "did not run"
	onlyThisCopyPhrase = "this copy of the request did not run"
)
