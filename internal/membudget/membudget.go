// Package membudget bounds the bytes that a process holds for others: connections, heads and bodies of clients, and heads,
// events and bodies of answers that are not passed on yet.
//
// Invariants: what all clients and answers hold together stays within the limit, apart from a few KiB that each answer may
// always hold. When a client needs more than is left, the one that holds most, or is furthest behind its least rate, is given
// up, or is refused if it is the one that asks. A client whose request is whole is not given up while it takes its answer. When an
// answer needs more than is left, the answer that holds most is given up. Clients and answers each have a part of the limit that
// the others cannot take.
package membudget

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// FreeBytes is what each answer may hold whatever the others hold: enough for a usual event or answer. Clients pay for it
	// with their requests.
	FreeBytes = 16 << 10
	// DefaultLimit applies where no memory limit is set, in bytes.
	DefaultLimit = 64 << 20
	// settleTime bounds the wait for a client or an answer that was given up. Its reader ends when its connection is closed,
	// unless its caller does not take the bytes.
	settleTime = 100 * time.Millisecond
	// clientShare is the part of the limit that clients may hold. The rest is left for answers, without which the requests
	// would not end. ordinaryShare is the part for clients that hold up to ordinaryBytes each, so that whole requests of the
	// largest size do not keep out all others.
	clientShare   = 0.75
	ordinaryShare = 0.85
	ordinaryBytes = 96 << 10
	// progressTime is how far a client may be behind its least rate and still make progress; a lost packet is sent again within
	// it. Such a client is given up only for one that would hold up to ordinaryBytes and less than a progressShare of it:
	// otherwise clients would take the memory off each other in turn, and none of their requests would become whole.
	progressTime  = time.Second
	progressShare = 0.25
	// paceShare is the part of the limit up to which a client that makes progress takes the memory of any that does not, however
	// little that holds. Many clients that send slowly would otherwise outlast one ordinary request.
	paceShare = 1.0 / 32
	// maxProgressChecks bounds how many clients are asked whether they have made progress before one is given up.
	maxProgressChecks = 32
)

// ErrExceeded is the error of a holding that is given up because it holds most while the budget is used up.
var ErrExceeded = errors.New("the answer holds more memory than any other one, and the memory for answers is used up")

// ErrNoRoom is the error of a client for which there is no memory left.
var ErrNoRoom = errors.New("the clients in progress hold all the memory there is for them")

// Budget is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	limit int64
	// clients and answers are the bytes that count for them. The part of those that were given up and have not released it yet is
	// in leavingClients and leavingAnswers.
	clients, leavingClients int64
	answers, leavingAnswers int64
	// candidates are the holdings that can be given up.
	candidates map[*Holding]struct{}
	// released is closed and replaced when memory is released.
	released chan struct{}
}

// New returns a budget of that many bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, candidates: make(map[*Holding]struct{}), released: make(chan struct{})}
}

// SetLimit changes the number of bytes. What is held stays.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// Used returns the number of bytes that count: all of clients, and those of answers beyond FreeBytes each.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.clients + b.answers
}

// Waiter is the client of a holding. Its methods, apart from GiveUp, are called with the budget locked.
type Waiter interface {
	// LastProgress is the time up to which the client has kept its least rate: that of its last byte, or earlier if it sends more
	// slowly.
	LastProgress() time.Time
	// IsStuck reports whether the client has not taken its answer for so long that its request counts as not whole.
	IsStuck() bool
	// HasUnread reports whether bytes of the client have arrived that nobody has read yet and that have not counted as sent. They
	// do from then on.
	HasUnread() bool
	// GiveUp ends the connection. It must not block.
	GiveUp()
}

// Holding is what is held for one client or answer. Its methods may be called by any goroutine.
type Holding struct {
	budget *Budget
	// waiter is that of a client, and nil for an answer. giveUp is called when an answer is given up for others.
	waiter Waiter
	giveUp func()
	// isPinned is set while the holding may not be given up: an answer or a request that is whole.
	isPinned bool
	// held changes under the lock only.
	held atomic.Int64
	// isOver is set once the holding was released or given up.
	isOver, wasGivenUp bool
}

// Answer returns an empty holding for an answer. giveUp is called once if others need its memory; it must not block.
func (b *Budget) Answer(giveUp func()) *Holding { return &Holding{budget: b, giveUp: giveUp} }

// Client returns an empty holding for a client. The waiter is asked while the request of the client is not whole.
func (b *Budget) Client(waiter Waiter) *Holding { return &Holding{budget: b, waiter: waiter} }

// Request returns an empty holding for a request that is never given up.
func (b *Budget) Request() *Holding {
	return &Holding{budget: b, waiter: nobody{}, isPinned: true}
}

