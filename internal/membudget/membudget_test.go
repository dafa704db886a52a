package membudget_test

import (
	"sync"
	"testing"
	"testing/synctest"

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
		var holdings []*membudget.Holding
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				var h *membudget.Holding
				if rapid.Bool().Draw(t, "answer") {
					h = b.Answer(func() { given[h] = true; h.Release() })
				} else {
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
				sum += max(0, bytes-membudget.FreeBytes)
			}
			if sum != b.Used() || sum > limit {
				t.Fatalf("%d bytes are used, %d held, %d allowed", b.Used(), sum, limit)
			}
		}
	})
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
