package admission

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// testFleet is a set of controllers that exchange usage.
type testFleet struct {
	controllers []*Controller
	openGrants  []int
	granted     []int
}

func newTestFleet(size int) *testFleet {
	f := &testFleet{openGrants: make([]int, size), granted: make([]int, size)}
	for range size {
		f.controllers = append(f.controllers, NewController(Options{MaxWait: time.Hour}, &slotPicker{freeSlots: 1 << 20}))
	}
	f.exchangeUsage(nil)
	return f
}

// exchangeUsage exchanges usage among the VMs. Those in partition reach only each other, as do the rest.
func (f *testFleet) exchangeUsage(partition []int) {
	for i, c := range f.controllers {
		usages := c.Usages()
		var others, unreachable []string
		for j, other := range f.controllers {
			if i == j {
				continue
			}
			others = append(others, fmt.Sprint(j))
			if slices.Contains(partition, i) != slices.Contains(partition, j) {
				unreachable = append(unreachable, fmt.Sprint(j))
				continue
			}
			other.ObserveUsage(fmt.Sprint(i), usages, time.Now())
		}
		c.SetPeerVMs(others)
		c.SetUnreachablePeers(unreachable)
	}
}

func (f *testFleet) totalOpenGrants() int {
	total := 0
	for _, grants := range f.openGrants {
		total += grants
	}
	return total
}

// submitMany submits count requests on the VM and keeps the grants open.
func (f *testFleet) submitMany(vm, count, limit int) {
	for range count {
		f.controllers[vm].Submit(Ticket{Service: "s", Account: "a", Limits: Limits{Concurrency: limit}}, func(g *Grant, _ error) {
			if g != nil {
				f.openGrants[vm]++
			}
		})
	}
}

func TestConcurrencyLimitIsFleetWide(t *testing.T) {
	const limit = 80
	cases := map[string]struct {
		partition []int
		vms       []int
		want      int
	}{
		"all VMs are busy":                   {vms: []int{0, 1, 2, 3, 4, 5, 6, 7}, want: 70},
		"one VM uses idle shares":            {vms: []int{3}, want: 60},
		"both sides of a partition are busy": {vms: []int{0, 1, 2, 3, 4, 5, 6, 7}, partition: []int{0, 1, 2}, want: 55},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(8)
				f.exchangeUsage(c.partition)
				for _, vm := range c.vms {
					f.submitMany(vm, limit, limit)
				}
				for range 40 {
					require.LessOrEqual(t, f.totalOpenGrants(), limit)
					f.exchangeUsage(c.partition)
					for _, controller := range f.controllers {
						controller.NotifyCapacity("s")
					}
				}
				require.GreaterOrEqual(t, f.totalOpenGrants(), c.want)
			})
		})
	}
}

func TestRateLimitIsFleetWide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, seconds = 100, 60
		f := newTestFleet(4)
		total := 0
		for tick := range seconds * 100 {
			if tick%100 == 0 {
				f.exchangeUsage(nil)
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
		require.GreaterOrEqual(t, total, limit*seconds*7/10, "two busy VMs do not use what two idle ones leave")
	})
}
