package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/origin"
	"godwitcart/internal/poison"
	"godwitcart/internal/targetlimit"
)

// TestOriginMessagesKeepTheirContents checks the encoding of messages about where streams began.
func TestOriginMessagesKeepTheirContents(t *testing.T) {
	f := New(Options{Self: Member{Name: "vm-1"}})
	record := origin.Message{Kind: origin.Found, Record: origin.Record{Attempt: "a", Service: "s", Version: "v1", Account: "acme", TTL: time.Minute}}
	f.SendOrigin("vm-2", record)
	sent := <-f.direct
	require.Equal(t, "vm-2", sent.vm)
	require.Equal(t, record, marshalAndParse(t, sent.digest).Origin.unpack())
}

// TestPoisonMessagesKeepTheirContents checks the encoding of messages about requests that crash their targets, and that VMs
// of earlier versions take them for guest digests without loads.
func TestPoisonMessagesKeepTheirContents(t *testing.T) {
	f := New(Options{Self: Member{Name: "vm-1"}})
	for _, message := range []poison.Message{
		{Kind: poison.Crashed, Target: targetlimit.Incarnation{ID: "e1", StartedAt: 7}, Request: 1<<63 + 5, Features: []poison.Feature{1 << 63, 2}, Age: 40 * time.Millisecond},
		{Kind: poison.Blocked, Features: []poison.Feature{3}, Age: time.Second, Remaining: -time.Minute, Failures: 2},
		{Kind: poison.Blocked, Features: []poison.Feature{3}, NamesRequest: true, Remaining: time.Second, Duration: 2 * time.Second},
		{Kind: poison.Tried, Features: []poison.Feature{3}},
	} {
		f.SendPoison("", message)
		sent := <-f.direct
		require.Empty(t, sent.vm, "it is for all VMs")
		parsed := marshalAndParse(t, sent.digest)
		require.Equal(t, message, parsed.Poison.unpack())
		require.True(t, parsed.Guest)
		require.Empty(t, parsed.Loads)
	}
}

// TestTurnedAwayMessageKeepsItsContents checks the encoding of the word that a brittle target had no room.
func TestTurnedAwayMessageKeepsItsContents(t *testing.T) {
	f := New(Options{Self: Member{Name: "vm-1"}})
	target := targetlimit.Incarnation{ID: "p1", StartedAt: 7}
	f.SendPermit("", targetlimit.Message{TurnedAway: &target})
	sent := <-f.direct
	require.Equal(t, targetlimit.Message{TurnedAway: &target}, marshalAndParse(t, sent.digest).Permit.unpack())
}

// TestOthersThatAreNoHelp checks which VMs are not asked for tunnels: those that are cut off, or silent while others are
// heard.
func TestOthersThatAreNoHelp(t *testing.T) {
	now := time.Now()
	members := map[string]Member{"fresh": {Name: "fresh"}, "cut": {Name: "cut"}, "frozen": {Name: "frozen"}, "lost": {Name: "lost"}, "new": {Name: "new"}}
	f := New(Options{Self: Member{Name: "vm-1"}})
	f.SetMembers(members)
	for name := range members {
		f.discoveredAt[name] = now.Add(-time.Minute)
	}
	f.discoveredAt["new"] = now
	f.peers["fresh"] = &peer{heardAt: now}
	f.peers["cut"] = &peer{heardAt: now, cutOff: true}
	f.peers["frozen"] = &peer{heardAt: now.Add(-2 * helpSilence)}
	require.Equal(t, map[Member]bool{{Name: "fresh"}: false, {Name: "cut"}: true, {Name: "frozen"}: true, {Name: "lost"}: true, {Name: "new"}: false}, f.Others())
}
