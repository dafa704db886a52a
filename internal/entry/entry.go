// Package entry wires one godwitcartd of a deployment: it forwards callers' requests by the configuration and
// the list of targets that the platform holds.
package entry

import (
	"context"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"godwitcart/internal/fleet"
	"godwitcart/internal/forward"
	"godwitcart/internal/inforce"
	"godwitcart/internal/lengths"
	"godwitcart/internal/pause"
	"godwitcart/internal/placement"
	"godwitcart/internal/retrybudget"
	"godwitcart/internal/roster"
	"godwitcart/internal/settings"
	"godwitcart/internal/trail"
	"godwitcart/internal/upstream"
	"godwitcart/platform"
)

const (
	// memoryShare is the part of the granted memory that the heap may fill before it is collected harder.
	memoryShare = 0.6
	// callerShare is the part of the descriptors that callers' connections may take.
	callerShare = 0.5
	// slackShare is the part of the shared retry slack that is used; the rest covers VMs not yet heard of.
	slackShare = 0.7
	// headerTimeout and idleTimeout are above what configurations grant callers, so that no caller within
	// its limits is cut off.
	headerTimeout = 15 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 64 << 10
	// leaveAfter is the least time between SIGTERM and the end: the balancer asks for readiness now and then.
	leaveAfter = 2500 * time.Millisecond
	// graceMargin is kept before the platform's SIGKILL, for answers on their way.
	graceMargin = 400 * time.Millisecond
	// idleCheck is the time between two looks at what is still in progress during a shutdown.
	idleCheck = 100 * time.Millisecond
)

// Entry is one godwitcartd of a deployment.
type Entry struct {
	settings  atomic.Pointer[settings.Deployment]
	logger    *log.Logger
	keeper    *inforce.Keeper
	follower  *roster.Follower
	table     *placement.Table
	forwarder *forward.Forwarder
	budget    *retrybudget.Budget
	store     *platform.Store
	client    *upstream.Client
	trail     *trail.Book
	// fleet is nil where digests are not exchanged.
	fleet *fleet.Fleet

	active   atomic.Int64
	draining atomic.Bool
	// stopAt is when the shutdown began, in nanoseconds since the start of the process.
	stopAt    atomic.Int64
	startedAt time.Time
	shutdown  chan struct{}
}

// New builds an Entry; it opens no listener and calls nobody.
func New(s *settings.Deployment, logger *log.Logger) *Entry {
	e := &Entry{logger: logger, startedAt: time.Now(), shutdown: make(chan struct{}), client: upstream.NewClient(), trail: trail.New()}
	e.settings.Store(s)
	e.store = platform.NewStore(s.Platform.Address, platform.EagerWatch)
	e.table = placement.NewTable(placement.Options{Self: placement.Sender{VM: s.VM.Name, Zone: s.VM.Zone}, Placed: e.hurry, Seed: seedOf(s.VM.Name)})
	e.budget = retrybudget.New(s.Bounds.RetryRatio*slackShare, firstSlack(s))
	e.keeper = inforce.NewKeeper(inforce.Options{
		Reader: e.store, Logger: logger, InForceWithin: s.Bounds.Configuration(), RevokedWithin: s.Bounds.Revocation(),
		Close: e.readsClosely, First: e.readsFirst,
	})
	e.forwarder = forward.New(forward.Options{
		Codec: platform.Codec{}, Mover: platform.NewMover(e.client), Keeper: e.keeper, Table: e.table, Client: e.client,
		Budget: e.budget, Lengths: lengths.NewBook(0), Logger: logger, Trail: e.trail, Zone: s.VM.Zone, Stopping: e.stopping,
		FreshWithin: s.Bounds.Configuration(),
	})
	e.follower = roster.NewFollower(roster.Options{
		Store: e.store, Relaxed: e.store.Relaxed(platform.EagerWatch), Prefix: platform.TargetsPrefix, Decode: platform.DecodeTarget, Listener: e, Logger: logger,
		Close: e.readsClosely, First: e.readsFirst, Learnt: e.tell,
	})
	return e
}

