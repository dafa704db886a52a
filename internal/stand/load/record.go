package load

import (
	"strings"
	"time"
)

// Record is one request and what its callers received, one Answer for each copy.
type Record struct {
	Request Request
	Started time.Time
	Answers []Answer
}

// Outcome is how a caller's wait ended.
type Outcome string

// The outcomes.
const (
	// OutcomeAnswered is a complete answer.
	OutcomeAnswered Outcome = "answered"
	// OutcomeError is an error that the system told the caller.
	OutcomeError Outcome = "error"
	// OutcomeLeft means that the caller left in the middle of a stream.
	OutcomeLeft Outcome = "left"
	// OutcomeNone means that the deadline passed without a final answer.
	OutcomeNone Outcome = "none"
)

// Answer is what one caller received.
type Answer struct {
	Outcome Outcome
	// ErrorKind is the type of the error that the caller was told.
	ErrorKind string
	// Message is the error's message and remedy.
	Message string
	// Text is everything that was received, over all tries of a resumed stream.
	Text string
	// Events counts the stream's parts with text.
	Events int
	Tries  []Try
	// Started, First and Ended are when the request was sent, when the first token came and
	// when the wait ended; First is zero when no token came.
	Started, First, Ended time.Time
	// Gaps are the times between tokens.
	Gaps []time.Duration
}

// Try is one HTTP exchange.
type Try struct {
	Entry     string
	RequestID string
	Resumed   bool
	Started   time.Time
	Ended     time.Time
	// Heard is when the last event came, or Started.
	Heard time.Time
	// GaveUp tells that the caller ended the exchange after a silence.
	GaveUp bool
	// Break says how the exchange broke off; it is empty when it ended in order.
	Break string
	// NotSent tells that no connection could be made, so that nothing was sent.
	NotSent bool
	// HandedOver tells that the entry VM asked the caller to resume elsewhere.
	HandedOver bool
}

// NotRun reports whether the system told the caller that the request did not run.
func (a Answer) NotRun() bool {
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

// OnlyThisCopy reports whether NotRun is said of this copy alone, and an earlier one may have run.
func (a Answer) OnlyThisCopy() bool { return strings.Contains(a.Message, onlyThisCopyPhrase) }

// The phrases of errors of other kinds that say that something did not run.
const (
	notRunPhrase       = "did not run"
	onlyThisCopyPhrase = "this copy of the request did not run"
)
