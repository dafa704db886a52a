package membudget_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitcart/internal/membudget"
)

// TestLargestAnswerIsGivenUp guards against sound answers that are given up because a target sends bytes without end.
func TestLargestAnswerIsGivenUp(t *testing.T) {
	b := membudget.New(1 << 20)
	givenUp := make(chan struct{}, 1)
	var endless *membudget.Holding
	endless = b.Answer(func() { givenUp <- struct{}{}; endless.Release() })
	require.NoError(t, endless.Grow(1<<20))
	require.ErrorIs(t, endless.Grow(1<<20), membudget.ErrExceeded, "it holds most itself")
	sound := b.Answer(func() { t.Error("the sound answer was given up") })
	require.NoError(t, sound.Grow(64<<10))
	<-givenUp
	require.ErrorIs(t, endless.Grow(1), membudget.ErrExceeded)
	endless.Release()
	sound.Release()
	require.Zero(t, b.Used())
}

// TestAnswersGivenUpCountUntilTheyAreReleased guards against a budget that is exceeded by answers which were given up and are still held.
func TestAnswersGivenUpCountUntilTheyAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := membudget.New(1 << 20)
		endless := b.Answer(func() {})
		require.NoError(t, endless.Grow(1<<20))
		grown := make(chan error)
		go func() { grown <- b.Answer(func() {}).Grow(64 << 10) }()
		synctest.Wait()
		select {
		case <-grown:
			t.Error("the memory is in use twice")
		default:
		}
		endless.Release()
		require.NoError(t, <-grown)
	})
}

// TestRequestsLeaveRoomForAnswers guards against requests that take all memory, so that none of them gets its answer.
func TestRequestsLeaveRoomForAnswers(t *testing.T) {
	b := membudget.New(1 << 20)
	var admitted []*membudget.Holding
	for {
		request := b.Request()
		if err := request.Grow(128 << 10); err != nil {
			require.ErrorIs(t, err, membudget.ErrNoRoom)
			break
		}
		admitted = append(admitted, request)
	}
	answer := b.Answer(func() {})
	require.NoError(t, answer.Grow(128<<10))
	require.NoError(t, b.Request().Grow(membudget.FreeBytes), "small requests are always admitted")
	for _, request := range admitted {
		request.Release()
	}
	require.NoError(t, b.Request().Grow(128<<10))
}

// TestBudgetAddsUp checks that what is used follows from the holdings, whatever is done in which order.
func TestBudgetAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1 << 20
		b := membudget.New(limit)
		held := make(map[*membudget.Holding]int64)
		given := make(map[*membudget.Holding]bool)
		answers := make(map[*membudget.Holding]bool)
		var holdings []*membudget.Holding
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				var h *membudget.Holding
				switch rapid.IntRange(0, 2).Draw(t, "kind") {
				case 0:
					h = b.Answer(func() { given[h] = true; h.Release() })
					answers[h] = true
				case 1:
					h = b.Client(&waiter{giveUp: func() { given[h] = true; h.Release() }})
				default:
					h = b.Request()
				}
				holdings = append(holdings, h)
			case 1, 2:
				if len(holdings) == 0 {
					continue
				}
				h := rapid.SampledFrom(holdings).Draw(t, "holding")
				bytes := int64(rapid.IntRange(1, limit).Draw(t, "bytes"))
				if h.Grow(bytes) == nil {
					held[h] += bytes
				}
			default:
				if len(holdings) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(holdings)-1).Draw(t, "released")
				holdings[i].Release()
				delete(held, holdings[i])
				holdings = append(holdings[:i], holdings[i+1:]...)
			}
			sum := int64(0)
			for h, bytes := range held {
				if given[h] {
					delete(held, h)
					continue
				}
				if answers[h] {
					bytes = max(0, bytes-membudget.FreeBytes)
				}
				sum += bytes
			}
			if sum != b.Used() || sum > limit {
				t.Fatalf("%d bytes are used, %d held, %d allowed", b.Used(), sum, limit)
			}
		}
	})
}

// waiter is a client that has been without progress for the given time.
type waiter struct {
	silent    time.Duration
	hasUnread bool
	isStuck   bool
	givenUp   bool
	giveUp    func()
}

func (w *waiter) LastProgress() time.Time { return time.Now().Add(-w.silent) }

func (w *waiter) IsStuck() bool { return w.isStuck }

func (w *waiter) HasUnread() bool {
	if w.hasUnread {
		w.silent = 0
	}
	return w.hasUnread
}

func (w *waiter) GiveUp() {
	w.givenUp = true
	w.giveUp()
}

// client returns a holding of that many bytes, which is released when it is given up.
func client(t *testing.T, b *membudget.Budget, w *waiter, bytes int64) *membudget.Holding {
	t.Helper()
	h := b.Client(w)
	w.giveUp = h.Release
	require.NoError(t, h.Grow(bytes))
	return h
}

// TestClientsWithoutProgressMakeRoom guards against clients that hold all memory for requests which never become whole, while
// ordinary ones are refused.
func TestClientsWithoutProgressMakeRoom(t *testing.T) {
	b := membudget.New(1 << 20)
	stalled, unread, recent := &waiter{silent: time.Minute}, &waiter{silent: time.Minute, hasUnread: true}, &waiter{}
	client(t, b, stalled, 200<<10)
	client(t, b, unread, 200<<10)
	client(t, b, recent, 200<<10)
	whole := &waiter{silent: time.Hour}
	client(t, b, whole, 150<<10).Pin()
	require.NoError(t, b.Client(&waiter{}).Grow(100<<10))
	require.True(t, stalled.givenUp)
	require.False(t, unread.givenUp, "its bytes have arrived")
	require.False(t, recent.givenUp)
	require.False(t, whole.givenUp, "a whole request is never given up")
}

