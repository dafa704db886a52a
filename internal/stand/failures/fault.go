// Package failures runs godwitcart and its stand-ins as separate processes, sends load, injects seeded faults, and
// checks the responses that callers received against the journal of what the targets ran.
package failures

import (
	"fmt"
	"time"

	"godwitcart/internal/stand/load"
)

// FaultKind identifies a kind of fault. The values appear in reports.
type FaultKind string

// The kinds of fault. The last two are planned stops.
const (
	KillEntry          FaultKind = "kill_entry"
	FreezeEntry        FaultKind = "freeze_entry"
	KillTarget         FaultKind = "kill_target"
	FreezeTarget       FaultKind = "freeze_target"
	ReclaimTarget      FaultKind = "reclaim_target"
	StallLink          FaultKind = "stall_link"
	CutLink            FaultKind = "cut_link"
	CutZone            FaultKind = "cut_zone"
	CutPlatform        FaultKind = "cut_platform"
	PlatformOutage     FaultKind = "platform_outage"
	PlatformFreeze     FaultKind = "platform_freeze"
	PlatformSlow       FaultKind = "platform_slow"
	LoseWriteResponses FaultKind = "lose_write_answers"
	StallStreams       FaultKind = "stall_streams"
	BreakStreams       FaultKind = "break_streams"
	LoseResponses      FaultKind = "lose_answers"
	StopEntry          FaultKind = "stop_entry"
	DrainTarget        FaultKind = "drain_target"
)

// Fault is one injected fault.
type Fault struct {
	Kind    FaultKind `json:"kind"`
	Subject string    `json:"subject"`
	From    time.Time `json:"from"`
	// To is when the fault was lifted.
	To time.Time `json:"to"`
	// Entry is the base URL of the stopped entry VM; empty for other kinds.
	Entry string `json:"-"`
}

func (f Fault) isPlanned() bool { return f.Kind == StopEntry || f.Kind == DrainTarget }

func (f Fault) overlaps(from, to time.Time) bool { return f.From.Before(to) && f.To.After(from) }

// String implements fmt.Stringer.
func (f Fault) String() string {
	return fmt.Sprintf("%s %s %s for %v", f.From.Format(clockFormat), f.Kind, f.Subject, f.To.Sub(f.From).Round(time.Millisecond))
}

// faultEffectWindow is the time after the end of an unplanned fault in which a failed request is still attributed to
// it.
const faultEffectWindow = 5 * time.Second

// cutOffKinds are the error kinds that mean that work was abandoned after it had started.
var cutOffKinds = map[string]bool{"generation_lost": true, "outcome_unknown": true, "internal": true}

// checkPlannedStops counts the requests that a planned stop cut off: an exchange with an entry VM failed while that VM
// was stopping, or the work was abandoned during a planned stop of an entry VM or a target. A request that overlaps an
// unplanned fault or its faultEffectWindow is attributed to that fault and not counted.
func (o *oracle) checkPlannedStops(request load.Request, answer load.Answer) {
	if o.hasUnplannedFault(answer) {
		return
	}
	for _, fault := range o.faults {
		if fault.isPlanned() && fault.overlaps(answer.Started, answer.Ended) && isCutOff(fault, answer) {
			o.addViolation(&o.verdict.CutOffByPlannedStops, 1, "%s (%s, %s %s) was cut off during %s: %s",
				request.Tag, request.Kind, answer.ErrorKind, answer.Message, fault, formatTries(answer))
			return
		}
	}
}

// isSupersededCopy reports whether the answer is an error sent to a duplicate copy of a request whose other copy was
// answered, with no interrupted exchange and no partial text. Such a copy was not cut off.
func isSupersededCopy(record load.Record, answer load.Answer) bool {
	if answer.Outcome != load.OutcomeError || answer.Text != "" {
		return false
	}
	for _, try := range answer.Tries {
		if try.Failure != "" {
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

func (o *oracle) hasUnplannedFault(answer load.Answer) bool {
	for _, fault := range o.faults {
		if !fault.isPlanned() && fault.overlaps(answer.Started.Add(-faultEffectWindow), answer.Ended) {
			return true
		}
	}
	return false
}

func isCutOff(stop Fault, answer load.Answer) bool {
	if cutOffKinds[answer.ErrorKind] {
		return true
	}
	if stop.Kind != StopEntry {
		return false
	}
	for _, try := range answer.Tries {
		if try.Entry == stop.Entry && stop.overlaps(try.Started, try.Ended) && mayHaveCausedFailure(stop, try) {
			return true
		}
	}
	return false
}

// mayHaveCausedFailure reports whether the stop may have caused the failure of the exchange. If the caller timed out
// while waiting for data, the stop counts only when data was last received after the stop had begun.
func mayHaveCausedFailure(stop Fault, try load.Try) bool {
	if try.Failure == "" || try.NotSent {
		return false
	}
	return !try.GaveUp || !try.LastReceived.Before(stop.From)
}
