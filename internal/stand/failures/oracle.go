package failures

import (
	"fmt"
	"strings"
	"time"

	"godwitcart/internal/stand/journal"
	"godwitcart/internal/stand/load"
)

// leavingGracePeriod is the time after a target starts leaving in which new work may still arrive there.
const leavingGracePeriod = 3 * time.Second

// maxExamples bounds the violations that a verdict describes.
const maxExamples = 40

// History holds the observations of one run: what callers and operators received, what targets ran, and which faults
// were injected.
type History struct {
	Records []load.Record
	Journal []journal.Entry
	Faults  []Fault
	// Changes are the operators' commands with their results, Observations the configurations seen in force.
	Changes      []Change
	Observations []Observation
	// Rollouts counts the accepted rollouts and withdrawals.
	Rollouts int
	// UnappliedOrders describes the engines whose loaded versions still differed from the configuration at the end.
	UnappliedOrders []string
	// OrderSettleTime is the time from the end of the run until all engines matched the configuration.
	OrderSettleTime time.Duration
	// Zones are the availability zones of the entry VMs by name.
	Zones map[string]string
}

// Verdict counts requests and violated guarantees. In a clean run all fields from RefusedButRun to Unanswered are
// zero, and so are the violations of ConfigurationVerdict.
type Verdict struct {
	Requests        int `json:"requests"`
	Answered        int `json:"answered"`
	RefusedAsNotRun int `json:"refused_as_not_run"`

	RefusedButRun         int `json:"refused_but_run"`
	TokensRepeated        int `json:"tokens_repeated"`
	TokensLost            int `json:"tokens_lost"`
	TokensOutOfOrder      int `json:"tokens_out_of_order"`
	MixedGenerations      int `json:"mixed_generations"`
	CrossedAnswers        int `json:"crossed_answers"`
	NonIdempotentRunTwice int `json:"non_idempotent_run_twice"`
	WorkAfterLeaving      int `json:"work_after_leaving"`
	CutOffByPlannedStops  int `json:"cut_off_by_planned_stops"`
	Unanswered            int `json:"unanswered"`

	ConfigurationVerdict

	// Disconnected counts the callers that closed the connection in the middle of a stream.
	Disconnected int `json:"left"`
	// Errors counts the other errors that callers received, by kind.
	Errors map[string]int `json:"errors"`
	// Examples describe the first violations.
	Examples []string `json:"examples,omitempty"`
}

// Clean reports whether no guarantee was violated.
func (v Verdict) Clean() bool {
	return v.RefusedButRun+v.TokensRepeated+v.TokensLost+v.TokensOutOfOrder+v.MixedGenerations+
		v.CrossedAnswers+v.NonIdempotentRunTwice+v.WorkAfterLeaving+v.CutOffByPlannedStops+v.Unanswered == 0 &&
		v.ConfigurationVerdict.isClean()
}

// Check compares the answers that callers received with what the targets ran.
func Check(history History) Verdict {
	o := &oracle{verdict: Verdict{Errors: map[string]int{}}, faults: history.Faults}
	o.indexJournal(history.Journal)
	for _, record := range history.Records {
		o.checkRuns(record)
		for _, answer := range record.Answers {
			o.checkAnswer(record.Request, answer)
			if !isSupersededCopy(record, answer) {
				o.checkPlannedStops(record.Request, answer)
			}
		}
	}
	o.checkLeaving(history.Journal)
	o.checkConfiguration(history)
	return o.verdict
}

// oracle decides for each recorded answer whether the system kept its guarantees.
type oracle struct {
	verdict Verdict
	faults  []Fault
	// runsByTag holds the started runs by the callers' tag; tagByAttempt and targetByAttempt are keyed by attempt ID.
	runsByTag       map[string][]journal.Entry
	tagByAttempt    map[string]string
	targetByAttempt map[string]string
}

// indexJournal indexes the journal's entries by tag and by attempt ID. A retried call to a plain service may carry no
// attempt ID, so calls to plain services are indexed by tag only.
func (o *oracle) indexJournal(entries []journal.Entry) {
	o.runsByTag = make(map[string][]journal.Entry)
	o.tagByAttempt = make(map[string]string)
	o.targetByAttempt = make(map[string]string)
	for _, entry := range entries {
		tag := tagOf(entry.Head)
		if entry.Event == journal.EventStarted {
			o.runsByTag[tag] = append(o.runsByTag[tag], entry)
		}
		if entry.Event == journal.EventAccepted {
			o.tagByAttempt[entry.AttemptID] = tag
			o.targetByAttempt[entry.AttemptID] = entry.Target
		}
	}
}

// tagOf returns the caller's tag in a prompt or body (see load.Request), or an empty string without one.
func tagOf(text string) string {
	_, rest, found := strings.Cut(text, "tag=")
	if !found {
		return ""
	}
	tag, _, _ := strings.Cut(rest, " ")
	return "tag=" + tag
}

// addViolation adds by to the violation count and records an example, up to maxExamples.
func (o *oracle) addViolation(count *int, by int, format string, args ...any) {
	*count += by
	if len(o.verdict.Examples) < maxExamples {
		o.verdict.Examples = append(o.verdict.Examples, fmt.Sprintf(format, args...))
	}
}

