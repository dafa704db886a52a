package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "godwitcart/internal/rapidseed"
	"godwitcart/internal/wire/enginewire"
	"godwitcart/internal/wire/platformwire"
)

var start = time.Date(2026, 12, 3, 5, 0, 0, 0, time.UTC)

func listOf(leaving bool) platformwire.VMList {
	return platformwire.VMList{VMs: []platformwire.VM{
		{Name: "a-1", Role: "entry", Zone: "a", PeerAddress: "127.0.0.1:1"},
		{Name: "a-2", Role: "entry", Zone: "a", PeerAddress: "127.0.0.1:2"},
		{Name: "lm-1", Role: "target", Zone: "a", Service: "lm", Leaving: leaving},
	}}
}

func newDirectory(t require.TestingT, self string) *Directory {
	d := New(Options{Self: self, Zone: "a"})
	require.NoError(t, d.ApplyList(listOf(false), start))
	return d
}

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func TestTargetIsEligibleOnlyWhileLiveAndConfirmed(t *testing.T) {
	list := func(leaving bool, seconds float64) func(*Directory) {
		return func(d *Directory) { _ = d.ApplyList(listOf(leaving), at(seconds)) }
	}
	observe := func(s Observation) func(*Directory) { return func(d *Directory) { d.Observe(s) } }
	absent := func(d *Directory) {
		_ = d.ApplyList(platformwire.VMList{VMs: listOf(false).VMs[:2]}, at(20))
	}
	cases := map[string]struct {
		steps []func(*Directory)
		now   float64
		want  bool
	}{
		"listed only":                       {nil, 0, false},
		"confirmed":                         {[]func(*Directory){observe(Live("lm-1", "x", at(1)))}, 4, true},
		"confirmation too old":              {[]func(*Directory){observe(Live("lm-1", "x", at(1)))}, 4.1, false},
		"leaving":                           {[]func(*Directory){observe(Live("lm-1", "x", at(1))), observe(Leaving("lm-1", "x", at(1.5)))}, 2, false},
		"leaving then live":                 {[]func(*Directory){observe(Leaving("lm-1", "x", at(1))), observe(Live("lm-1", "x", at(2)))}, 2, false},
		"next incarnation":                  {[]func(*Directory){observe(Leaving("lm-1", "x", at(1))), observe(Live("lm-1", "y", at(2)))}, 2, true},
		"late report of an old incarnation": {[]func(*Directory){observe(Live("lm-1", "y", at(2))), observe(Leaving("lm-1", "x", at(1)))}, 3, true},
		"refusal without incarnation":       {[]func(*Directory){observe(Live("lm-1", "x", at(1))), observe(Leaving("lm-1", "", at(2)))}, 2, false},
		"refusal sent before a restart":     {[]func(*Directory){observe(Live("lm-1", "y", at(2))), observe(Leaving("lm-1", "", at(1)))}, 3, true},
		"unreachable":                       {[]func(*Directory){observe(Live("lm-1", "x", at(1))), observe(Unreachable("lm-1", at(2)))}, 2, false},
		"reachable again":                   {[]func(*Directory){observe(Unreachable("lm-1", at(1))), observe(Live("lm-1", "x", at(2)))}, 3, true},
		"plain service restarted":           {[]func(*Directory){observe(Leaving("lm-1", "", at(1))), observe(Live("lm-1", "", at(2)))}, 3, true},
		"long-known incarnation marked":     {[]func(*Directory){observe(Live("lm-1", "x", at(1))), list(true, 20), list(false, 22), observe(Live("lm-1", "x", at(23)))}, 23, false},
		"restarted after the mark":          {[]func(*Directory){observe(Live("lm-1", "x", at(1))), list(true, 20), observe(Live("lm-1", "y", at(23)))}, 23, true},
		"recent incarnation marked":         {[]func(*Directory){observe(Live("lm-1", "x", at(1))), list(true, 4)}, 4, false},
		"mark referred to the incarnation before": {[]func(*Directory){observe(Live("lm-1", "x", at(1))), list(true, 4), list(false, 6),
			observe(Live("lm-1", "x", at(7)))}, 7, true},
		"recent incarnation marked, then restarted": {[]func(*Directory){observe(Live("lm-1", "x", at(1))), list(true, 4), observe(Live("lm-1", "y", at(5)))}, 5, true},
		"no longer listed":                          {[]func(*Directory){observe(Live("lm-1", "x", at(19))), absent}, 20, false},
		"listed again":                              {[]func(*Directory){absent, list(false, 21), observe(Live("lm-1", "x", at(21)))}, 21, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDirectory(t, "a-1")
			for _, step := range c.steps {
				step(d)
			}
			require.Equal(t, c.want, len(d.EligibleTargets("lm", at(c.now))) == 1)
			require.Equal(t, c.want, d.IsEligible("lm-1", at(c.now)))
		})
	}
}

