package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/roster"
)

// TestRemovalIsToldFromLeaving guards against a target that is out of use for good since peers take the word of its removal from
// the list for its own word that it is leaving.
func TestRemovalIsToldFromLeaving(t *testing.T) {
	gone := roster.Target{ID: "e1", StartedAt: 1, Leaving: true, Gone: true, Revision: 7}
	leaving := roster.Target{ID: "e2", StartedAt: 1, Leaving: true, Revision: 8}
	listed := roster.Target{ID: "e3", StartedAt: 1, Revision: 9, WarmupRemaining: time.Second}
	var sent digest
	for _, change := range []roster.Target{gone, leaving, listed} {
		sent.addChange(change)
	}
	datagram, err := sent.marshal()
	require.NoError(t, err)
	received, err := parseDigest(datagram)
	require.NoError(t, err)
	require.Equal(t, []roster.Target{gone, leaving, listed}, received.changedTargets())

	received.Revisions, received.Gone = nil, nil // as from an earlier build
	for _, change := range received.changedTargets()[:2] {
		require.True(t, change.Leaving)
		require.False(t, change.Gone)
		require.Zero(t, change.Revision)
	}
}

// TestLaterChangeReplacesEarlierOne guards against a digest that says of one target both that it was removed and that it is listed.
func TestLaterChangeReplacesEarlierOne(t *testing.T) {
	f := &Fleet{wake: make(chan struct{}, 1)}
	f.AnnounceChange(roster.Target{ID: "e1", Leaving: true, Gone: true, Revision: 7})
	f.AnnounceChange(roster.Target{ID: "e2", Revision: 8})
	f.AnnounceChange(roster.Target{ID: "e1", Revision: 9})
	var sent digest
	f.addDueChanges(&sent, time.Now())
	require.Equal(t, []roster.Target{{ID: "e2", Revision: 8}, {ID: "e1", Revision: 9}}, sent.changedTargets())
}
