// Package entry assembles the entry VM of a deployment (godwitcartd): it forwards callers' requests according to the
// configuration and the list of targets, both of which it reads from the platform.
package entry

import (
	"context"
	"hash/fnv"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"godwitcart/internal/evacuation"
	"godwitcart/internal/fleet"
	"godwitcart/internal/forward"
	"godwitcart/internal/inforce"
	"godwitcart/internal/lengths"
	"godwitcart/internal/membudget"
	"godwitcart/internal/origin"
	"godwitcart/internal/placement"
	"godwitcart/internal/poison"
	"godwitcart/internal/retrybudget"
	"godwitcart/internal/roster"
	"godwitcart/internal/selfreport"
	"godwitcart/internal/settings"
	"godwitcart/internal/targetlimit"
	"godwitcart/internal/trail"
	"godwitcart/internal/tunnel"
	"godwitcart/internal/upstream"
	"godwitcart/internal/versions"
	"godwitcart/internal/vmlimits"
	"godwitcart/platform"
)

const (
	// callerConnectionShare is the share of the file descriptors that callers' connections may use, and operatorConnectionShare
	// that of the listeners for the platform and for metrics each, with minOperatorConnections at least. Other VMs have
	// tunnelShare, and the rest is for connections to targets.
	callerConnectionShare   = 0.5
	operatorConnectionShare = 0.05
	minOperatorConnections  = 16
	// usableBudgetShare is the share of the retry budget that is used; the rest covers VMs that are not known yet.
	usableBudgetShare = 0.7
	// headerTimeout, idleTimeout and maxHeaderBytes hold for listeners and limits of which the configuration says nothing.
	headerTimeout  = 15 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// noHeaderBytes is the limit of net/http, which is never met: package ingress has the one in force.
	noHeaderBytes = 1 << 30
	// minDrainTime is the minimum time between SIGTERM and the exit, since the load balancer polls readiness only at
	// intervals.
	minDrainTime = 2500 * time.Millisecond
	// graceMargin is left before the platform's SIGKILL for responses that are being sent.
	graceMargin = 400 * time.Millisecond
	// leaveTime is the part of graceMargin in which targets are asked to stop what was cut off.
	leaveTime = 200 * time.Millisecond
	// maxReadingTime is how long a shutdown waits for requests that are being read.
	maxReadingTime = time.Second
	// maxRecordWait is how long after its start a VM waits for the record of the targets' software versions before it takes
	// requests; without it, only streams that callers may resume are refused.
	maxRecordWait = 3 * time.Second
	// drainPollInterval is the interval at which a shutdown checks for requests in progress.
	drainPollInterval = 100 * time.Millisecond
)

// Entry is the godwitcartd process of one entry VM.
type Entry struct {
	settings  atomic.Pointer[settings.Deployment]
	logger    *log.Logger
	poller    *inforce.Poller
	follower  *roster.Follower
	table     *placement.Table
	forwarder *forward.Forwarder
	budget    *retrybudget.Budget
	store     *platform.Store
	client    *upstream.Client
	trail     *trail.Recorder
	// memory bounds what requests and answers hold together.
	memory   *membudget.Budget
	limits   *targetlimit.Ledger
	cold     *targetlimit.ColdTargets
	origins  *origin.Registry
	versions *versions.Registry
	poison   *poison.Registry
	// evacuations is nil if the settings set no bound for evacuations, and evacuationFollower, which reads them, too.
	evacuations        *evacuation.Registry
	evacuationFollower *evacuation.Follower
	// fleet is nil if the settings name no port for load digests, and tunnels, which serves the other VMs, too.
	fleet   *fleet.Fleet
	tunnels *tunnel.Server

	activeRequests atomic.Int64
	// callerConnections is the number of open connections of callers.
	callerConnections atomic.Int64
	draining          atomic.Bool
	// shutdownAt is the time of the shutdown in nanoseconds since startedAt.
	shutdownAt      atomic.Int64
	startedAt       time.Time
	shutdownStarted chan struct{}
}

