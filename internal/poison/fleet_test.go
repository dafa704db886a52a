package poison

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/targetlimit"
)

// TestPartThatCrashesTargetsIsRefusedByAllVMs plays fleets of four sizes with late and lost messages. The bad part must be
// refused everywhere within the users' bound, and no sound request.
func TestPartThatCrashesTargetsIsRefusedByAllVMs(t *testing.T) {
	for _, size := range []struct {
		vms, targets, seeds int
		sound, bad          float64
	}{{1, 18, 20, 15, 5}, {9, 18, 40, 15, 5}, {9, 18, 20, 15, 1}, {70, 36, 6, 60, 5}, {300, 122, 2, 160, 5}} {
		t.Run(fmt.Sprintf("%d VMs, %g/s", size.vms, size.bad), func(t *testing.T) {
			most, total := 0, 0
			for seed := range size.seeds {
				synctest.Test(t, func(t *testing.T) {
					m := newModel(size.vms, size.targets, uint64(seed))
					m.loss, m.late = 0.05, 0.05
					m.play(3*time.Second, size.sound, 0)
					m.play(12*time.Second, size.sound, size.bad)
					most, total = max(most, len(m.crashes)), total+len(m.crashes)
					require.LessOrEqual(t, m.lateRequests(), maxLate, "seed %d", seed)
					require.Equal(t, size.vms, m.blockedAt("bad"), "seed %d", seed)
					require.LessOrEqual(t, float64(m.refused["sound"]), 0.02*float64(m.served["sound"]), "seed %d: sound requests refused", seed)
					m.end()
				})
			}
			t.Logf("%.1f crashes in the mean, %d at most", float64(total)/float64(size.seeds), most)
		})
	}
}

// TestOutagesBlockNothing ends all targets, or a third of them, at once, several times: nothing may be refused after it.
func TestOutagesBlockNothing(t *testing.T) {
	for _, share := range []int{1, 3} {
		for seed := range 20 {
			synctest.Test(t, func(t *testing.T) {
				m := newModel(9, 18, uint64(seed))
				time.AfterFunc(2*time.Second, func() { m.crashEvery(4*time.Second, 4, share) })
				m.play(20*time.Second, 20, 0)
				require.NotZero(t, m.lostRequests)
				require.Zero(t, m.refused["sound"], "seed %d", seed)
				m.end()
			})
		}
	}
}

// TestVMThatReportsCrashesAloneBlocksNothing plays a VM whose connections are all reset time and again while its targets
// run on.
func TestVMThatReportsCrashesAloneBlocksNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newModel(9, 18, 1)
		for range 10 {
			m.play(time.Second, 40, 0)
			m.resetConnections(0)
		}
		for i := 1; i < len(m.vms); i++ {
			require.Zero(t, m.blockCount(i), "VM %d", i)
		}
		m.end()
	})
}

// TestRestartedVMLearnsBlocks guards against a VM that starts without memory and sends what all others refuse.
func TestRestartedVMLearnsBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newModel(9, 18, 1)
		m.play(8*time.Second, 15, 5)
		require.Equal(t, 9, m.blockedAt("bad"))
		m.network.Lock()
		m.vms[4] = m.newVM(4)
		m.network.Unlock()
		time.Sleep(50 * time.Millisecond)
		m.stateBlocks(3)
		require.Equal(t, 9, m.blockedAt("bad"))
		m.end()
	})
}

// TestStartedVMSendsWhatAllOthersRefuse guards against a VM that learns of blocks only when others happen to repeat them: callers
// repeat their requests at once, at any VM.
func TestStartedVMSendsWhatAllOthersRefuse(t *testing.T) {
	for _, vms := range []int{2, 3, 9, 70, 300} {
		synctest.Test(t, func(t *testing.T) {
			m := newModel(vms, 18, 1)
			m.repeated = "bad"
			m.play(6*time.Second, 2, 5)
			bad := NewFeatures(requestFeature("bad"))
			require.Error(t, m.vms[0].Check(bad))
			m.network.Lock()
			m.vms[0] = m.newVM(0)
			m.network.Unlock()
			ctx, end := context.WithCancel(t.Context())
			go func() { _ = m.vms[0].Run(ctx) }()
			time.Sleep(20 * time.Millisecond)
			require.Error(t, m.vms[0].Check(bad), "%d VMs", vms)
			end()
			m.end()
		})
	}
}

// TestRollOfVMsKeepsBlocks guards against blocks that get lost while VMs are restarted, any two at a time: those that are
// to repeat a block may have just started themselves.
func TestRollOfVMsKeepsBlocks(t *testing.T) {
	for seed := range 3 {
		synctest.Test(t, func(t *testing.T) {
			m := newModel(6, 18, uint64(seed))
			m.play(provenTime+8*time.Second, 15, 5) // the first trial has failed
			require.Equal(t, 6, m.blockedAt("bad"))
			crashes := len(m.crashes)
			for i := range m.vms {
				for j := range i {
					m.network.Lock()
					m.vms[i], m.vms[j] = m.newVM(i), m.newVM(j)
					m.network.Unlock()
					m.stateBlocks(3)
					require.Equal(t, 6, m.blockedAt("bad"), "seed %d: after VMs %d and %d have started again", seed, i, j)
				}
			}
			m.play(3*time.Second, 15, 5)
			require.Len(t, m.crashes, crashes)
			m.end()
		})
	}
}

