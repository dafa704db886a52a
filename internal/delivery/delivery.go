// Package delivery writes the answer to one caller. It alone decides what may follow the head of an answer and whether an
// answer ends as complete.
//
// Invariants: an answer has one head; after the head of a stream only events of its run follow, each once and in order; an
// answer ends as complete only if its body was received whole or a stream's end is proved by what targets have sent. Any other
// end breaks the caller's connection, also where the answer has neither a length nor chunks.
package delivery

import (
	"mime"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
	"godwitcart/internal/netconn"
	"godwitcart/internal/upstream"
)

// ErrBegun is the error of an answer that is to begin though its caller has one already.
var ErrBegun = errors.New("the caller already has the head of an answer")

// Head is the status and header of an answer.
type Head struct {
	Status int
	Header http.Header
}

// mediaType returns the type of the body, or "" if none is named.
func (h Head) mediaType() string {
	mediaType, _, _ := mime.ParseMediaType(h.Header.Get("Content-Type"))
	return mediaType
}

// Answer is the answer to one caller. Its methods are called by one goroutine, except HasBegun, LastEvent, CheckHead and MayFollow,
// which may be called by any.
type Answer struct {
	w          http.ResponseWriter
	r          *http.Request
	isComplete bool
	// onBegin is called before the head is sent.
	onBegin func()

	// events is the number of events in this answer.
	events int
	// endedBy is the source that ended in order after the last event, though that proves nothing by itself; nil for none. endedAs
	// is how it ended.
	endedBy *Source
	endedAs upstream.End

	mu sync.Mutex
	// head is the head that the caller has; its status is zero until then. Only the goroutine of the answer writes it.
	head Head
	// lastEvent is the id of the last event that the caller has.
	lastEvent string
	// isConsecutive is set while the ids of the events count up by one. Only the goroutine of the answer writes it.
	isConsecutive bool
}

// New returns the answer to a request. Nothing of it has been sent.
func New(w http.ResponseWriter, r *http.Request) *Answer {
	return &Answer{w: w, r: r, onBegin: func() {}}
}

// OnBegin sets the function that is called before the head is sent.
func (a *Answer) OnBegin(call func()) { a.onBegin = call }

// Resume makes the answer one to a caller that has received the stream up to the event with the given id.
func (a *Answer) Resume(lastEvent string) { a.setLastEvent(lastEvent) }

// HasBegun reports whether the caller has the head of the answer.
func (a *Answer) HasBegun() bool { return a.Status() != 0 }

// Status returns the status of the answer, or zero before its head.
func (a *Answer) Status() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.head.Status
}

// CloseConnection makes the caller's connection end with the answer, unless it has begun.
func (a *Answer) CloseConnection() { a.w.Header().Set("Connection", "close") }

// EndWrites makes a write to the caller that is in progress, and later ones, fail at once. It may be called by any goroutine; the
// connection must be closed afterwards.
func (a *Answer) EndWrites() {
	_ = http.NewResponseController(a.w).SetWriteDeadline(time.Now()) // an error means that the connection is closed already
}

// CanStream reports whether the caller can tell the end of a stream from that of this process. HTTP/1.0 has no chunks.
func (a *Answer) CanStream() bool {
	_, flushes := a.w.(http.Flusher)
	return flushes && a.r.ProtoAtLeast(1, 1)
}

// WriteWhole writes a target's whole answer.
func (a *Answer) WriteWhole(head Head, body upstream.Body) error {
	return a.write(head, body.Parts()...)
}

// WriteError writes an error of this VM.
func (a *Answer) WriteError(failure *apierror.Error) error {
	header := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	if failure.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(failure.RetryAfter.Seconds(), 'f', 3, 64))
	}
	return a.write(Head{Status: failure.Kind.HTTPStatus(), Header: header}, []byte(failure.Message+"; "+failure.Remedy+"\n"))
}

func (a *Answer) write(head Head, parts ...[]byte) error {
	if a.HasBegun() {
		return ErrBegun
	}
	length := 0
	for _, part := range parts {
		length += len(part)
	}
	if a.r.Method != http.MethodHead && hasBody(head.Status) {
		a.w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	a.begin(head)
	for _, part := range parts {
		if _, err := a.w.Write(part); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
			return err
		}
	}
	a.isComplete = true
	return nil
}

// hasBody reports whether answers with the status have a body (RFC 9110, section 6.4.1).
func hasBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

func (a *Answer) begin(head Head) {
	header := a.w.Header()
	for name, values := range head.Header {
		header[name] = values
	}
	a.onBegin()
	a.setHead(head)
	a.w.WriteHeader(head.Status)
}

func (a *Answer) setHead(head Head) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = head
}

// Close must be the last call of the handler. Unless the answer is complete, it breaks the connection off and panics with
// http.ErrAbortHandler, as net/http asks of a handler that gives up.
func (a *Answer) Close() {
	if a.isComplete {
		return
	}
	if !a.r.ProtoAtLeast(1, 1) {
		a.reset()
	}
	panic(http.ErrAbortHandler)
}

// reset makes the end of the connection one that no caller takes for the end of an answer without a length.
func (a *Answer) reset() {
	conn, _, err := http.NewResponseController(a.w).Hijack()
	if err != nil {
		return
	}
	if tcp := netconn.TCP(conn); tcp != nil {
		_ = tcp.SetLinger(0) // an error means that it is closed already
	}
	_ = conn.Close()
}

// LastEvent returns the id of the last event that the caller has.
func (a *Answer) LastEvent() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastEvent
}

func (a *Answer) setLastEvent(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastEvent = id
}

func (a *Answer) setConsecutive(isConsecutive bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isConsecutive = isConsecutive
}

// MayFollow reports whether an event with the id may come next from a target that is to continue the stream: there is no gap before
// it. An id that the caller has already is one that such a target repeats.
func (a *Answer) MayFollow(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	last, isLastNumber := number(a.lastEvent)
	next, isNumber := number(id)
	return !isLastNumber || isNumber && (next <= last+1 || !a.isConsecutive)
}

// recordEvent records that the caller has received the event.
func (a *Answer) recordEvent(id string) {
	last, hasLast := number(a.lastEvent)
	next, isNumber := number(id)
	isFirst := a.events == 0 && !hasLast
	a.setConsecutive(isNumber && (isFirst && next <= 1 || next == last+1 && (a.isConsecutive || a.events == 0)))
	a.events++
	a.endedBy = nil
	if id != "" {
		a.setLastEvent(id)
	}
}

// send passes bytes of a stream on, after its head.
func (a *Answer) send(head Head, raw []byte) error {
	if !a.HasBegun() {
		a.begin(head)
	}
	if _, err := a.w.Write(raw); err != nil {
		return errors.Wrap(err, "write on the caller's connection")
	}
	a.w.(http.Flusher).Flush()
	return nil
}