// nobody is the Waiter of a holding that is always pinned.
type nobody struct{}

func (nobody) LastProgress() time.Time { return time.Time{} }
func (nobody) IsStuck() bool           { return false }
func (nobody) HasUnread() bool         { return false }
func (nobody) GiveUp()                 {}

// Grow adds bytes to the holding. The error is ErrNoRoom for a client and ErrExceeded for an answer; nothing is added then. It
// waits, for up to settleTime, until those that are given up for it have released what they hold.
func (h *Holding) Grow(bytes int64) error {
	for end := time.Now().Add(settleTime); ; {
		released, err := h.GrowNow(bytes, time.Now().After(end))
		if released == nil {
			return err
		}
		select {
		case <-released:
		case <-time.After(time.Until(end)):
		}
	}
}

// GrowNow is Grow without a wait: where others have been given up for it and have not released their memory yet, it returns a
// channel that is closed when some is released. With force, it counts on what they will release.
func (h *Holding) GrowNow(bytes int64, force bool) (<-chan struct{}, error) {
	for {
		victim, released, err := h.tryGrow(bytes, force)
		if victim == nil {
			return released, err
		}
		if victim.waiter != nil {
			victim.waiter.GiveUp()
		} else {
			victim.giveUp()
		}
	}
}

// spareShare is the part of the limit up to which memory is taken for what could wait where it is.
const spareShare = 0.5

// GrowIfSpare adds bytes to the holding and reports true if that leaves the rest of spareShare free. Nothing is given up for it.
func (h *Holding) GrowIfSpare(bytes int64) bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	added := h.charged(h.held.Load()+bytes) - h.charged(h.held.Load())
	if h.wasGivenUp || float64(b.clients+b.answers+added) > spareShare*float64(b.limit) {
		return false
	}
	h.held.Add(bytes)
	b.charge(h, added)
	b.updateCandidate(h)
	return true
}

// tryGrow is one try of GrowNow. It returns a holding that is to be given up first, if there is one.
func (h *Holding) tryGrow(bytes int64, force bool) (victim *Holding, released <-chan struct{}, err error) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.wasGivenUp {
		return nil, nil, h.refusal()
	}
	added := h.charged(h.held.Load()+bytes) - h.charged(h.held.Load())
	switch {
	case added <= 0:
	case b.exceeds(h, bytes, added, b.leavingClients, b.leavingAnswers):
		victim := b.victim(h, h.held.Load()+bytes)
		if victim == nil {
			return nil, nil, h.refusal()
		}
		b.markGivenUp(victim)
		return victim, nil, nil
	case !force && b.exceeds(h, bytes, added, 0, 0):
		return nil, b.released, nil
	}
	h.held.Add(bytes)
	b.charge(h, added)
	b.updateCandidate(h)
	return nil, nil, nil
}

// refusal is the error of a holding that cannot grow.
func (h *Holding) refusal() error {
	if h.waiter != nil {
		return ErrNoRoom
	}
	return ErrExceeded
}

// exceeds reports whether the limits are exceeded if the holding grows, without what is about to be released.
func (b *Budget) exceeds(h *Holding, bytes, added, leavingClients, leavingAnswers int64) bool {
	clients, answers := b.clients-leavingClients, b.answers-leavingAnswers
	if clients+answers+added > b.limit {
		return true
	}
	if h.waiter == nil {
		return false
	}
	share := clientShare
	if h.held.Load()+bytes <= ordinaryBytes {
		share = ordinaryShare
	}
	return float64(clients+added) > share*float64(b.limit)
}

// victim returns the holding that is given up for one that would hold that many bytes; nil if that is the one to refuse. Clients
// and answers each take from their own kind first, and from the other while that has more than the part that is left for it.
func (b *Budget) victim(asking *Holding, bytes int64) *Holding {
	if asking.waiter == nil {
		if largest := b.largestAnswer(asking, bytes); largest != nil {
			return largest
		}
		return b.waitingClient(asking, bytes)
	}
	if client := b.waitingClient(asking, bytes); client != nil {
		return client
	}
	if float64(b.answers-b.leavingAnswers) > (1-ordinaryShare)*float64(b.limit) {
		return b.largestAnswer(asking, bytes)
	}
	return nil
}

// waitingClient returns the client that is given up for a holding that would hold that many bytes; nil if there is none.
func (b *Budget) waitingClient(asking *Holding, bytes int64) *Holding {
	now := time.Now()
	for range maxProgressChecks {
		client := b.heaviestClient(asking, bytes, now)
		if client == nil || !client.waiter.LastProgress().Before(now) || !client.waiter.HasUnread() {
			return client
		}
	}
	return b.heaviestClient(asking, bytes, now)
}