// TestBytesFromBeforeACrashRefuteNothing guards against taking what arrives late, after a partition or a suspension, for a
// sign of life.
func TestBytesFromBeforeACrashRefuteNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newModel(3, 3, 1)
		target := targetlimit.Incarnation{ID: "t-1"}
		feature := PartFeature("s", "bad")
		early, err := m.vms[0].Begin(target, "r-0", SharedFeatures(PartFeature("s", "sound")), func() {})
		require.NoError(t, err)
		lost, err := m.vms[1].Begin(target, "r-1", SharedFeatures(feature), func() {})
		require.NoError(t, err)
		lost.Crashed()
		time.Sleep(3 * time.Second)
		early.Answered()
		time.Sleep(time.Second)
		require.False(t, m.isRefuted(2, target))
		late, err := m.vms[0].Begin(target, "r-2", SharedFeatures(PartFeature("s", "sound")), func() {})
		require.NoError(t, err)
		late.Answered()
		time.Sleep(time.Second)
		require.True(t, m.isRefuted(2, target))
		m.end()
	})
}

// TestBlockEndsWithOneTrial guards against all VMs trying a blocked part at once when its time is over, and against one
// that is refused for good though targets were mended.
func TestBlockEndsWithOneTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newModel(70, 36, 1)
		m.play(6*time.Second, 60, 5)
		require.Equal(t, 70, m.blockedAt("bad"))
		crashes, sent := len(m.crashes), len(m.sent)
		time.Sleep(blockTime)
		m.play(2*time.Minute, 0, 5)
		require.Greater(t, len(m.crashes), crashes, "no trial was made")
		require.LessOrEqual(t, len(m.sent)-sent, maxLate, "trials in the fleet")
		feature := PartFeature("s", "bad")
		require.Equal(t, 1, m.failures(0, feature))
		m.vms[7].HandleMessage(vmName(3), Message{Kind: Answered, Features: []Feature{feature}})
		require.NoError(t, m.vms[7].Check(SharedFeatures(feature)))
		m.end()
	})
}

// TestMendedTargetsServeBlockedPartAtAllVMs guards against a trial that succeeds and of which no other VM hears, long after
// the crashes are forgotten.
func TestMendedTargetsServeBlockedPartAtAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newModel(70, 36, 1)
		m.play(6*time.Second, 60, 5)
		require.Equal(t, 70, m.blockedAt("bad"))
		time.Sleep(blockTime)
		for _, vm := range m.vms {
			vm.reconsider()
		}
		m.mu.Lock()
		m.mended = true
		sent := len(m.sent)
		m.mu.Unlock()
		m.play(4*trialPeriod, 0, 5)
		require.Greater(t, len(m.sent), sent, "no trial was made")
		require.Zero(t, m.blockedAt("bad"))
		m.end()
	})
}

// TestRequestThatCrashesTargetsIsRefusedWithoutOtherAnswers plays one request that is repeated at all VMs, plain or beside
// sound ones with the same parts, with few targets of which all are down at times, and late and lost messages.
func TestRequestThatCrashesTargetsIsRefusedWithoutOtherAnswers(t *testing.T) {
	for _, size := range []struct {
		vms, targets, seeds int
		sound, bad          float64
	}{{1, 3, 20, 0, 5}, {9, 3, 20, 0, 5}, {9, 3, 20, 1, 5}, {9, 18, 10, 15, 5}, {9, 3, 4, 0, 60}, {70, 3, 3, 0, 5}, {70, 36, 1, 1, 20}, {300, 3, 1, 0, 20}, {300, 122, 1, 15, 5}} {
		t.Run(fmt.Sprintf("%d VMs, %d targets, %g/s beside %g/s", size.vms, size.targets, size.bad, size.sound), func(t *testing.T) {
			most, total := 0, 0
			for seed := range size.seeds {
				synctest.Test(t, func(t *testing.T) {
					m := newModel(size.vms, size.targets, uint64(seed))
					m.loss, m.late, m.repeated = 0.05, 0.05, "bad"
					m.play(100*time.Second, size.sound, size.bad)
					most, total = max(most, len(m.crashes)), total+len(m.crashes)
					require.LessOrEqual(t, m.lateRepetitions(), maxLate, "seed %d", seed)
					require.LessOrEqual(t, float64(m.refused["sound"]), 0.02*float64(m.served["sound"]), "seed %d: sound requests refused", seed)
					m.end()
				})
			}
			t.Logf("%.1f crashes in the mean, %d at most", float64(total)/float64(size.seeds), most)
		})
	}
}

