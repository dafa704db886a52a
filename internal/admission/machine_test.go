package admission

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitcart/internal/apierror"
	_ "godwitcart/internal/rapidseed" // fixes the seed
	"godwitcart/internal/routing"
)

// machine is a controller on a clock that the test moves, with an oracle of what became of each
// ticket.
type machine struct {
	controller *Controller
	picker     *slots
	now        time.Time
	timers     []func()
	answers    map[int]int
	cancels    map[int]func() bool
	held       map[int]*Grant
	accounts   map[int]string
	next       int
}

const machineSlots = 3

func newMachine() *machine {
	m := &machine{
		picker: &slots{free: machineSlots}, now: time.Unix(1000, 0), answers: map[int]int{},
		cancels: map[int]func() bool{}, held: map[int]*Grant{}, accounts: map[int]string{},
	}
	m.controller = NewController(Options{
		MaxWaiting: 6, MaxWait: 10 * time.Second,
		Now:       func() time.Time { return m.now },
		AfterFunc: func(_ time.Duration, f func()) { m.timers = append(m.timers, f) },
	}, m.picker)
	return m
}

func (m *machine) submit(ticket Ticket) {
	id := m.next
	m.next++
	ticket.RequestID = fmt.Sprint(id)
	m.accounts[id] = ticket.Account
	m.cancels[id] = m.controller.Submit(ticket, func(g *Grant, err error) {
		m.answers[id]++
		if (g == nil) == (err == nil) {
			panic("neither or both of grant and error")
		}
		if g != nil {
			m.held[id] = g
		}
	})
}

func (m *machine) pass(wait time.Duration) {
	m.now = m.now.Add(wait)
	timers := m.timers
	m.timers = nil
	for _, f := range timers {
		f()
	}
}

// check compares the controller with the oracle: a ticket is answered once, or waits, or was
// canceled; slots and accounts are held by open grants only.
func (m *machine) check(t *rapid.T) {
	require.Equal(t, machineSlots, m.picker.free+len(m.held))
	waiting := map[string]int{}
	for _, row := range m.controller.Rows() {
		waiting[row.RequestID]++
	}
	require.LessOrEqual(t, len(waiting), 6)
	for id := range m.next {
		states := m.answers[id] + waiting[fmt.Sprint(id)]
		if m.cancels[id] == nil {
			require.Zero(t, states, "a canceled ticket %d", id)
			continue
		}
		require.Equal(t, 1, states, "ticket %d", id)
	}
	inProgress := map[string]int{}
	for id := range m.held {
		inProgress[m.accounts[id]]++
	}
	for _, usage := range m.controller.Usages() {
		require.Equal(t, inProgress[usage.Account], usage.InProgress, usage.Account)
	}
}

func TestEveryTicketIsAnsweredOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				priority := rapid.IntRange(0, 2).Draw(t, "priority")
				ticket := Ticket{
					Service: "s", Account: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"),
					Class: fmt.Sprint("class-", priority), Priority: priority,
					Limits: Limits{Concurrency: rapid.SampledFrom([]int{0, 2}).Draw(t, "concurrency")},
				}
				if rapid.Bool().Draw(t, "deadline") {
					ticket.Deadline = m.now.Add(time.Second)
				}
				m.submit(ticket)
			},
			"release": func(t *rapid.T) {
				for id := range m.next {
					if grant := m.held[id]; grant != nil {
						delete(m.held, id)
						grant.Release(routing.OutcomeCompleted)
						grant.Release(routing.OutcomeCompleted)
						return
					}
				}
			},
			"cancel": func(t *rapid.T) {
				if m.next == 0 {
					return
				}
				id := rapid.IntRange(0, m.next-1).Draw(t, "ticket")
				if m.cancels[id] != nil && m.cancels[id]() {
					m.cancels[id] = nil
				}
			},
			"wait": func(t *rapid.T) {
				m.pass(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": m.check,
		})
		m.pass(time.Minute)
		require.Empty(t, m.controller.Rows(), "nothing waits beyond its time")
	})
}

func TestConcurrentUse(t *testing.T) {
	c := NewController(Options{MaxWait: 10 * time.Second}, &slots{free: 4})
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			for range 50 {
				ticket := Ticket{Service: "s", Account: fmt.Sprint(i % 3), Class: "low", Limits: Limits{Concurrency: 3}}
				grant, err := c.Acquire(t.Context(), ticket)
				if err != nil {
					require.True(t, apierror.Is(err, apierror.KindOverloaded), "%v", err)
					continue
				}
				c.Notify("s")
				grant.Release(routing.OutcomeCompleted)
			}
		})
	}
	group.Wait()
	require.Empty(t, c.Rows())
	for _, usage := range c.Usages() {
		require.Zero(t, usage.InProgress)
	}
}
