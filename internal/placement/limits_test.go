package placement_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/apierror"
	"godwitcart/internal/placement"
	"godwitcart/internal/roster"
)

// permits is a Limiter for one limited target that counts what the table asks of it.
type permits struct {
	limited string
	// brittle is set if the limited target is brittle.
	brittle bool
	mu      sync.Mutex
	// free is the number of permits, and saved those that an urgent request gets when it asks.
	free, saved int
	asked       []bool
	taken       int
	wait        time.Duration
	refused     bool
}

func (p *permits) MayTake(target roster.Target, _ time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.IsLimited(target) || p.free > 0
}

func (p *permits) Take(target roster.Target, _ time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.IsLimited(target) {
		p.taken++
		p.free--
	}
}

func (p *permits) IsLimited(target roster.Target) bool { return target.ID == p.limited }

func (p *permits) Ask(_ roster.Target, urgent bool, _ time.Duration, _ time.Time) {
	p.asked = append(p.asked, urgent)
	if urgent && p.saved > 0 {
		p.saved--
		p.free++
	}
}

func (p *permits) Wait(roster.Target, time.Time) (time.Duration, bool) { return p.wait, p.refused }

func (p *permits) NamesLimit(target roster.Target) bool { return p.IsLimited(target) }

func (p *permits) IsBrittle(target roster.Target) bool { return p.brittle && p.IsLimited(target) }

func (p *permits) MaxWaiting(roster.Target, time.Time) int { return 4 }

func (p *permits) IsCold(roster.Target, time.Time) bool { return false }

func (p *permits) Unreachable(roster.Target, time.Time, time.Time) {}

func (p *permits) Describe(roster.Target, time.Time) string { return "" }

// limitedTable returns a table of two targets of the service; the limiter decides on "limited".
func limitedTable(limits *permits, ids ...string) *placement.Table {
	limits.limited = "limited"
	table := placement.NewTable(placement.Options{Limits: limits})
	targets := make(map[string]roster.Target)
	for _, id := range ids {
		targets[id] = roster.Target{ID: id, Service: "s", Address: id, Zone: "a", Slots: 8}
	}
	table.ReplaceTargets(targets, time.Now())
	return table
}

// TestRequestsAvoidTargetWithoutPermit checks that another target takes a request, and that a permit is asked for in passing.
func TestRequestsAvoidTargetWithoutPermit(t *testing.T) {
	limits := &permits{}
	table := limitedTable(limits, "limited", "other")
	for range 20 {
		lease, err := table.Pick(placement.Query{Service: "s", Zone: "a"}, time.Now())
		require.NoError(t, err)
		require.Equal(t, "other", lease.Target.ID)
		lease.CountSend(time.Now())
	}
	require.NotContains(t, limits.asked, true)
	require.Len(t, limits.asked, 20)
	require.Zero(t, limits.taken)
}

// TestUrgentRequestsUseSavedPermits checks that a request takes a saved permit only if no other target can take it.
func TestUrgentRequestsUseSavedPermits(t *testing.T) {
	limits := &permits{saved: 1}
	table := limitedTable(limits, "limited", "other")
	query := placement.Query{Service: "s", Zone: "a"}
	lease, err := table.Acquire(t.Context(), query, time.Second)
	require.NoError(t, err)
	require.Equal(t, "other", lease.Target.ID)
	query.Excluded = []string{"other"}
	lease, err = table.Acquire(t.Context(), query, time.Second)
	require.NoError(t, err)
	require.Equal(t, "limited", lease.Target.ID)
	lease.CountSend(time.Now())
	lease.CountSend(time.Now())
	require.Equal(t, 1, limits.taken, "a request counts once")
}

