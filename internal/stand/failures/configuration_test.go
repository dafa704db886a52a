package failures

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func observation(entry string, seconds float64, version uint64, share int) Observation {
	return Observation{Entry: entry, Sent: at(seconds), Received: at(seconds + 0.1), Version: version, Share: share}
}

// cleanChanges is a history in which version 2 is accepted at 1 s and another change is rejected. Entry e3 is cut off
// until 10 s and has the new version in force only later, within the limit after the cut.
func cleanChanges() *History {
	return &History{
		Zones: map[string]string{"e1": "zone-a", "e2": "zone-b", "e3": "zone-c"},
		Changes: []Change{
			{Share: 5, Ended: at(1), Outcome: ChangeAccepted, Version: 2},
			{Share: 6, Ended: at(1), Outcome: ChangeRejected},
			{Share: 7, Ended: at(2), Outcome: ChangeUnknown},
		},
		Observations: []Observation{
			observation("e1", 0, 1, 1), observation("e2", 0, 1, 1), observation("e3", 0, 1, 1),
			observation("e1", 1.5, 2, 5), observation("e2", 3, 1, 1), observation("e2", 5.2, 2, 5),
			observation("e3", 9, 1, 1), observation("e3", 13, 1, 1), observation("e3", 14.5, 2, 5),
		},
		Faults: []Fault{{Kind: CutZone, Subject: "zone-c", From: at(0.5), To: at(10)}},
	}
}

func TestCleanConfiguration(t *testing.T) {
	verdict := Check(*cleanChanges())
	require.True(t, verdict.Clean(), verdict.Examples)
	require.Equal(t, 1, verdict.ChangesAccepted)
	require.Equal(t, 1, verdict.ChangesRejected)
	require.Equal(t, 1, verdict.ChangesUnknown)
}

func TestEachConfigurationViolationIsCounted(t *testing.T) {
	observe := func(seen ...Observation) func(*History) {
		return func(h *History) { h.Observations = append(h.Observations, seen...) }
	}
	cases := map[string]struct {
		inject func(*History)
		want   ConfigurationVerdict
	}{
		"an entry VM reverts": {
			func(h *History) {
				h.Faults = append(h.Faults, Fault{Kind: KillEntry, Subject: "e1", From: at(15), To: at(20)})
				observe(observation("e1", 21, 1, 1))(h)
			},
			ConfigurationVerdict{ConfigurationReverts: 1},
		},
		"accepted but not in force": {
			observe(observation("e2", 5.15, 1, 1)), ConfigurationVerdict{AcceptedButNotInForce: 1},
		},
		"in force on one entry VM only": {
			func(h *History) {
				h.Changes = append(h.Changes, Change{Share: 8, Ended: at(17), Outcome: ChangeUnknown})
				observe(observation("e1", 15, 3, 8), observation("e2", 19.5, 2, 5))(h)
			},
			ConfigurationVerdict{TwoVersionsInForce: 1},
		},
		"rejected but in force": {
			observe(observation("e1", 15, 3, 6)), ConfigurationVerdict{RejectedButInForce: 1},
		},
		"an unapplied order": {
			func(h *History) { h.UnappliedOrders = []string{"engine-1"} }, ConfigurationVerdict{UnappliedOrders: 1},
		},
		"one version with two contents": {
			observe(observation("e1", 15, 2, 9)), ConfigurationVerdict{VersionContentMismatches: 1},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			history := cleanChanges()
			c.inject(history)
			verdict := Check(*history)
			require.False(t, verdict.Clean())
			require.NotEmpty(t, verdict.Examples)
			got := verdict.ConfigurationVerdict
			got.ChangesAccepted, got.ChangesRejected, got.ChangesUnknown, got.LongestInForceSeconds = 0, 0, 0, 0
			require.Equal(t, c.want, got)
		})
	}
}
