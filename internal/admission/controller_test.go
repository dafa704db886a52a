package admission

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/apierror"
	"godwitcart/internal/policy"
	"godwitcart/internal/routing"
)

// slotPicker is a Picker with capacity for a fixed number of attempts.
type slotPicker struct {
	mu        sync.Mutex
	freeSlots int
}

func (s *slotPicker) Pick(routing.Query, time.Time) (routing.Choice, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.freeSlots == 0 {
		return routing.Choice{}, apierror.New(apierror.KindOverloaded, "full", "wait")
	}
	s.freeSlots--
	return routing.Choice{Target: "t0"}, nil
}

func (s *slotPicker) Progress(routing.Choice, int)        {}
func (s *slotPicker) Preempted(routing.Choice, time.Time) {}
func (s *slotPicker) Done(routing.Choice, routing.Outcome, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freeSlots++
}

// grantOrder submits the tickets while the only slot is in use, then releases one grant at a time, and returns the
// request ids in the order of their grants.
func grantOrder(t *testing.T, options Options, tickets []Ticket, spacing time.Duration) []string {
	var order []string
	synctest.Test(t, func(t *testing.T) {
		picker := &slotPicker{freeSlots: 1}
		c := NewController(options, picker)
		// A channel, since a grant may be made on the goroutine of the controller's timer.
		grants := make(chan *Grant, len(tickets)+1)
		ids := make(chan string, len(tickets))
		c.Submit(Ticket{Service: "s", Class: "first"}, func(g *Grant, err error) { grants <- g })
		for _, ticket := range tickets {
			ticket.Service = "s"
			c.Submit(ticket, func(g *Grant, err error) {
				require.NoError(t, err)
				ids <- ticket.RequestID
				grants <- g
			})
			time.Sleep(spacing)
		}
		(<-grants).Release(routing.OutcomeCompleted)
		for range tickets {
			order = append(order, <-ids)
			(<-grants).Release(routing.OutcomeCompleted)
		}
		synctest.Wait()
		require.Empty(t, c.Rows())
	})
	return order
}

func TestGrantOrder(t *testing.T) {
	low := func(id, account string) Ticket {
		return Ticket{RequestID: id, Account: account, Class: "low", Priority: 1}
	}
	high := func(id string) Ticket { return Ticket{RequestID: id, Account: "a", Class: "high", Priority: 9} }
	weighted := func(id, account string, share int) Ticket {
		ticket := low(id, account)
		ticket.Share = share
		return ticket
	}
	retry := low("retry", "a")
	retry.Retry = true
	cases := map[string]struct {
		tickets []Ticket
		options Options
		spacing time.Duration
		want    []string
	}{
		"higher class first":             {tickets: []Ticket{low("1", "a"), high("2")}, want: []string{"2", "1"}},
		"accounts take turns":            {tickets: []Ticket{low("1", "a"), low("2", "a"), low("3", "a"), low("4", "b")}, want: []string{"1", "4", "2", "3"}},
		"accounts are weighted by share": {tickets: []Ticket{weighted("1", "a", 1), weighted("2", "a", 1), weighted("3", "b", 2), weighted("4", "b", 2), weighted("5", "b", 2)}, want: []string{"1", "3", "4", "2", "5"}},
		"a retry goes first":             {tickets: []Ticket{low("1", "a"), low("2", "b"), retry}, want: []string{"retry", "1", "2"}},
		"long waits gain a rank":         {tickets: []Ticket{low("1", "a"), high("2")}, options: Options{AgeStep: time.Second}, spacing: 3 * time.Second, want: []string{"1", "2"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, grantOrder(t, c.options, c.tickets, c.spacing))
		})
	}
}