// New returns an Entry. It opens no listeners and makes no calls; Run does.
func New(s *settings.Deployment, logger *log.Logger) *Entry {
	e := &Entry{logger: logger, startedAt: time.Now(), shutdownStarted: make(chan struct{}), trail: trail.New(), memory: membudget.New(membudget.DefaultLimit)}
	e.client = e.newClient(s)
	e.settings.Store(s)
	e.store = platform.NewStore(s.Platform.Address, platform.ShortWatchWait).WithMemory(e.memory)
	e.cold = e.newColdTargets(s)
	e.limits = targetlimit.NewLedger(targetlimit.Options{VM: s.VM.Name, Logger: logger, Changed: e.sendDigestNow, Transmit: e.transmitPermit, PermitAvailable: e.retryWaiting, Capacity: e.capacityOf, Cold: e.cold})
	e.table = placement.NewTable(placement.Options{Self: placement.Sender{VM: s.VM.Name, Zone: s.VM.Zone}, OnLoadChange: e.sendDigestNow, Limits: e.limits, Seed: nameSeed(s.VM.Name)})
	e.origins = origin.NewRegistry(origin.Options{VM: s.VM.Name, VMs: e.entryVMs, Transmit: e.transmitOrigin})
	e.versions = versions.NewRegistry(versions.Options{
		Store: e.store, Logger: logger, IsReader: e.readsPlatform, IsFirstStart: s.FirstStart, Recorded: e.table.SetRecordedVersions,
	})
	e.poison = poison.NewRegistry(poison.Options{VM: s.VM.Name, VMs: e.entryVMNames, Broadcast: e.broadcastPoison, Send: e.transmitPoison, Logger: logger})
	e.budget = retrybudget.New(s.Bounds.RetryRatio*usableBudgetShare, initialRetrySlack(s))
	e.poller = inforce.NewPoller(inforce.Options{
		Reader: e.store, Logger: logger, InForceWithin: s.Bounds.ConfigurationDelay(), RevokedWithin: s.Bounds.RevocationDelay(),
		IsReader: e.readsPlatform, IsZoneLeader: e.isZoneLeader, Regained: e.tellRegained,
		Changed: e.configurationChanged,
	})
	e.forwarder = forward.New(forward.Options{
		Codec: platform.Codec{}, Mover: platform.NewMover(e.client), Reports: platform.NewReports(e.client), Poller: e.poller, Table: e.table, Client: e.client,
		Budget: e.budget, Lengths: lengths.NewEstimator(0), Limits: e.limits, Origins: e.origins, Versions: e.versions, Poison: e.poison, Logger: logger, Trail: e.trail, Zone: s.VM.Zone, Stopping: e.stopping, ShutdownStarted: e.shutdownStarted, TargetLeaving: e.recordLeaving, TargetPaused: e.sharePause,
		MaxConfigurationAge: s.Bounds.ConfigurationDelay(), EvacuateWithin: s.Bounds.EvacuationDelay(), Memory: e.memory,
	})
	e.follower = roster.NewFollower(roster.Options{
		Store: e.store, Relaxed: e.store.WithStaleReads(platform.ShortWatchWait), Prefix: platform.TargetsPrefix, Decode: platform.DecodeTarget, Listener: e, Logger: logger,
		IsReader: e.readsPlatform, IsZoneLeader: e.isZoneLeader, TargetChanged: e.shareTarget, TargetCold: e.recordCold,
	})
	if s.Bounds.EvacuationDelay() > 0 {
		e.followEvacuations()
	}
	return e
}

// initialRetrySlack returns the retry slack of this VM until it knows how many VMs share it. With load digests that is
// zero, since all VMs may start at the same time.
func initialRetrySlack(s *settings.Deployment) float64 {
	if s.Peers.Port == 0 {
		return s.Bounds.RetrySlack * usableBudgetShare
	}
	return 0
}

func nameSeed(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name)) // never fails
	return hash.Sum64()
}

// TargetsListed implements roster.Listener.
func (e *Entry) TargetsListed(targets map[string]roster.Target) {
	now := time.Now()
	e.limits.Retain(targets, now)
	e.table.ReplaceTargets(targets, now)
	listed := make(map[string]map[string]bool)
	for _, target := range targets {
		if listed[target.Service] == nil {
			listed[target.Service] = make(map[string]bool)
		}
		listed[target.Service][target.Version] = true
	}
	e.versions.Observe(listed, now)
}

// TargetLeaving implements roster.Listener. The list that follows says whether the target is still leaving.
func (e *Entry) TargetLeaving(target roster.Target) {
	e.table.Withdraw(target)
	e.client.CloseIdle(target.Address)
	e.forwarder.Evacuate(target)
}

// TargetGone implements roster.Listener.
func (e *Entry) TargetGone(target roster.Target) { e.TargetLeaving(target) }

// recordLeaving records that a target has said in an answer that it is leaving, and tells the other VMs. Its running
// streams are moved like those of a target that the list reports as leaving.
func (e *Entry) recordLeaving(target roster.Target) {
	target.Leaving = true
	e.follower.RecordLeaving(target)
	e.shareTarget(target)
}

// newReportWatcher returns what asks the engines of this VM's zone whether they are leaving while the list cannot be read. Only
// generations that can move gain by it.
func (e *Entry) newReportWatcher() *selfreport.Watcher {
	movesGenerations := func(service string) bool {
		table := e.poller.Current()
		return table != nil && table.Services[service].Engine != nil && table.Services[service].Engine.SupportsMoves
	}
	return selfreport.NewWatcher(selfreport.Options{
		Source: platform.NewReports(e.client), Targets: func() []roster.Target {
			return e.table.Serving(e.settings.Load().VM.Zone, movesGenerations, time.Now())
		},
		IsListLost: e.poller.HasLostPlatform, IsAsker: e.asksTargets, Leaving: e.recordLeaving, Logger: e.logger,
	})
}

