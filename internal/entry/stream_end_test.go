package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// framing is how the answer of a target tells its end.
type framing string

const (
	withLength framing = "length"
	inChunks   framing = "chunks"
	unframed   framing = "neither"
)

var framings = []framing{withLength, inChunks, unframed}

// endedEvents is the number of events of the streams in these tests, of which the first run sends breakAfter.
const (
	endedEvents = 10
	breakAfter  = 6
)

// rawStream is the answer of a target that is written on its connection without the help of net/http.
type rawStream struct {
	conn    net.Conn
	framing framing
}

func eventText(number int) string {
	return fmt.Sprintf("id: %d\ndata: part %d\ndata: version v1\n\n", number, number)
}

func eventTexts(from, to int) string {
	var text strings.Builder
	for number := from; number <= to; number++ {
		text.WriteString(eventText(number))
	}
	return text.String()
}

// rawHead returns the head of an answer of a target; fields are further lines of it.
func rawHead(r *http.Request, status int, fields ...string) string {
	fields = append(fields, "X-Attempt-Id: "+r.Header.Get("X-Attempt-Id"), "X-Response-Stamp: stamp.raw", "Test-Echo: "+r.Header.Get("X-Attempt-Id"))
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s\r\n\r\n", status, http.StatusText(status), strings.Join(fields, "\r\n"))
}

// hijack takes the connection of a request over.
func hijack(w http.ResponseWriter) net.Conn {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	return conn
}

// startRawStream sends the head of a stream whose body will have the given length.
func startRawStream(w http.ResponseWriter, r *http.Request, f framing, length int) *rawStream {
	field := map[framing]string{withLength: "Content-Length: " + strconv.Itoa(length), inChunks: "Transfer-Encoding: chunked", unframed: "Connection: close"}[f]
	s := &rawStream{conn: hijack(w), framing: f}
	fmt.Fprint(s.conn, rawHead(r, http.StatusOK, "Content-Type: text/event-stream", field))
	return s
}

