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
	waitLimit    = 20 * time.Second
	pollInterval = 5 * time.Millisecond
)

// configuration is a ConfigurationState whose own proof is set by the test.
type configuration struct {
	mu      sync.Mutex
	version uint64
	proof   boottime.Instant
	// peerProof is the newest proof received from a peer, and newestNamed the newest version that a peer has named.
	peerProof   boottime.Instant
	newestNamed uint64
}

// Proof implements fleet.ConfigurationState.
func (c *configuration) Proof() (uint64, boottime.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version, c.proof
}

// RecordProof implements fleet.ConfigurationState.
func (c *configuration) RecordProof(version uint64, at boottime.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.newestNamed = max(c.newestNamed, version)
	if version == c.version {
		c.peerProof = max(c.peerProof, at)
	}
}

// HasLostPlatform implements fleet.ConfigurationState.
func (c *configuration) HasLostPlatform() bool { return false }

func (c *configuration) renew() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.proof = boottime.Now()
}

type vm struct {
	*fleet.Fleet
	table         *placement.Table
	evacuations   *evacuations
	configuration *configuration
	mu            sync.Mutex
	changes       []roster.Target
	size          fleet.Size
	address       string
	stop          context.CancelFunc
	stopped       chan struct{}
}

// startFleet runs VMs that know each other. zones maps the name of each VM to its zone.
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
		v := &vm{address: member.Address.String(), configuration: &configuration{version: 3}, evacuations: &evacuations{}, stopped: make(chan struct{})}
		v.table = placement.NewTable(placement.Options{Self: placement.Sender{VM: name, Zone: member.Zone}})
		v.table.ReplaceTargets(map[string]roster.Target{"e1": {ID: "e1", Service: "drafter", Slots: 24, Zone: "a"}}, time.Now())
		v.Fleet = fleet.New(fleet.Options{
			Self: member, Table: v.table, Configuration: v.configuration, Conn: conns[name], Logger: log.New(io.Discard), InForceWithin: 4 * time.Second, Evacuations: v.evacuations,
			SizeChanged:   func(size fleet.Size) { v.mu.Lock(); defer v.mu.Unlock(); v.size = size },
			TargetChanged: func(target roster.Target) { v.mu.Lock(); defer v.mu.Unlock(); v.changes = append(v.changes, target) },
		})
		others := make(map[string]fleet.Member)
		for other, peer := range members {
			if other != name {
				others[other] = peer
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

func (v *vm) reportedSize() fleet.Size {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.size
}

// TestOneReaderPerZoneAndFailover checks that one VM of each zone is the reader while proofs are fresh, that another
// one takes over when it stops, and that all VMs read when no proof is fresh.
func TestOneReaderPerZoneAndFailover(t *testing.T) {
	vms := startFleet(t, map[string]string{"vm-1": "a", "vm-2": "a", "vm-3": "a", "vm-4": "b", "vm-5": "b"})
	readers := func(zone string) (found []string) {
		for name, v := range vms {
			if v != nil && (name <= "vm-3") == (zone == "a") && v.IsReader() { // vm-1 to vm-3 are in zone a
				found = append(found, name)
			}
		}
		return found
	}
	renew := func() {
		for _, v := range vms {
			if v != nil {
				v.configuration.renew()
			}
		}
	}
	oneReaderEach := func() bool { renew(); return len(readers("a")) == 1 && len(readers("b")) == 1 }
	require.Eventually(t, oneReaderEach, waitLimit, pollInterval)
	require.Eventually(t, func() bool { return vms["vm-1"].reportedSize().Live == 5 }, waitLimit, pollInterval)
	first := readers("a")[0]
	vms[first].stop()
	<-vms[first].stopped
	vms[first] = nil
	require.Eventually(t, oneReaderEach, waitLimit, pollInterval)
	require.NotEqual(t, first, readers("a")[0])
	require.Eventually(t, func() bool { return len(readers("a")) == 2 && len(readers("b")) == 2 }, waitLimit, pollInterval, "proofs are stale, but not every VM reads")
}

// TestPeerProofIsNeverDatedTooLate checks that a proof received from a peer is never dated later than its origin.
func TestPeerProofIsNeverDatedTooLate(t *testing.T) {
	vms := startFleet(t, map[string]string{"vm-1": "a", "vm-2": "a"})
	for _, v := range vms {
		v.configuration.renew()
	}
	peerProof := func(v *vm) boottime.Instant {
		v.configuration.mu.Lock()
		defer v.configuration.mu.Unlock()
		return v.configuration.peerProof
	}
	require.Eventually(t, func() bool { return peerProof(vms["vm-1"]) != 0 || peerProof(vms["vm-2"]) != 0 }, waitLimit, pollInterval)
	time.Sleep(500 * time.Millisecond)
	for name, other := range map[string]string{"vm-1": "vm-2", "vm-2": "vm-1"} {
		_, provenAt := vms[other].configuration.Proof()
		require.LessOrEqual(t, peerProof(vms[name]), provenAt)
	}
}

// TestKnownSizeKeepsUnreachableVMs checks that the known size of the fleet does not fall when a VM loses all others at
// once. In a network partition they still serve, so shared limits must not be divided by fewer VMs.
func TestKnownSizeKeepsUnreachableVMs(t *testing.T) {
	vms := startFleet(t, map[string]string{"vm-1": "a", "vm-2": "a", "vm-3": "b", "vm-4": "c"})
	survivor := vms["vm-1"]
	require.Eventually(t, func() bool { return survivor.reportedSize().Live == 4 }, waitLimit, pollInterval)
	for _, name := range []string{"vm-2", "vm-3", "vm-4"} {
		vms[name].stop()
	}
	require.Eventually(t, func() bool { return survivor.reportedSize().Live == 1 }, waitLimit, pollInterval)
	require.Equal(t, 4, survivor.reportedSize().Known)
}

// TestDigestCarriesLoadsChangesAndVersion checks that loads, changes of targets and newer versions reach the other
// VMs.
func TestDigestCarriesLoadsChangesAndVersion(t *testing.T) {
	vms := startFleet(t, map[string]string{"vm-1": "a", "vm-2": "b"})
	vms["vm-1"].configuration.mu.Lock()
	vms["vm-1"].configuration.version = 8
	vms["vm-1"].configuration.mu.Unlock()
	vms["vm-1"].configuration.renew()
	_, err := vms["vm-1"].table.Pick(placement.Query{Service: "drafter", MemoryTokens: 10000, PromptTokens: 9000}, time.Now())
	require.NoError(t, err)
	vms["vm-1"].AnnounceChange(roster.Target{ID: "e9", StartedAt: 7, Leaving: true})
	require.Eventually(t, func() bool {
		_, err := vms["vm-2"].table.Pick(placement.Query{Service: "drafter", MemoryTokens: 10000, PromptTokens: 9000, Priority: 1}, time.Now())
		return err != nil
	}, waitLimit, pollInterval, "the load placed by the peer does not count")
	require.Eventually(t, func() bool {
		vms["vm-2"].mu.Lock()
		defer vms["vm-2"].mu.Unlock()
		vms["vm-2"].configuration.mu.Lock()
		defer vms["vm-2"].configuration.mu.Unlock()
		return len(vms["vm-2"].changes) > 0 && vms["vm-2"].changes[0].ID == "e9" && vms["vm-2"].configuration.newestNamed == 8
	}, waitLimit, pollInterval)
}

// TestChangesBeyondDigestCapacity announces more changes than a digest can hold: digests must still reach the other
// VMs, with the newest change.
func TestChangesBeyondDigestCapacity(t *testing.T) {
	vms := startFleet(t, map[string]string{"vm-1": "a", "vm-2": "a"})
	require.Eventually(t, func() bool { return vms["vm-2"].reportedSize().Live == 2 }, waitLimit, pollInterval)
	const changes = 3000
	for i := range changes {
		vms["vm-1"].AnnounceChange(roster.Target{ID: fmt.Sprint("target-", i), Service: "drafter", Address: "192.0.2.17:8080", Zone: "a", Slots: 24, StartedAt: 1700000000000})
	}
	newest := fmt.Sprint("target-", changes-1)
	require.Eventually(t, func() bool {
		vms["vm-2"].mu.Lock()
		defer vms["vm-2"].mu.Unlock()
		return slices.ContainsFunc(vms["vm-2"].changes, func(target roster.Target) bool { return target.ID == newest })
	}, waitLimit, pollInterval)
}

// TestMalformedDigest checks that datagrams that are not valid digests are ignored.
func TestMalformedDigest(t *testing.T) {
	vms := startFleet(t, map[string]string{"vm-1": "a", "vm-2": "a"})
	conn, err := net.Dial("udp4", vms["vm-1"].address)
	require.NoError(t, err)
	defer conn.Close()
	for _, bytes := range []string{"", "\x00\xff", "{\"v\":\"vm-9\"}", "\x81\xa1v\xa0"} {
		_, err := conn.Write([]byte(bytes))
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return vms["vm-1"].reportedSize().Live == 2 && vms["vm-2"].reportedSize().Live == 2 }, waitLimit, pollInterval)
}

// TestDirectory checks that VMs register, discover each other and ignore a malformed entry.
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
	}, waitLimit, pollInterval)
}
