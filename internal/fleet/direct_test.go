package fleet

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

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
		require.Equal(t, message, parsed.Poison.unpack(parsed.PoisonAddition))
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

// pauseLog records what it is told.
type pauseLog struct {
	from []netip.Addr
	told []Pause
}

func (l *pauseLog) HandlePause(from netip.Addr, pause Pause) {
	l.from, l.told = append(l.from, from), append(l.told, pause)
}

// TestPausesAreToldByVMsOfTheDirectory checks the encoding of the word that a target asks for a pause, and that it counts only
// from a VM of the directory.
func TestPausesAreToldByVMsOfTheDirectory(t *testing.T) {
	var log pauseLog
	f := New(Options{Self: Member{Name: "vm-1"}, Pauses: &log})
	address := netip.MustParseAddrPort("10.0.0.2:7000")
	f.SetMembers(map[string]Member{"vm-2": {Name: "vm-2", Address: address}})
	pause := Pause{Target: "t", StartedAt: 7, Address: "10.0.0.9:80", Remaining: 3 * time.Second, ForCarrier: true}
	f.SendPause(address.Addr(), pause)
	sent := <-f.direct
	require.Equal(t, "vm-2", sent.vm)
	received := marshalAndParse(t, sent.digest)
	require.True(t, received.Guest)
	for _, sender := range []string{"vm-2", "vm-3"} {
		received.VM = sender
		require.True(t, f.handleDirect(received, time.Now()))
	}
	require.Equal(t, []netip.Addr{address.Addr()}, log.from)
	require.InDelta(t, pause.Remaining, log.told[0].Remaining, float64(time.Second))
	log.told[0].Remaining = pause.Remaining
	require.Equal(t, pause, log.told[0])
	f.SendPause(netip.MustParseAddr("10.0.0.3"), pause)
	require.Empty(t, f.direct, "no VM has the address")
}

// earlierDigest is the digest with a message about crashes as the builds up to c669ad0 know it.
type earlierDigest struct {
	VM     string                `msgpack:"v"`
	Guest  bool                  `msgpack:"i,omitempty"`
	Poison *earlierPoisonMessage `msgpack:"x,omitempty"`
}

type earlierPoisonMessage struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack        struct{} `msgpack:",as_array"`
	Kind            uint8
	Target          string
	StartedAt       int64
	Request         uint64
	Features        []uint64
	AgeMillis       int64
	RemainingMillis int64
	Failures        int
}

// TestEarlierBuildsUnderstandPoisonMessages guards against blocks and crashes that get lost between builds while VMs are replaced.
func TestEarlierBuildsUnderstandPoisonMessages(t *testing.T) {
	f := New(Options{Self: Member{Name: "vm-1"}})
	f.SendPoison("", poison.Message{Kind: poison.Blocked, Features: []poison.Feature{3}, NamesRequest: true, Remaining: time.Second, Duration: 2 * time.Second, Failures: 1})
	newer := (<-f.direct).digest
	sent, err := newer.marshal()
	require.NoError(t, err)
	var heard earlierDigest
	require.NoError(t, msgpack.Unmarshal(sent, &heard))
	require.Equal(t, &earlierPoisonMessage{Kind: uint8(poison.Blocked), Features: []uint64{3}, RemainingMillis: 1000, Failures: 1}, heard.Poison)
	sent, err = msgpack.Marshal(&earlierDigest{VM: "vm-2", Guest: true, Poison: &earlierPoisonMessage{Kind: uint8(poison.Crashed), Target: "e", Request: 5, Features: []uint64{3, 4}}})
	require.NoError(t, err)
	parsed, err := parseDigest(sent)
	require.NoError(t, err)
	require.Equal(t, poison.Message{Kind: poison.Crashed, Target: targetlimit.Incarnation{ID: "e"}, Request: 5, Features: []poison.Feature{3, 4}}, parsed.Poison.unpack(parsed.PoisonAddition))
}
