// Package daemon assembles one godwitcartd process from its components: listeners, configuration,
// membership, routing, admission, claims and dispatch.
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
	"godwitcart/internal/membudget"
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
	"godwitcart/internal/vmlimits"
)

// resumeWindow bounds how long an interrupted attempt is looked up at its target in order to resume it.
const resumeWindow = 10 * time.Second

// Daemon is one godwitcartd process.
type Daemon struct {
	settings *settings.Settings
	logger   *log.Logger

	// incarnation distinguishes this process from earlier ones on the same VM.
	incarnation string

	store          object.Store
	lister         *lister
	peers          *peerNetwork
	peerTLS        *tlsconfig.Reloader
	traffic        *peer.Traffic
	gossip         *peer.Gossip
	drains         *drainFollower
	orders         *orderManager
	queries        *query.Engine
	directory      *membership.Directory
	prober         *prober
	poller         *membership.Poller
	claimForwarder *claim.Forwarder
	// claimManager writes the claims of this VM and those that other VMs forward to it.
	claimManager  *claim.Manager
	configuration *acceptance.Manager
	table         *routing.Table
	controller    *admission.Controller
	registry      *request.Registry
	engines       *target.EngineClient
	plain         *target.PlainClient
	gateway       *gateway.Gateway
	// memory bounds what clients hold.
	memory *membudget.Budget

	// firstListAt is when the platform's list of VMs was first known, in Unix nanoseconds; 0 before that.
	firstListAt atomic.Int64
	// shuttingDown makes the readiness check fail, so that the load balancer sends no new callers here, and
	// keeps the VM from acquiring order leases.
	shuttingDown atomic.Bool
	shutdown     chan struct{}
	shutdownOnce sync.Once
	// listening is closed once addresses is set.
	listening chan struct{}
	addresses Addresses
}

// New builds a daemon. It opens no listener and makes no network calls. The order of the build steps matters,
// because each uses components of earlier ones.
func New(s *settings.Settings, logger *log.Logger) (*Daemon, error) {
	keys, err := s.ReadCursorKeys()
	if err != nil {
		return nil, err
	}
	sealer, err := request.NewSealer(keys)
	if err != nil {
		return nil, err
	}
	d := &Daemon{settings: s, logger: logger, incarnation: rand.Text(), shutdown: make(chan struct{}), listening: make(chan struct{}), memory: membudget.New(membudget.DefaultLimit)}
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
	d.orders = newOrderManager(d)
	d.buildQueries()
	return d, nil
}

func (d *Daemon) buildTargets() {
	configured := d.settings.Timeouts
	timeouts := target.Timeouts{
		Connect: configured.Connect, ResponseHeader: configured.Answer, Progress: configured.Progress, TokenGap: configured.TokenGap,
	}
	d.engines = target.NewEngineClient(timeouts)
	d.plain = target.NewPlainClient(timeouts)
	estimator := lengths.NewEstimator(0)
	d.table = routing.NewTable(routing.Options{Zone: d.settings.VM.Zone, Seed: hashSeed(d.settings.VM.Name), Lengths: estimator})
	d.controller = admission.NewController(admission.Options{Lengths: estimator}, d.table)
}

func (d *Daemon) buildGateway(sealer *request.Sealer) {
	d.registry = request.NewRegistry()
	d.claimManager = claim.NewManager(claim.Options{Store: d.store, Registry: metrics.DefaultRegistry})
	d.claimForwarder = claim.NewForwarder(d.claimManager, claim.ForwarderOptions{Self: d.settings.VM.Name, Sender: d.peers})
	dispatcher := dispatch.New(dispatch.Options{
		Engines: d.engines, Plain: d.plain, Claims: d.claimForwarder, Locator: d,
		Placer: &placer{controller: d.controller, directory: d.directory, observe: d.observeAttempt},
		Budget: retrybudget.New(retrybudget.DefaultRatio, retrybudget.DefaultSlack), VM: d.settings.VM.Name, ResumeWindow: resumeWindow, NewID: rand.Text,
	})
	d.gateway = gateway.New(gateway.Options{
		Policy: d.configuration, Dispatcher: dispatcher, Registry: d.registry, Sealer: sealer,
		MaxBodyBytes: d.settings.Callers.MaxBodyBytes, DefaultDeadline: d.settings.Timeouts.Request, Memory: d.memory,
	})
}

// Active returns the number of callers' requests in progress.
func (d *Daemon) Active() int { return d.gateway.Active() }

// Shutdown starts a graceful shutdown; Run returns when it is complete.
func (d *Daemon) Shutdown() {
	d.shutdownOnce.Do(func() { close(d.shutdown) })
}

// Run serves until a graceful shutdown is complete or parent is canceled, and then returns nil. Otherwise it returns
// the first error of a listener or a background loop.
func (d *Daemon) Run(parent context.Context) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	vmlimits.ApplyMemory(d.settings.Limits.MemoryMB, d.memory)
	servers, err := d.openListeners()
	if err != nil {
		return err
	}
	peerListener, err := openListener(d.settings.Peers.Listen)
	if err != nil {
		closeListeners(servers)
		return err
	}
	d.publishAddresses(servers, peerListener)
	group, ctx := errgroup.WithContext(ctx)
	d.runBackground(ctx, group)
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
		cancel() // ends the background loops and the peer server
		return nil
	})
	err = group.Wait()
	if parent.Err() != nil || isShutdown(d.shutdown) {
		return nil
	}
	return err
}

// runBackground starts the background loops, which run until ctx ends.
func (d *Daemon) runBackground(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { return d.configuration.Run(ctx) })
	group.Go(func() error { return d.claimForwarder.Run(ctx) })
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

// drain fails the readiness check, gives the load balancer the readiness delay to notice, then rejects new
// requests and waits for those in progress.
func (d *Daemon) drain(ctx context.Context) {
	d.shuttingDown.Store(true)
	d.announceLeaving(ctx)
	pause.For(ctx, d.settings.Drain.ReadinessDelay)
	drainCtx, cancel := context.WithTimeout(ctx, d.settings.Drain.Timeout)
	defer cancel()
	if unfinished := d.gateway.Drain(drainCtx); unfinished > 0 {
		d.logger.Warn("drain timeout exceeded; requests without an answer are cut off", "cut_off", unfinished)
		return
	}
	d.logger.Info("graceful shutdown complete")
}

// Ready reports whether the load balancer may send callers to this VM; otherwise reason says why not.
func (d *Daemon) Ready() (ready bool, reason string) {
	switch {
	case d.shuttingDown.Load():
		return false, "shutting down"
	case d.configuration.Index() == nil:
		return false, "no configuration is known yet"
	case !d.isStartupComplete(time.Now()):
		return false, "the targets are being asked for their state"
	default:
		return true, "ready"
	}
}

// startupProbeTimeout is how long a VM that has just started waits, from its first list of VMs, for the first
// target to be confirmed. After that it serves without one, because it may be cut off from the targets that it watches
// but not from those that other VMs watch.
const startupProbeTimeout = 3 * time.Second

// isStartupComplete reports whether a target is eligible or startupProbeTimeout has passed since the first list.
func (d *Daemon) isStartupComplete(now time.Time) bool {
	if len(d.directory.EligibleTargetsByService(now)) > 0 {
		return true
	}
	first := d.firstListAt.Load()
	return first > 0 && now.Sub(time.Unix(0, first)) > startupProbeTimeout
}
