package order

import (
	"cmp"
	"context"
	"crypto/rand"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"godwitcart/internal/lease"
	"godwitcart/internal/policy"
	"godwitcart/internal/target"
	"godwitcart/internal/wire/enginewire"
)

// Defaults of Options.
const (
	// DefaultInterval is the time between two comparisons.
	DefaultInterval = time.Second
	// DefaultClockSkew is the assumed maximum difference between the clocks of VMs and targets.
	DefaultClockSkew = 2 * time.Second
	// DefaultDrainSettle is the time after which every entry VM has applied a drain.
	DefaultDrainSettle = 4 * time.Second
	// DefaultLoadTimeout is how long an order may show no effect in reports before it is issued
	// again.
	DefaultLoadTimeout = 2 * time.Minute
	// DefaultLoadsPerSecond is one service's share of the weight store's rate limit.
	DefaultLoadsPerSecond = 1
)

// defaultMaxUnavailableDivisor limits unavailable replicas to a fifth of a service by default.
const defaultMaxUnavailableDivisor = 5

// DrainOwner is the owner name of the reconciler's drains.
const DrainOwner = "reconciler"

// LeasePrefix plus the service name is the name of the lease for the service's orders.
const LeasePrefix = "orders/"

// Orderer sends orders to targets.
type Orderer interface {
	Order(ctx context.Context, target string, order enginewire.Order) (enginewire.OrderResult, error)
}

// Drainer removes targets from routing on every entry VM.
type Drainer interface {
	// Owner returns the owner of a target's drain. It returns false if the target is not drained.
	Owner(target string) (owner string, drained bool)
	SetDrained(ctx context.Context, owner, target string, drained bool) error
}

// Report is the last known state of one target.
type Report struct {
	Target string
	Load   enginewire.LoadReport
	// ReadAt is the time on this VM's clock at which the report was requested.
	ReadAt time.Time
	// Fresh is false if the target's state was not confirmed recently.
	Fresh bool
}

// Observer returns the reports of all targets of a service. The order of targets must not change
// between calls.
type Observer interface {
	Reports(service string) []Report
}

// Options configures a Reconciler. Zero fields take their defaults.
type Options struct {
	Orderer  Orderer
	Drainer  Drainer
	Observer Observer
	// Capacity, MaxUnavailable and ChunkSize set the fields of Plan with these names. MaxUnavailable
	// defaults to a fifth of the replicas.
	Capacity, MaxUnavailable, ChunkSize int
	Interval                            time.Duration
	ClockSkew                           time.Duration
	DrainSettle                         time.Duration
	LoadTimeout                         time.Duration
	LoadsPerSecond                      float64
	Registry                            metrics.Registry
}

func (o Options) withDefaults() Options {
	o.Capacity = cmp.Or(o.Capacity, 1)
	o.ChunkSize = cmp.Or(o.ChunkSize, 1)
	o.Interval = cmp.Or(o.Interval, DefaultInterval)
	o.ClockSkew = cmp.Or(o.ClockSkew, DefaultClockSkew)
	o.DrainSettle = cmp.Or(o.DrainSettle, DefaultDrainSettle)
	o.LoadTimeout = cmp.Or(o.LoadTimeout, DefaultLoadTimeout)
	o.LoadsPerSecond = cmp.Or(o.LoadsPerSecond, DefaultLoadsPerSecond)
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	return o
}

// pendingOrder is an order that was sent and whose effect no report has shown yet.
type pendingOrder struct {
	order        enginewire.Order
	sentAt       time.Time
	acknowledged bool
}

// Reconciler issues the orders of one service while it holds the service's lease. It is not safe for
// concurrent use.
type Reconciler struct {
	options     Options
	service     string
	lease       *lease.Lease
	loadLimiter *rate.Limiter
	// pendingOrders maps each target to its last order.
	pendingOrders map[string]*pendingOrder
	// drainedSince maps each target to the time at which this VM first saw it drained.
	drainedSince map[string]time.Time

	sent, failed, withheld metrics.Counter
}

// NewReconciler returns a reconciler that works for a service under one lease.
func NewReconciler(options Options, service string, serviceLease *lease.Lease) *Reconciler {
	options = options.withDefaults()
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("order."+name, options.Registry)
	}
	return &Reconciler{
		options: options, service: service, lease: serviceLease,
		loadLimiter:   rate.NewLimiter(rate.Limit(options.LoadsPerSecond), 1),
		pendingOrders: make(map[string]*pendingOrder),
		drainedSince:  make(map[string]time.Time),
		sent:          counter("sent"), failed: counter("failed"), withheld: counter("withheld"),
	}
}

