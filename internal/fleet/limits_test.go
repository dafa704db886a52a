package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/targetlimit"
)

// newLimitFleet returns a fleet that has heard from all VMs of its directory, a third of them in each zone.
func newLimitFleet(vms int, now time.Time) *Fleet {
	member := func(i int) Member {
		return Member{Name: fmt.Sprintf("vm-%d", i), Zone: fmt.Sprintf("zone-%d", i%3)}
	}
	f := New(Options{Self: member(0)})
	f.members = make(map[string]Member)
	for i := 1; i < vms; i++ {
		f.members[member(i).Name] = member(i)
		f.peers[member(i).Name] = &peer{zone: member(i).Zone, heardAt: now}
	}
	return f
}

// highestRank returns the VM of the highest rank among this one and its peers, in its zone or in all.
func highestRank(f *Fleet, onlyZone bool) string {
	highest := f.options.Self.Name
	for name, remote := range f.peers {
		if (!onlyZone || remote.zone == f.options.Self.Zone) && targetlimit.Rank(name) > targetlimit.Rank(highest) {
			highest = name
		}
	}
	return highest
}

// TestCoordinatorOfLimits checks among whom the coordinator is chosen, and that a part of a limit belongs to one VM of the
// directory, heard or not.
func TestCoordinatorOfLimits(t *testing.T) {
	now := time.Now()
	t.Run("small fleet", func(t *testing.T) {
		f := newLimitFleet(89, now)
		require.Equal(t, targetlimit.Coordination{Coordinator: highestRank(f, false), Known: 89}, f.electCoordinator(now))
	})
	t.Run("large fleet, by zone", func(t *testing.T) {
		f := newLimitFleet(300, now)
		require.Equal(t, targetlimit.Coordination{Coordinator: highestRank(f, true), Known: 300}, f.electCoordinator(now))
	})
	t.Run("coordinator", func(t *testing.T) {
		f := newLimitFleet(10, now)
		f.options.Self.Name = highestRank(f, false)
		delete(f.peers, f.options.Self.Name)
		delete(f.members, f.options.Self.Name)
		f.members["vm-0"], f.peers["vm-0"] = Member{Name: "vm-0", Zone: "zone-0"}, &peer{zone: "zone-0", heardAt: now}
		own := targetlimit.Rank(f.options.Self.Name)
		voters := 0
		for _, remote := range f.peers {
			if voters < 4 {
				remote.limitCoordinator = own
				voters++
			}
		}
		require.Equal(t, targetlimit.Coordination{Coordinator: f.options.Self.Name, Share: 0.5, Known: 10}, f.electCoordinator(now))
		later := now.Add(peerTimeout + time.Millisecond)
		require.Equal(t, targetlimit.Coordination{Coordinator: f.options.Self.Name, Share: 0.1, Known: 10}, f.electCoordinator(later))
	})
	t.Run("directory not read", func(t *testing.T) {
		f := New(Options{Self: Member{Name: "vm-0"}})
		require.Zero(t, f.electCoordinator(now))
	})
}

// TestPermitMessagesKeepTheirContents checks the encoding of messages about permits; a permit is never due earlier.
func TestPermitMessagesKeepTheirContents(t *testing.T) {
	target := targetlimit.Incarnation{ID: "c1", StartedAt: 1700000000000}
	permits := []targetlimit.Message{
		{Ask: &targetlimit.Ask{Target: target, Number: 7, Urgent: true, Patience: 25 * time.Millisecond}},
		{Answer: &targetlimit.Answer{Target: target, Number: 7, Granted: true, Wait: 3 * time.Millisecond}},
		{Answer: &targetlimit.Answer{Target: target, Number: 8}},
	}
	for _, message := range permits {
		packed := packPermit(message)
		parsed := marshalAndParse(t, digest{VM: "vm-1", Permit: &packed})
		require.Equal(t, message, parsed.Permit.unpack())
	}
	packed := packPermit(targetlimit.Message{Answer: &targetlimit.Answer{Granted: true, Wait: 1500 * time.Microsecond}})
	require.Equal(t, 2*time.Millisecond, packed.unpack().Answer.Wait)
}

func marshalAndParse(t *testing.T, out digest) *digest {
	t.Helper()
	datagram, err := out.marshal()
	require.NoError(t, err)
	parsed, err := parseDigest(datagram)
	require.NoError(t, err)
	require.Equal(t, "vm-1", parsed.VM)
	return parsed
}
