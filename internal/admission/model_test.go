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

// controllerModel runs a controller on a simulated clock and tracks the expected state of each ticket.
type controllerModel struct {
	controller   *Controller
	picker       *slotPicker
	now          time.Time
	timers       []func()
	answerCounts map[int]int
	cancels      map[int]func() bool
	openGrants   map[int]*Grant
	accounts     map[int]string
	nextID       int
}

const modelSlots = 3

func newControllerModel() *controllerModel {
	m := &controllerModel{
		picker: &slotPicker{freeSlots: modelSlots}, now: time.Unix(1000, 0), answerCounts: map[int]int{},
		cancels: map[int]func() bool{}, openGrants: map[int]*Grant{}, accounts: map[int]string{},
	}
	m.controller = NewController(Options{
		MaxWaiting: 6, MaxWait: 10 * time.Second,
		Now:       func() time.Time { return m.now },
		AfterFunc: func(_ time.Duration, f func()) { m.timers = append(m.timers, f) },
	}, m.picker)
	return m
}

func (m *controllerModel) submit(ticket Ticket) {
	id := m.nextID
	m.nextID++
	ticket.RequestID = fmt.Sprint(id)
	m.accounts[id] = ticket.Account
	m.cancels[id] = m.controller.Submit(ticket, func(g *Grant, err error) {
		m.answerCounts[id]++
		if (g == nil) == (err == nil) {
			panic("deliver got neither or both of grant and error")
		}
		if g != nil {
			m.openGrants[id] = g
		}
	})
}

func (m *controllerModel) advanceClock(wait time.Duration) {
	m.now = m.now.Add(wait)
	timers := m.timers
	m.timers = nil
	for _, f := range timers {
		f()
	}
}

// checkInvariants compares the controller with the model: each ticket is answered once, waits or was canceled, and
// only open grants occupy slots and count for their accounts.
func (m *controllerModel) checkInvariants(t *rapid.T) {
	require.Equal(t, modelSlots, m.picker.freeSlots+len(m.openGrants))
	waiting := map[string]int{}
	for _, row := range m.controller.Rows() {
		waiting[row.RequestID]++
	}
	require.LessOrEqual(t, len(waiting), 6)
	for id := range m.nextID {
		states := m.answerCounts[id] + waiting[fmt.Sprint(id)]
		if m.cancels[id] == nil {
			require.Zero(t, states, "canceled ticket %d was answered or still waits", id)
			continue
		}
		require.Equal(t, 1, states, "ticket %d must be answered once or wait", id)
	}
	inProgress := map[string]int{}
	for id := range m.openGrants {
		inProgress[m.accounts[id]]++
	}
	for _, usage := range m.controller.Usages() {
		require.Equal(t, inProgress[usage.Account], usage.InProgress, usage.Account)
	}
}

func TestEveryTicketIsAnsweredOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newControllerModel()
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
				for id := range m.nextID {
					if grant := m.openGrants[id]; grant != nil {
						delete(m.openGrants, id)
						grant.Release(routing.OutcomeCompleted)
						grant.Release(routing.OutcomeCompleted)
						return
					}
				}
			},
			"cancel": func(t *rapid.T) {
				if m.nextID == 0 {
					return
				}
				id := rapid.IntRange(0, m.nextID-1).Draw(t, "ticket")
				if m.cancels[id] != nil && m.cancels[id]() {
					m.cancels[id] = nil
				}
			},
			"wait": func(t *rapid.T) {
				m.advanceClock(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": m.checkInvariants,
		})
		m.advanceClock(time.Minute)
		require.Empty(t, m.controller.Rows(), "requests wait beyond their deadline")
	})
}

func TestConcurrentUse(t *testing.T) {
	c := NewController(Options{MaxWait: 10 * time.Second}, &slotPicker{freeSlots: 4})
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
				c.NotifyCapacity("s")
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