func TestEmptyListIsRejected(t *testing.T) {
	d := newDirectory(t, "a-1")
	require.Error(t, d.ApplyList(platformwire.VMList{}, at(1)))
	require.Len(t, d.EntryVMs(at(1)), 2)
}

func TestListChangesArePropagatedToPeers(t *testing.T) {
	sender, receiver := newDirectory(t, "a-1"), newDirectory(t, "a-2")
	require.Nil(t, sender.TakeListChanges(), "the first reading must not be sent as news")
	updated := listOf(true)
	updated.VMs = append(updated.VMs[1:], platformwire.VM{Name: "lm-2", Role: "target", Zone: "a", Service: "lm"})
	require.NoError(t, sender.ApplyList(updated, at(1)))
	listChanges := sender.TakeListChanges()
	require.Len(t, listChanges.Listed, 2)
	require.Equal(t, []string{"a-1"}, listChanges.Removed)
	receiver.MergeListChanges(listChanges, at(1))
	require.Equal(t, sender.index.Load(), receiver.index.Load())
	require.Nil(t, receiver.TakeListChanges(), "changes received from peers must not be sent on")

	require.NoError(t, receiver.ApplyList(listOf(true), at(2)))
	_, known := receiver.Get("lm-2")
	require.True(t, known)
	receiver.Observe(Live("lm-2", "x", at(2)))
	require.True(t, receiver.IsEligible("lm-2", at(2)), "a reading from before the peer's news must not undo it")
	require.NoError(t, receiver.ApplyList(listOf(true), at(20)))
	require.False(t, receiver.IsEligible("lm-2", at(2)))
	require.Nil(t, appendListChanges(nil, nil, nil))
	New(Options{}).MergeListChanges(listChanges, at(1))
}

func TestSubscribersAreNotifiedOfStateChangesOnly(t *testing.T) {
	d := newDirectory(t, "a-1")
	changes, cancel := d.Subscribe()
	defer cancel()
	d.Observe(Live("lm-1", "x", at(1)))
	require.Len(t, changes, 1)
	<-changes
	d.Observe(Live("lm-1", "x", at(2)))
	require.Empty(t, changes)
}

// drawFacts draws facts of three incarnations within six seconds, so that they often concern the same one.
func drawFacts(t *rapid.T) []fact {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fact {
		return fact{
			incarnation: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "incarnation"),
			state:       rapid.SampledFrom([]State{StateLive, StateLeaving, StateGone}).Draw(t, "state"),
			aliveAt:     at(float64(rapid.IntRange(0, 5).Draw(t, "second"))),
		}
	}), 0, 12).Draw(t, "facts")
}

func mergeAll(facts []fact) *entry {
	e := &entry{list: listStatus{present: true}}
	for _, f := range facts {
		e.merge(f)
	}
	return e
}

// TestMergeIsCommutativeIdempotentAndMonotonic checks that neither the order nor a repetition of facts changes the
// result of merging them, and that the state of an incarnation never decreases.
func TestMergeIsCommutativeIdempotentAndMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		facts := drawFacts(t)
		want := mergeAll(facts)
		require.Equal(t, want.facts, mergeAll(rapid.Permutation(facts).Draw(t, "order")).facts)
		require.Equal(t, want.facts, mergeAll(append(facts, facts...)).facts)
		e := mergeAll(nil)
		highest := map[string]State{}
		for _, f := range facts {
			e.merge(f)
			highest[f.incarnation] = max(highest[f.incarnation], f.state)
			for _, known := range e.facts {
				require.Equal(t, highest[known.incarnation], known.state)
			}
		}
	})
}

