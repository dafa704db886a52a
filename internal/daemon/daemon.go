// Package daemon wires the parts of one godwitcartd: listeners, configuration, membership, routing,
// admission, claims and dispatch.
package daemon

import (
	"context"
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"godwitcart/internal/acceptance"
	"godwitcart/internal/admission"
	"godwitcart/internal/claim"
	"godwitcart/internal/dispatch"
	"godwitcart/internal/gateway"
	"godwitcart/internal/lengths"
	"godwitcart/internal/membership"
	"godwitcart/internal/object"
	"godwitcart/internal/pause"
	"godwitcart/internal/peer"
	"godwitcart/internal/query"
	"godwitcart/internal/request"
	"godwitcart/internal/retrybudget"
	"godwitcart/internal/routing"
	"godwitcart/internal/settings"
	"godwitcart/internal/target"
	"godwitcart/internal/tlsconfig"
)

// resumeWindow bounds the time for which a broken attempt is asked for at its target.
const resumeWindow = 10 * time.Second

// Daemon is one godwitcartd.
type Daemon struct {
	settings *settings.Settings
	logger   *log.Logger

	// incarnation tells this process from others that ran on the VM.
	incarnation string

	store     object.Store
	lister    *lister
	peers     *peerNetwork
	peerTLS   *tlsconfig.Reloader
	traffic   *peer.Traffic
	gossip    *peer.Gossip
	drains    *drains
	orders    *orders
	queries   *query.Engine
	directory *membership.Directory
	prober    *prober
	poller    *membership.Poller
	claims    *claim.Forwarder
	// claimBook writes the claims of this VM, and of others that hand theirs over.
	claimBook     *claim.Manager
	configuration *acceptance.Manager
	table         *routing.Table
	controller    *admission.Controller
	registry      *request.Registry
	engines       *target.EngineClient
	plain         *target.PlainClient
	gateway       *gateway.Gateway

	// firstList is when the platform's list was first known, in Unix nanoseconds.
	firstList atomic.Int64
	// notReady is set once the balancer must lead no new callers here.
	notReady     atomic.Bool
	shutdown     chan struct{}
	shutdownOnce sync.Once
	// listening is closed once addresses is set.
	listening chan struct{}
	addresses Addresses
}

// New builds a daemon; it opens no listener and calls nobody.
func New(s *settings.Settings, logger *log.Logger) (*Daemon, error) {
	keys, err := s.ReadCursorKeys()
	if err != nil {
		return nil, err
	}
	sealer, err := request.NewSealer(keys)
	if err != nil {
		return nil, err
	}
	d := &Daemon{settings: s, logger: logger, incarnation: rand.Text(), shutdown: make(chan struct{}), listening: make(chan struct{})}
	d.store = object.NewClient(object.Options{BaseURL: s.Platform.URL, Timeout: s.Platform.Timeout})
	d.lister = &lister{baseURL: s.Platform.URL}
	d.buildTargets()
	d.buildMembership()
	if err := d.buildPeers(); err != nil {
		return nil, err
	}
	if err := d.buildConfiguration(); err != nil {
		return nil, err
	}
	d.buildGateway(sealer)
	d.orders = newOrders(d)
	d.buildQueries()
	return d, nil
}

func (d *Daemon) buildTargets() {
	configured := d.settings.Timeouts
	timeouts := target.Timeouts{
		Connect: configured.Connect, Answer: configured.Answer, Progress: configured.Progress, TokenGap: configured.TokenGap,
	}
	d.engines = target.NewEngineClient(timeouts)
	d.plain = target.NewPlainClient(timeouts)
	book := lengths.NewEstimator(0)
	d.table = routing.NewTable(routing.Options{Zone: d.settings.VM.Zone, Seed: seedOf(d.settings.VM.Name), Lengths: book})
	d.controller = admission.NewController(admission.Options{Lengths: book}, d.table)
}

