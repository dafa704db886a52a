package targetlimit_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/roster"
	"godwitcart/internal/targetlimit"
)

// The declared rates and bounds of the deployments that limit cold targets, and one that leaves no margin.
var coldDeployments = []struct {
	perSecond float64
	bound     targetlimit.ColdBound
}{{32, targetlimit.ColdBound{Overage: 1.5, Slack: 5}}, {26, targetlimit.ColdBound{Overage: 1.5, Slack: 5}}, {32, targetlimit.ColdBound{Overage: 1}}}

// coldUse is the part of the declared rate that should be used while all VMs have requests that wait.
const coldUse = 0.8

var coldTarget = roster.Target{ID: "t-1", StartedAt: 7, Service: "s", Zone: "a"}

func newCold(perSecond float64, bound targetlimit.ColdBound, clock func(now time.Time) int64) *targetlimit.ColdTargets {
	rule := func(string) targetlimit.ColdRule {
		return targetlimit.ColdRule{PerSecond: perSecond, Start: time.Second}
	}
	return targetlimit.NewColdTargets(targetlimit.ColdOptions{Logger: log.New(io.Discard), Bound: bound, Rule: rule, WallClock: clock})
}

// coldVM is a VM in the model whose requests all wait for the one target. hearsAt is when it learns of the cold time.
type coldVM struct {
	*targetlimit.Ledger
	cold                 *targetlimit.ColdTargets
	hearsAt, clock       time.Duration
	frozenFrom, frozenTo time.Duration
	position, known      int
	heard                bool
}

func (vm *coldVM) start(m *coldModel) {
	vm.cold = newCold(m.perSecond, m.bound, func(now time.Time) int64 { return now.Add(vm.clock).UnixNano() })
	vm.Ledger = targetlimit.NewLedger(targetlimit.Options{Logger: log.New(io.Discard), Cold: vm.cold})
	vm.heard = false
}

// coldModel has VMs with clocks of their own that all learn of one empty target.
type coldModel struct {
	random    *rand.Rand
	perSecond float64
	bound     targetlimit.ColdBound
	vms       []*coldVM
	sendDelay time.Duration
	arrivals  []time.Duration
}

// run plays a cold time and counts what the target gets. VMs learn of what remains of it as it was when the word was sent.
func (m *coldModel) run(start time.Time, duration time.Duration, onStep func(elapsed time.Duration)) {
	for elapsed := time.Duration(0); elapsed < duration; elapsed += time.Millisecond {
		if onStep != nil {
			onStep(elapsed)
		}
		for _, vm := range m.vms {
			now := start.Add(elapsed)
			if elapsed < vm.hearsAt || elapsed >= vm.frozenFrom && elapsed < vm.frozenTo {
				continue
			}
			if !vm.heard {
				vm.heard = true
				names := make([]string, vm.known)
				for i := range names {
					names[i] = fmt.Sprintf("vm-%04d", i)
				}
				vm.cold.SetVMs(fmt.Sprintf("vm-%04d", vm.position), names)
				vm.cold.Stated(coldTarget, duration, now)
			}
			if vm.MayTake(coldTarget, now) {
				vm.Take(coldTarget, now)
				m.arrivals = append(m.arrivals, elapsed+time.Duration(m.random.Int64N(int64(m.sendDelay+1))))
			}
		}
	}
}

