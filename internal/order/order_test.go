package order_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/lease"
	"godwitcart/internal/object/objecttest"
	"godwitcart/internal/order"
	"godwitcart/internal/policy"
)

var (
	v1 = policy.Variant{Model: "m", Version: "1"}
	v2 = policy.Variant{Model: "m", Version: "2"}
	// service does not check fencing tokens.
	service = policy.Service{Name: "s", Loads: []policy.Variant{v2}}
)

func TestDecide(t *testing.T) {
	outdated := func(name string) order.Replica {
		return order.Replica{Target: name, Known: true, Loaded: []policy.Variant{v1}}
	}
	with := func(r order.Replica, change func(*order.Replica)) order.Replica {
		change(&r)
		return r
	}
	drained := func(name string) order.Replica {
		return with(outdated(name), func(r *order.Replica) { r.Drained = true })
	}
	idle := func(name string) order.Replica {
		return with(drained(name), func(r *order.Replica) { r.Idle = true })
	}
	empty := func(name string) order.Replica {
		return with(idle(name), func(r *order.Replica) { r.Loaded = nil })
	}
	loaded := func(name string) order.Replica {
		return with(idle(name), func(r *order.Replica) { r.Loaded = []policy.Variant{v2} })
	}
	drain := func(name string) order.Action { return order.Action{Kind: order.ActionDrain, Target: name} }
	load := order.Action{Kind: order.ActionLoad, Target: "a", Variant: v2}
	unload := order.Action{Kind: order.ActionUnload, Target: "a", Variant: v1}
	tests := []struct {
		name     string
		change   func(*order.Plan)
		replicas []order.Replica
		want     []order.Action
	}{
		{"drains within the limit", nil, []order.Replica{outdated("a"), outdated("b"), outdated("c")}, []order.Action{drain("a"), drain("b")}},
		{"counts unknown replicas as unavailable", nil,
			[]order.Replica{outdated("a"), outdated("b"), {Target: "c"}}, []order.Action{drain("a")}},
		{"counts operators' drains as unavailable", nil,
			[]order.Replica{with(outdated("x"), func(r *order.Replica) { r.Reserved = true }), outdated("a"), outdated("b")}, []order.Action{drain("a")}},
		{"waits for running generations", nil, []order.Replica{drained("a"), drained("b"), outdated("c")}, nil},
		{"unloads when idle", nil, []order.Replica{idle("a"), drained("b")}, []order.Action{unload}},
		{"loads into free capacity", nil, []order.Replica{empty("a")}, []order.Action{load}},
		{"respects the weight store's rate limit", func(p *order.Plan) { p.LoadBudget = 0 }, []order.Replica{empty("a")}, nil},
		{"waits for a pending order", nil,
			[]order.Replica{with(empty("a"), func(r *order.Replica) { r.Pending = true })}, nil},
		{"returns to routing when loaded", nil, []order.Replica{loaded("a")}, []order.Action{{Kind: order.ActionReturn, Target: "a"}}},
		{"loads alongside the old version if capacity allows", func(p *order.Plan) { p.Capacity = 2 }, []order.Replica{outdated("a")}, []order.Action{load}},
		{"a chunk waits for its slowest replica", func(p *order.Plan) { p.ChunkSize = 2 }, []order.Replica{idle("a"), drained("b")}, []order.Action{unload}},
		{"no replica enters a stage before its chunk", func(p *order.Plan) { p.ChunkSize = 2 }, []order.Replica{empty("a"), drained("b")}, nil},
		{"limits a chunk to the replicas that may be unavailable", func(p *order.Plan) { p.ChunkSize = 9 },
			[]order.Replica{idle("a"), drained("b"), outdated("c")}, []order.Action{unload}},
		{"unloads an undesired version", nil,
			[]order.Replica{with(loaded("a"), func(r *order.Replica) { r.Loaded = []policy.Variant{v2, v1} })}, []order.Action{unload}},
		{"nothing to do", nil, []order.Replica{with(loaded("a"), func(r *order.Replica) { r.Drained = false })}, nil},
		{"ignores a leaving replica", nil, []order.Replica{with(outdated("a"), func(r *order.Replica) { r.Leaving = true })}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			plan := order.Plan{Desired: []policy.Variant{v2}, Capacity: 1, MaxUnavailable: 2, ChunkSize: 1, LoadBudget: 5}
			if test.change != nil {
				test.change(&plan)
			}
			require.Equal(t, test.want, order.Decide(plan, test.replicas))
		})
	}
}

