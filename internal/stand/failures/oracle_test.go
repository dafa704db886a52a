package failures

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/stand/journal"
	"godwitcart/internal/stand/load"
)

var start = time.Date(2026, 12, 3, 6, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

const testTokens = 4

// cleanHistory is a run without violations: a non-idempotent streamed generation that was resumed, a plain call, and a
// refused request.
func cleanHistory() *History {
	stream := load.Request{Tag: "tag=1-1", Kind: load.KindStream, Tokens: testTokens, NonIdempotent: true}
	plain := load.Request{Tag: "tag=1-2", Kind: load.KindPlain}
	refused := load.Request{Tag: "tag=1-3", Kind: load.KindWhole, Tokens: testTokens}
	return &History{
		Records: []load.Record{
			{Request: stream, Answers: []load.Answer{{
				Outcome: load.OutcomeAnswered, Text: text("a1", 0, 1, 2, 3), Started: at(0), Ended: at(2),
				Tries: []load.Try{
					{Entry: "e1", RequestID: "r1", Started: at(0), Ended: at(1), HandedOver: true},
					{Entry: "e2", RequestID: "r1", Started: at(1), Ended: at(2), Resumed: true},
				},
			}}},
			{Request: plain, Answers: []load.Answer{{
				Outcome: load.OutcomeAnswered, Text: "tag=1-2 len=4 ", Started: at(0), Ended: at(2),
				Tries: []load.Try{{Entry: "e1", RequestID: "r2", Started: at(0), Ended: at(2)}},
			}}},
			{Request: refused, Answers: []load.Answer{{
				Outcome: load.OutcomeError, ErrorKind: "not_run", Started: at(0), Ended: at(2),
				Tries: []load.Try{{Entry: "e1", RequestID: "r3", Started: at(0), Ended: at(2)}},
			}}},
		},
		Journal: []journal.Entry{
			entry(journal.EventAccepted, "r1", "a1", "tag=1-1", 0.1),
			entry(journal.EventStarted, "r1", "a1", "tag=1-1", 0.2),
			entry(journal.EventStarted, "r2", "a2", "tag=1-2", 0.2),
			entry(journal.EventLeaving, "", "", "", 3),
			entry(journal.EventRefused, "r3", "a3", "tag=1-3", 4),
		},
		Faults: []Fault{{Kind: StopEntry, Subject: "entry-1", Entry: "e1", From: at(0), To: at(3)}},
	}
}

func entry(event journal.Event, request, attempt, tag string, seconds float64) journal.Entry {
	return journal.Entry{
		Event: event, Target: "engine-1", Incarnation: "i1", UnixNanos: at(seconds).UnixNano(),
		RequestID: request, AttemptID: attempt, Head: tag + " len=4 ",
	}
}

func text(attempt string, indexes ...int) string {
	var b strings.Builder
	for _, index := range indexes {
		b.WriteString(attempt + ":" + strconv.Itoa(index) + " ")
	}
	return b.String()
}

func TestCleanHistory(t *testing.T) {
	verdict := Check(*cleanHistory())
	require.True(t, verdict.Clean(), verdict.Examples)
	require.Equal(t, 3, verdict.Requests)
	require.Equal(t, 2, verdict.Answered)
	require.Equal(t, 1, verdict.RefusedAsNotRun)
}

// TestEachViolationIsCounted adds one violation at a time to a clean history and expects exactly that count.
func TestEachViolationIsCounted(t *testing.T) {
	stream := func(h *History) *load.Answer { return &h.Records[0].Answers[0] }
	plain := func(h *History) *load.Answer { return &h.Records[1].Answers[0] }
	run := func(h *History, request, attempt, tag string, seconds float64) {
		h.Journal = append(h.Journal, entry(journal.EventAccepted, request, attempt, tag, seconds),
			entry(journal.EventStarted, request, attempt, tag, seconds))
	}
	cases := map[string]struct {
		inject func(*History)
		want   Verdict
	}{
		"refused but run": {
			func(h *History) { run(h, "r3", "a3", "tag=1-3", 1) }, Verdict{RefusedButRun: 1},
		},
		"refused but run by an earlier try": {
			func(h *History) { h.Records[2].Request.NonIdempotent = true; run(h, "r0", "a3", "tag=1-3", 1) },
			Verdict{RefusedButRun: 1},
		},
		"refused but run, error covers only this copy": {
			func(h *History) {
				h.Records[2].Answers[0].ErrorKind = "unavailable"
				h.Records[2].Answers[0].Message = "this copy of the request did not run, and whether another did is not known"
				run(h, "r3", "a3", "tag=1-3", 1)
			},
			Verdict{RefusedButRun: 1},
		},
		"token repeated": {
			func(h *History) { stream(h).Text = text("a1", 0, 1, 1, 2, 3) }, Verdict{TokensRepeated: 1},
		},
		"token lost in the middle": {
			func(h *History) { stream(h).Text = text("a1", 0, 3) }, Verdict{TokensLost: 2},
		},
		"token lost at the end": {
			func(h *History) { stream(h).Text = text("a1", 0, 1, 2) }, Verdict{TokensLost: 1},
		},
		"token lost before an error": {
			func(h *History) {
				*stream(h) = load.Answer{Outcome: load.OutcomeError, ErrorKind: "canceled", Text: text("a1", 1, 2)}
			},
			Verdict{TokensLost: 1},
		},
		"all tokens lost": {
			func(h *History) { stream(h).Text = "" }, Verdict{TokensLost: 4},
		},
		"tokens out of order": {
			func(h *History) { stream(h).Text = text("a1", 0, 2, 1, 3) }, Verdict{TokensOutOfOrder: 1},
		},
		"two generations": {
			func(h *History) { stream(h).Text = text("a1", 0, 1) + text("a9", 2, 3) }, Verdict{MixedGenerations: 1},
		},
		"text that is no engine output": {
			func(h *History) { stream(h).Text = text("a1", 0, 1, 2, 3) + "flour" }, Verdict{MixedGenerations: 1},
		},
		"another request's generation": {
			func(h *History) {
				run(h, "r9", "a9", "tag=1-9", 1)
				stream(h).Text = text("a9", 0, 1, 2, 3)
			},
			Verdict{CrossedAnswers: 1},
		},
		"another call's echo": {
			func(h *History) { plain(h).Text = "tag=1-9 len=4 " }, Verdict{CrossedAnswers: 1},
		},
		"run twice": {
			func(h *History) { run(h, "r8", "a8", "tag=1-1", 1) }, Verdict{NonIdempotentRunTwice: 1},
		},
		"work after leaving": {
			func(h *History) { run(h, "r8", "a8", "tag=1-8", 6.1) }, Verdict{WorkAfterLeaving: 1},
		},
		"plain work after leaving": {
			func(h *History) {
				h.Journal = append(h.Journal, entry(journal.EventStarted, "r8", "a8", "tag=1-8", 6.1))
			},
			Verdict{WorkAfterLeaving: 1},
		},
		"refused work after leaving": {
			func(h *History) {
				h.Journal = append(h.Journal, entry(journal.EventRefused, "r8", "a8", "tag=1-8", 6.1))
			},
			Verdict{WorkAfterLeaving: 1},
		},
		"cut off by a stopping entry VM": {
			func(h *History) { plain(h).Tries[0].Failure = "EOF" }, Verdict{CutOffByPlannedStops: 1},
		},
		"idle timeout that ran from the stop on": {
			func(h *History) {
				h.Faults[0].From = at(0.5)
				try := &plain(h).Tries[0]
				try.Failure, try.GaveUp, try.LastReceived = "silence", true, at(0.6)
			},
			Verdict{CutOffByPlannedStops: 1},
		},
		"cut off by a draining target": {
			func(h *History) {
				h.Faults[0].Kind = DrainTarget
				*plain(h) = load.Answer{
					Outcome: load.OutcomeError, ErrorKind: "outcome_unknown", Started: at(0), Ended: at(2),
					Tries: []load.Try{{Entry: "e1", RequestID: "r2", Started: at(0), Ended: at(2)}},
				}
			},
			Verdict{CutOffByPlannedStops: 1},
		},
		"both copies cut off by a draining target": {
			func(h *History) {
				h.Faults[0].Kind = DrainTarget
				lost := load.Answer{
					Outcome: load.OutcomeError, ErrorKind: "outcome_unknown", Started: at(0), Ended: at(2),
					Tries: []load.Try{{Entry: "e1", RequestID: "r2", Started: at(0), Ended: at(2)}},
				}
				h.Records[1].Answers = []load.Answer{lost, lost}
			},
			Verdict{CutOffByPlannedStops: 2},
		},
		"a copy's exchange broken by a stopping entry VM": {
			func(h *History) {
				broken := load.Answer{
					Outcome: load.OutcomeError, ErrorKind: "conflict", Started: at(0), Ended: at(2),
					Tries: []load.Try{
						{Entry: "e1", RequestID: "r2", Started: at(0), Ended: at(1), Failure: "EOF"},
						{Entry: "e2", RequestID: "r2", Started: at(1), Ended: at(2)},
					},
				}
				h.Records[1].Answers = append(h.Records[1].Answers, broken)
			},
			Verdict{CutOffByPlannedStops: 1},
		},
		"unanswered": {
			func(h *History) { *plain(h) = load.Answer{Outcome: load.OutcomeNone} }, Verdict{Unanswered: 1},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			history := cleanHistory()
			c.inject(history)
			got := Check(*history)
			require.False(t, got.Clean())
			require.NotEmpty(t, got.Examples)
			got.Requests, got.Answered, got.RefusedAsNotRun, got.Errors, got.Examples = 0, 0, 0, nil, nil
			require.Equal(t, c.want, got)
		})
	}
}

