package entry_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

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
			if route == "resumable" { // the other one is not continued: its engine says that the run has ended
				require.NotZero(t, runs.continued.Load())
			}
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

// TestStreamStoppedForItsLastCopyIsNoWordOnItsEnd guards against a stream that looks whole since its engine, which stopped it for a last copy that was
// lost, counts as a witness that nothing follows, and its backup sends nothing.
func TestStreamStoppedForItsLastCopyIsNoWordOnItsEnd(t *testing.T) {
	d := newDeployment(t)
	source, stop := make(chan string, 1), make(chan struct{})
	var resumed atomic.Int64
	for _, id := range []string{"e1", "e2"} {
		d.wrappedTarget(id, "drafter", func(w http.ResponseWriter, r *http.Request) bool {
			switch {
			case r.URL.Path == "/v1/kv-move":
				body, _ := io.ReadAll(r.Body)
				if !strings.Contains(string(body), `"last":true`) {
					return false
				}
				close(stop)
				time.Sleep(20 * time.Millisecond)
				panic(http.ErrAbortHandler)
			case r.Header.Get("X-Token-Usage") == "":
				return false
			case r.Header.Get("Kv-From") == "":
				s := startRawStream(w, r, unframed, 0)
				s.write(eventTexts(1, breakAfter))
				source <- id
				<-stop
				s.conn.Close()
			case resumed.Add(1) <= 2:
				w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
				respondNotRun(w) // the stream is then copied
			default:
				emptyStream(inChunks)(w, r)
			}
			return true
		}, `{"transfer_handle":"h","created":6}`)
	}
	d.configure("key-1")
	v := d.start("vm-1", nil)
	response, err := v.client.Do(v.generation("/letters/1", endedEvents, 1))
	require.NoError(t, err)
	defer response.Body.Close()
	require.True(t, d.MarkLeaving(<-source))
	body, err := io.ReadAll(response.Body)
	require.Equal(t, eventTexts(1, breakAfter), string(body))
	require.Error(t, err, "the stream ends as complete in the middle")
}

// TestStreamCountedFromZeroSkipsEvents guards against a gap that is not noticed where the numbers of events begin at zero.
func TestStreamCountedFromZeroSkipsEvents(t *testing.T) {
	runs := &brokenRuns{}
	runs.began.Store(true)
	runs.next = func(w http.ResponseWriter, r *http.Request) {
		if runs.continued.Load() > 1 {
			rawEvents(eventTexts(breakAfter+3, endedEvents))(w, r)
			return
		}
		s := startRawStream(w, r, inChunks, 0)
		s.write(eventTexts(0, breakAfter))
		s.conn.Close()
	}
	v := startBrokenRuns(t, runs)
	got := v.receive(v.generation("/checks/1", endedEvents, 1))
	require.Equal(t, eventTexts(0, breakAfter), got.body)
	require.Error(t, got.err, "the stream ends as complete after a gap")
}

// TestCommentsBecomeAnEvent guards against an event that no run has made: the rest of a comment, where more come than are held before the first event.
func TestCommentsBecomeAnEvent(t *testing.T) {
	comments := ":" + strings.Repeat("x", 40) + "\n\n:" + strings.Repeat("data: x", 10_000) + "\n\n"
	runs := &brokenRuns{next: rawEvents(comments + eventTexts(1, endedEvents))}
	runs.began.Store(true)
	v := startBrokenRuns(t, runs)
	got := v.receive(v.generation("/checks/1", endedEvents, 1))
	require.NoError(t, got.err)
	require.Equal(t, eventTexts(1, endedEvents), got.body)
}

// TestEndOfAWholeStreamWaitsForATakeover guards against a caller that gives up a whole stream, whose end is held back until a backup answers that was
// asked during a silence of the engine.
func TestEndOfAWholeStreamWaitsForATakeover(t *testing.T) {
	const events = 30
	asked := make(chan struct{})
	d := newDeployment(t)
	for _, id := range []string{"e1", "e2"} {
		d.target(id, "drafter").SetOverride(func(w http.ResponseWriter, r *http.Request) bool {
			if r.Header.Get("Kv-From") != "" {
				close(asked)
				<-r.Context().Done() // it never answers
				return true
			}
			s := startRawStream(w, r, inChunks, 0)
			for number := 1; number <= events; number++ {
				s.write(eventText(number))
				time.Sleep(20 * time.Millisecond)
			}
			<-asked
			s.end()
			return true
		})
	}
	d.configure("key-1")
	v := d.start("vm-1", nil)
	v.client.Timeout = 5 * time.Second // less than the time that the request has
	got := v.receive(v.generation("/letters/1", events, 1))
	require.NoError(t, got.err)
	require.Equal(t, eventTexts(1, events), got.body)
}
