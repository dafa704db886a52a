package selfreport_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/roster"
	"godwitcart/internal/selfreport"
)

// zone is the targets of a zone as they answer, and what the Watcher has made of them.
type zone struct {
	mu      sync.Mutex
	reports map[string]selfreport.Report
	hangs   map[string]bool
	asked   int
	leaving []string
	listed  []roster.Target
	isLost  bool
	isAsker bool
}

// Report implements selfreport.Source.
func (z *zone) Report(ctx context.Context, address string) (selfreport.Report, error) {
	z.mu.Lock()
	z.asked++
	report, found := z.reports[address]
	hangs := z.hangs[address]
	z.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return selfreport.Report{}, ctx.Err()
	}
	if !found {
		return selfreport.Report{}, errors.New("refused")
	}
	return report, nil
}

func (z *zone) record(target roster.Target) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.leaving = append(z.leaving, target.ID)
	for i, listed := range z.listed {
		if listed.ID == target.ID {
			z.listed = append(z.listed[:i], z.listed[i+1:]...)
			return
		}
	}
}

func (z *zone) targets() []roster.Target {
	z.mu.Lock()
	defer z.mu.Unlock()
	return append([]roster.Target(nil), z.listed...)
}

func newZone(count int) *zone {
	z := &zone{reports: make(map[string]selfreport.Report), hangs: make(map[string]bool), isLost: true, isAsker: true}
	for i := range count {
		id := fmt.Sprintf("e%d", i)
		z.listed = append(z.listed, roster.Target{ID: id, Address: id, StartedAt: 7})
		z.reports[id] = selfreport.Report{StartedAt: 7}
	}
	return z
}

// run runs a Watcher for the given time.
func (z *zone) run(t *testing.T, duration time.Duration, during func()) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	watcher := selfreport.NewWatcher(selfreport.Options{
		Source: z, Targets: z.targets, Leaving: z.record, Logger: log.New(io.Discard),
		IsListLost: func() bool { z.mu.Lock(); defer z.mu.Unlock(); return z.isLost },
		IsAsker:    func() bool { z.mu.Lock(); defer z.mu.Unlock(); return z.isAsker },
	})
	done := make(chan error, 1)
	go func() { done <- watcher.Run(ctx) }()
	during()
	require.NoError(t, <-done)
}

func (z *zone) set(change func()) {
	z.mu.Lock()
	defer z.mu.Unlock()
	change()
}

// TestLeavingIsNoticedDuringAnOutage plays an outage in which a sixth of a zone's targets leave at once while others hang:
// each that leaves is reported once, early enough to move its generations within the 1.3 s that it serves at least.
func TestLeavingIsNoticedDuringAnOutage(t *testing.T) {
	for _, count := range []int{3, 15, 100} {
		synctest.Test(t, func(t *testing.T) {
			z := newZone(count)
			z.hangs["e1"] = true
			z.run(t, 5*time.Second, func() {
				time.Sleep(time.Second)
				left := max(count/6, 1)
				z.set(func() {
					for i := range left {
						z.reports[fmt.Sprintf("e%d", count-1-i)] = selfreport.Report{Leaving: true, StartedAt: 7}
					}
				})
				time.Sleep(1300 * time.Millisecond)
				z.set(func() { require.Len(t, z.leaving, left) })
			})
			require.NotContains(t, z.leaving, "e1", "a target that hangs has said nothing")
			require.Len(t, z.leaving, max(count/6, 1), "a target is reported more than once")
		})
	}
}

// TestWhatIsNoStatement checks which answers take no target out of use, and when nobody is asked.
func TestWhatIsNoStatement(t *testing.T) {
	for name, change := range map[string]func(z *zone){
		"the list can be read":          func(z *zone) { z.isLost = false },
		"another VM asks for the zone":  func(z *zone) { z.isAsker = false },
		"another process has answered":  func(z *zone) { z.reports["e0"] = selfreport.Report{Leaving: true, StartedAt: 8} },
		"the target refuses":            func(z *zone) { delete(z.reports, "e0") },
		"the target goes on as before":  func(z *zone) { z.reports["e0"] = selfreport.Report{StartedAt: 7} },
		"the target hangs for the rest": func(z *zone) { z.hangs["e0"] = true },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z := newZone(2)
				change(z)
				z.run(t, 3*time.Second, func() {})
				require.Empty(t, z.leaving)
				require.Equal(t, z.isLost && z.isAsker, z.asked > 0)
			})
		})
	}
}

// TestRateOfRequests bounds what an outage costs: five requests a second at a target, and 200 a second of one VM.
func TestRateOfRequests(t *testing.T) {
	for _, count := range []int{3, 15, 300} {
		synctest.Test(t, func(t *testing.T) {
			z := newZone(count)
			z.run(t, 10*time.Second, func() {})
			require.LessOrEqual(t, z.asked, min(5*count, 200)*10+count)
		})
	}
}
