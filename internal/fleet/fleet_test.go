package fleet_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/boottime"
	"godwitcart/internal/fleet"
	"godwitcart/internal/object/objecttest"
	"godwitcart/internal/placement"
	"godwitcart/internal/roster"
)

const (
	patience = 20 * time.Second
	poll     = 5 * time.Millisecond
)

// knowledge is a configuration whose proof the test sets.
type knowledge struct {
	mu      sync.Mutex
	version uint64
	proof   boottime.Instant
	// told is the newest proof that a peer gave, and newer the newest version that one named.
	told  boottime.Instant
	newer uint64
}

// Proof implements fleet.Knowledge.
func (k *knowledge) Proof() (uint64, boottime.Instant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.version, k.proof
}

// Prove implements fleet.Knowledge.
func (k *knowledge) Prove(version uint64, at boottime.Instant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.newer = max(k.newer, version)
	if version == k.version {
		k.told = max(k.told, at)
	}
}

func (k *knowledge) renew() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.proof = boottime.Now()
}

type vm struct {
	*fleet.Fleet
	table     *placement.Table
	knowledge *knowledge
	mu        sync.Mutex
	learnt    []roster.Target
	size      fleet.Size
	address   string
	stop      context.CancelFunc
	stopped   chan struct{}
}

// startFleet runs VMs that know each other, named by zone.
func startFleet(t *testing.T, zones map[string]string) map[string]*vm {
	t.Helper()
	members := make(map[string]fleet.Member)
	conns := make(map[string]net.PacketConn)
	for name, zone := range zones {
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		require.NoError(t, err)
		conns[name] = conn
		members[name] = fleet.Member{Name: name, Zone: zone, Address: netip.MustParseAddrPort(conn.LocalAddr().String())}
	}
	vms := make(map[string]*vm)
	for name, member := range members {
		v := &vm{address: member.Address.String(), knowledge: &knowledge{version: 3}, stopped: make(chan struct{})}
		v.table = placement.NewTable(placement.Options{Self: placement.Sender{VM: name, Zone: member.Zone}})
		v.table.Listed(map[string]roster.Target{"e1": {ID: "e1", Service: "drafter", Slots: 24, Zone: "a"}}, time.Now())
		v.Fleet = fleet.New(fleet.Options{
			Self: member, Table: v.table, Knowledge: v.knowledge, Conn: conns[name], Logger: log.New(io.Discard), InForceWithin: 4 * time.Second,
			SizeChanged: func(size fleet.Size) { v.mu.Lock(); defer v.mu.Unlock(); v.size = size },
			Learnt:      func(target roster.Target) { v.mu.Lock(); defer v.mu.Unlock(); v.learnt = append(v.learnt, target) },
		})
		others := make(map[string]fleet.Member)
		for other, known := range members {
			if other != name {
				others[other] = known
			}
		}
		v.SetMembers(others)
		ctx, cancel := context.WithCancel(context.Background())
		v.stop = cancel
		go func() {
			defer close(v.stopped)
			_ = v.Run(ctx)
		}()
		t.Cleanup(func() { cancel(); <-v.stopped })
		vms[name] = v
	}
	return vms
}

func (v *vm) seenSize() fleet.Size {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.size
}

// TestOneReaderPerZone checks that one VM of each zone reads closely while proofs are fresh, that another takes
// over when it stops, and that all read when nobody has a fresh proof.
func TestOneReaderPerZone(t *testing.T) {
	vms := startFleet(t, map[string]string{"vm-1": "a", "vm-2": "a", "vm-3": "a", "vm-4": "b", "vm-5": "b"})
	readers := func(zone string) (found []string) {
		for name, v := range vms {
			if v != nil && (name <= "vm-3") == (zone == "a") && v.Reader() {
				found = append(found, name)
			}
		}
		return found
	}
	renew := func() {
		for _, v := range vms {
			if v != nil {
				v.knowledge.renew()
			}
		}
	}
	settled := func() bool { renew(); return len(readers("a")) == 1 && len(readers("b")) == 1 }
	require.Eventually(t, settled, patience, poll)
	require.Eventually(t, func() bool { return vms["vm-1"].seenSize().Live == 5 }, patience, poll)
	first := readers("a")[0]
	vms[first].stop()
	<-vms[first].stopped
	vms[first] = nil
	require.Eventually(t, settled, patience, poll)
	require.NotEqual(t, first, readers("a")[0])
	require.Eventually(t, func() bool { return len(readers("a")) == 2 && len(readers("b")) == 2 }, patience, poll, "proofs are old and nobody reads")
}

// TestProofsAreDatedSafely checks that a proof told by a peer is never dated later than it was taken.
func TestProofsAreDatedSafely(t *testing.T) {
	vms := startFleet(t, map[string]string{"vm-1": "a", "vm-2": "a"})
	for _, v := range vms {
		v.knowledge.renew()
	}
	told := func(v *vm) boottime.Instant {
		v.knowledge.mu.Lock()
		defer v.knowledge.mu.Unlock()
		return v.knowledge.told
	}
	require.Eventually(t, func() bool { return told(vms["vm-1"]) != 0 || told(vms["vm-2"]) != 0 }, patience, poll)
	time.Sleep(500 * time.Millisecond)
	for name, other := range map[string]string{"vm-1": "vm-2", "vm-2": "vm-1"} {
		_, taken := vms[other].knowledge.Proof()
		require.LessOrEqual(t, told(vms[name]), taken)
	}
}