// firstSlack is the retry slack of this VM until it knows how many share it: all VMs may start at once.
func firstSlack(s *settings.Deployment) float64 {
	if s.Peers.Port == 0 {
		return s.Bounds.RetrySlack * slackShare
	}
	return 0
}

func seedOf(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name)) // never fails
	return hash.Sum64()
}

// Listed implements roster.Listener.
func (e *Entry) Listed(targets map[string]roster.Target) { e.table.Listed(targets, time.Now()) }

// Left implements roster.Listener.
func (e *Entry) Left(target roster.Target) {
	e.table.MarkLeaving(target)
	e.client.Forget(target.Address)
	e.forwarder.Evacuate(target)
}

// Shutdown starts a graceful shutdown; Run returns when it is complete. It is called once.
func (e *Entry) Shutdown() {
	e.stopAt.Store(int64(time.Since(e.startedAt)))
	e.draining.Store(true)
	close(e.shutdown)
}

// stopping reports whether a graceful shutdown is in progress, and how far it is.
func (e *Entry) stopping() (forward.Stop, bool) {
	if !e.draining.Load() {
		return forward.Stop{}, false
	}
	since := time.Since(e.startedAt) - time.Duration(e.stopAt.Load())
	return forward.Stop{Since: since, Left: e.grace() - since}, true
}

// grace is the time from the start of a shutdown until what still runs is cut off.
func (e *Entry) grace() time.Duration { return e.settings.Load().Bounds.Grace() - graceMargin }

// Active returns the number of callers' requests in progress.
func (e *Entry) Active() int64 { return e.active.Load() }

// Reload takes settings that have changed. Addresses stay as they were at the start.
func (e *Entry) Reload(s *settings.Deployment) {
	e.settings.Store(s)
	e.applyLimits()
	e.logger.Info("settings reloaded", "memory_mb", s.Limits.MemoryMB, "retry_slack", s.Bounds.RetrySlack)
}

func (e *Entry) applyLimits() {
	if limit := e.settings.Load().Limits.MemoryMB; limit > 0 {
		debug.SetMemoryLimit(int64(float64(limit) * memoryShare * (1 << 20)))
	}
}

// Run serves until a graceful shutdown is complete or stop ends.
func (e *Entry) Run(stop context.Context) error {
	ctx, cancel := context.WithCancel(stop)
	defer cancel()
	e.applyLimits()
	s := e.settings.Load()
	group, ctx := errgroup.WithContext(ctx)
	callers, err := e.serve(ctx, group, s.Callers.Listen, http.HandlerFunc(e.serveCaller), e.callerConnections())
	if err != nil {
		return err
	}
	if _, err := e.serve(ctx, group, s.Readiness.Listen, http.HandlerFunc(e.serveReady), 0); err != nil {
		return err
	}
	if _, err := e.serve(ctx, group, s.Metrics.Listen, e.operatorsHandler(), 0); err != nil {
		return err
	}
	if err := e.shareLoads(ctx, group); err != nil {
		return err
	}
	group.Go(func() error { return e.keeper.Run(ctx) })
	group.Go(func() error { return e.follower.Run(ctx) })
	group.Go(func() error {
		defer cancel()
		select {
		case <-e.shutdown:
			e.drain(ctx, callers)
		case <-ctx.Done():
		}
		return nil
	})
	err = group.Wait()
	if e.draining.Load() || stop.Err() != nil {
		return nil
	}
	return err
}

// callerConnections is the number of callers' connections that are held at once; those beyond wait to be
// accepted. The rest of the descriptors is for connections to targets.
func (e *Entry) callerConnections() int {
	return int(callerShare * float64(e.settings.Load().Limits.OpenFiles))
}

