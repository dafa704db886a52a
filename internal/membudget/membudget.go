// Package membudget bounds the bytes that a process holds for others and has not passed on yet: bodies of requests, and
// heads, events and bodies of answers.
//
// Invariants: what all requests and answers hold together stays within the limit, apart from a few KiB that each may always
// hold. When an answer needs more than is left, the one that holds most is given up. Requests are admitted or refused as a
// whole, and never given up: their callers have been promised an answer.
package membudget

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// FreeBytes is what each holding may have whatever the others hold: enough for a usual event or answer.
	FreeBytes = 16 << 10
	// DefaultLimit applies where no memory limit is set, in bytes.
	DefaultLimit = 64 << 20
	// settleTime bounds the wait for an answer that was given up. Its reader ends when its connection is closed, unless its
	// caller does not take the bytes.
	settleTime = 100 * time.Millisecond
	// requestShare is the part of the limit that requests may hold. The rest is left for answers, without which the
	// requests would not end.
	requestShare = 0.75
)

// ErrExceeded is the error of a holding that is given up because it holds most while the budget is used up.
var ErrExceeded = errors.New("the answer holds more memory than any other one, and the memory for answers is used up")

// ErrNoRoom is the error of a request for which there is no memory left.
var ErrNoRoom = errors.New("the requests in progress hold all the memory there is for them")

// Budget is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	limit    int64
	requests int64
	answers  int64
	// givenUp is the part of answers that is held by some that were given up and have not released it yet.
	givenUp  int64
	holdings map[*Holding]struct{}
	// released is closed and replaced when memory is released.
	released chan struct{}
}

// New returns a budget of that many bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, holdings: make(map[*Holding]struct{}), released: make(chan struct{})}
}

// SetLimit changes the number of bytes. What is held stays.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// Used returns the number of bytes that are held beyond FreeBytes of each holding.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests + b.answers
}

// Holding is what is held for one request or answer. Its methods may be called by any goroutine.
type Holding struct {
	budget *Budget
	// giveUp is called when an answer is given up for others; nil for a request.
	giveUp func()
	// isPinned is set once the answer is whole, so that it is not given up any more.
	isPinned bool
	held     int64
	// isOver is set once the holding was released or given up.
	isOver, wasGivenUp bool
}

// Answer returns an empty holding for an answer. giveUp is called once if others need its memory; it must not block.
func (b *Budget) Answer(giveUp func()) *Holding { return &Holding{budget: b, giveUp: giveUp} }

// Request returns an empty holding for a request.
func (b *Budget) Request() *Holding { return &Holding{budget: b} }

// Grow adds bytes to the holding. The error is ErrNoRoom for a request and ErrExceeded for an answer; nothing is added then. It
// waits, for up to settleTime, until answers that are given up for it have released what they hold.
func (h *Holding) Grow(bytes int64) error {
	for end := time.Now().Add(settleTime); ; {
		giveUp, released, err := h.tryGrow(bytes, time.Now().After(end))
		if giveUp != nil {
			giveUp.giveUp()
			continue
		}
		if released == nil {
			return err
		}
		select {
		case <-released:
		case <-time.After(time.Until(end)):
		}
	}
}

// tryGrow is one try of Grow. It returns an answer that is to be given up first, or a channel that is closed when memory has been
// released, if that is to be awaited. With force, it does not wait for answers that have been given up.
func (h *Holding) tryGrow(bytes int64, force bool) (giveUp *Holding, released <-chan struct{}, err error) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	added := charged(h.held+bytes) - charged(h.held)
	switch {
	case h.wasGivenUp:
		return nil, nil, ErrExceeded
	case added <= 0:
	case h.giveUp == nil:
		if float64(b.requests+added) > requestShare*float64(b.limit) || b.requests+b.answers+added > b.limit {
			return nil, nil, ErrNoRoom
		}
	case b.requests+b.answers-b.givenUp+added > b.limit:
		largest := b.largest(h)
		if largest == nil || largest.held <= h.held+bytes {
			return nil, nil, ErrExceeded
		}
		largest.wasGivenUp = true
		b.givenUp += charged(largest.held)
		delete(b.holdings, largest)
		return largest, nil, nil
	case b.requests+b.answers+added > b.limit && !force:
		return nil, b.released, nil
	}
	h.held += bytes
	b.charge(h, added)
	if h.held > FreeBytes && !h.isOver {
		b.holdings[h] = struct{}{}
	}
	return nil, nil, nil
}

// largest returns the answer that holds most, apart from the given one; nil if there is none.
func (b *Budget) largest(apartFrom *Holding) *Holding {
	var largest *Holding
	for h := range b.holdings {
		if h != apartFrom && h.giveUp != nil && !h.isPinned && (largest == nil || h.held > largest.held) {
			largest = h
		}
	}
	return largest
}

// charged returns how much of a holding counts.
func charged(held int64) int64 { return max(0, held-FreeBytes) }

func (b *Budget) charge(h *Holding, bytes int64) {
	if h.giveUp == nil {
		b.requests += bytes
	} else {
		b.answers += bytes
	}
}

// Shrink takes bytes off the holding.
func (h *Holding) Shrink(bytes int64) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.isOver {
		return
	}
	h.shrink(min(bytes, h.held))
}

// shrink requires the lock.
func (h *Holding) shrink(bytes int64) {
	b := h.budget
	freed := charged(h.held) - charged(h.held-bytes)
	b.charge(h, -freed)
	if h.wasGivenUp {
		b.givenUp -= freed
	}
	h.held -= bytes
	if freed > 0 {
		close(b.released)
		b.released = make(chan struct{})
	}
}

// Pin keeps an answer from being given up.
func (h *Holding) Pin() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.isPinned = true
}

// Release ends the holding. Later calls have no effect.
func (h *Holding) Release() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.end()
}

// end requires the lock.
func (h *Holding) end() {
	if h.isOver {
		return
	}
	h.shrink(h.held)
	h.isOver = true
	delete(h.budget.holdings, h)
}
