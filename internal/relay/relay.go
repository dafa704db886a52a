// Package relay reaches targets through other entry VMs, for a VM whose own path to them fails.
//
// The VM that accepted the request still places it, counts it and judges how it ends; the other one only carries its
// connection to the target, directly, so that there is never more than one VM in between.
package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"godwitcart/internal/tunnel"
)

const (
	// maxTries is the number of VMs that are asked for one connection, tryTimeout bounds the wait for each, and dialTimeout
	// that for all.
	maxTries    = 3
	tryTimeout  = 200 * time.Millisecond
	dialTimeout = 400 * time.Millisecond
	// avoidTime is how long a VM is not asked again after it could not help, and helpTime how long one that has helped is
	// preferred and believed.
	avoidTime = 2 * time.Second
	helpTime  = 5 * time.Second
	// lastResortInterval is the time between two questions to a VM that is not to be asked, while there is no other: it may
	// have been frozen for a moment.
	lastResortInterval = 250 * time.Millisecond
	// exploreShare is the share of connections for which any VM is asked first, so that the load spreads over all that can
	// help.
	exploreShare = 0.15
)

// Peer is another entry VM.
type Peer struct {
	Name string
	Zone string
	// Address is host:port of its tunnels.
	Address string
	// IsNoHelp is set if the VM says that it reaches no target itself, or has fallen silent.
	IsNoHelp bool
}

// errNoPeer means that no other VM can be asked.
var errNoPeer = errors.New("no other entry VM reaches targets")

// Options configures a Dialer.
type Options struct {
	// Peers returns the other entry VMs.
	Peers func() []Peer
	// ZoneOf returns the zone of the target at host:port; empty if it is not known.
	ZoneOf func(address string) string
	// Dial opens a connection to a peer.
	Dial tunnel.Dial
}

// Dialer opens connections to targets through other VMs. It is safe for concurrent use.
type Dialer struct {
	options        Options
	opened, failed metrics.Counter

	mu     sync.Mutex
	random *rand.Rand
	// experiences holds what this VM knows of others, by name.
	experiences map[string]experience
}

// experience is what came of the last questions to a VM.
type experience struct {
	helpedAt time.Time
	// avoidedUntil is set when the VM could not be reached or carries nothing, doubtedUntil when it did not reach a target.
	avoidedUntil, doubtedUntil time.Time
	// silentFor is the address of the target for which the VM last gave no answer in time.
	silentFor string
	// askedAt is when the VM was last asked as a last resort.
	askedAt time.Time
}

// isFrozen reports whether a VM that gives no answer in time for the target is silent itself, and not the target: it has
// given none for another one either, and has not helped since.
func (e *experience) isFrozen(address string) bool {
	return e.silentFor != "" && e.silentFor != address
}

// NewDialer returns a Dialer.
func NewDialer(options Options) *Dialer {
	return &Dialer{
		options: options, experiences: make(map[string]experience), random: rand.New(rand.NewPCG(rand.Uint64(), 0)),
		opened: metrics.GetOrRegisterCounter("relay.opened", nil), failed: metrics.GetOrRegisterCounter("relay.failed", nil),
	}
}

// Dial opens a connection to the target at host:port through another VM. A VM that has helped lately is believed if it does
// not reach the target; any other may itself be cut off.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	zone := d.options.ZoneOf(address)
	err := errNoPeer
	for tried := map[string]bool{}; len(tried) < maxTries && ctx.Err() == nil; {
		peer, helpful, found := d.choose(zone, tried, time.Now())
		if !found {
			break
		}
		tried[peer.Name] = true
		var conn net.Conn
		if conn, err = d.try(ctx, peer, address); err == nil {
			d.opened.Inc(1)
			return conn, nil
		}
		var down *tunnel.UnreachableError
		if helpful && errors.As(err, &down) {
			break
		}
	}
	d.failed.Inc(1)
	return nil, err
}

// try asks one VM and records what came of it.
func (d *Dialer) try(ctx context.Context, peer Peer, address string) (net.Conn, error) {
	bounded, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	conn, err := tunnel.ConnectFramed(bounded, d.options.Dial, peer.Address, address)
	if ctx.Err() == nil {
		d.record(peer.Name, address, err, time.Now())
	}
	return conn, err
}

func (d *Dialer) record(name, address string, err error, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.experiences[name]
	var down *tunnel.UnreachableError
	switch {
	case err == nil:
		known = experience{helpedAt: now}
	case errors.As(err, &down):
		known.doubtedUntil = now.Add(avoidTime)
	case errors.Is(err, tunnel.ErrSilent) && !known.isFrozen(address):
		known.doubtedUntil, known.silentFor = now.Add(avoidTime), address
	default:
		known = experience{avoidedUntil: now.Add(avoidTime), askedAt: known.askedAt}
	}
	d.experiences[name] = known
	for other, old := range d.experiences {
		if now.Sub(old.helpedAt) > helpTime && now.After(old.avoidedUntil) && now.After(old.doubtedUntil) {
			delete(d.experiences, other)
		}
	}
}

// choose returns the VM to ask next, and whether it has helped lately.
func (d *Dialer) choose(zone string, tried map[string]bool, now time.Time) (chosen Peer, helpful, found bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var helpers, unknown, doubted, avoided []Peer
	for _, peer := range d.options.Peers() {
		known := d.experiences[peer.Name]
		switch {
		case peer.IsNoHelp || tried[peer.Name]:
		case now.Before(known.avoidedUntil):
			if now.Sub(known.askedAt) >= lastResortInterval && known.avoidedUntil.Sub(now) <= avoidTime-lastResortInterval {
				avoided = append(avoided, peer)
			}
		case now.Sub(known.helpedAt) < helpTime:
			helpers = append(helpers, peer)
		case now.Before(known.doubtedUntil):
			doubted = append(doubted, peer)
		default:
			unknown = append(unknown, peer)
		}
	}
	explores := len(tried) == 0 && len(unknown) > 0 && d.random.Float64() < exploreShare
	switch {
	case len(helpers) > 0 && !explores:
		return d.draw(helpers, zone), true, true
	case len(unknown) > 0:
		return d.draw(unknown, zone), false, true
	case len(doubted) > 0:
		return d.draw(doubted, zone), false, true
	case len(avoided) > 0:
		chosen = d.draw(avoided, zone)
		known := d.experiences[chosen.Name]
		known.askedAt = now
		d.experiences[chosen.Name] = known
		return chosen, false, true
	default:
		return Peer{}, false, false
	}
}

// draw returns a random VM, one of the zone if there is any. The caller holds mu.
func (d *Dialer) draw(peers []Peer, zone string) Peer {
	near := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.Zone != zone })
	if len(near) == 0 {
		near = peers
	}
	return near[d.random.IntN(len(near))]
}