func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewController(Options{MaxWaiting: 1}, &slotPicker{})
		limited := Ticket{Service: "s", Account: "a", Class: "low", Limits: Limits{RequestsPerSecond: 1}, Deadline: time.Now().Add(time.Second)}
		first := make(chan error, 1)
		go func() {
			_, err := c.Acquire(t.Context(), limited)
			first <- err
		}()
		synctest.Wait()
		_, err := c.Acquire(t.Context(), limited)
		require.True(t, apierror.Is(err, apierror.KindRateLimited), "%v", err)
		_, err = c.Acquire(t.Context(), Ticket{Service: "s", Account: "b", Class: "low"})
		require.True(t, apierror.Is(err, apierror.KindOverloaded), "%v", err)
		require.True(t, apierror.Is(<-first, apierror.KindDeadlineExceeded))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = c.Acquire(ctx, Ticket{Service: "s", Account: "b", Class: "low"})
		require.True(t, apierror.Is(err, apierror.KindCanceled), "%v", err)
		require.Equal(t, Counters{RateLimited: 1, Overloaded: 1, DeadlineExceeded: 1, Canceled: 1}, c.Counters())
	})
}

func TestFullQueueEvictsLowerClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewController(Options{MaxWaiting: 1}, &slotPicker{})
		var refused error
		c.Submit(Ticket{Service: "s", Account: "a", Class: "low"}, func(_ *Grant, err error) { refused = err })
		cancel := c.Submit(Ticket{Service: "s", Account: "b", Class: "high", Priority: 1}, nil)
		require.True(t, apierror.Is(refused, apierror.KindOverloaded))
		require.Equal(t, "high", c.Rows()[0].Class)
		require.True(t, cancel())
		time.Sleep(time.Second)
	})
}

func TestConcurrencyLimitBlocksOnlyItsAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewController(Options{}, &slotPicker{freeSlots: 9})
		limited := Ticket{Service: "s", Account: "a", Class: "low", Limits: Limits{Concurrency: 1}}
		grant, err := c.Acquire(t.Context(), limited)
		require.NoError(t, err)
		second := make(chan *Grant, 1)
		c.Submit(limited, func(g *Grant, _ error) { second <- g })
		require.Equal(t, WaitConcurrency, c.Rows()[0].Reason)
		other, err := c.Acquire(t.Context(), Ticket{Service: "s", Account: "b", Class: "low"})
		require.NoError(t, err)
		grant.Release(routing.OutcomeCompleted)
		(<-second).Release(routing.OutcomeCompleted)
		other.Release(routing.OutcomeCompleted)
		time.Sleep(time.Second)
	})
}

func TestLocalShareSumsToTheLimit(t *testing.T) {
	for _, usages := range [][]float64{{0, 0, 0}, {10, 0, 0}, {5, 20, 1}, {70, 60, 10}} {
		sum := 0.0
		for i, own := range usages {
			var others []float64
			others = append(append(others, usages[:i]...), usages[i+1:]...)
			sum += LocalShare(100, own, others, len(usages))
		}
		require.InDelta(t, 100, sum, 1e-9, "%v", usages)
	}
}

func TestPeerUsageReducesLocalShare(t *testing.T) {
	c := NewController(Options{}, &slotPicker{freeSlots: 100})
	c.SetPeerVMs([]string{"e2"})
	c.ObserveUsage("e2", []Usage{{Account: "a", InProgress: 8}}, time.Now())
	granted := 0
	for range 10 {
		c.Submit(Ticket{Service: "s", Account: "a", Limits: Limits{Concurrency: 10}}, func(g *Grant, _ error) {
			if g != nil {
				granted++
			}
		})
	}
	require.LessOrEqual(t, granted, 2)
	require.Positive(t, granted)
}

func TestServicesHaveSeparateQueues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewController(Options{MaxWaiting: 1}, noEnginePicker{&slotPicker{freeSlots: 1}})
		cancel := c.Submit(Ticket{Service: "godwit-lm", Account: "a", Variant: policy.Variant{Model: "m"}}, func(*Grant, error) {})
		grant, err := c.Acquire(t.Context(), Ticket{Service: "counter-api", Account: "a"})
		require.NoError(t, err)
		require.Zero(t, grant.Waited)
		grant.Release(routing.OutcomeCompleted)
		require.True(t, cancel())
		time.Sleep(time.Second)
	})
}

// noEnginePicker is a Picker whose engines have no capacity.
type noEnginePicker struct{ *slotPicker }

func (e noEnginePicker) Pick(query routing.Query, now time.Time) (routing.Choice, error) {
	if query.Variant.Model != "" {
		return routing.Choice{}, apierror.New(apierror.KindOverloaded, "full", "wait")
	}
	return e.slotPicker.Pick(query, now)
}
