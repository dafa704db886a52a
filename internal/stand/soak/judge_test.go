package soak

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/platform/platformtest"
)

var start = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// completeCall returns a streaming, non-idempotent call with a complete response.
func completeCall() *call {
	return &call{
		id: "c", kind: "letter", vm: "vm-1", apiKey: key{text: "k", addedAt: at(0)}, nonIdempotent: true, streaming: true,
		sentAt: at(10), endedAt: at(12), deadline: 9 * time.Second, status: http.StatusOK, fromTarget: true, complete: true, events: 5, expectedEvents: 5,
	}
}

var run = platformtest.Run{Target: "t-1", ID: "c", EndedAt: at(12)}

// endedRun is run with its end.
func endedRun(at time.Time) platformtest.Run {
	ended := run
	ended.EndedAt = at
	return ended
}

// overlapping returns a run that ends at the given time and one that goes on elsewhere from second 11 on.
func overlapping(ended time.Time) []platformtest.Run {
	return []platformtest.Run{endedRun(ended), {Target: "t-2", ID: "c", Continued: true, BegunAt: at(11), EndedAt: at(12)}}
}

// TestEachViolationIsDetected checks that each violated guarantee is reported, and that a correct response violates
// none.
func TestEachViolationIsDetected(t *testing.T) {
	reset := errors.New("connection reset")
	cases := map[string]struct {
		change    func(*call)
		runs      []platformtest.Run
		faults    []fault
		guarantee string
	}{
		"complete":              {func(*call) {}, []platformtest.Run{run}, nil, ""},
		"continued":             {func(*call) {}, []platformtest.Run{run, {Target: "t-2", Continued: true}}, nil, ""},
		"ran twice":             {func(*call) {}, []platformtest.Run{run, run}, nil, "ran_twice"},
		"a check runs twice":    {func(c *call) { c.nonIdempotent = false }, []platformtest.Run{run, run}, nil, ""},
		"refused":               {refuse, nil, nil, ""},
		"refused but ran":       {refuse, []platformtest.Run{run}, nil, "not_run_but_ran"},
		"mismatched":            {func(c *call) { c.mismatched = true }, []platformtest.Run{run}, nil, "crossed_answer"},
		"out of order":          {func(c *call) { c.orderError = "event 4 instead of 3" }, []platformtest.Run{run}, nil, "events_out_of_order"},
		"short":                 {func(c *call) { c.events = 4 }, []platformtest.Run{run}, nil, "stream_ends_early"},
		"short, caller left":    {func(c *call) { c.events, c.disconnected = 4, true }, []platformtest.Run{run}, nil, ""},
		"foreign bytes":         {func(c *call) { c.foreign = "<p>busy</p>" }, []platformtest.Run{run}, nil, "foreign_bytes"},
		"plain":                 {plain("POST of t-1"), []platformtest.Run{run}, nil, ""},
		"plain, cut":            {plain("POST of"), []platformtest.Run{run}, nil, "looks_complete"},
		"plain, of no run":      {plain("POST of t-1"), nil, nil, "looks_complete"},
		"refused by 429, ran":   {refuseBy(http.StatusTooManyRequests), []platformtest.Run{run}, nil, "not_run_but_ran"},
		"refused by 408, ran":   {refuseBy(http.StatusRequestTimeout), []platformtest.Run{run}, nil, "not_run_but_ran"},
		"refused by 421, ran":   {refuseBy(http.StatusMisdirectedRequest), []platformtest.Run{run}, nil, "not_run_but_ran"},
		"refused by 408":        {refuseBy(http.StatusRequestTimeout), nil, nil, ""},
		"sound but broken":      {breakWith(reset, 5), []platformtest.Run{unframedRun}, nil, ""},
		"unframed, cut off":     {breakWith(reset, 4), []platformtest.Run{unframedRun}, nil, "answer_lost"},
		"overlap":               {func(*call) {}, overlapping(at(12.5)), nil, "runs_overlap"},
		"short overlap":         {func(*call) {}, overlapping(at(11.8)), nil, ""},
		"overlap, source cut":   {func(*call) {}, overlapping(at(12.5)), []fault{{"target_cut", "t-1", at(10), at(11)}}, ""},
		"runs for nobody":       {func(c *call) { c.disconnected = true }, []platformtest.Run{endedRun(at(14))}, nil, "caller_gone_but_runs"},
		"runs a little longer":  {func(c *call) { c.disconnected = true }, []platformtest.Run{endedRun(at(12.9))}, nil, ""},
		"VM gone":               {func(c *call) { c.disconnected = true }, []platformtest.Run{endedRun(at(14))}, []fault{{"vm_kill", "vm-1", at(11), at(12)}}, ""},
		"long":                  {func(c *call) { c.events = 6 }, []platformtest.Run{run}, nil, "too_many_events"},
		"two versions":          {func(c *call) { c.versions = []string{"v1", "v2"} }, []platformtest.Run{run}, nil, "mixed_versions"},
		"late":                  {func(c *call) { c.endedAt = at(30) }, []platformtest.Run{run}, nil, "unanswered"},
		"late in a freeze":      {func(c *call) { c.endedAt = at(30) }, []platformtest.Run{run}, []fault{{"vm_freeze", "vm-1", at(11), at(20)}}, ""},
		"unexpected status":     {func(c *call) { c.status, c.fromTarget = http.StatusTeapot, false }, nil, nil, "bad_answer"},
		"revoked key":           {func(c *call) { c.apiKey.revoked, c.apiKey.revokedAt = true, at(5) }, []platformtest.Run{run}, nil, "revoked_key_served"},
		"key just revoked":      {func(c *call) { c.apiKey.revoked, c.apiKey.revokedAt = true, at(8) }, []platformtest.Run{run}, nil, ""},
		"valid key denied":      {func(c *call) { c.status, c.fromTarget = http.StatusUnauthorized, false }, nil, nil, "valid_key_denied"},
		"cut off":               {func(c *call) { c.err = reset }, []platformtest.Run{run}, nil, "answer_lost"},
		"cut off, not run":      {func(c *call) { c.err = reset }, nil, nil, ""},
		"cut off by a stop":     {func(c *call) { c.err = reset }, []platformtest.Run{run}, []fault{{"vm_stop", "vm-1", at(9), at(12)}}, "answer_lost"},
		"end of the grace time": {func(c *call) { c.err = reset }, []platformtest.Run{run}, []fault{{"vm_stop", "vm-1", at(6.3), at(12)}}, ""},
		"engine left":           {func(c *call) { c.err = reset }, []platformtest.Run{run}, []fault{{"target_leaves", "t-1", at(9), at(12)}}, ""},
		"another engine left": {func(c *call) { c.err = reset }, []platformtest.Run{run}, []fault{{"target_leaves", "t-2", at(9), at(12)}},
			"answer_lost"},
		"engine leaves late": {func(c *call) { c.err = reset }, []platformtest.Run{run}, []fault{{leavesLate, "t-1" + lateSubject, at(9), at(12)}}, "answer_lost"},
		"engine left too late": {func(c *call) { c.err = reset }, []platformtest.Run{run}, []fault{
			{leavesLate, "t-1" + lateSubject, at(4), at(12)}, {"target_leaves", "t-1", at(11.9), at(12)},
		}, ""},
		"backup hesitates":        {func(c *call) { c.err = reset }, []platformtest.Run{run}, []fault{{backupsHesitate, hesitatesSubject, at(9), at(12)}}, "answer_lost"},
		"engine crowded":          {func(c *call) { c.err = reset }, []platformtest.Run{run}, []fault{{targetCrowded, "t-1" + crowdedSubject, at(9), at(12)}}, "answer_lost"},
		"overlap, source crowded": {func(*call) {}, overlapping(at(12.5)), []fault{{targetCrowded, "t-1" + crowdedSubject, at(10), at(11)}}, ""},
		"overlap, source leaves":  {func(*call) {}, overlapping(at(12.5)), []fault{{leavesLate, "t-1" + lateSubject, at(10), at(11)}}, "runs_overlap"},
		"slow reader cut off":     {func(c *call) { c.err, c.pace = reset, readingPace{bytesPerSecond: minReadRate} }, []platformtest.Run{run}, nil, "answer_lost"},
		"long after a fault":      {func(c *call) { c.err = reset }, []platformtest.Run{run}, []fault{{"target_reset", "t-1", at(1), at(2)}}, "answer_lost"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			h := &harness{options: Options{Slack: 500 * time.Millisecond}, faults: test.faults}
			h.keys.keys = []*key{{text: "k", addedAt: at(0)}}
			call := completeCall()
			test.change(call)
			var want []string
			if test.guarantee != "" {
				want = []string{test.guarantee}
			}
			require.Equal(t, want, h.violatedGuarantees(call, test.runs))
		})
	}
}