// TestSizeWhileCutOff lets a VM lose all others at once, as in a cut network, where they work on: what all share
// must not be shared by fewer.
func TestSizeWhileCutOff(t *testing.T) {
	vms := startFleet(t, map[string]string{"vm-1": "a", "vm-2": "a", "vm-3": "b", "vm-4": "c"})
	kept := vms["vm-1"]
	require.Eventually(t, func() bool { return kept.seenSize().Live == 4 }, patience, poll)
	for _, name := range []string{"vm-2", "vm-3", "vm-4"} {
		vms[name].stop()
	}
	require.Eventually(t, func() bool { return kept.seenSize().Live == 1 }, patience, poll)
	require.Equal(t, 4, kept.seenSize().Known)
}

// TestNews checks that loads, changes of targets and newer versions reach the other VMs.
func TestNews(t *testing.T) {
	vms := startFleet(t, map[string]string{"vm-1": "a", "vm-2": "b"})
	vms["vm-1"].knowledge.mu.Lock()
	vms["vm-1"].knowledge.version = 8
	vms["vm-1"].knowledge.mu.Unlock()
	vms["vm-1"].knowledge.renew()
	_, err := vms["vm-1"].table.Pick(placement.Query{Service: "drafter", MemoryTokens: 10000, PromptTokens: 9000}, time.Now())
	require.NoError(t, err)
	vms["vm-1"].Tell(roster.Target{ID: "e9", StartedAt: 7, Leaving: true})
	require.Eventually(t, func() bool {
		_, err := vms["vm-2"].table.Pick(placement.Query{Service: "drafter", MemoryTokens: 10000, PromptTokens: 9000, Priority: 1}, time.Now())
		return err != nil
	}, patience, poll, "the load of the peer does not count")
	require.Eventually(t, func() bool {
		vms["vm-2"].mu.Lock()
		defer vms["vm-2"].mu.Unlock()
		vms["vm-2"].knowledge.mu.Lock()
		defer vms["vm-2"].knowledge.mu.Unlock()
		return len(vms["vm-2"].learnt) > 0 && vms["vm-2"].learnt[0].ID == "e9" && vms["vm-2"].knowledge.newer == 8
	}, patience, poll)
}

// TestManyChanges tells of more changes than a digest holds: the other VMs must still hear this one, and learn the
// newest.
func TestManyChanges(t *testing.T) {
	vms := startFleet(t, map[string]string{"vm-1": "a", "vm-2": "a"})
	require.Eventually(t, func() bool { return vms["vm-2"].seenSize().Live == 2 }, patience, poll)
	const changes = 3000
	for i := range changes {
		vms["vm-1"].Tell(roster.Target{ID: fmt.Sprint("target-", i), Service: "drafter", Address: "192.0.2.17:8080", Zone: "a", Slots: 24, StartedAt: 1700000000000})
	}
	newest := fmt.Sprint("target-", changes-1)
	require.Eventually(t, func() bool {
		vms["vm-2"].mu.Lock()
		defer vms["vm-2"].mu.Unlock()
		return slices.ContainsFunc(vms["vm-2"].learnt, func(target roster.Target) bool { return target.ID == newest })
	}, patience, poll)
}

// TestMalformedDigest checks that bytes that are no digest change nothing.
func TestMalformedDigest(t *testing.T) {
	vms := startFleet(t, map[string]string{"vm-1": "a", "vm-2": "a"})
	stranger, err := net.Dial("udp4", vms["vm-1"].address)
	require.NoError(t, err)
	defer stranger.Close()
	for _, bytes := range []string{"", "\x00\xff", "{\"v\":\"vm-9\"}", "\x81\xa1v\xa0"} {
		_, err := stranger.Write([]byte(bytes))
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return vms["vm-1"].seenSize().Live == 2 && vms["vm-2"].seenSize().Live == 2 }, patience, poll)
}

// TestDirectory has VMs make themselves known and learn of each other.
func TestDirectory(t *testing.T) {
	store := objecttest.NewStore()
	var mu sync.Mutex
	known := make(map[string]map[string]fleet.Member)
	for _, name := range []string{"vm-1", "vm-2", "vm-3"} {
		directory := &fleet.Directory{
			Store: store, Self: fleet.Member{Name: name, Zone: "a", Address: netip.MustParseAddrPort("127.0.0.1:7")}, Logger: log.New(io.Discard),
			Changed: func(members map[string]fleet.Member) { mu.Lock(); defer mu.Unlock(); known[name] = members },
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = directory.Run(ctx) }()
		t.Cleanup(func() { cancel(); <-done })
	}
	_, err := store.Put(context.Background(), "entry-vms/broken", []byte("{"), 0)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(known["vm-1"]) == 2 && len(known["vm-2"]) == 2 && known["vm-3"]["vm-1"].Zone == "a"
	}, patience, poll)
}