// TestPopularRequestIsServedAfterOutages ends all targets four times within six seconds, while one sound request makes all of the
// traffic, answered before or for the first time: it must be served from five seconds after their last return on.
func TestPopularRequestIsServedAfterOutages(t *testing.T) {
	const outageGap = 2 * time.Second
	for _, size := range []struct {
		vms, targets, seeds int
		perSecond           float64
	}{{1, 3, 20, 40}, {9, 3, 6, 40}, {70, 6, 1, 20}, {300, 6, 1, 20}} {
		for _, restart := range []time.Duration{700 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
			for _, before := range []time.Duration{150 * time.Millisecond, 3 * time.Second} {
				t.Run(fmt.Sprintf("%d VMs, back after %v, asked for %v before", size.vms, restart, before), func(t *testing.T) {
					for seed := range size.seeds {
						synctest.Test(t, func(t *testing.T) {
							m := newModel(size.vms, size.targets, uint64(seed))
							m.repeated, m.mended, m.restart = "popular", true, restart
							time.AfterFunc(before, func() { m.crashEvery(outageGap, 4, 1) })
							m.play(before+4*outageGap+restart+5*time.Second, 0, size.perSecond)
							refused := m.refused["sound"]
							m.play(3*time.Second, 0, size.perSecond)
							require.NotZero(t, m.lostRequests)
							require.Equal(t, refused, m.refused["sound"], "seed %d: refused later", seed)
							m.end()
						})
					}
				})
			}
		}
	}
}

// TestContentThatCrashesTargetsForAnyAccountIsBlockedForAll guards against three crashes for each account that sends the
// same, and against refusing it to an account which it serves.
func TestContentThatCrashesTargetsForAnyAccountIsBlockedForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newModel(3, 3, 1)
		content := ContentFeature("s", "GET", "/x", nil)
		of := func(account string) Features { return NewFeatures(RequestFeature(content, account, nil, nil), content) }
		crash := func(number int, account string) {
			trial, err := m.vms[number%3].Begin(targetlimit.Incarnation{ID: fmt.Sprint("t-", number)}, fmt.Sprint("r-", number), of(account), func() {})
			require.NoError(t, err)
			trial.Crashed()
			time.Sleep(100 * time.Millisecond)
		}
		for number := range 3 {
			crash(number, "acme")
		}
		require.Error(t, m.vms[0].Check(of("acme")))
		require.NoError(t, m.vms[0].Check(of("other")))
		served, err := m.vms[1].Begin(targetlimit.Incarnation{ID: "t-9"}, "r-9", of("other"), func() {})
		require.NoError(t, err)
		served.Answered()
		time.Sleep(100 * time.Millisecond)
		require.Error(t, m.vms[0].Check(of("acme")), "an answer to another account")
		m.end()
	})
	synctest.Test(t, func(t *testing.T) {
		m := newModel(3, 3, 1)
		content := ContentFeature("s", "GET", "/x", nil)
		for number := range 4 {
			features := NewFeatures(RequestFeature(content, fmt.Sprint("account-", number), nil, nil), content)
			control, err := m.vms[number%3].Begin(targetlimit.Incarnation{ID: "t-c"}, fmt.Sprint("c-", number), SharedFeatures(PartFeature("s", "c")), func() {})
			require.NoError(t, err)
			trial, err := m.vms[number%3].Begin(targetlimit.Incarnation{ID: fmt.Sprint("t-", number)}, fmt.Sprint("r-", number), features, func() {})
			require.NoError(t, err)
			trial.Crashed()
			control.Answered()
			time.Sleep(100 * time.Millisecond)
		}
		for range 3 {
			control, err := m.vms[0].Begin(targetlimit.Incarnation{ID: "t-c"}, "c", SharedFeatures(PartFeature("s", "c")), func() {})
			require.NoError(t, err)
			control.Answered()
		}
		require.Error(t, m.vms[0].Check(NewFeatures(RequestFeature(content, "next", nil, nil), content)))
		m.end()
	})
}

// TestPartThatTwoBadRequestsShareIsServedAgain guards against refusing all requests with a common part for long because two
// requests that crash their targets have it: the trial has to be a sound one.
func TestPartThatTwoBadRequestsShareIsServedAgain(t *testing.T) {
	for _, size := range []struct{ vms, targets int }{{1, 3}, {9, 18}, {70, 36}} {
		for seed := range 5 {
			synctest.Test(t, func(t *testing.T) {
				m := newModel(size.vms, size.targets, uint64(seed))
				m.repeated, m.repeatedCount = "bad", 2
				m.play(2*provenTime, 15, 10)
				refused := m.refused["sound"]
				m.play(20*time.Second, 15, 10)
				require.Equal(t, refused, m.refused["sound"], "%d VMs, seed %d: sound requests refused", size.vms, seed)
				require.LessOrEqual(t, m.lateRepetitions(), maxLate, "%d VMs, seed %d", size.vms, seed)
				m.end()
			})
		}
	}
}
