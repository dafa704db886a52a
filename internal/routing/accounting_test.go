package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitcart/internal/membership"
	_ "godwitcart/internal/rapidseed" // fixes the seed
)

// TestTargetHoldsWhatItsAttemptsHold plays random decisions and checks that what a target holds is
// the sum of its attempts, and nothing once all have ended.
func TestTargetHoldsWhatItsAttemptsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newFleet("regina-a", "regina-b", "moosejaw")
		now := start
		var open, ended []Choice
		produced := map[*reservation]int{}
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				q := query()
				q.Priority = rapid.SampledFrom([]int{0, 1, 5, 9}).Draw(t, "priority")
				q.PromptTokens = rapid.IntRange(1, 500).Draw(t, "prompt")
				if choice, err := table.Pick(q, now); err == nil {
					open = append(open, choice)
				}
			},
			"progress": func(t *rapid.T) {
				if len(open) > 0 {
					choice := rapid.SampledFrom(open).Draw(t, "attempt")
					produced[choice.reservation] += rapid.IntRange(0, 300).Draw(t, "tokens")
					table.Progress(choice, produced[choice.reservation])
				}
			},
			"progress after the end": func(t *rapid.T) {
				if len(ended) > 0 {
					table.Progress(rapid.SampledFrom(ended).Draw(t, "attempt"), 5000)
				}
			},
			"done": func(t *rapid.T) {
				if len(open) > 0 {
					at := rapid.IntRange(0, len(open)-1).Draw(t, "attempt")
					table.Done(open[at], rapid.SampledFrom([]Outcome{OutcomeCompleted, OutcomeRefused, OutcomeCanceled}).Draw(t, "outcome"), now)
					ended = append(ended, open[at])
					open = append(open[:at], open[at+1:]...)
				}
			},
			"report": func(t *rapid.T) {
				now = now.Add(300 * time.Millisecond)
				for _, name := range []string{"t0", "t1", "t2"} {
					table.ApplyReport(name, idle(now), now)
				}
			},
			"priorities": func(t *rapid.T) {
				table.SetPriorities(rapid.SliceOfN(rapid.IntRange(0, 9), 1, 12).Draw(t, "priorities"))
			},
			"": func(t *rapid.T) {
				for _, s := range table.allShards() {
					for _, target := range s.order {
						requireConsistent(t, target)
					}
				}
			},
		})
		for _, choice := range open {
			table.Done(choice, OutcomeCompleted, now)
		}
		for _, row := range table.Rows(now) {
			require.Zero(t, row.InProgress)
		}
		for _, target := range table.shard("godwit-lm").order {
			require.Zero(t, target.tokens)
		}
	})
}

func requireConsistent(t *rapid.T, target *target) {
	tokens, ranks := 0, [maxRanks]demand{}
	for i, r := range target.reservations {
		require.Equal(t, i, r.index)
		tokens += r.prompt + r.produced
		ranks[r.rank].add(&r.demand, 1)
	}
	require.Equal(t, tokens, target.tokens)
	for rank := range ranks {
		for i := range horizons {
			require.InDelta(t, ranks[rank].mean[i], target.ranks[rank].mean[i], 1e-3)
			require.GreaterOrEqual(t, target.ranks[rank].mean[i], -1e-3)
		}
	}
	require.Equal(t, membership.StateLive, target.vm.State)
}