// TestNoObservationRevivesAnIncarnation checks that a target is never eligible under an incarnation that was observed
// to be leaving, whatever was observed later or arrived late.
func TestNoObservationRevivesAnIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDirectory(t, "a-1")
		hasLeft := map[string]bool{}
		for i := range rapid.IntRange(1, 20).Draw(t, "observations") {
			observation := Observation{
				VM: "lm-1", Incarnation: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "incarnation"),
				State: rapid.SampledFrom([]State{StateUnknown, StateLive, StateLeaving}).Draw(t, "state"),
				At:    at(float64(i) - rapid.Float64Range(0, 4).Draw(t, "delay")),
			}
			d.Observe(observation)
			hasLeft[observation.Incarnation] = hasLeft[observation.Incarnation] || observation.State == StateLeaving
			for _, vm := range d.EligibleTargets("lm", at(float64(i))) {
				require.False(t, hasLeft[vm.Incarnation])
			}
		}
	})
}

// TestDigestReplyCarriesReportsAndFacts checks that a requester receives a full report first, then compact ones, and a
// full one again once the fields that compact ones omit have changed.
func TestDigestReplyCarriesReportsAndFacts(t *testing.T) {
	watcher, requester := newDirectory(t, "a-1"), newDirectory(t, "a-2")
	report := enginewire.LoadReport{Incarnation: "x", MemoryTokens: 100, UsedTokens: 7, Loaded: []enginewire.ModelVariant{{Model: "m"}}}
	exchange := func(requestedAt, repliedAt time.Time) {
		request := requester.DigestRequest("a", requestedAt)
		request.Zone = "a"
		requester.MergeReply(request, watcher.DigestReply(request, repliedAt), requestedAt)
	}
	watcher.Observe(FromLoadReport("lm-1", report, at(1)))
	exchange(at(1.1), at(9))
	require.Empty(t, requester.EligibleTargets("lm", at(9)), "a slow answer must not make a report appear newer")
	exchange(at(1.1), at(1.2))
	load, _ := requester.Load("lm-1")
	require.Equal(t, report.Loaded, load.Loaded)

	report.UsedTokens = 9
	watcher.Observe(FromLoadReport("lm-1", report, at(3)))
	exchange(at(3.1), at(3.1))
	load, _ = requester.Load("lm-1")
	require.Equal(t, 9, load.UsedTokens)
	require.Len(t, requester.EligibleTargets("lm", at(5.9)), 1)

	report.Loaded = nil
	watcher.Observe(FromLoadReport("lm-1", report, at(5)))
	exchange(at(5.1), at(5.1))
	exchange(at(5.2), at(5.2))
	load, _ = requester.Load("lm-1")
	require.Empty(t, load.Loaded, "a changed identity must cause a request for the full report")

	watcher.Observe(Leaving("lm-1", "x", at(6)))
	requester.MergeFacts(watcher.RecentFacts(at(6)), time.Time{})
	require.Empty(t, requester.EligibleTargets("lm", at(6)))
}

func TestEachTargetHasTwoWatchersOfItsZone(t *testing.T) {
	entries := []VM{{Name: "a-1", Zone: "a"}, {Name: "a-2", Zone: "a"}, {Name: "a-3", Zone: "a"}, {Name: "b-1", Zone: "b"}}
	candidates := newWatcherCandidates("a-1", entries)
	for i := range 100 {
		name := fmt.Sprintf("t-%d", i)
		local := candidates.watchers(VM{Name: name, Zone: "a"})
		require.NotEqual(t, local[0], local[1])
		require.NotContains(t, local, "b-1")
		fallback := candidates.watchers(VM{Name: name, Zone: "b"})
		require.NotEqual(t, fallback[0], fallback[1])
		entries[0].State = StateLeaving
		require.NotContains(t, newWatcherCandidates("a-2", entries).watchers(VM{Name: name, Zone: "a"}), "a-1")
		entries[0].State = StateUnknown
	}
	require.Empty(t, rankWatchedTargets("b-1", "b", []VM{{Name: "t", Zone: "a"}}, entries))
	require.Len(t, rankWatchedTargets("b-1", "b", []VM{{Name: "t", Zone: "a"}}, entries[2:]), 1)
}
