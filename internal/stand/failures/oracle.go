package failures

import (
	"fmt"
	"strings"
	"time"

	"godwitcart/internal/stand/journal"
	"godwitcart/internal/stand/load"
)

// leavingGrace is how long after a target began to leave new work may still arrive.
const leavingGrace = 3 * time.Second

// maxExamples bounds how many violations are described.
const maxExamples = 40

// History is what the callers received and what the targets ran in one run.
type History struct {
	Records []load.Record
	Journal []journal.Entry
	Faults  []Fault
	// Changes and Observations are what the operators were told and what was in force.
	Changes      []Change
	Observations []Observation
	// Rollouts counts those that were accepted.
	Rollouts int
	// StaleOrders describes the engines that did not come to what the configuration says.
	StaleOrders []string
	// OrdersSettled is how long after the run the engines came to it.
	OrdersSettled time.Duration
	// Zones are the availability zones of the entry VMs by name.
	Zones map[string]string
}

// Verdict counts the violations of the promises. All but the first two and RefusedAsNotRun have
// to be zero.
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

	// Left counts the callers that left in the middle of a stream.
	Left int `json:"left"`
	// Errors counts the other errors that callers were told, by kind.
	Errors map[string]int `json:"errors"`
	// Examples describe the first violations.
	Examples []string `json:"examples,omitempty"`
}

// Clean reports whether no promise was violated.
func (v Verdict) Clean() bool {
	return v.RefusedButRun+v.TokensRepeated+v.TokensLost+v.TokensOutOfOrder+v.MixedGenerations+
		v.CrossedAnswers+v.NonIdempotentRunTwice+v.WorkAfterLeaving+v.CutOffByPlannedStops+v.Unanswered == 0 &&
		v.ConfigurationVerdict.clean()
}

// Judge compares what the callers received with what the targets ran.
func Judge(history History) Verdict {
	o := &oracle{verdict: Verdict{Errors: map[string]int{}}, faults: history.Faults}
	o.index(history.Journal)
	for _, record := range history.Records {
		o.judgeRuns(record)
		for _, answer := range record.Answers {
			o.judgeAnswer(record.Request, answer)
			if !isInformedCopy(record, answer) {
				o.judgePlannedStops(record.Request, answer)
			}
		}
	}
	o.judgeLeaving(history.Journal)
	o.judgeConfiguration(history)
	return o.verdict
}

type oracle struct {
	verdict Verdict
	faults  []Fault
	// started holds the runs by the callers' tag, owner the tag by attempt id, engine the
	// target by attempt id.
	started map[string][]journal.Entry
	owner   map[string]string
	target  map[string]string
}

// index sorts the journal's entries by tag and attempt. A retried call to a plain service may
// carry no attempt id, so that only runs are counted for it.
func (o *oracle) index(entries []journal.Entry) {
	o.started = make(map[string][]journal.Entry)
	o.owner = make(map[string]string)
	o.target = make(map[string]string)
	for _, entry := range entries {
		tag := tagOf(entry.Head)
		if entry.Event == journal.EventStarted {
			o.started[tag] = append(o.started[tag], entry)
		}
		if entry.Event == journal.EventTaken {
			o.owner[entry.AttemptID] = tag
			o.target[entry.AttemptID] = entry.Target
		}
	}
}

// tagOf returns the caller's tag in a prompt or body, see load.Request.
func tagOf(text string) string {
	_, rest, found := strings.Cut(text, "tag=")
	if !found {
		return ""
	}
	tag, _, _ := strings.Cut(rest, " ")
	return "tag=" + tag
}

func (o *oracle) violate(count *int, by int, format string, args ...any) {
	*count += by
	if len(o.verdict.Examples) < maxExamples {
		o.verdict.Examples = append(o.verdict.Examples, fmt.Sprintf(format, args...))
	}
}

// judgeRuns checks that a request that is not idempotent ran at most once, whoever repeated it.
func (o *oracle) judgeRuns(record load.Record) {
	runs := o.started[record.Request.Tag]
	if !record.Request.NonIdempotent || len(runs) < 2 {
		return
	}
	o.violate(&o.verdict.NonIdempotentRunTwice, 1, "%s ran %d times: %s", record.Request.Tag, len(runs), describeRuns(runs))
}

