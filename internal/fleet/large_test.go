package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/boottime"
	"godwitcart/internal/placement"
	"godwitcart/internal/roster"
)

// simulatedNetwork carries the datagrams of many fleets in virtual time, each after a random delay. Some are lost.
type simulatedNetwork struct {
	mu     sync.Mutex
	random *rand.Rand
	inbox  map[netip.AddrPort]chan []byte
	// silent holds the addresses from which and to which nothing arrives.
	silent map[netip.AddrPort]bool
	// sentBytes counts the bytes that each address has sent.
	sentBytes map[netip.AddrPort]int
}

const (
	lossRate = 0.01
	maxDelay = 4 * time.Millisecond
)

func (n *simulatedNetwork) resetSentBytes() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.sentBytes)
}

// mostSentBytes returns the largest number of bytes that one address has sent.
func (n *simulatedNetwork) mostSentBytes() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	most := 0
	for _, bytes := range n.sentBytes {
		most = max(most, bytes)
	}
	return most
}

// simulatedConn is the socket of one VM on a simulatedNetwork.
type simulatedConn struct {
	net.PacketConn
	network *simulatedNetwork
	address netip.AddrPort
	ctx     context.Context
	close   context.CancelFunc
}

func (c *simulatedConn) WriteTo(datagram []byte, to net.Addr) (int, error) {
	destination := to.(*net.UDPAddr).AddrPort()
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.network.sentBytes[c.address] += len(datagram)
	inbox := c.network.inbox[destination]
	if inbox == nil || c.network.silent[c.address] || c.network.silent[destination] || c.network.random.Float64() < lossRate {
		return len(datagram), nil
	}
	time.AfterFunc(time.Duration(c.network.random.Int64N(int64(maxDelay))), func() {
		select {
		case inbox <- datagram:
		default: // the receiver does not keep up
		}
	})
	return len(datagram), nil
}

func (c *simulatedConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case datagram := <-c.network.inbox[c.address]:
		return copy(buffer, datagram), nil, nil
	case <-c.ctx.Done():
		return 0, nil, errors.New("closed")
	}
}

func (c *simulatedConn) Close() error {
	c.close()
	return nil
}

// provenConfiguration is a ConfigurationState that reads the platform whenever its VM is to read.
type provenConfiguration struct {
	mu    sync.Mutex
	proof boottime.Instant
	wake  chan struct{}
	// dark is set while the platform turns the VM away, and lost once a read has failed.
	dark, lost bool
}

// read reads the platform, and reports whether it answered.
func (c *provenConfiguration) read() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = c.dark
	if !c.lost {
		c.proof = virtualNow()
	}
	return !c.lost
}

func (c *provenConfiguration) HasLostPlatform() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost
}

func (c *provenConfiguration) wakePoller() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *provenConfiguration) Proof() (uint64, boottime.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return 3, c.proof
}

func (c *provenConfiguration) RecordProof(_ uint64, at boottime.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.proof = max(c.proof, at)
}

// startOfTime is when the virtual time of a synctest bubble begins.
var startOfTime = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// virtualNow is boottime.Now in virtual time.
func virtualNow() boottime.Instant { return boottime.Instant(time.Since(startOfTime)) + 1 }

// largeFleet is a fleet of VMs in several zones in virtual time.
type largeFleet struct {
	network *simulatedNetwork
	fleets  []*Fleet
	tables  []*placement.Table
	states  []*provenConfiguration
	// readers counts the VMs that have read since the last call of resetReaders.
	mu      sync.Mutex
	readers map[string]bool
	// changesHeard counts the changes that each VM has heard.
	changesHeard map[string]int
}

const (
	testBound = 4 * time.Second
	// settleTime lets VMs that start together hear each other.
	settleTime       = 1500 * time.Millisecond
	testReadInterval = 1250 * time.Millisecond
	enginesPerZone   = 24
)

func zoneName(i int) string { return fmt.Sprint("zone-", i) }

