package forward

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/eventstream"
	"godwitcart/internal/membudget"
)

const (
	// slowCallerTime is how long a caller may take for an event until the next ones are read meanwhile.
	slowCallerTime = 100 * time.Millisecond
	// maxAheadBytes bounds the events of one stream that are read and wait for the caller. It holds a long generation whole; the
	// memory of all of them is bounded by the budget for answers.
	maxAheadBytes = 1 << 20
)

// closedUnread is why the connection to an engine is closed whose answer is not read to its end, for the log.
const closedUnread = "the stream has ended"

var errNotRead = errors.New("the answer is not read any more")

// arrival is an event of an answer. The VM has waited for it since awaitedSince. isSpare tells on which holding it is while it waits for
// the caller.
type arrival struct {
	event        eventstream.Event
	awaitedSince time.Time
	waited       time.Duration
	isSpare      bool
}

// reading reads the events of one answer for the relay. Once a caller takes an event slowly, the following ones are read ahead: the
// engine is not held up, its place becomes free with the end of its answer, and it does not cut the answer off as unread.
//
// Invariant: events is used by the relay until ahead is set, and by the goroutine of ahead from then on.
type reading struct {
	response *answer
	events   *eventstream.Reader
	// first was read before the relay began; nil for none.
	first *arrival
	// ended is called before the end of an answer that is read ahead is passed on.
	ended func(error)

	mu sync.Mutex
	// isSending is set while the caller takes an event, and timer ends slowCallerTime.
	isSending, isClosed bool
	timer               *time.Timer
	ahead               *readAhead
}

func newReading(response *answer) *reading {
	return &reading{response: response, events: eventstream.NewReader(response, response), ended: func(error) {}}
}

// next returns the next event, which is valid until the next call.
func (r *reading) next() (arrival, error) {
	if first := r.first; first != nil {
		r.first = nil
		return *first, nil
	}
	r.mu.Lock()
	ahead := r.ahead
	r.mu.Unlock()
	if ahead != nil {
		return ahead.pop()
	}
	return r.read()
}

func (r *reading) read() (arrival, error) {
	since := time.Now()
	event, err := r.events.Next()
	return arrival{event: event, awaitedSince: since, waited: time.Since(since)}, err
}

// during calls pass, which passes the last event on to the caller. If that takes long, reading ahead begins.
func (r *reading) during(pass func() error) error {
	r.setSending(true)
	defer r.setSending(false)
	return pass()
}

func (r *reading) setSending(isSending bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isSending = isSending
	switch {
	case r.ahead != nil:
	case !isSending:
		r.timer.Stop()
	case r.timer == nil:
		r.timer = time.AfterFunc(slowCallerTime, r.beginAhead)
	default:
		r.timer.Reset(slowCallerTime)
	}
}

func (r *reading) beginAhead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isSending || r.isClosed || r.ahead != nil {
		return
	}
	r.events.Detach() // the caller still takes the last event
	r.ahead = newReadAhead(r.response)
	go r.readAhead(r.ahead)
}

func (r *reading) readAhead(ahead *readAhead) {
	for {
		got, err := r.read()
		if err == nil {
			got.event.Raw = bytes.Clone(got.event.Raw)
			err = ahead.push(got)
		}
		if err != nil {
			r.ended(err)
			ahead.end(err)
			return
		}
	}
}

// forget drops the events that wait for the caller, unless the answer was read to its stated end: where the generation continues
// elsewhere, the next target sends them again, and the memory from which it does may lapse before the caller has taken them.
func (r *reading) forget() {
	r.mu.Lock()
	ahead := r.ahead
	r.mu.Unlock()
	if ahead != nil {
		ahead.forget()
	}
}

// close ends the reading. An answer that is still read ahead is given up.
func (r *reading) close() {
	r.mu.Lock()
	r.isClosed = true
	ahead := r.ahead
	r.mu.Unlock()
	if ahead != nil {
		ahead.stop(func() { r.response.CloseConnection(closedUnread) })
	}
	r.events.Close()
}

// readAhead holds events that wait for a slow caller. They are on a holding of their own, so that memory which is spare now does not make
// the stream one that gives way later; the one event that would be held without reading ahead is on that of the answer.
type readAhead struct {
	response *answer
	spare    *membudget.Holding
	// over is closed when the answer is not read any more.
	over chan struct{}

	mu      sync.Mutex
	changed *sync.Cond
	waiting []arrival
	// taken is the event that was taken last, and held the size of that and of the waiting ones.
	taken     arrival
	held      int
	isStopped bool
	// err is how the answer has ended; nil while it is read.
	err error
}

func newReadAhead(response *answer) *readAhead {
	a := &readAhead{response: response, spare: response.SpareHolding(), over: make(chan struct{})}
	a.changed = sync.NewCond(&a.mu)
	return a
}

// push adds an event, once there is room for it. One event has room as it has without reading ahead.
func (a *readAhead) push(got arrival) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	size := len(got.event.Raw)
	for !a.isStopped {
		if a.held+size <= maxAheadBytes && a.spare.GrowIfSpare(int64(size)) {
			got.isSpare = true
			break
		}
		if a.held == 0 {
			break
		}
		a.changed.Wait()
	}
	if a.isStopped {
		return errNotRead
	}
	if !got.isSpare {
		if err := a.response.Grow(size); err != nil {
			return err
		}
	}
	a.held += size
	a.waiting = append(a.waiting, got)
	a.changed.Broadcast()
	return nil
}

// pop takes the next event, or returns how the answer has ended after the last one.
func (a *readAhead) pop() (arrival, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.release(a.taken)
	a.taken = arrival{}
	for len(a.waiting) == 0 && a.err == nil {
		a.changed.Wait()
	}
	if len(a.waiting) == 0 {
		return arrival{}, a.err
	}
	next := a.waiting[0]
	a.waiting[0] = arrival{}
	a.waiting = a.waiting[1:]
	a.taken = next
	return next, nil
}

// release requires mu.
func (a *readAhead) release(got arrival) {
	size := len(got.event.Raw)
	if got.isSpare {
		a.spare.Shrink(int64(size))
	} else {
		a.response.Shrink(size)
	}
	a.held -= size
	a.changed.Broadcast()
}

// releaseWaiting requires mu.
func (a *readAhead) releaseWaiting() {
	for _, got := range a.waiting {
		a.release(got)
	}
	a.waiting = nil
}

func (a *readAhead) forget() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.err == io.EOF && a.response.End().IsStated() {
		return
	}
	a.isStopped = true
	a.releaseWaiting()
}

func (a *readAhead) end(err error) {
	a.mu.Lock()
	a.err = err
	a.changed.Broadcast()
	a.mu.Unlock()
	close(a.over)
}

// stop ends the reading, by abort if the answer has not ended, and forgets the events that wait.
func (a *readAhead) stop(abort func()) {
	a.mu.Lock()
	a.isStopped = true
	hasEnded := a.err != nil
	a.changed.Broadcast()
	a.mu.Unlock()
	if !hasEnded {
		abort()
	}
	<-a.over
	a.mu.Lock()
	defer a.mu.Unlock()
	a.releaseWaiting()
	a.release(a.taken)
	a.taken = arrival{}
	a.spare.Release()
}
