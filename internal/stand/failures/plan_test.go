package failures

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/stand/load"
)

func TestFaultsFollowTheSeed(t *testing.T) {
	draw := func(seed uint64) []action {
		f, err := newFleet(Options{Binaries: "bin", Directory: t.TempDir(), Seed: seed})
		require.NoError(t, err)
		t.Cleanup(f.stop)
		return newFaultGenerator(seed, f).faults(time.Minute)
	}
	first := draw(7)
	require.Equal(t, first, draw(7))
	require.NotEqual(t, first, draw(8))
	pairs := 0
	for i, a := range first {
		require.NotEmpty(t, a.subject)
		require.GreaterOrEqual(t, a.startAfter, warmUp)
		if i > 0 && a.startAfter == first[i-1].startAfter {
			pairs++
		}
	}
	require.Positive(t, pairs)
}

func TestZoneCutSparesLinksInside(t *testing.T) {
	f, err := newFleet(Options{Binaries: "bin", Directory: t.TempDir(), Seed: 1})
	require.NoError(t, err)
	t.Cleanup(f.stop)
	across := f.linksAcross("zone-a")
	require.Contains(t, across, f.links[linkKey{"zone-a", platformName}])
	require.Contains(t, across, f.links[linkKey{"zone-a", "engine-2"}])
	require.Contains(t, across, f.links[linkKey{"zone-b", "engine-1"}])
	require.NotContains(t, across, f.links[linkKey{"zone-a", "engine-1"}])
	require.NotContains(t, across, f.links[linkKey{"zone-b", "engine-3"}])
}

func TestAvailability(t *testing.T) {
	answered := func(seconds float64) load.Record {
		return load.Record{Started: at(seconds), Answers: []load.Answer{{Outcome: load.OutcomeAnswered, Ended: at(seconds + 1)}}}
	}
	failed := load.Record{Started: at(10), Answers: []load.Answer{{Outcome: load.OutcomeNone}}}
	got := measureAvailability([]load.Record{answered(0), answered(1), answered(6), failed})
	require.Equal(t, Availability{AnsweredShare: 0.75, WorstGapSeconds: 5}, got)
}