// runLargeFleet runs count VMs in the given number of zones, with enginesPerZone engines each, and calls test once they
// know each other.
func runLargeFleet(t *testing.T, count, zones int, test func(*largeFleet)) {
	synctest.Test(t, func(t *testing.T) {
		network := &simulatedNetwork{
			random: rand.New(rand.NewPCG(7, 0)), inbox: make(map[netip.AddrPort]chan []byte),
			silent: make(map[netip.AddrPort]bool), sentBytes: make(map[netip.AddrPort]int),
		}
		l := &largeFleet{network: network, readers: make(map[string]bool), changesHeard: make(map[string]int)}
		targets := make(map[string]roster.Target)
		for i := range zones * enginesPerZone {
			id := fmt.Sprintf("i-%010d", i)
			targets[id] = roster.Target{ID: id, Service: "drafter", Address: "10.1.0.9:80", Zone: zoneName(i % zones), Slots: 24, StartedAt: 1700000000000}
		}
		members := make(map[string]Member)
		for i := range count {
			name := fmt.Sprint("vm-", i)
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(1 + i%250)}), 7200)
			capacity := 112
			if i < zones {
				capacity = 536
			}
			members[name] = Member{Name: name, Zone: zoneName(i % zones), Address: address, Capacity: capacity}
			network.inbox[address] = make(chan []byte, 4096)
		}
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for i := range count {
			self := members[fmt.Sprint("vm-", i)]
			table := placement.NewTable(placement.Options{Self: placement.Sender{VM: self.Name, Zone: self.Zone}, Seed: uint64(i)})
			table.ReplaceTargets(targets, time.Now())
			configuration := &provenConfiguration{proof: virtualNow(), wake: make(chan struct{}, 1)}
			socketCtx, closeSocket := context.WithCancel(context.Background())
			f := New(Options{
				Self: self, Table: table, Configuration: configuration, Logger: log.New(io.Discard), InForceWithin: testBound,
				Conn:        &simulatedConn{network: network, address: self.Address, ctx: socketCtx, close: closeSocket},
				SizeChanged: func(Size) {}, TargetChanged: func(roster.Target) { l.recordChange(self.Name) }, BecameReader: configuration.wakePoller, Now: virtualNow,
			})
			others := make(map[string]Member, count)
			for name, member := range members {
				if name != self.Name {
					others[name] = member
				}
			}
			f.SetMembers(others)
			l.fleets, l.tables, l.states = append(l.fleets, f), append(l.tables, table), append(l.states, configuration)
			running.Go(func() { _ = f.Run(ctx) })
			running.Go(func() { l.poll(ctx, f, configuration) })
		}
		defer running.Wait()
		defer cancel()
		time.Sleep(settleTime)
		test(l)
	})
}

// poll reads the platform at intervals while the VM is a reader, like inforce.Poller.
func (l *largeFleet) poll(ctx context.Context, f *Fleet, configuration *provenConfiguration) {
	const check = testReadInterval / 4
	var readAt time.Time
	for ctx.Err() == nil {
		if f.IsReader() && time.Since(readAt) >= testReadInterval && !l.isSilent(f) {
			l.mu.Lock()
			l.readers[f.options.Self.Name] = true
			l.mu.Unlock()
			if configuration.read() {
				readAt = time.Now()
			}
		}
		select {
		case <-configuration.wake:
		case <-time.After(check):
		}
	}
}

func (l *largeFleet) recordChange(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changesHeard[vm]++
}

// TestReaderHearsChangeFromAnotherZoneFirst guards against a zone whose VMs never learn that a target is leaving: its reader,
// told by the reader of another zone before its own watch returned, had no news to announce.
func TestReaderHearsChangeFromAnotherZoneFirst(t *testing.T) {
	runLargeFleet(t, 150, 3, func(l *largeFleet) {
		l.fleets[1].AnnounceChange(roster.Target{ID: "i-0000000002", Leaving: true}) // vm-1 reads for zone-1
		time.Sleep(changeRepeatTime)
		l.mu.Lock()
		defer l.mu.Unlock()
		require.Len(t, l.changesHeard, 49, "the other VMs of zone-1 alone")
	})
}

// seniors is countSeniors for tests.
func (f *Fleet) seniors() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.countSeniors(time.Now())
}

func (l *largeFleet) isSilent(f *Fleet) bool {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	return l.network.silent[f.options.Self.Address]
}

// readersDuring returns the VMs that read the platform within the given time.
func (l *largeFleet) readersDuring(duration time.Duration) map[string]bool {
	l.mu.Lock()
	l.readers = make(map[string]bool)
	l.mu.Unlock()
	time.Sleep(duration)
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.readers)
}

// announceWave announces what readers see when a sixth of the engines leaves and others come.
func (l *largeFleet) announceWave() {
	for _, f := range l.fleets {
		if !f.IsZoneLeader() {
			continue
		}
		for i := range 60 {
			f.AnnounceChange(roster.Target{ID: fmt.Sprintf("i-%010d", i), Service: "drafter", Address: "10.1.0.9:80", Zone: "zone-1", Slots: 24, StartedAt: 1700000000000, Leaving: true})
		}
	}
}