func (s *rawStream) write(text string) {
	if s.framing == inChunks {
		text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	fmt.Fprint(s.conn, text)
}

// end ends the answer as whole.
func (s *rawStream) end() {
	if s.framing == inChunks {
		fmt.Fprint(s.conn, "0\r\n\r\n")
	}
	s.conn.Close()
}

// closings are the ways in which a target ends the connection of an answer that is not whole.
var closings = map[string]func(*rawStream){
	"closes":                 func(s *rawStream) { s.conn.Close() },
	"closes inside an event": func(s *rawStream) { s.write("id: 7\nda"); s.conn.Close() },
	"resets": func(s *rawStream) {
		_ = s.conn.(*net.TCPConn).SetLinger(0)
		s.conn.Close()
	},
}

// brokenRuns is a service whose targets break the first run of each request off and leave the answer of the runs that
// go on from there to next.
type brokenRuns struct {
	framing framing
	closing func(*rawStream)
	next    http.HandlerFunc
	// sent is the number of events of the first run.
	sent int
	// continued counts the runs that go on.
	continued atomic.Int64
	began     atomic.Bool
}

func (b *brokenRuns) serve(w http.ResponseWriter, r *http.Request) bool {
	if r.Header.Get("X-Token-Usage") == "" {
		return false
	}
	if b.began.Swap(true) {
		b.continued.Add(1)
		b.next(w, r)
		return true
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s := startRawStream(w, r, b.framing, len(eventTexts(after+1, endedEvents)))
	for number := after + 1; number <= b.sent; number++ {
		s.write(eventText(number))
		time.Sleep(2 * time.Millisecond)
	}
	b.closing(s)
	return true
}

// continuesWhole answers with the rest of the stream.
func continuesWhole(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	rest := eventTexts(after+1, endedEvents)
	s := startRawStream(w, r, inChunks, len(rest))
	s.write(rest)
	s.end()
}

// startBrokenRuns starts an entry VM before three targets that serve the runs.
func startBrokenRuns(t *testing.T, runs *brokenRuns) *vm {
	t.Helper()
	d := newDeployment(t)
	for _, id := range []string{"e1", "e2", "e3"} {
		d.target(id, "drafter").SetOverride(runs.serve)
	}
	d.configure("key-1")
	return d.start("vm-1", nil)
}

// routes of streams: events of the first are lost with their run, unless its memory is at a backup; those of the second may be
// run again from the last event.
var streamRoutes = map[string]string{"runs once": "/letters/1", "resumable": "/checks/1"}

// received is what a caller has got of a stream.
type received struct {
	status int
	body   string
	// err is how the answer ended; nil for one that looks whole.
	err error
}

func (v *vm) receive(request *http.Request) received {
	v.t.Helper()
	response, err := v.client.Do(request)
	if err != nil {
		return received{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return received{status: response.StatusCode, body: string(body), err: err}
}

// requireWholeOrBroken requires that the caller has received the events after the given one, in order and nothing else, and
// that the answer looks whole only after the last one.
func (got received) requireWholeOrBroken(t *testing.T, after int) {
	t.Helper()
	if got.status != http.StatusOK {
		return
	}
	whole := eventTexts(after+1, endedEvents)
	require.True(t, strings.HasPrefix(whole, got.body), "not the events of the run:\n%s", got.body)
	if got.err == nil {
		require.Equal(t, whole, got.body, "the stream ends as complete in the middle")
	}
}

// TestStreamEndsAsCompleteThoughItsRunBrokeOff guards against a stream that looks whole though the target's connection has ended in the middle.
func TestStreamEndsAsCompleteThoughItsRunBrokeOff(t *testing.T) {
	for route, path := range streamRoutes {
		for _, framing := range framings {
			for closing, end := range closings {
				for caller, after := range map[string]int{"new": 0, "resuming": 3} {
					if after > 0 && route == "runs once" {
						continue
					}
					t.Run(strings.Join([]string{route, string(framing), closing, caller}, "/"), func(t *testing.T) {
						t.Parallel()
						runs := &brokenRuns{framing: framing, closing: end, sent: breakAfter, next: continuesWhole}
						v := startBrokenRuns(t, runs)
						request := v.generation(path, endedEvents, 1)
						if after > 0 {
							request.Header.Set("Last-Event-Id", strconv.Itoa(after))
						}
						got := v.receive(request)
						got.requireWholeOrBroken(t, after)
						require.Equal(t, http.StatusOK, got.status, got.body)
						if route == "runs once" && framing == unframed && closing == "closes" {
							require.Error(t, got.err) // the target lives and says that the run has ended
							require.Zero(t, runs.continued.Load(), "the request may run twice")
							return
						}
						require.NoError(t, got.err, "another target goes on with the stream")
						require.EqualValues(t, 1, runs.continued.Load())
					})
				}
			}
		}
	}
}

// TestStreamWithoutALengthIsLostWithItsEngine guards against a stream that is given up though its engine was killed and a copy of its memory exists.
func TestStreamWithoutALengthIsLostWithItsEngine(t *testing.T) {
	d := newDeployment(t)
	var began atomic.Bool
	for _, id := range []string{"e1", "e2"} {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		target := d.AddVersion(id, listener.Addr().String(), "drafter", zone, "v1")
		server := &http.Server{Handler: target}
		go server.Serve(listener)
		t.Cleanup(func() { server.Close() })
		target.SetOverride(func(w http.ResponseWriter, r *http.Request) bool {
			if began.Swap(true) {
				continuesWhole(w, r)
				return true
			}
			s := startRawStream(w, r, unframed, 0)
			s.write(eventTexts(1, breakAfter))
			server.Close()
			s.conn.Close()
			return true
		})
	}
	d.configure("key-1")
	v := d.start("vm-1", nil)
	got := v.receive(v.generation("/letters/1", endedEvents, 1))
	require.NoError(t, got.err)
	require.Equal(t, eventTexts(1, endedEvents), got.body)
}

// TestStreamEndsAsCompleteThoughItsRunSentNothing guards against a stream that looks whole though its target, here or for a caller that resumes,
// ended the connection before any event.
func TestStreamEndsAsCompleteThoughItsRunSentNothing(t *testing.T) {
	for _, framing := range framings {
		for _, closing := range []string{"closes", "resets"} {
			for caller, after := range map[string]int{"new": 0, "resuming": breakAfter} {
				t.Run(strings.Join([]string{string(framing), closing, caller}, "/"), func(t *testing.T) {
					t.Parallel()
					runs := &brokenRuns{framing: framing, closing: closings[closing], sent: after, next: continuesWhole}
					v := startBrokenRuns(t, runs)
					request := v.generation("/checks/1", endedEvents, 1)
					if after > 0 {
						request.Header.Set("Last-Event-Id", strconv.Itoa(after))
					}
					got := v.receive(request)
					got.requireWholeOrBroken(t, after)
					require.Equal(t, http.StatusOK, got.status, got.body)
					require.NoError(t, got.err)
				})
			}
		}
	}
}

// plainAnswer returns a target that answers with the status, type and body.
func plainAnswer(status int, contentType, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn := hijack(w)
		defer conn.Close()
		fmt.Fprint(conn, rawHead(r, status, "Content-Type: "+contentType, "Content-Length: "+strconv.Itoa(len(body)))+body)
	}
}

// emptyStream returns a target that answers with a stream without events.
func emptyStream(f framing) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) { startRawStream(w, r, f, 0).end() }
}

// rawEvents returns a target that answers with the given text as a stream.
func rawEvents(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s := startRawStream(w, r, inChunks, 0)
		s.write(text)
		s.end()
	}
}

