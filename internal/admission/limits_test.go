package admission

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// fleet is a number of controllers that exchange usage.
type fleet struct {
	controllers []*Controller
	held        []int
	granted     []int
}

func newTestFleet(size int) *fleet {
	f := &fleet{held: make([]int, size), granted: make([]int, size)}
	for range size {
		f.controllers = append(f.controllers, NewController(Options{MaxWait: time.Hour}, &slots{free: 1 << 20}))
	}
	f.exchange(nil)
	return f
}

// exchange passes usage among the VMs; those in cut reach each other only, as do the rest.
func (f *fleet) exchange(cut []int) {
	for i, c := range f.controllers {
		usages := c.Usages()
		var others, unreachable []string
		for j, other := range f.controllers {
			if i == j {
				continue
			}
			others = append(others, fmt.Sprint(j))
			if slices.Contains(cut, i) != slices.Contains(cut, j) {
				unreachable = append(unreachable, fmt.Sprint(j))
				continue
			}
			other.ObserveUsage(fmt.Sprint(i), usages, time.Now())
		}
		c.SetEntries(others)
		c.SetUnreachable(unreachable)
	}
}

func (f *fleet) total() int {
	sum := 0
	for _, held := range f.held {
		sum += held
	}
	return sum
}

// demand asks for many requests on the VM; those that are granted are held.
func (f *fleet) demand(vm, count, limit int) {
	for range count {
		f.controllers[vm].Submit(Ticket{Service: "s", Account: "a", Limits: Limits{Concurrency: limit}}, func(g *Grant, _ error) {
			if g != nil {
				f.held[vm]++
			}
		})
	}
}

func TestConcurrencyHoldsFleetWide(t *testing.T) {
	const limit = 80
	cases := map[string]struct {
		cut  []int
		vms  []int
		want int
	}{
		"all VMs are asked":          {vms: []int{0, 1, 2, 3, 4, 5, 6, 7}, want: 70},
		"one VM takes unused room":   {vms: []int{3}, want: 60},
		"each side of a cut is busy": {vms: []int{0, 1, 2, 3, 4, 5, 6, 7}, cut: []int{0, 1, 2}, want: 55},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(8)
				f.exchange(c.cut)
				for _, vm := range c.vms {
					f.demand(vm, limit, limit)
				}
				for range 40 {
					require.LessOrEqual(t, f.total(), limit)
					f.exchange(c.cut)
					for _, controller := range f.controllers {
						controller.Notify("s")
					}
				}
				require.GreaterOrEqual(t, f.total(), c.want)
			})
		})
	}
}

func TestRateHoldsFleetWide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, seconds = 100, 60
		f := newTestFleet(4)
		total := 0
		for tick := range seconds * 100 {
			if tick%100 == 0 {
				f.exchange(nil)
			}
			for _, c := range f.controllers[:2] {
				ticket := Ticket{Service: "s", Account: "a", Limits: Limits{RequestsPerSecond: limit}}
				c.Submit(ticket, func(g *Grant, _ error) {
					if g != nil {
						total++
						g.Release(0)
					}
				})
			}
			time.Sleep(10 * time.Millisecond)
		}
		require.LessOrEqual(t, total, limit*(seconds+2))
		require.GreaterOrEqual(t, total, limit*seconds*7/10, "two busy VMs use what two idle ones leave")
	})
}