// TestAllVMsReadWhileEnginesComeAndGo guards against readers whose digests do not get through: then all VMs read the
// platform. Each reader repeated all recent changes, the totals and the echoes with every placement in its zone, which is
// more than the link of a small VM carries.
func TestAllVMsReadWhileEnginesComeAndGo(t *testing.T) {
	const (
		maxBytesPerSecond = 20_000_000 / 8 / 3      // a third of a link of 20 Mbit/s
		loadTime          = 3300 * time.Millisecond // the time between two waves of changes
		placementInterval = 35 * time.Millisecond   // a zone's share of 160 generations a second, placed and started
	)
	for _, size := range []struct{ vms, zones int }{{9, 3}, {70, 3}, {300, 5}} {
		t.Run(fmt.Sprint(size.vms), func(t *testing.T) {
			runLargeFleet(t, size.vms, size.zones, func(l *largeFleet) {
				query := placement.Query{Service: "drafter", MemoryTokens: 33000, PromptTokens: 3000, OutputTokens: 400, FirstEventObjective: 1800 * time.Millisecond}
				l.network.resetSentBytes()
				l.announceWave()
				placing := time.Now()
				done := make(chan map[string]bool)
				go func() { done <- l.readersDuring(loadTime) }()
				for i := 0; time.Since(placing) < loadTime; i++ {
					for zone := range size.zones {
						vm := zone + size.zones*(i%(size.vms/size.zones))
						query.Zone = zoneName(zone)
						if lease, err := l.tables[vm].Pick(query, time.Now()); err == nil {
							l.fleets[vm].SendSoon()
							time.AfterFunc(300*time.Millisecond, func() { lease.FirstEvent(time.Now()) })
							time.AfterFunc(3*time.Second, func() { lease.Done(placement.Answered, time.Now()) })
						}
					}
					time.Sleep(placementInterval)
				}
				require.LessOrEqual(t, len(<-done), 2*size.zones, "VMs that read the platform: a reader and its deputy in each zone")
				most := l.network.mostSentBytes()
				perSecond := int(float64(most) / loadTime.Seconds())
				t.Logf("at most %d bytes a second sent by one VM", perSecond)
				require.LessOrEqual(t, perSecond, maxBytesPerSecond)
			})
		})
	}
}

// TestSilentReaderIsReplacedByAllVMs guards against a herd of readers when one falls silent: its deputy takes over before
// the others begin to read.
func TestSilentReaderIsReplacedByAllVMs(t *testing.T) {
	for _, size := range []struct{ vms, zones int }{{9, 1}, {70, 1}, {300, 5}} {
		t.Run(fmt.Sprint(size.vms), func(t *testing.T) {
			runLargeFleet(t, size.vms, size.zones, func(l *largeFleet) {
				require.LessOrEqual(t, len(l.readersDuring(testReadInterval+time.Second)), 2*size.zones)
				for _, f := range l.fleets {
					if f.options.Self.Zone == zoneName(0) && f.IsZoneLeader() {
						l.network.mu.Lock()
						l.network.silent[f.options.Self.Address] = true
						l.network.mu.Unlock()
					}
				}
				readers := l.readersDuring(peerTimeout + 2*time.Second)
				// Where digests are lost, single VMs may begin to read before they hear the deputy.
				require.LessOrEqual(t, len(readers), 2*size.zones+size.vms/20, "VMs that read the platform")
				require.GreaterOrEqual(t, len(readers), size.zones)
			})
		})
	}
}