// oddContinuations are answers of a target that is asked to go on with a stream and does not.
func oddContinuations() map[string]http.HandlerFunc {
	odd := map[string]http.HandlerFunc{
		"empty, length":          emptyStream(withLength),
		"empty, chunks":          emptyStream(inChunks),
		"empty, neither":         emptyStream(unframed),
		"an error page as 200":   plainAnswer(http.StatusOK, "text/html", "<h1>overloaded</h1>\n\n"),
		"an event of JSON":       plainAnswer(http.StatusOK, "application/json", "{\"error\":\"lost\"}\n\n"),
		"no events, only text":   rawEvents("the run is lost\n\n"),
		"skips events":           rawEvents(eventTexts(breakAfter+3, endedEvents)),
		"begins anew, ends soon": rawEvents(eventTexts(1, breakAfter-1)),
		"comments":               rawEvents(": still here\n\n"),
		"cut inside its head": func(w http.ResponseWriter, _ *http.Request) {
			conn := hijack(w)
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Le")
			conn.Close()
		},
	}
	for _, status := range []int{201, 204, 206, 302, 304, 400, 404, 408, 409, 413, 421, 429, 500, 502, 503, 504} {
		body := "the run is lost"
		if status == http.StatusNoContent || status == http.StatusNotModified {
			body = ""
		}
		odd[strconv.Itoa(status)] = plainAnswer(status, "text/event-stream", body)
	}
	return odd
}

// TestStreamEndsAsCompleteWithAnErrorOfTheNextTarget guards against an error of the next target in the middle of a stream, and against its end
// being taken for that of the stream.
func TestStreamEndsAsCompleteWithAnErrorOfTheNextTarget(t *testing.T) {
	for route, path := range streamRoutes {
		for _, framing := range []framing{inChunks, unframed} {
			for name, answer := range oddContinuations() {
				t.Run(route+"/"+string(framing)+"/"+name, func(t *testing.T) {
					t.Parallel()
					runs := &brokenRuns{framing: framing, closing: closings["closes"], sent: breakAfter, next: answer}
					v := startBrokenRuns(t, runs)
					got := v.receive(v.generation(path, endedEvents, 1))
					require.Equal(t, http.StatusOK, got.status, got.body)
					require.Equal(t, eventTexts(1, breakAfter), got.body)
					if framing == inChunks || route == "resumable" {
						require.NotZero(t, runs.continued.Load())
					}
					require.Error(t, got.err, "the stream ends as complete in the middle")
				})
			}
		}
	}
}

// TestOddAnswerOfTheNextTargetIsPassedOn guards against a resumable stream with parts of an answer that does not continue it.
func TestOddAnswerOfTheNextTargetIsPassedOn(t *testing.T) {
	for name, answer := range oddContinuations() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runs := &brokenRuns{framing: inChunks, closing: closings["closes"], sent: breakAfter}
			runs.next = func(w http.ResponseWriter, r *http.Request) {
				if runs.continued.Load() == 1 {
					answer(w, r)
					return
				}
				continuesWhole(w, r)
			}
			v := startBrokenRuns(t, runs)
			got := v.receive(v.generation("/checks/1", endedEvents, 1))
			got.requireWholeOrBroken(t, 0)
			require.Equal(t, http.StatusOK, got.status, got.body)
		})
	}
}

// TestSoundStreamWithoutALengthCannotBeResumed guards against a caller that cannot finish a sound stream which nothing frames: it resumes after the last event.
func TestSoundStreamWithoutALengthCannotBeResumed(t *testing.T) {
	runs := &brokenRuns{framing: unframed, closing: (*rawStream).end, sent: endedEvents, next: continuesWhole}
	v := startBrokenRuns(t, runs)
	got := v.receive(v.generation("/checks/1", endedEvents, 1))
	require.Equal(t, eventTexts(1, endedEvents), got.body)
	require.Error(t, got.err)
	request := v.generation("/checks/1", endedEvents, 1)
	request.Header.Set("Last-Event-Id", strconv.Itoa(endedEvents))
	got = v.receive(request)
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status)
	require.Empty(t, got.body)
}

// TestBrokenStreamLooksWholeToAnHTTP10Caller guards against a broken stream that looks whole to a caller whose answers have no chunks.
func TestBrokenStreamLooksWholeToAnHTTP10Caller(t *testing.T) {
	runs := &brokenRuns{framing: inChunks, closing: closings["closes"], sent: breakAfter, next: plainAnswer(http.StatusInternalServerError, "text/plain", "lost")}
	v := startBrokenRuns(t, runs)
	request := v.generation("/letters/1", endedEvents, 1)
	conn, err := net.Dial("tcp4", v.callerAddress)
	require.NoError(t, err)
	defer conn.Close()
	fmt.Fprintf(conn, "POST /letters/1 HTTP/1.0\r\nHost: %s\r\n", request.Host)
	require.NoError(t, request.Header.Write(conn))
	fmt.Fprint(conn, "Content-Length: 6\r\n\r\nprompt")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	if response.StatusCode == http.StatusOK {
		require.Error(t, err, "the stream ends as complete after %q", body)
	}
}