// heaviestClient returns the client that is given up for a holding of that many bytes, or nil: of those without progress the one
// with most bytes times the seconds for which it is behind; if none of them gives way, the largest of the others.
func (b *Budget) heaviestClient(asking *Holding, bytes int64, now time.Time) *Holding {
	leastIdle := float64(bytes)
	if b.takesFromIdle(asking, bytes, now) {
		leastIdle = 0
	}
	idle, idleWeight := (*Holding)(nil), leastIdle
	busy, busyWeight := (*Holding)(nil), float64(bytes)
	for h := range b.candidates {
		if h == asking || h.waiter == nil || h.isPinned && !h.waiter.IsStuck() {
			continue
		}
		waited := now.Sub(h.waiter.LastProgress())
		if waited < progressTime {
			if weight := progressShare * float64(h.held.Load()); weight > busyWeight {
				busy, busyWeight = h, weight
			}
			continue
		}
		if weight := float64(h.held.Load()) * (1 + waited.Seconds()); weight > idleWeight {
			idle, idleWeight = h, weight
		}
	}
	if idle == nil && bytes <= ordinaryBytes {
		return busy
	}
	return idle
}

// takesFromIdle reports whether any client without progress gives way to a holding of that many bytes.
func (b *Budget) takesFromIdle(asking *Holding, bytes int64, now time.Time) bool {
	if asking.waiter == nil || float64(bytes) > paceShare*float64(b.limit) {
		return false
	}
	return now.Sub(asking.waiter.LastProgress()) < progressTime
}

// largestAnswer returns the answer that holds most, if it holds more than that many bytes.
func (b *Budget) largestAnswer(apartFrom *Holding, bytes int64) *Holding {
	var largest *Holding
	for h := range b.candidates {
		if h != apartFrom && h.waiter == nil && h.held.Load() > bytes {
			largest, bytes = h, h.held.Load()
		}
	}
	return largest
}

func (b *Budget) markGivenUp(h *Holding) {
	h.wasGivenUp = true
	_, leaving := b.sums(h)
	*leaving += h.charged(h.held.Load())
	delete(b.candidates, h)
}

// updateCandidate keeps candidates.
func (b *Budget) updateCandidate(h *Holding) {
	isFixed := h.isPinned && h.waiter == nil
	if h.isOver || isFixed || h.wasGivenUp || h.charged(h.held.Load()) == 0 {
		delete(b.candidates, h)
		return
	}
	b.candidates[h] = struct{}{}
}

// charged returns how much of a holding counts.
func (h *Holding) charged(held int64) int64 {
	if h.waiter != nil {
		return held
	}
	return max(0, held-FreeBytes)
}

// sums returns what all holdings of the same kind count for, and the part of those that were given up.
func (b *Budget) sums(h *Holding) (total, leaving *int64) {
	if h.waiter != nil {
		return &b.clients, &b.leavingClients
	}
	return &b.answers, &b.leavingAnswers
}

func (b *Budget) charge(h *Holding, bytes int64) {
	total, leaving := b.sums(h)
	*total += bytes
	if h.wasGivenUp {
		*leaving += bytes
	}
}

// Held returns the number of bytes that are held. A Waiter may call it.
func (h *Holding) Held() int64 { return h.held.Load() }

// Shrink takes bytes off the holding.
func (h *Holding) Shrink(bytes int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.isOver {
		return
	}
	h.shrink(min(bytes, h.held.Load()))
}

// ShrinkTo takes off what is held beyond that many bytes.
func (h *Holding) ShrinkTo(bytes int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.isOver || h.held.Load() <= bytes {
		return
	}
	h.shrink(h.held.Load() - bytes)
}

// shrink requires the lock.
func (h *Holding) shrink(bytes int64) {
	b := h.budget
	freed := h.charged(h.held.Load()) - h.charged(h.held.Load()-bytes)
	b.charge(h, -freed)
	h.held.Add(-bytes)
	b.updateCandidate(h)
	if freed > 0 {
		close(b.released)
		b.released = make(chan struct{})
	}
}

// Pin keeps a holding from being given up, until Unpin.
func (h *Holding) Pin() { h.setPinned(true) }

// Unpin makes it possible to give the holding up.
func (h *Holding) Unpin() { h.setPinned(false) }

func (h *Holding) setPinned(isPinned bool) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.isPinned = isPinned
	h.budget.updateCandidate(h)
}

// Release ends the holding. Later calls have no effect.
func (h *Holding) Release() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.isOver {
		return
	}
	h.shrink(h.held.Load())
	h.isOver = true
	h.budget.updateCandidate(h)
}
