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
	// service ignores fencing numbers.
	service = policy.Service{Name: "s", Loads: []policy.Variant{v2}}
)

func TestDecide(t *testing.T) {
	old := func(name string) order.Replica {
		return order.Replica{Target: name, Known: true, Loaded: []policy.Variant{v1}}
	}
	with := func(r order.Replica, change func(*order.Replica)) order.Replica {
		change(&r)
		return r
	}
	drained := func(name string) order.Replica {
		return with(old(name), func(r *order.Replica) { r.Drained = true })
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
		{"drains within the bound", nil, []order.Replica{old("a"), old("b"), old("c")}, []order.Action{drain("a"), drain("b")}},
		{"counts unknown replicas as out", nil,
			[]order.Replica{old("a"), old("b"), {Target: "c"}}, []order.Action{drain("a")}},
		{"counts operators' drains as out", nil,
			[]order.Replica{with(old("x"), func(r *order.Replica) { r.Reserved = true }), old("a"), old("b")}, []order.Action{drain("a")}},
		{"waits for running generations", nil, []order.Replica{drained("a"), drained("b"), old("c")}, nil},
		{"unloads when idle", nil, []order.Replica{idle("a"), drained("b")}, []order.Action{unload}},
		{"loads into the room", nil, []order.Replica{empty("a")}, []order.Action{load}},
		{"keeps to the weight store's rate", func(p *order.Plan) { p.Loads = 0 }, []order.Replica{empty("a")}, nil},
		{"waits for a pending order", nil,
			[]order.Replica{with(empty("a"), func(r *order.Replica) { r.Pending = true })}, nil},
		{"returns when loaded", nil, []order.Replica{loaded("a")}, []order.Action{{Kind: order.ActionReturn, Target: "a"}}},
		{"loads beside the old version where there is room", func(p *order.Plan) { p.Room = 2 }, []order.Replica{old("a")}, []order.Action{load}},
		{"a chunk waits for its slowest", func(p *order.Plan) { p.ChunkSize = 2 }, []order.Replica{idle("a"), drained("b")}, []order.Action{unload}},
		{"a chunk does not begin the next step early", func(p *order.Plan) { p.ChunkSize = 2 }, []order.Replica{empty("a"), drained("b")}, nil},
		{"a chunk larger than may be out is cut", func(p *order.Plan) { p.ChunkSize = 9 },
			[]order.Replica{idle("a"), drained("b"), old("c")}, []order.Action{unload}},
		{"a stray version is undone", nil,
			[]order.Replica{with(loaded("a"), func(r *order.Replica) { r.Loaded = []policy.Variant{v2, v1} })}, []order.Action{unload}},
		{"nothing to do", nil, []order.Replica{with(loaded("a"), func(r *order.Replica) { r.Drained = false })}, nil},
		{"leaves a leaving replica alone", nil, []order.Replica{with(old("a"), func(r *order.Replica) { r.Leaving = true })}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			plan := order.Plan{Desired: []policy.Variant{v2}, Room: 1, MaxOut: 2, ChunkSize: 1, Loads: 5}
			if test.change != nil {
				test.change(&plan)
			}
			require.Equal(t, test.want, order.Decide(plan, test.replicas))
		})
	}
}

func acquire(t *testing.T, store *objecttest.Store, holder string) *lease.Lease {
	t.Helper()
	held, err := lease.NewManager(lease.Options{Store: store, Holder: holder}).Acquire(t.Context(), order.LeasePrefix+"s")
	require.NoError(t, err)
	return held
}

func options(w *world) order.Options {
	return order.Options{Orderer: w, Drainer: w, Observer: w, MaxOut: 4, LoadsPerSecond: 0.5}
}

// rollout replaces the version of every replica, and returns the time it took and the lowest
// and mean capacity on the way.
func rollout(t *testing.T, w *world, change func(*order.Options)) (took time.Duration, lowest int, mean float64) {
	t.Helper()
	held := acquire(t, objecttest.NewStore(), "vm")
	ctx, cancel := context.WithCancel(t.Context())
	kept := make(chan error, 1)
	go func() { kept <- held.Keep(ctx) }()
	chosen := options(w)
	change(&chosen)
	reconciler := order.NewReconciler(chosen, "s", held)
	begin, steps, sum := time.Now(), 0, 0
	lowest = len(w.names)
	for !w.finished() {
		reconciler.Step(ctx, service)
		time.Sleep(time.Second)
		lowest = min(lowest, w.capacity())
		sum += w.capacity()
		steps++
		require.Less(t, steps, 10000, "the rollout does not end")
	}
	took = time.Since(begin)
	cancel()
	require.NoError(t, <-kept)
	require.Zero(t, w.cut, "requests cut off")
	return took, lowest, float64(sum) / float64(steps)
}

func TestRolloutOver18Replicas(t *testing.T) {
	type choice struct{ room, chunk, maxOut int }
	took := make(map[choice]time.Duration)
	for _, room := range []int{1, 2} {
		for _, each := range []choice{{room, 1, 4}, {room, 2, 4}, {room, 4, 4}, {room, 1, 1}, {room, 1, 0}} {
			synctest.Test(t, func(t *testing.T) {
				time, lowest, mean := rollout(t, newWorld(18, false), func(o *order.Options) {
					o.Room, o.ChunkSize, o.MaxOut = each.room, each.chunk, each.maxOut
				})
				t.Logf("%+v: %v, lowest capacity %d, mean %.1f of 18", each, time, lowest, mean)
				require.GreaterOrEqual(t, lowest, 14)
				took[each] = time
			})
		}
		require.Less(t, took[choice{room, 1, 4}], took[choice{room, 4, 4}], "each replica by itself against a barrier")
	}
}

func TestRolloutWithLostAnswersAndStrayOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(5, true)
		w.lose = true
		w.engines["t03"].loaded = nil
		w.engines["t04"].loaded = append(w.engines["t04"].loaded, newVariant)
		rollout(t, w, func(*order.Options) {})
	})
}

func TestPausedHolderSendsNothingAndItsSuccessorWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, w := objecttest.NewStore(), newWorld(2, false)
		w.engines["t00"].loaded = nil
		paused := order.NewReconciler(options(w), "s", acquire(t, store, "a"))
		other := lease.NewManager(lease.Options{Store: store, Holder: "b"})
		_, err := other.Acquire(t.Context(), order.LeasePrefix+"s")
		require.Error(t, err)
		time.Sleep(lease.DefaultTerm)
		held, err := other.Acquire(t.Context(), order.LeasePrefix+"s")
		require.NoError(t, err)

		checking := service
		checking.ChecksFencing = true
		paused.Step(t.Context(), checking)
		require.Zero(t, w.orders, "the lease is over")
		require.Empty(t, w.owners)
		successor := order.NewReconciler(options(w), "s", held)
		successor.Step(t.Context(), service)
		require.Zero(t, w.orders, "an order may still reach a target whose clock is behind")
		time.Sleep(order.DefaultClockSkew)
		successor.Step(t.Context(), service)
		require.Equal(t, 1, w.orders)
	})
}