// Run reconciles until ctx ends. current returns the service's current declaration, or false if the
// service no longer exists.
func (r *Reconciler) Run(ctx context.Context, current func() (policy.Service, bool)) error {
	timer := time.NewTicker(r.options.Interval)
	defer timer.Stop()
	for {
		if service, declared := current(); declared {
			r.Reconcile(ctx, service)
		}
		select {
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// Reconcile compares the desired with the reported state once, resends unacknowledged orders and executes
// the resulting actions. It does nothing if the service declares no loads, or while orders of an earlier
// lease holder may still arrive. Failed actions are only counted; the next call decides anew.
func (r *Reconciler) Reconcile(ctx context.Context, service policy.Service) {
	now := time.Now()
	if len(service.Loads) == 0 || r.mustWaitForPredecessor(service, now) {
		return
	}
	reports := r.options.Observer.Reports(service.Name)
	plan := Plan{
		Desired: service.Loads, Capacity: max(r.options.Capacity, len(service.Loads)),
		MaxUnavailable: r.maxUnavailable(len(reports)), ChunkSize: r.options.ChunkSize,
		LoadBudget: int(r.loadLimiter.TokensAt(now)),
	}
	replicas := make([]Replica, 0, len(reports))
	for _, report := range reports {
		replicas = append(replicas, r.buildReplica(report, now))
	}
	r.resendUnacknowledged(ctx)
	for _, action := range Decide(plan, replicas) {
		if err := r.execute(ctx, action); err != nil {
			r.failed.Inc(1)
		}
	}
}

// maxUnavailable returns the number of a service's replicas that may be out of routing at once.
func (r *Reconciler) maxUnavailable(replicas int) int {
	if r.options.MaxUnavailable > 0 {
		return r.options.MaxUnavailable
	}
	return max(1, replicas/defaultMaxUnavailableDivisor)
}

// mustWaitForPredecessor reports whether orders of an earlier lease holder may still reach targets
// that do not check the fencing token.
func (r *Reconciler) mustWaitForPredecessor(service policy.Service, now time.Time) bool {
	return !service.ChecksFencing && now.Before(r.lease.PredecessorExpiry().Add(r.options.ClockSkew))
}

// buildReplica converts a report to a Replica. It also records when this VM first saw the target drained,
// and drops a pending order that is complete or timed out.
func (r *Reconciler) buildReplica(report Report, now time.Time) Replica {
	replica := Replica{Target: report.Target, Known: report.Fresh, Leaving: report.Load.Leaving}
	for _, loaded := range report.Load.Loaded {
		replica.Loaded = append(replica.Loaded, policy.Variant(loaded))
	}
	owner, drained := r.options.Drainer.Owner(report.Target)
	replica.Drained = drained && owner == DrainOwner
	replica.Reserved = drained && owner != DrainOwner
	if !drained {
		delete(r.drainedSince, report.Target)
	} else if _, seen := r.drainedSince[report.Target]; !seen {
		r.drainedSince[report.Target] = now
	}
	settledAt := r.drainedSince[report.Target].Add(r.options.DrainSettle)
	inactive := report.Load.Running == 0 && report.Load.Waiting == 0
	replica.Idle = drained && inactive && report.ReadAt.After(settledAt)
	replica.Pending = r.isPending(report, now)
	return replica
}

// isPending reports whether the target has a pending order. It drops an order whose effect the report
// shows, or that timed out.
func (r *Reconciler) isPending(report Report, now time.Time) bool {
	pending, ok := r.pendingOrders[report.Target]
	if !ok {
		return false
	}
	isLoaded := false
	for _, loaded := range report.Load.Loaded {
		isLoaded = isLoaded || loaded == pending.order.ModelVariant
	}
	done := isLoaded == (pending.order.Kind == enginewire.OrderLoad)
	if (done && report.ReadAt.After(pending.sentAt)) || now.Sub(pending.sentAt) > r.options.LoadTimeout {
		delete(r.pendingOrders, report.Target)
		return false
	}
	return true
}

// resendUnacknowledged resends orders whose response was lost. A target executes each order ID once.
func (r *Reconciler) resendUnacknowledged(ctx context.Context) {
	for targetName, pending := range r.pendingOrders {
		if !pending.acknowledged {
			_ = r.send(ctx, targetName, pending)
		}
	}
}

func (r *Reconciler) execute(ctx context.Context, action Action) error {
	switch action.Kind {
	case ActionDrain, ActionReturn:
		if !r.lease.Valid(time.Now()) {
			r.withheld.Inc(1)
			return errLeaseNotValid
		}
		return r.options.Drainer.SetDrained(ctx, DrainOwner, action.Target, action.Kind == ActionDrain)
	case ActionLoad:
		r.loadLimiter.Allow()
		return r.sendNew(ctx, action, enginewire.OrderLoad)
	default:
		return r.sendNew(ctx, action, enginewire.OrderUnload)
	}
}

// sendNew sends a new order.
func (r *Reconciler) sendNew(ctx context.Context, action Action, kind enginewire.OrderKind) error {
	pending := &pendingOrder{order: enginewire.Order{
		ID: rand.Text(), Fencing: r.lease.Fencing(), Kind: kind, ModelVariant: enginewire.ModelVariant(action.Variant),
	}, sentAt: time.Now()}
	r.pendingOrders[action.Target] = pending
	return r.send(ctx, action.Target, pending)
}

// send checks the lease immediately before it sends the order. The order's deadline is the lease's
// expiry, so that no order of this VM starts under a later holder. A refused order is no longer pending;
// after any other error it stays pending and unacknowledged, and is resent.
func (r *Reconciler) send(ctx context.Context, targetName string, pending *pendingOrder) error {
	if !r.lease.Valid(time.Now()) {
		r.withheld.Inc(1)
		return errLeaseNotValid
	}
	until := r.lease.ValidUntil()
	pending.order.DeadlineUnixMillis = until.UnixMilli()
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	r.sent.Inc(1)
	_, err := r.options.Orderer.Order(ctx, targetName, pending.order)
	if err == nil {
		pending.acknowledged = true
		return nil
	}
	if isRefused(err) {
		delete(r.pendingOrders, targetName)
	}
	return err
}

var errLeaseNotValid = errors.New("the lease is over")

// isRefused reports whether the target refused the order. A refused order had no effect.
func isRefused(err error) bool {
	var refusal *target.RefusedError
	return errors.As(err, &refusal)
}