func (d *Daemon) buildGateway(sealer *request.Sealer) {
	d.registry = request.NewRegistry()
	d.claimBook = claim.NewManager(claim.Options{Store: d.store, Registry: metrics.DefaultRegistry})
	d.claims = claim.NewForwarder(d.claimBook, claim.ForwarderOptions{Self: d.settings.VM.Name, Sender: d.peers})
	dispatcher := dispatch.New(dispatch.Options{
		Engines: d.engines, Plain: d.plain, Claims: d.claims, Locator: d,
		Placer: &placer{controller: d.controller, directory: d.directory, observe: d.observeAttempt},
		Budget: retrybudget.New(retrybudget.DefaultRatio, retrybudget.DefaultSlack), VM: d.settings.VM.Name, ResumeWindow: resumeWindow, NewID: rand.Text,
	})
	d.gateway = gateway.New(gateway.Options{
		Policy: d.configuration, Dispatcher: dispatcher, Registry: d.registry, Sealer: sealer,
		MaxBodyBytes: d.settings.Callers.MaxBodyBytes, Deadline: d.settings.Timeouts.Request,
	})
}

// Active returns the number of callers' requests in progress.
func (d *Daemon) Active() int { return d.gateway.Active() }

// Shutdown starts a graceful shutdown; Run returns when it is complete.
func (d *Daemon) Shutdown() {
	d.shutdownOnce.Do(func() { close(d.shutdown) })
}

// Run serves until a graceful shutdown is complete or stop ends.
func (d *Daemon) Run(stop context.Context) error {
	ctx, cancel := context.WithCancel(stop)
	defer cancel()
	servers, err := d.openListeners()
	if err != nil {
		return err
	}
	peerListener, err := openListener(d.settings.Peers.Listen)
	if err != nil {
		closeAll(servers)
		return err
	}
	d.announce(servers, peerListener)
	group, ctx := errgroup.WithContext(ctx)
	d.runParts(ctx, group)
	group.Go(func() error { return d.servePeers(ctx, peerListener) })
	for _, server := range servers {
		group.Go(server.serve)
	}
	group.Go(func() error {
		select {
		case <-d.shutdown:
			d.drain(ctx)
		case <-ctx.Done():
		}
		for _, server := range servers {
			server.stop()
		}
		cancel()
		return nil
	})
	err = group.Wait()
	if stop.Err() != nil || isShutdown(d.shutdown) {
		return nil
	}
	return err
}

// runParts runs what works in the background until ctx ends.
func (d *Daemon) runParts(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { return d.configuration.Run(ctx) })
	group.Go(func() error { return d.claims.Run(ctx) })
	group.Go(func() error { return d.drains.Run(ctx) })
	group.Go(func() error { return d.orders.Run(ctx) })
	group.Go(func() error { return d.followMembership(ctx) })
	group.Go(func() error {
		d.poller.Run(ctx)
		return nil
	})
	group.Go(func() error {
		d.gossip.Run(ctx)
		return nil
	})
}

func isShutdown(shutdown <-chan struct{}) bool {
	select {
	case <-shutdown:
		return true
	default:
		return false
	}
}

// drain fails the balancer's check, waits until the balancer has seen it, then turns new requests
// away and waits for those in progress.
func (d *Daemon) drain(ctx context.Context) {
	d.notReady.Store(true)
	d.tellLeaving(ctx)
	pause.For(ctx, d.settings.Drain.ReadinessDelay)
	bounded, cancel := context.WithTimeout(ctx, d.settings.Drain.Timeout)
	defer cancel()
	if left := d.gateway.Drain(bounded); left > 0 {
		d.logger.Warn("drain timeout: requests are cut off", "cut_off", left)
		return
	}
	d.logger.Info("graceful shutdown is complete")
}

// Ready reports whether this VM may be led callers, and why not.
func (d *Daemon) Ready() (ready bool, reason string) {
	switch {
	case d.notReady.Load():
		return false, "shutting down"
	case d.configuration.Index() == nil:
		return false, "no configuration is known yet"
	case !d.settled(time.Now()):
		return false, "the targets are being asked for their state"
	default:
		return true, "ready"
	}
}

// settleTime is how long a VM that has just started waits for a first target to be confirmed. One
// that none confirms serves all the same: it may be cut off from its targets and not from others'.
const settleTime = 3 * time.Second

// settled reports whether this VM has had the time to learn which targets are live.
func (d *Daemon) settled(now time.Time) bool {
	if len(d.directory.EligibleTargetsByService(now)) > 0 {
		return true
	}
	first := d.firstList.Load()
	return first > 0 && now.Sub(time.Unix(0, first)) > settleTime
}
