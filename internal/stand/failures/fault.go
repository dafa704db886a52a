// Package failures runs godwitcart with its stand-ins as real processes, drives load, injects
// faults from a seed, and judges what the callers received against what the targets ran.
package failures

import (
	"fmt"
	"time"

	"godwitcart/internal/stand/load"
)

// FaultKind names what was done.
type FaultKind string

// The kinds of fault. The last two are planned stops.
const (
	KillEntry       FaultKind = "kill_entry"
	FreezeEntry     FaultKind = "freeze_entry"
	KillTarget      FaultKind = "kill_target"
	FreezeTarget    FaultKind = "freeze_target"
	ReclaimTarget   FaultKind = "reclaim_target"
	StallLink       FaultKind = "stall_link"
	CutLink         FaultKind = "cut_link"
	CutZone         FaultKind = "cut_zone"
	CutPlatform     FaultKind = "cut_platform"
	PlatformOutage  FaultKind = "platform_outage"
	PlatformFreeze  FaultKind = "platform_freeze"
	PlatformSlow    FaultKind = "platform_slow"
	LoseWriteAnswer FaultKind = "lose_write_answers"
	StallStreams    FaultKind = "stall_streams"
	BreakStreams    FaultKind = "break_streams"
	LoseAnswers     FaultKind = "lose_answers"
	StopEntry       FaultKind = "stop_entry"
	DrainTarget     FaultKind = "drain_target"
)

// Fault is one thing that was done, to whom and when.
type Fault struct {
	Kind    FaultKind `json:"kind"`
	Subject string    `json:"subject"`
	From    time.Time `json:"from"`
	// To is when it was lifted.
	To time.Time `json:"to"`
	// Entry is the base URL of the entry VM that was stopped.
	Entry string `json:"-"`
}

func (f Fault) planned() bool { return f.Kind == StopEntry || f.Kind == DrainTarget }

func (f Fault) overlaps(from, to time.Time) bool { return f.From.Before(to) && f.To.After(from) }

// String implements fmt.Stringer.
func (f Fault) String() string {
	return fmt.Sprintf("%s %s %s for %v", f.From.Format(clockFormat), f.Kind, f.Subject, f.To.Sub(f.From).Round(time.Millisecond))
}

// faultAftermath is how long an unplanned fault may still explain a broken request.
const faultAftermath = 5 * time.Second

// cutOffKinds are the errors that mean that work which had begun was given up.
var cutOffKinds = map[string]bool{"generation_lost": true, "outcome_unknown": true, "internal": true}

// judgePlannedStops counts the requests that a planned stop cut off: an exchange with an entry
// VM broke off while that VM stopped, or the work was given up while a target drained. An
// unplanned fault during the request's life is taken for the cause.
func (o *oracle) judgePlannedStops(request load.Request, answer load.Answer) {
	if o.disturbed(answer) {
		return
	}
	for _, fault := range o.faults {
		if fault.planned() && fault.overlaps(answer.Started, answer.Ended) && cutOff(fault, answer) {
			o.violate(&o.verdict.CutOffByPlannedStops, 1, "%s (%s, %s %s) during %s: %s",
				request.Tag, request.Kind, answer.ErrorKind, answer.Message, fault, describeTries(answer))
			return
		}
	}
}

// isInformedCopy reports whether the answer is a copy's that was told at once of the request that
// another caller was answered: nothing of it was cut off.
func isInformedCopy(record load.Record, answer load.Answer) bool {
	if answer.Outcome != load.OutcomeError || answer.Text != "" {
		return false
	}
	for _, try := range answer.Tries {
		if try.Break != "" {
			return false
		}
	}
	for _, other := range record.Answers {
		if other.Outcome == load.OutcomeAnswered {
			return true
		}
	}
	return false
}

func (o *oracle) disturbed(answer load.Answer) bool {
	for _, fault := range o.faults {
		if !fault.planned() && fault.overlaps(answer.Started.Add(-faultAftermath), answer.Ended) {
			return true
		}
	}
	return false
}

func cutOff(stop Fault, answer load.Answer) bool {
	if cutOffKinds[answer.ErrorKind] {
		return true
	}
	if stop.Kind != StopEntry {
		return false
	}
	for _, try := range answer.Tries {
		if try.Entry == stop.Entry && stop.overlaps(try.Started, try.Ended) && brokenBy(stop, try) {
			return true
		}
	}
	return false
}

// brokenBy reports whether the stop may have broken the exchange. Where the caller gave up in
// silence, the silence has to begin during the stop.
func brokenBy(stop Fault, try load.Try) bool {
	if try.Break == "" || try.NotSent {
		return false
	}
	return !try.GaveUp || !try.Heard.Before(stop.From)
}