// checkRuns checks that a non-idempotent request ran at most once, whether it was retried by the system or by a
// caller.
func (o *oracle) checkRuns(record load.Record) {
	runs := o.runsByTag[record.Request.Tag]
	if !record.Request.NonIdempotent || len(runs) < 2 {
		return
	}
	o.addViolation(&o.verdict.NonIdempotentRunTwice, 1, "non-idempotent request %s ran %d times: %s",
		record.Request.Tag, len(runs), formatRuns(runs))
}

func formatRuns(runs []journal.Entry) string {
	var parts []string
	for _, run := range runs {
		parts = append(parts, fmt.Sprintf("request %s attempt %s at %s %s",
			run.RequestID, run.AttemptID, run.Target, run.At().Format(clockFormat)))
	}
	return strings.Join(parts, "; ")
}

// clockFormat formats the times in examples.
const clockFormat = "15:04:05.000"

func (o *oracle) checkAnswer(request load.Request, answer load.Answer) {
	o.verdict.Requests++
	switch {
	case answer.Outcome == load.OutcomeAnswered:
		o.verdict.Answered++
	case answer.Outcome == load.OutcomeDisconnected:
		o.verdict.Disconnected++
	case answer.IsNotRun():
		o.verdict.RefusedAsNotRun++
		o.checkRefusal(request, answer)
	case answer.Outcome == load.OutcomeError:
		o.verdict.Errors[answer.ErrorKind]++
	default:
		o.addViolation(&o.verdict.Unanswered, 1, "%s %s received no final answer: %s",
			request.Tag, request.Kind, formatTries(answer))
	}
	if request.Kind == load.KindPlain {
		o.checkPlain(request, answer)
	} else {
		o.checkTokens(request, answer)
	}
}

// maxFormattedTries bounds the tries in an example; the latest are kept.
const maxFormattedTries = 4

func formatTries(answer load.Answer) string {
	var parts []string
	for _, try := range answer.Tries[max(0, len(answer.Tries)-maxFormattedTries):] {
		parts = append(parts, fmt.Sprintf("%s request %s %s-%s resumed=%t %s", try.Entry, try.RequestID,
			try.Started.Format(clockFormat), try.Ended.Format(clockFormat), try.Resumed, try.Failure))
	}
	return strings.Join(parts, "; ")
}

// checkRefusal checks that a request refused as not run did not run. All copies and tries of a non-idempotent request
// share one idempotency key, so an earlier run by any of them violates the refusal unless the refusal covers only this
// copy. For idempotent requests only a run under the refused request ID counts.
func (o *oracle) checkRefusal(request load.Request, answer load.Answer) {
	if len(answer.Tries) == 0 {
		return
	}
	refused := answer.Tries[len(answer.Tries)-1]
	for _, run := range o.runsByTag[request.Tag] {
		sameRequest := run.RequestID == refused.RequestID
		earlierTry := request.NonIdempotent && !answer.CoversOnlyThisCopy() && run.At().Before(refused.Ended)
		if sameRequest || earlierTry {
			o.addViolation(&o.verdict.RefusedButRun, 1,
				"%s (%d copies, %d tries of this one) was refused with %s as request %s at %s (%s), but ran: %s",
				request.Tag, request.Copies, len(answer.Tries), answer.ErrorKind, refused.RequestID,
				refused.Ended.Format(clockFormat), answer.Message, formatRuns([]journal.Entry{run}))
			return
		}
	}
}

// checkPlain checks that the answer of a plain service echoes the call that it belongs to.
func (o *oracle) checkPlain(request load.Request, answer load.Answer) {
	if answer.Outcome != load.OutcomeAnswered || tagOf(answer.Text) == request.Tag {
		return
	}
	o.addViolation(&o.verdict.CrossedAnswers, 1, "%s received the answer of another call: %.80q", request.Tag, answer.Text)
}

// checkLeaving counts the callers' calls that arrived at a target more than leavingGracePeriod after it started
// leaving. Health probes carry no tag and are ignored.
func (o *oracle) checkLeaving(entries []journal.Entry) {
	leavingSince := make(map[string]time.Time)
	for _, entry := range entries {
		if entry.Event == journal.EventLeaving {
			leavingSince[entry.Incarnation] = entry.At()
		}
	}
	for _, entry := range entries {
		since, isLeaving := leavingSince[entry.Incarnation]
		if tagOf(entry.Head) == "" {
			continue
		}
		isArrival := entry.Event == journal.EventAccepted || entry.Event == journal.EventRefused || isServiceRun(entry, o.tagByAttempt)
		if isLeaving && isArrival && entry.At().Sub(since) > leavingGracePeriod {
			o.addViolation(&o.verdict.WorkAfterLeaving, 1, "%s received attempt %s %v after it started leaving",
				entry.Target, entry.AttemptID, entry.At().Sub(since))
		}
	}
}

// isServiceRun reports whether the entry is a call to a plain service. Such calls start on arrival and have no
// separate entry for their acceptance.
func isServiceRun(entry journal.Entry, tagByAttempt map[string]string) bool {
	_, isEngineAttempt := tagByAttempt[entry.AttemptID]
	return entry.Event == journal.EventStarted && !isEngineAttempt
}