func acquire(t *testing.T, store *objecttest.Store, holder string) *lease.Lease {
	t.Helper()
	l, err := lease.NewManager(lease.Options{Store: store, Holder: holder}).Acquire(t.Context(), order.LeasePrefix+"s")
	require.NoError(t, err)
	return l
}

func options(fake *fakeService) order.Options {
	return order.Options{Orderer: fake, Drainer: fake, Observer: fake, MaxUnavailable: 4, LoadsPerSecond: 0.5}
}

// rollout replaces the version on every replica. It returns the elapsed time and the lowest and mean
// number of serving replicas.
func rollout(t *testing.T, fake *fakeService, change func(*order.Options)) (elapsed time.Duration, lowest int, mean float64) {
	t.Helper()
	serviceLease := acquire(t, objecttest.NewStore(), "vm")
	ctx, cancel := context.WithCancel(t.Context())
	renewalErr := make(chan error, 1)
	go func() { renewalErr <- serviceLease.KeepAlive(ctx) }()
	opts := options(fake)
	change(&opts)
	reconciler := order.NewReconciler(opts, "s", serviceLease)
	begun, steps, servingTotal := time.Now(), 0, 0
	lowest = len(fake.names)
	for !fake.isRolledOut() {
		reconciler.Reconcile(ctx, service)
		time.Sleep(time.Second)
		lowest = min(lowest, fake.servingCount())
		servingTotal += fake.servingCount()
		steps++
		require.Less(t, steps, 10000, "the rollout does not end")
	}
	elapsed = time.Since(begun)
	cancel()
	require.NoError(t, <-renewalErr)
	require.Zero(t, fake.unloadsWhileBusy, "a target was unloaded while requests were running")
	return elapsed, lowest, float64(servingTotal) / float64(steps)
}

func TestRolloutOver18Replicas(t *testing.T) {
	type settings struct{ capacity, chunkSize, maxUnavailable int }
	elapsed := make(map[settings]time.Duration)
	for _, capacity := range []int{1, 2} {
		for _, each := range []settings{{capacity, 1, 4}, {capacity, 2, 4}, {capacity, 4, 4}, {capacity, 1, 1}, {capacity, 1, 0}} {
			synctest.Test(t, func(t *testing.T) {
				duration, lowest, mean := rollout(t, newFakeService(18, false), func(o *order.Options) {
					o.Capacity, o.ChunkSize, o.MaxUnavailable = each.capacity, each.chunkSize, each.maxUnavailable
				})
				t.Logf("%+v: %v, lowest capacity %d, mean %.1f of 18", each, duration, lowest, mean)
				require.GreaterOrEqual(t, lowest, 14)
				elapsed[each] = duration
			})
		}
		require.Less(t, elapsed[settings{capacity, 1, 4}], elapsed[settings{capacity, 4, 4}], "independent replicas must finish before those with barriers")
	}
}

func TestRolloutWithLostResponsesAndUnexpectedState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeService(5, true)
		fake.dropResponses = true
		fake.targets["t03"].loaded = nil
		fake.targets["t04"].loaded = append(fake.targets["t04"].loaded, newVariant)
		rollout(t, fake, func(*order.Options) {})
	})
}

// TestPausedHolderSendsNoOrdersAndSuccessorWaits lets the lease of a reconciler expire. That reconciler must
// send nothing. Its successor must wait for the clock skew before it sends an order, because the targets
// do not check fencing tokens.
func TestPausedHolderSendsNoOrdersAndSuccessorWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, fake := objecttest.NewStore(), newFakeService(2, false)
		fake.targets["t00"].loaded = nil
		paused := order.NewReconciler(options(fake), "s", acquire(t, store, "a"))
		other := lease.NewManager(lease.Options{Store: store, Holder: "b"})
		_, err := other.Acquire(t.Context(), order.LeasePrefix+"s")
		require.Error(t, err)
		time.Sleep(lease.DefaultTerm)
		successorLease, err := other.Acquire(t.Context(), order.LeasePrefix+"s")
		require.NoError(t, err)

		fencedService := service
		fencedService.ChecksFencing = true
		paused.Reconcile(t.Context(), fencedService)
		require.Zero(t, fake.orders, "an expired lease must prevent orders")
		require.Empty(t, fake.owners)
		successor := order.NewReconciler(options(fake), "s", successorLease)
		successor.Reconcile(t.Context(), service)
		require.Zero(t, fake.orders, "an order may still reach a target whose clock is behind")
		time.Sleep(order.DefaultClockSkew)
		successor.Reconcile(t.Context(), service)
		require.Equal(t, 1, fake.orders)
	})
}