// TestOrdinaryClientTakesFromManySlowOnes guards against clients that send slowly and hold little each: together they held all
// memory, and none of them outweighed an ordinary request.
func TestOrdinaryClientTakesFromManySlowOnes(t *testing.T) {
	const slowBytes, ordinaryBytes = 50 << 10, 250 << 10
	b := membudget.New(24 << 20)
	var slow []*waiter
	used := int64(0)
	for ; used < 20<<20; used += slowBytes {
		slow = append(slow, &waiter{silent: 1500 * time.Millisecond})
		client(t, b, slow[len(slow)-1], slowBytes)
	}
	require.ErrorIs(t, b.Client(&waiter{silent: 2 * time.Second}).Grow(ordinaryBytes), membudget.ErrNoRoom, "it is slow itself")
	require.ErrorIs(t, b.Client(&waiter{}).Grow(4<<20), membudget.ErrNoRoom, "it needs what many others hold")
	require.NoError(t, b.Client(&waiter{}).Grow(ordinaryBytes))
	count := 0
	for _, w := range slow {
		if w.givenUp {
			count++
		}
	}
	const part = 18 << 20 // for clients that hold more than 96 KiB each
	require.Equal(t, int((used+ordinaryBytes-part)/slowBytes)+1, count, "no more than what it needs")
}

// TestSlowClientsAreGivenUpFirst guards against large requests that are sent well and are given up while small ones which are not
// could be.
func TestSlowClientsAreGivenUpFirst(t *testing.T) {
	b := membudget.New(1 << 20)
	large, slow := &waiter{}, &waiter{silent: 1500 * time.Millisecond}
	client(t, b, large, 700<<10)
	client(t, b, slow, 60<<10)
	client(t, b, &waiter{}, 90<<10)
	require.NoError(t, b.Client(&waiter{}).Grow(30<<10))
	require.True(t, slow.givenUp)
	require.False(t, large.givenUp)
}

// TestClientsThatTakeNoAnswerMakeRoom guards against clients that hold memory with whole requests whose answers they do not take.
func TestClientsThatTakeNoAnswerMakeRoom(t *testing.T) {
	b := membudget.New(1 << 20)
	whole, stuck := &waiter{silent: time.Minute}, &waiter{silent: time.Minute, isStuck: true}
	client(t, b, whole, 300<<10).Pin()
	client(t, b, stuck, 300<<10).Pin()
	require.NoError(t, b.Client(&waiter{}).Grow(300<<10))
	require.True(t, stuck.givenUp)
	require.False(t, whole.givenUp)
}

// TestAnswersMakeRoomForClients guards against answers without end that take the memory of small requests.
func TestAnswersMakeRoomForClients(t *testing.T) {
	b := membudget.New(1 << 20)
	var endless []*membudget.Holding
	for range 4 {
		var answer *membudget.Holding
		answer = b.Answer(func() { answer.Release() })
		require.NoError(t, answer.Grow(256<<10))
		endless = append(endless, answer)
	}
	require.NoError(t, b.Client(&waiter{}).Grow(64<<10))
	require.NoError(t, b.Client(&waiter{}).Grow(64<<10))
	for _, answer := range endless {
		answer.Release()
	}
}

// TestLargestClientIsRefused guards against sound clients that are given up because another one sends more and more.
func TestLargestClientIsRefused(t *testing.T) {
	b := membudget.New(1 << 20)
	sound := &waiter{silent: time.Second}
	client(t, b, sound, 64<<10)
	growing := b.Client(&waiter{})
	for growing.Grow(64<<10) == nil {
	}
	require.False(t, sound.givenUp)
	require.ErrorIs(t, growing.Grow(64<<10), membudget.ErrNoRoom)
	require.GreaterOrEqual(t, growing.Held(), int64(640<<10))
}

// TestWholeRequestsLeaveRoomForOrdinaryOnes guards against large whole requests that keep out all others.
func TestWholeRequestsLeaveRoomForOrdinaryOnes(t *testing.T) {
	b := membudget.New(4 << 20)
	for {
		large := b.Client(&waiter{})
		if large.Grow(512<<10) != nil {
			break
		}
		large.Pin()
	}
	require.NoError(t, b.Client(&waiter{}).Grow(64<<10))
}

// TestConcurrentHoldings is for the race detector.
func TestConcurrentHoldings(t *testing.T) {
	b := membudget.New(1 << 20)
	var users sync.WaitGroup
	for range 16 {
		users.Go(func() {
			for range 200 {
				h := b.Answer(func() {})
				for h.Grow(64<<10) == nil {
				}
				h.Shrink(1 << 10)
				h.Release()
			}
		})
	}
	users.Wait()
	require.Zero(t, b.Used())
}

// TestSpareMemoryIsTakenFromNobody guards against answers that are given up for what could wait at its engine.
func TestSpareMemoryIsTakenFromNobody(t *testing.T) {
	b := membudget.New(8 << 20)
	other := b.Answer(func() { t.Error("an answer was given up") })
	require.NoError(t, other.Grow(3<<20))
	h := b.Answer(func() { t.Error("the answer was given up") })
	require.True(t, h.GrowIfSpare(512<<10))
	require.False(t, h.GrowIfSpare(2<<20), "half of the memory is in use")
	require.EqualValues(t, 512<<10, h.Held())
	h.Release()
	other.Release()
	require.Zero(t, b.Used())
}