// Shutdown starts a graceful shutdown; Run returns when it is complete. It must be called at most once.
func (e *Entry) Shutdown() {
	e.shutdownAt.Store(int64(time.Since(e.startedAt)))
	e.draining.Store(true)
	close(e.shutdownStarted)
}

// stopping reports whether a graceful shutdown is in progress, and its timing.
func (e *Entry) stopping() (forward.Stop, bool) {
	if !e.draining.Load() {
		return forward.Stop{}, false
	}
	since := time.Since(e.startedAt) - time.Duration(e.shutdownAt.Load())
	return forward.Stop{Since: since, Remaining: e.gracePeriod() - since}, true
}

// gracePeriod returns the time from the start of a shutdown until the requests still in progress are aborted.
func (e *Entry) gracePeriod() time.Duration {
	return e.settings.Load().Bounds.GracePeriod() - graceMargin
}

// Active returns the number of callers' requests in progress.
func (e *Entry) Active() int64 { return e.activeRequests.Load() }

// Reload applies changed settings, except for addresses, which take effect only at the start.
func (e *Entry) Reload(s *settings.Deployment) {
	e.settings.Store(s)
	e.applyLimits()
	e.logger.Info("settings reloaded", "memory_mb", s.Limits.MemoryMB, "retry_slack", s.Bounds.RetrySlack)
}

func (e *Entry) applyLimits() { vmlimits.ApplyMemory(e.settings.Load().Limits.MemoryMB, e.memory) }

// Run serves until a graceful shutdown is complete or stopCtx ends, and then returns nil. It returns an error if a
// listener cannot be opened or a part of the VM fails before.
func (e *Entry) Run(stopCtx context.Context) error {
	ctx, cancel := context.WithCancel(stopCtx)
	defer cancel()
	e.applyLimits()
	s := e.settings.Load()
	group, ctx := errgroup.WithContext(ctx)
	if err := e.startFleet(ctx, group); err != nil {
		return err
	}
	callerServer, err := e.startServer(ctx, group, server{
		name: "callers", address: s.Callers.Listen, handler: http.HandlerFunc(e.serveCaller), maxConnections: e.connections(callerConnectionShare),
		limits: e.callerLimits, connState: e.countConnection,
	})
	if err != nil {
		return err
	}
	for _, internal := range []server{
		{name: "readiness", address: s.Readiness.Listen, handler: http.HandlerFunc(e.serveReady)},
		{name: "metrics", address: s.Metrics.Listen, handler: e.operatorsHandler()},
	} {
		internal.maxConnections = max(minOperatorConnections, e.connections(operatorConnectionShare))
		if _, err := e.startServer(ctx, group, internal); err != nil {
			return err
		}
	}
	group.Go(func() error { return e.poller.Run(ctx) })
	group.Go(func() error { return e.poison.Run(ctx) })
	group.Go(func() error { return e.follower.Run(ctx) })
	group.Go(func() error { return e.versions.Run(ctx) })
	if e.evacuationFollower != nil {
		group.Go(func() error { return e.evacuationFollower.Run(ctx) })
	}
	group.Go(func() error { return e.newReportWatcher().Run(ctx) })
	group.Go(func() error {
		defer cancel()
		select {
		case <-e.shutdownStarted:
			e.drain(ctx, callerServer)
		case <-ctx.Done():
		}
		return nil
	})
	err = group.Wait()
	if e.draining.Load() || stopCtx.Err() != nil {
		return nil
	}
	return err
}

func (e *Entry) serveCaller(w http.ResponseWriter, r *http.Request) {
	e.activeRequests.Add(1)
	defer e.activeRequests.Add(-1)
	e.forwarder.ServeHTTP(w, r)
}

// Ready reports whether this VM accepts callers, with the reason if it does not.
func (e *Entry) Ready() (ready bool, reason string) {
	switch {
	case e.draining.Load():
		return false, "shutting down"
	case e.poller.Current() == nil:
		return false, "no configuration is known yet"
	case !e.follower.HasSynced():
		return false, "the list of targets has not been read yet"
	case e.evacuationFollower != nil && !e.evacuationFollower.HasSynced():
		return false, "the zones in evacuation have not been read yet"
	case !e.versions.HasRecorded() && time.Since(e.startedAt) < maxRecordWait:
		return false, "the software versions of the targets have not been recorded yet"
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
	_, _ = w.Write([]byte(reason)) // a write error is ignored: the platform reads only the status
}