// serve opens a listener that is closed when ctx ends. It holds limit connections at once, where that is not zero.
func (e *Entry) serve(ctx context.Context, group *errgroup.Group, address string, handler http.Handler, limit int) (*http.Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	if limit > 0 {
		listener = netutil.LimitListener(listener, limit)
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ErrorLog: e.logger.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	context.AfterFunc(ctx, func() { server.Close() })
	return server, nil
}

func (e *Entry) serveCaller(w http.ResponseWriter, r *http.Request) {
	e.active.Add(1)
	defer e.active.Add(-1)
	e.forwarder.ServeHTTP(w, r)
}

// Ready reports whether this VM takes callers, and why not.
func (e *Entry) Ready() (ready bool, reason string) {
	switch {
	case e.draining.Load():
		return false, "shutting down"
	case e.keeper.Current() == nil:
		return false, "no configuration is known yet"
	case !e.follower.Known():
		return false, "the list of targets has not been read yet"
	default:
		return true, "ready"
	}
}

func (e *Entry) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.PathReady {
		http.NotFound(w, r)
		return
	}
	ready, reason := e.Ready()
	if !ready {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte(reason)) // the platform reads the status alone
}

// shareLoads exchanges loads with the other entry VMs.
func (e *Entry) shareLoads(ctx context.Context, group *errgroup.Group) error {
	s := e.settings.Load()
	if s.Peers.Port == 0 {
		return nil
	}
	own, err := netip.ParseAddr(s.VM.Address)
	if err != nil {
		return errors.Wrap(err, "vm.address")
	}
	address := netip.AddrPortFrom(own, uint16(s.Peers.Port))
	conn, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp4", address.String())
	if err != nil {
		return errors.Wrap(err, "listen for load digests")
	}
	self := fleet.Member{Name: s.VM.Name, Zone: s.VM.Zone, Address: address}
	e.fleet = fleet.New(fleet.Options{
		Self: self, Table: e.table, Knowledge: e.keeper, Conn: conn, Logger: e.logger, SizeChanged: e.fleetChanged, Learnt: e.follower.Hint,
		InForceWithin: s.Bounds.Configuration(),
	})
	directory := &fleet.Directory{Store: e.store.Relaxed(platform.PatientWatch), Self: self, Logger: e.logger, Changed: e.fleet.SetMembers}
	group.Go(func() error { return directory.Run(ctx) })
	group.Go(func() error { return e.fleet.Run(ctx) })
	return nil
}

// readsClosely reports whether this VM follows the platform closely, not by its peers.
func (e *Entry) readsClosely() bool { return e.fleet == nil || e.fleet.Reader() }

// readsFirst reports whether this VM is the one of its zone that others rely on to find the platform back.
func (e *Entry) readsFirst() bool { return e.fleet == nil || e.fleet.First() }

// hurry tells the other VMs at once what this one has placed.
func (e *Entry) hurry() {
	if e.fleet != nil {
		e.fleet.Hurry()
	}
}

// tell passes what the platform said of a target on to the other VMs.
func (e *Entry) tell(target roster.Target) {
	if e.fleet != nil {
		e.fleet.Tell(target)
	}
}

// fleetChanged shares the retry slack by all entry VMs.
func (e *Entry) fleetChanged(size fleet.Size) {
	slack := e.settings.Load().Bounds.RetrySlack * slackShare / float64(size.Known)
	e.budget.SetSlack(slack)
	e.logger.Info("number of entry VMs changed", "live", size.Live, "known", size.Known, "retry_slack", slack)
}

// drain waits for the requests in progress, and for the balancer to lead no more callers here.
func (e *Entry) drain(ctx context.Context, callers *http.Server) {
	startedAt := time.Now()
	for time.Since(startedAt) < e.grace() {
		if e.active.Load() == 0 && time.Since(startedAt) > leaveAfter {
			break
		}
		if !pause.For(ctx, idleCheck) {
			return
		}
	}
	left := e.active.Load()
	if left > 0 {
		e.logger.Warn("grace is over: requests are cut off", "cut_off", left)
	}
	callers.Close()
}