func TestNonViolationsAreNotCounted(t *testing.T) {
	cases := map[string]func(*History){
		"a failed dial": func(h *History) {
			h.Records[1].Answers[0].Tries[0].Failure = "dial tcp: connection refused"
			h.Records[1].Answers[0].Tries[0].NotSent = true
		},
		"an idle timeout that ran from before the stop": func(h *History) {
			h.Faults[0].From = at(0.5)
			try := &h.Records[1].Answers[0].Tries[0]
			try.Failure, try.GaveUp, try.LastReceived = "silence", true, at(0.4)
		},
		"a refusal that covers only one copy": func(h *History) {
			h.Records[2].Request.NonIdempotent = true
			h.Records[2].Answers[0].ErrorKind = "unavailable"
			h.Records[2].Answers[0].Message = "this copy of the request did not run, and whether another did is not known"
			h.Journal = append(h.Journal, entry(journal.EventStarted, "r0", "a3", "tag=1-3", 1))
		},
		"a failed copy of an answered request": func(h *History) {
			copies := &h.Records[1].Answers
			*copies = append(*copies, load.Answer{
				Outcome: load.OutcomeError, ErrorKind: "outcome_unknown", Started: at(0), Ended: at(1),
				Tries: []load.Try{{Entry: "e1", RequestID: "r5", Started: at(0), Ended: at(1)}},
			})
		},
		"an unplanned fault at the same time": func(h *History) {
			h.Records[1].Answers[0].Tries[0].Failure = "EOF"
			h.Faults = append(h.Faults, Fault{Kind: KillEntry, From: at(1), To: at(1.5)})
		},
		"work shortly after leaving": func(h *History) {
			h.Journal = append(h.Journal, entry(journal.EventAccepted, "r8", "a8", "tag=1-8", 5.9))
		},
		"an attempt that was taken but never started": func(h *History) {
			h.Journal = append(h.Journal, entry(journal.EventAccepted, "r3", "a3", "tag=1-3", 1))
		},
	}
	for name, inject := range cases {
		t.Run(name, func(t *testing.T) {
			history := cleanHistory()
			inject(history)
			verdict := Check(*history)
			require.True(t, verdict.Clean(), verdict.Examples)
		})
	}
}
