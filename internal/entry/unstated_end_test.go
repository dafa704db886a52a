package entry_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

// TestSoundStreamsWithoutALengthCountAsCrashes guards against a request that is blocked as one under which targets crash, since the targets that
// were asked for more after its end had nothing to send.
func TestSoundStreamsWithoutALengthCountAsCrashes(t *testing.T) {
	d := newDeployment(t)
	for _, id := range []string{"e1", "e2", "e3"} {
		d.target(id, "drafter").SetOverride(func(w http.ResponseWriter, r *http.Request) bool {
			after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			s := startRawStream(w, r, unframed, 0)
			s.write(eventTexts(after+1, endedEvents))
			s.end()
			return true
		})
	}
	d.configure("key-1")
	v := d.start("vm-1", nil)
	crashes := metrics.GetOrRegisterCounter("poison.crashes", metrics.DefaultRegistry)
	before := crashes.Count()
	got := v.receive(v.generation("/checks/1", endedEvents, 1))
	require.Equal(t, eventTexts(1, endedEvents), got.body)
	require.Equal(t, before, crashes.Count(), "sound targets count as crashed")
}

// TestResumedStreamEndsAsCompleteThoughItsAnswerWasDropped guards against an empty success for a caller that resumes, whose target answered with
// something that cannot follow its last event.
func TestResumedStreamEndsAsCompleteThoughItsAnswerWasDropped(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"an error page as 200": plainAnswer(http.StatusOK, "text/html", "<h1>overloaded</h1>\n\n"),
		"an event of JSON":     plainAnswer(http.StatusOK, "application/json", "{\"error\":\"lost\"}\n\n"),
		"no events, only text": rawEvents("the run is lost\n\n"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runs := &brokenRuns{next: answer}
			runs.began.Store(true)
			v := startBrokenRuns(t, runs)
			request := v.generation("/checks/1", endedEvents, 1)
			request.Header.Set("Last-Event-Id", strconv.Itoa(breakAfter))
			got := v.receive(request)
			require.False(t, got.status == http.StatusOK && got.err == nil && got.body == "", "an empty stream looks whole")
		})
	}
}

// TestTextOfTheNextTargetProvesTheEnd guards against a stream that looks whole since its target was killed and the next one answered with a text.
func TestTextOfTheNextTargetProvesTheEnd(t *testing.T) {
	for route, path := range streamRoutes {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			runs := &brokenRuns{framing: unframed, closing: closings["closes"], sent: breakAfter, next: rawEvents("the run is lost\n\n")}
			v := startBrokenRuns(t, runs)
			got := v.receive(v.generation(path, endedEvents, 1))
			require.Equal(t, eventTexts(1, breakAfter), got.body)
			require.NotZero(t, runs.continued.Load())
			require.Error(t, got.err, "the stream ends as complete in the middle")
		})
	}
}

// TestWholeAnswerWithoutEventsLooksBroken guards against a success without events that its target states to be whole and its caller gets as broken.
func TestWholeAnswerWithoutEventsLooksBroken(t *testing.T) {
	for route, path := range streamRoutes {
		for name, answer := range map[string]http.HandlerFunc{
			"length": emptyStream(withLength), "chunks": emptyStream(inChunks), "204": plainAnswer(http.StatusNoContent, "text/event-stream", ""),
		} {
			t.Run(strings.Join([]string{route, name}, "/"), func(t *testing.T) {
				t.Parallel()
				runs := &brokenRuns{next: answer}
				runs.began.Store(true)
				v := startBrokenRuns(t, runs)
				got := v.receive(v.generation(path, endedEvents, 1))
				require.NoError(t, got.err)
				require.Equal(t, 2, got.status/100, "status %d: %s", got.status, got.body)
				require.EqualValues(t, 1, runs.continued.Load())
			})
		}
	}
}
