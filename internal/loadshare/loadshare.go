// Package loadshare tells entry VMs what each of them has sent to the targets.
//
// Engines' own reports are old when they arrive, and every VM reads the same ones; what the VMs themselves
// have sent is known to the millisecond. Each VM sends its loads as one datagram to every peer. A datagram
// that is lost is replaced by the next, so there is nothing to repeat or to confirm.
package loadshare

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/vmihailenco/msgpack/v5"

	"godwitcart/internal/pause"
	"godwitcart/internal/placement"
)

const (
	// baseInterval is the least time between two digests; a prompt takes several times as long to read.
	baseInterval = 100 * time.Millisecond
	// perPeer lengthens the interval with the fleet, so that a VM takes in no more than a fixed rate.
	perPeer = 8 * time.Millisecond
	// idleInterval is the time between digests while nothing changes.
	idleInterval = time.Second
	// peerLife is how long a peer that sends nothing counts as live.
	peerLife = 4 * time.Second
	// maxDatagram bounds a digest.
	maxDatagram = 60 << 10
)

// digest is one datagram.
type digest struct {
	VM    string        `msgpack:"v"`
	Loads []targetLoads `msgpack:"l"`
}

type targetLoads struct {
	_msgpack struct{} `msgpack:",as_array"`
	Target   string
	Requests int
	Prefill  int
	Memory   int
}

// Options configures a Share.
type Options struct {
	// VM is the name of this VM.
	VM    string
	Table *placement.Table
	// Conn is the socket that digests are sent from and come in at.
	Conn   net.PacketConn
	Logger *log.Logger
	// FleetChanged is called with the number of live entry VMs, this one included, when it has changed.
	FleetChanged func(vms int)
}

// Share exchanges loads with peers. It is safe for concurrent use.
type Share struct {
	options Options
	mu      sync.Mutex
	peers   map[string]netip.AddrPort
	heard   map[string]time.Time
	live    int
}

// New returns a Share without peers.
func New(options Options) *Share {
	return &Share{options: options, peers: make(map[string]netip.AddrPort), heard: make(map[string]time.Time), live: 1}
}

// SetPeers replaces the addresses that digests are sent to, by the name of the VM.
func (s *Share) SetPeers(peers map[string]netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = peers
	delete(s.peers, s.options.VM)
}

// Run exchanges digests until ctx ends.
func (s *Share) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.options.Conn.Close() })
	defer stop()
	go s.receive(ctx)
	var last map[string]placement.Load
	sentAt := time.Time{}
	for {
		if !pause.For(ctx, s.interval()) {
			return nil
		}
		loads := s.options.Table.OwnLoads()
		now := time.Now()
		s.countLive(now)
		if maps.Equal(loads, last) && now.Sub(sentAt) < idleInterval {
			continue
		}
		s.send(loads)
		last, sentAt = loads, now
	}
}

func (s *Share) interval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(baseInterval, time.Duration(len(s.peers))*perPeer)
}

func (s *Share) send(loads map[string]placement.Load) {
	out := digest{VM: s.options.VM}
	for id, load := range loads {
		out.Loads = append(out.Loads, targetLoads{Target: id, Requests: load.Requests, Prefill: load.PrefillTokens, Memory: load.MemoryTokens})
	}
	datagram, err := msgpack.Marshal(&out)
	if err != nil || len(datagram) > maxDatagram {
		s.options.Logger.Error("load digest not sent", "bytes", len(datagram), "error", err)
		return
	}
	s.mu.Lock()
	addresses := make([]netip.AddrPort, 0, len(s.peers))
	for _, address := range s.peers {
		addresses = append(addresses, address)
	}
	s.mu.Unlock()
	for _, address := range addresses {
		// A digest that cannot be sent is as good as lost: the next one replaces it.
		_, _ = s.options.Conn.WriteTo(datagram, net.UDPAddrFromAddrPort(address))
	}
}

func (s *Share) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := s.options.Conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.options.Logger.Warn("load digests cannot be read", "error", err)
			pause.For(ctx, baseInterval)
			continue
		}
		var in digest
		if err := msgpack.Unmarshal(buffer[:n], &in); err != nil || in.VM == "" {
			s.options.Logger.Warn("load digest ignored", "reason", "malformed", "bytes", n, "error", err)
			continue
		}
		s.take(&in)
	}
}

func (s *Share) take(in *digest) {
	now := time.Now()
	loads := make(map[string]placement.Load, len(in.Loads))
	for _, entry := range in.Loads {
		loads[entry.Target] = placement.Load{Requests: entry.Requests, PrefillTokens: entry.Prefill, MemoryTokens: entry.Memory}
	}
	s.options.Table.PeerLoads(in.VM, loads, now)
	s.mu.Lock()
	s.heard[in.VM] = now
	s.mu.Unlock()
}

// countLive tells the number of live VMs when it changes.
func (s *Share) countLive(now time.Time) {
	s.mu.Lock()
	for vm, at := range s.heard {
		if now.Sub(at) > peerLife {
			delete(s.heard, vm)
			s.options.Logger.Info("peer lost", "peer", vm, "silent_ms", now.Sub(at).Milliseconds())
		}
	}
	live := len(s.heard) + 1
	changed := live != s.live
	s.live = live
	s.mu.Unlock()
	if changed && s.options.FleetChanged != nil {
		s.options.FleetChanged(live)
	}
}