// unframedRun has ended with its connection.
var unframedRun = platformtest.Run{Target: "t-1", ID: "c", Framing: platformtest.FramingNone, End: platformtest.EndWhole}

func breakWith(err error, events int) func(*call) {
	return func(c *call) { c.err, c.complete, c.events = err, false, events }
}

func plain(body string) func(*call) {
	return func(c *call) { c.kind, c.streaming, c.body, c.events, c.expectedEvents = "lookup", false, body, 0, 0 }
}

// refuseBy refuses a call by an answer of a target.
func refuseBy(status int) func(*call) {
	return func(c *call) { c.status, c.events = status, 0 }
}

func refuse(c *call) {
	c.status, c.fromTarget, c.events = http.StatusServiceUnavailable, false, 0
}

// TestEndOfCarrierExcusesLostAnswers checks that a stream which ran through another VM may be lost with that one alone, when
// it is killed or frozen.
func TestEndOfCarrierExcusesLostAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		from   string
		faults []fault
		lost   bool
	}{
		"carrier killed":    {"127.0.0.2", []fault{{"vm_kill", "vm-2", at(11), at(12)}}, false},
		"carrier stopped":   {"127.0.0.2", []fault{{"vm_stop", "vm-2", at(11), at(12)}}, true},
		"another VM killed": {"127.0.0.2", []fault{{"vm_kill", "vm-3", at(11), at(12)}}, true},
		"no carrier":        {"127.0.0.1", []fault{{"vm_kill", "vm-2", at(11), at(12)}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := &harness{Deployment: platformtest.NewDeployment(), vms: threeVMs(), faults: c.faults}
			target := h.Add("t-1", "127.0.0.1:1", platformtest.PlainService, "zone")
			request := httptest.NewRequest(http.MethodPost, "/lookup/1", nil)
			platformtest.SetCallerHeaders(request, "c", "key", time.Second)
			request.RemoteAddr = c.from + ":1"
			target.ServeHTTP(httptest.NewRecorder(), request)
			sent := completeCall()
			sent.err = errors.New("connection reset")
			require.Equal(t, c.lost, h.isAnswerLost(sent, []platformtest.Run{run}))
		})
	}
}