// TestTransfersAvoidLimitedTargets checks that moves and copies do not go to a target in need, and that a backup there is
// used only with a permit.
func TestTransfersAvoidLimitedTargets(t *testing.T) {
	limits := &permits{free: 8}
	table := limitedTable(limits, "limited")
	query := placement.Query{Service: "s", Zone: "a", MemoryTokens: 1000, PromptTokens: 10}
	for _, change := range []func(*placement.Query){func(q *placement.Query) { q.Copy = true }, func(q *placement.Query) { q.Move = true }} {
		transfer := query
		change(&transfer)
		_, err := table.Pick(transfer, time.Now())
		require.True(t, apierror.Is(err, apierror.KindOverloaded))
	}
	backup := query
	backup.Move = true
	wanted := roster.Target{ID: "limited", Service: "s", Address: "limited", Zone: "a", Slots: 8}
	lease, usable := table.PickTarget(wanted, backup, time.Now())
	require.True(t, usable)
	require.Zero(t, limits.taken, "a continuation counts when it is sent")
	lease.CountSend(time.Now())
	require.Equal(t, 1, limits.taken)
	limits.free = 0
	_, usable = table.PickTarget(wanted, backup, time.Now())
	require.False(t, usable)
	table.ReserveLeaving(wanted, backup, time.Now()).CountSend(time.Now())
	require.Equal(t, 2, limits.taken, "what must go to the target counts without a permit")
}

// TestRequestWithoutPermitIsRefusedAtOnce checks that a request does not wait if the next permit comes too late.
func TestRequestWithoutPermitIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := limitedTable(&permits{refused: true, wait: 3 * time.Second}, "limited")
		started := time.Now()
		_, err := table.Acquire(t.Context(), placement.Query{Service: "s", Zone: "a"}, time.Second)
		require.Equal(t, started, time.Now())
		var refusal *apierror.Error
		require.ErrorAs(t, err, &refusal)
		require.Equal(t, apierror.KindOverloaded, refusal.Kind)
		require.GreaterOrEqual(t, refusal.RetryAfter, 3*time.Second)
		require.Less(t, refusal.RetryAfter, 6*time.Second)
	})
}

// TestRequestWaitsForItsPermit checks that a request is sent when its permit is granted in time, and refused at the latest
// when its patience ends.
func TestRequestWaitsForItsPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := &permits{}
		table := limitedTable(limits, "limited")
		query := placement.Query{Service: "s", Zone: "a"}
		started := time.Now()
		time.AfterFunc(20*time.Millisecond, func() {
			limits.mu.Lock()
			limits.free = 1
			limits.mu.Unlock()
			table.PermitAvailable()
		})
		lease, err := table.Acquire(t.Context(), query, time.Second)
		require.NoError(t, err)
		require.Equal(t, "limited", lease.Target.ID)
		require.Equal(t, []bool{true}, limits.asked)
		require.Equal(t, 20*time.Millisecond, time.Since(started))
		_, err = table.Acquire(t.Context(), query, time.Second)
		require.True(t, apierror.Is(err, apierror.KindOverloaded))
		require.Equal(t, 1020*time.Millisecond, time.Since(started))
	})
}

// TestBrittleTargetGetsNoMoreThanItRuns guards against requests that wait at a brittle target: it may let fewer wait at any
// time, and turn the next ones away.
func TestBrittleTargetGetsNoMoreThanItRuns(t *testing.T) {
	limits := &permits{free: 100, brittle: true}
	table := limitedTable(limits, "limited")
	now := time.Now()
	table.SetPeerLoads(placement.Sender{VM: "vm-2", Zone: "a"}, map[string]placement.Load{"limited": {Requests: 6}}, now)
	query := placement.Query{Service: "s", Zone: "a"}
	for range 2 {
		_, err := table.Pick(query, now)
		require.NoError(t, err)
	}
	_, err := table.Pick(query, now)
	require.True(t, apierror.Is(err, apierror.KindOverloaded), "%v", err)
	limits.brittle = false
	_, err = table.Pick(query, now)
	require.NoError(t, err)
}
