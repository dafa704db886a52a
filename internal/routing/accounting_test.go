package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitcart/internal/membership"
	_ "godwitcart/internal/rapidseed" // fixes the seed
)

// TestTargetStateMatchesAttempts makes random decisions and checks that a target's state is the sum of its
// attempts, and zero once all have ended.
func TestTargetStateMatchesAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newFleet("regina-a", "regina-b", "moosejaw")
		now := startTime
		var open, ended []Choice
		produced := map[*reservation]int{}
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				q := engineQuery()
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
					table.ApplyReport(name, idleReport(now), now)
				}
			},
			"priorities": func(t *rapid.T) {
				table.SetPriorities(rapid.SliceOfN(rapid.IntRange(0, 9), 1, 12).Draw(t, "priorities"))
			},
			"": func(t *rapid.T) {
				for _, s := range table.sortedShards() {
					for _, target := range s.sortedTargets {
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
		for _, target := range table.shard("godwit-lm").sortedTargets {
			require.Zero(t, target.ownTokens)
		}
	})
}

func requireConsistent(t *rapid.T, target *target) {
	tokens, ranks := 0, [maxPriorityRanks]memoryForecast{}
	for i, r := range target.reservations {
		require.Equal(t, i, r.index)
		tokens += r.promptTokens + r.produced
		ranks[r.rank].addScaled(&r.forecast, 1)
	}
	require.Equal(t, tokens, target.ownTokens)
	for rank := range ranks {
		for i := range horizons {
			require.InDelta(t, ranks[rank].mean[i], target.rankForecasts[rank].mean[i], 1e-3)
			require.GreaterOrEqual(t, target.rankForecasts[rank].mean[i], -1e-3)
		}
	}
	require.Equal(t, membership.StateLive, target.vm.State)
}
