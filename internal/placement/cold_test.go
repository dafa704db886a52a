package placement_test

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/apierror"
	"godwitcart/internal/placement"
	"godwitcart/internal/roster"
	"godwitcart/internal/targetlimit"
)

// coldTable returns a table whose target "cold" is cold for a second, in a fleet of nine VMs.
func coldTable(ids ...string) *placement.Table {
	var table *placement.Table
	cold := targetlimit.NewColdTargets(targetlimit.ColdOptions{
		Logger: log.New(io.Discard), Bound: targetlimit.ColdBound{Overage: 1.5, Slack: 5},
		Rule:      func(string) targetlimit.ColdRule { return targetlimit.ColdRule{PerSecond: 32, Start: time.Second} },
		TurnComes: func(after time.Duration) { time.AfterFunc(after, func() { table.PermitAvailable() }) },
	})
	cold.SetVMs("vm-5", []string{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6", "vm-7", "vm-8", "vm-9"})
	table = placement.NewTable(placement.Options{Limits: targetlimit.NewLedger(targetlimit.Options{Logger: log.New(io.Discard), Cold: cold})})
	targets := make(map[string]roster.Target)
	for _, id := range ids {
		targets[id] = roster.Target{ID: id, Service: "s", Address: id, Zone: "a", Slots: 8}
	}
	cold.Stated(targets["cold"], time.Second, time.Now())
	table.ReplaceTargets(targets, time.Now())
	return table
}

// TestRequestsGoElsewhereThanToColdTarget checks that no request waits for its turn where another target can take it, and
// that moves and copies avoid the cold one.
func TestRequestsGoElsewhereThanToColdTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := coldTable("cold", "warm")
		started := time.Now()
		atCold := 0
		for range 100 {
			lease, err := table.Acquire(t.Context(), placement.Query{Service: "s", Zone: "a"}, time.Second)
			require.NoError(t, err)
			if lease.Target.ID == "cold" {
				atCold++
			}
		}
		require.Equal(t, started, time.Now())
		require.LessOrEqual(t, atCold, 1, "more than the turn of one moment")
		for _, query := range []placement.Query{{Copy: true}, {Move: true}} {
			query.Service, query.Zone, query.MemoryTokens, query.PromptTokens, query.Excluded = "s", "a", 1000, 10, []string{"warm"}
			_, err := table.Pick(query, started)
			require.True(t, apierror.Is(err, apierror.KindOverloaded), "%v", err)
		}
	})
}

// TestRequestsWaitForTheirTurnAtColdTarget checks that requests which only a cold target can take are sent at the turns of
// this VM, and at the end of the cold time; that one which cannot wait so long is refused at once with a Retry-After; and
// that a request which was held up after its turn is not sent.
func TestRequestsWaitForTheirTurnAtColdTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := coldTable("cold")
		started := time.Now()
		query := placement.Query{Service: "s", Zone: "a"}
		var lease *placement.Lease
		for sent := 0; time.Since(started) < time.Second; sent++ {
			var err error
			lease, err = table.Acquire(t.Context(), query, 2*time.Second)
			require.NoError(t, err)
			require.LessOrEqual(t, sent, 4, "more than the turns of one VM in %s", time.Since(started))
			require.NoError(t, lease.CheckLapsed(time.Now()))
			if time.Since(started) < 500*time.Millisecond {
				require.Error(t, lease.CheckLapsed(time.Now().Add(targetlimit.ColdSendDelay+1)))
				_, err = table.Acquire(t.Context(), query, time.Millisecond)
				require.True(t, apierror.Is(err, apierror.KindOverloaded), "%v", err)
				var refusal *apierror.Error
				require.ErrorAs(t, err, &refusal)
				require.Positive(t, refusal.RetryAfter)
				require.Contains(t, refusal.Error(), "cold for")
			}
			lease.Done(placement.Answered, time.Now())
		}
		require.Equal(t, time.Second, time.Since(started), "the end of the cold time woke no request")
	})
}

// TestUnreachableTargetMayComeBackCold checks that a target which a VM could not reach gets its requests by turns, since the
// VM may reach it again before it learns of the restart.
func TestUnreachableTargetMayComeBackCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := coldTable("cold", "warm")
		time.Sleep(time.Second)
		query := placement.Query{Service: "s", Zone: "a", Excluded: []string{"warm"}}
		lease, err := table.Pick(query, time.Now())
		require.NoError(t, err)
		lease.Done(placement.Unreachable, time.Now())
		time.Sleep(200 * time.Millisecond) // the backoff
		sent := 0
		for started := time.Now(); time.Since(started) < time.Second; time.Sleep(time.Millisecond) {
			if _, err := table.Pick(query, time.Now()); err == nil {
				sent++
			}
		}
		require.LessOrEqual(t, sent, 4)
		require.Positive(t, sent)
	})
}