// TestZoneKnowsWhatGuestsPlace checks that the VMs of a zone learn within milliseconds what a VM of another zone places on
// an engine of theirs, that the other zones learn of it by the zone's totals, and that it is counted once.
func TestZoneKnowsWhatGuestsPlace(t *testing.T) {
	runLargeFleet(t, 150, 3, func(l *largeFleet) {
		const vm, engine = 1, "i-0000000002" // in zone-1 and zone-2
		query := placement.Query{Service: "drafter", MemoryTokens: 33000, PromptTokens: 3000, OutputTokens: 400}
		lease, found := l.tables[vm].PickTarget(roster.Target{ID: engine, Service: "drafter", Address: "10.1.0.9:80", Zone: "zone-2", Slots: 24, StartedAt: 1700000000000}, query, time.Now())
		require.True(t, found)
		l.fleets[vm].SendSoon()
		time.Sleep(2 * maxDelay)
		known := func(zone int) (count, total int) {
			for i := zone; i < len(l.tables); i += 3 {
				total++
				if l.tables[i].ZoneLoads("zone-2", time.Now())[engine].Requests == 1 {
					count++
				}
			}
			return count, total
		}
		count, total := known(2)
		require.Greater(t, count, total*9/10, "VMs of the engine's zone that count the request")
		time.Sleep(time.Second)
		count, total = known(0)
		require.Equal(t, total, count, "VMs of a third zone that count the request once")
		lease.Done(placement.Answered, time.Now())
		l.fleets[vm].SendSoon()
		time.Sleep(4 * time.Second)
		for i := 2; i < len(l.tables); i += 3 {
			require.Zero(t, l.tables[i].ZoneLoads("zone-2", time.Now())[engine].Requests)
		}
	})
}

// TestRequestsOfTheLastVMWaitForLostOnes guards against requests that wait at the last VM for capacity that lost VMs had taken: no
// digest wakes them any more.
func TestRequestsOfTheLastVMWaitForLostOnes(t *testing.T) {
	runLargeFleet(t, 1, 1, func(l *largeFleet) {
		loads := make(map[string]placement.Load)
		for i := range enginesPerZone {
			loads[fmt.Sprintf("i-%010d", i)] = placement.Load{Requests: 24, MemoryTokens: 33000}
		}
		reportedAt := time.Now()
		l.tables[0].SetPeerLoads(placement.Sender{VM: "vm-lost", Zone: zoneName(0)}, loads, reportedAt)
		query := placement.Query{Service: "drafter", MemoryTokens: 33000, PromptTokens: 3000, OutputTokens: 400}
		lease, err := l.tables[0].Acquire(context.Background(), query, 10*time.Second)
		require.NoError(t, err)
		require.Less(t, time.Since(reportedAt), 3500*time.Millisecond, "the report counts for three seconds")
		lease.Done(placement.Answered, time.Now())
	})
}

// TestAllVMsOfACutZoneRetryAsLeaders guards against a zone that is cut off from the platform and in which each VM, since no
// other can read, calls the platform as often as the leader.
func TestAllVMsOfACutZoneRetryAsLeaders(t *testing.T) {
	runLargeFleet(t, 300, 5, func(l *largeFleet) {
		for i, f := range l.fleets {
			if f.options.Self.Zone == zoneName(0) {
				l.states[i].mu.Lock()
				l.states[i].dark = true
				l.states[i].mu.Unlock()
			}
		}
		time.Sleep(6 * time.Second)
		leaders := 0
		for _, f := range l.fleets {
			if f.options.Self.Zone == zoneName(0) && f.IsZoneLeader() {
				leaders++
			}
		}
		require.Equal(t, 1, leaders)
	})
}

// TestVMsThatPlatformTurnsAwayMakeAllOthersRead guards against a zone whose VMs all read the platform because those of the
// highest ranks are turned away by it: the next one that it serves must read for all.
func TestVMsThatPlatformTurnsAwayMakeAllOthersRead(t *testing.T) {
	for _, size := range []struct{ vms, zones int }{{9, 1}, {70, 1}, {300, 5}} {
		t.Run(fmt.Sprint(size.vms), func(t *testing.T) {
			runLargeFleet(t, size.vms, size.zones, func(l *largeFleet) {
				turnedAway := 0
				for i, f := range l.fleets {
					if f.options.Self.Zone == zoneName(0) && f.seniors() < 3 {
						l.states[i].mu.Lock()
						l.states[i].dark = true
						l.states[i].mu.Unlock()
						turnedAway++
					}
				}
				require.Equal(t, 3, turnedAway)
				time.Sleep(3 * time.Second) // the time in which some may read on their own
				readers := l.readersDuring(4 * time.Second)
				t.Logf("%d VMs read", len(readers))
				require.LessOrEqual(t, len(readers), 2*size.zones+turnedAway, "VMs that read the platform")
				for i, state := range l.states {
					if l.fleets[i].options.Self.Zone == zoneName(0) {
						_, proof := state.Proof()
						require.Less(t, virtualNow().Sub(proof), testBound, "%s has no fresh proof", l.fleets[i].options.Self.Name)
					}
				}
			})
		})
	}
}