func describeRuns(runs []journal.Entry) string {
	var parts []string
	for _, run := range runs {
		parts = append(parts, fmt.Sprintf("request %s attempt %s at %s %s",
			run.RequestID, run.AttemptID, run.Target, run.At().Format(clockFormat)))
	}
	return strings.Join(parts, "; ")
}

// clockFormat is the time of day in examples.
const clockFormat = "15:04:05.000"

func (o *oracle) judgeAnswer(request load.Request, answer load.Answer) {
	o.verdict.Requests++
	switch {
	case answer.Outcome == load.OutcomeAnswered:
		o.verdict.Answered++
	case answer.Outcome == load.OutcomeLeft:
		o.verdict.Left++
	case answer.NotRun():
		o.verdict.RefusedAsNotRun++
		o.judgeRefusal(request, answer)
	case answer.Outcome == load.OutcomeError:
		o.verdict.Errors[answer.ErrorKind]++
	default:
		o.violate(&o.verdict.Unanswered, 1, "%s %s has no answer: %s", request.Tag, request.Kind, describeTries(answer))
	}
	if request.Kind == load.KindPlain {
		o.judgePlain(request, answer)
	} else {
		o.judgeTokens(request, answer)
	}
}

// shownTries is how many of the newest tries an example describes.
const shownTries = 4

func describeTries(answer load.Answer) string {
	var parts []string
	for _, try := range answer.Tries[max(0, len(answer.Tries)-shownTries):] {
		parts = append(parts, fmt.Sprintf("%s request %s %s-%s resumed=%t %s", try.Entry, try.RequestID,
			try.Started.Format(clockFormat), try.Ended.Format(clockFormat), try.Resumed, try.Break))
	}
	return strings.Join(parts, "; ")
}

// judgeRefusal checks that what was refused as not run did not run. A request that is not
// idempotent is one for all that carry its key; others are told apart by the request id.
func (o *oracle) judgeRefusal(request load.Request, answer load.Answer) {
	if len(answer.Tries) == 0 {
		return
	}
	refused := answer.Tries[len(answer.Tries)-1]
	for _, run := range o.started[request.Tag] {
		same := run.RequestID == refused.RequestID
		earlier := request.NonIdempotent && !answer.OnlyThisCopy() && run.At().Before(refused.Ended)
		if same || earlier {
			o.violate(&o.verdict.RefusedButRun, 1, "%s (%d copies, %d tries of this one) was told %s by %s at %s (%s), but %s",
				request.Tag, request.Copies, len(answer.Tries), answer.ErrorKind, refused.RequestID,
				refused.Ended.Format(clockFormat), answer.Message, describeRuns([]journal.Entry{run}))
			return
		}
	}
}

// judgePlain checks that a plain answer is the echo of its own call.
func (o *oracle) judgePlain(request load.Request, answer load.Answer) {
	if answer.Outcome != load.OutcomeAnswered || tagOf(answer.Text) == request.Tag {
		return
	}
	o.violate(&o.verdict.CrossedAnswers, 1, "%s received %.80q", request.Tag, answer.Text)
}

// judgeLeaving counts the callers' calls that arrived at targets that had been leaving for a
// while. Probes have no tag and are no work.
func (o *oracle) judgeLeaving(entries []journal.Entry) {
	since := make(map[string]time.Time)
	for _, entry := range entries {
		if entry.Event == journal.EventLeaving {
			since[entry.Incarnation] = entry.At()
		}
	}
	for _, entry := range entries {
		left, leaving := since[entry.Incarnation]
		if tagOf(entry.Head) == "" {
			continue
		}
		arrival := entry.Event == journal.EventTaken || entry.Event == journal.EventRefused || isServiceRun(entry, o.owner)
		if leaving && arrival && entry.At().Sub(left) > leavingGrace {
			o.violate(&o.verdict.WorkAfterLeaving, 1, "%s received attempt %s %v after it began to leave",
				entry.Target, entry.AttemptID, entry.At().Sub(left))
		}
	}
}

// isServiceRun reports whether the entry is a call to a plain service, which starts as it arrives.
func isServiceRun(entry journal.Entry, owner map[string]string) bool {
	_, engine := owner[entry.AttemptID]
	return entry.Event == journal.EventStarted && !engine
}