// most returns the largest number of requests in any second.
func (m *coldModel) most() int {
	slices.Sort(m.arrivals)
	first, most := 0, 0
	for last, arrival := range m.arrivals {
		for arrival-m.arrivals[first] > time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestFleetFloodsColdTarget guards against many VMs that all see the same empty target at the same moment: in no second may
// it get more than the bound, whatever the VMs have heard, and whichever are frozen, killed or started again.
func TestFleetFloodsColdTarget(t *testing.T) {
	type disturbance struct {
		prepare func(m *coldModel, i int, vm *coldVM)
		onStep  func(m *coldModel, elapsed time.Duration)
	}
	within := func(m *coldModel, limit time.Duration) time.Duration {
		return time.Duration(m.random.Int64N(int64(limit)))
	}
	disturbances := map[string]disturbance{
		"calm":      {},
		"late word": {prepare: func(m *coldModel, _ int, vm *coldVM) { vm.hearsAt = within(m, time.Second) }},
		"two words": {prepare: func(_ *coldModel, i int, vm *coldVM) { vm.hearsAt = time.Duration(i%2) * 700 * time.Millisecond }},
		"clocks differ": {prepare: func(m *coldModel, _ int, vm *coldVM) {
			vm.clock = within(m, 400*time.Millisecond) - 200*time.Millisecond
		}},
		"clocks jump": {onStep: func(m *coldModel, elapsed time.Duration) {
			if elapsed%(100*time.Millisecond) == 0 {
				m.vms[m.random.IntN(len(m.vms))].clock = within(m, 10*time.Second) - 5*time.Second
			}
		}},
		"frozen": {prepare: func(m *coldModel, i int, vm *coldVM) {
			if i%3 == 0 {
				vm.frozenFrom = within(m, time.Second)
				vm.frozenTo = vm.frozenFrom + within(m, 2*time.Second)
			}
		}},
		"sent late": {prepare: func(m *coldModel, _ int, _ *coldVM) { m.sendDelay = targetlimit.ColdSendDelay }},
		"rolling restart": {onStep: func(m *coldModel, elapsed time.Duration) {
			if elapsed%(50*time.Millisecond) == 0 {
				vm := m.vms[int(elapsed/(50*time.Millisecond))%len(m.vms)]
				vm.start(m)
				vm.hearsAt = elapsed + within(m, 300*time.Millisecond)
			}
		}},
		"members unknown to a third": {prepare: func(m *coldModel, i int, vm *coldVM) {
			if i%3 == 0 {
				vm.known = max(len(m.vms)*3/4, vm.position+1)
			}
		}},
	}
	for _, vms := range []int{1, 9, 83, 300} {
		for name, disturbance := range disturbances {
			for _, deployment := range coldDeployments {
				for _, duration := range []time.Duration{time.Second, 4 * time.Second} {
					t.Run(fmt.Sprintf("%d VMs/%s/%g of %v/%s", vms, name, deployment.perSecond, deployment.bound, duration), func(t *testing.T) {
						t.Parallel()
						synctest.Test(t, func(t *testing.T) {
							m := &coldModel{random: rand.New(rand.NewPCG(uint64(vms), 1)), perSecond: deployment.perSecond, bound: deployment.bound}
							for i := range vms {
								vm := &coldVM{position: i, known: vms, hearsAt: within(m, 50*time.Millisecond)}
								vm.start(m)
								m.vms = append(m.vms, vm)
							}
							for i, vm := range m.vms {
								if disturbance.prepare != nil {
									disturbance.prepare(m, i, vm)
								}
							}
							m.run(time.Now().Add(within(m, time.Minute)), duration, func(elapsed time.Duration) {
								if disturbance.onStep != nil {
									disturbance.onStep(m, elapsed)
								}
							})
							allowed := int(deployment.bound.Overage*deployment.perSecond + deployment.bound.Slack)
							use := float64(len(m.arrivals)) / (deployment.perSecond * duration.Seconds())
							t.Logf("most %d allowed %d use %.2f", m.most(), allowed, use)
							require.LessOrEqual(t, m.most(), allowed)
							if name == "calm" && deployment.bound.Overage > 1 {
								require.GreaterOrEqual(t, use, coldUse)
							}
						})
					})
				}
			}
		}
	}
}

// TestModelCountsFleetThatIgnoresColdTarget checks that the model sees VMs that break the bound, and that nothing is limited
// where the service declares no rate.
func TestModelCountsFleetThatIgnoresColdTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &coldModel{random: rand.New(rand.NewPCG(1, 1)), bound: coldDeployments[0].bound}
		vm := &coldVM{known: 1}
		vm.start(m)
		m.vms = append(m.vms, vm)
		m.run(time.Now(), time.Second, nil)
		require.Len(t, m.arrivals, 1000)
		require.False(t, vm.IsCold(coldTarget, time.Now()))
		require.Empty(t, vm.Describe(coldTarget, time.Now()))
	})
}

// TestColdTimes checks what begins and ends the time for which a target is cold.
func TestColdTimes(t *testing.T) {
	other := roster.Target{ID: "t-2", Service: "s", Zone: "b"}
	listed := map[string]roster.Target{coldTarget.ID: coldTarget, other.ID: other}
	tests := map[string]struct {
		happens func(cold *targetlimit.ColdTargets, now time.Time)
		colds   time.Duration
	}{
		"nothing": {func(*targetlimit.ColdTargets, time.Time) {}, 0},
		"stated":  {func(cold *targetlimit.ColdTargets, now time.Time) { cold.Stated(coldTarget, 700*time.Millisecond, now) }, 700 * time.Millisecond},
		"stated again": {func(cold *targetlimit.ColdTargets, now time.Time) {
			cold.Stated(coldTarget, time.Second, now)
			cold.Stated(coldTarget, 3*time.Second, now)
		}, 3 * time.Second},
		"overtaken word": {func(cold *targetlimit.ColdTargets, now time.Time) {
			cold.Stated(coldTarget, time.Second, now)
			cold.Stated(coldTarget, 10*time.Millisecond, now)
		}, time.Second},
		"unreachable": {func(cold *targetlimit.ColdTargets, now time.Time) {
			cold.Unreachable(coldTarget, now.Add(200*time.Millisecond), now)
		}, 1200 * time.Millisecond},
		"zone taken back":       {func(cold *targetlimit.ColdTargets, now time.Time) { cold.BeginZone("a", now) }, time.Second},
		"other zone taken back": {func(cold *targetlimit.ColdTargets, now time.Time) { cold.BeginZone("b", now) }, 0},
		"started again": {func(cold *targetlimit.ColdTargets, now time.Time) {
			cold.Stated(coldTarget, time.Second, now)
			restarted := coldTarget
			restarted.StartedAt++
			cold.Retain(map[string]roster.Target{coldTarget.ID: restarted}, now)
		}, 0},
		"not listed for a moment": {func(cold *targetlimit.ColdTargets, now time.Time) {
			cold.Stated(coldTarget, time.Second, now)
			cold.Retain(nil, now)
		}, time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := time.Now()
				cold := newCold(32, coldDeployments[0].bound, nil)
				ledger := targetlimit.NewLedger(targetlimit.Options{Logger: log.New(io.Discard), Cold: cold})
				ledger.Retain(listed, now)
				tt.happens(cold, now)
				require.Equal(t, tt.colds > 0, ledger.IsCold(coldTarget, now))
				require.Equal(t, name == "other zone taken back", ledger.IsCold(other, now))
				if tt.colds > 0 {
					require.False(t, ledger.MayTake(coldTarget, now.Add(tt.colds-1)), "sent before the directory is known")
					require.NotEmpty(t, ledger.Describe(coldTarget, now))
				}
				require.False(t, ledger.IsCold(coldTarget, now.Add(tt.colds)))
				require.True(t, ledger.MayTake(coldTarget, now.Add(tt.colds)))
			})
		})
	}
}
