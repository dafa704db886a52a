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

// The defaults of Options.
const (
	// DefaultInterval is the time between two comparisons.
	DefaultInterval = time.Second
	// DefaultClockSkew is allowed for between the clocks of VMs and targets.
	DefaultClockSkew = 2 * time.Second
	// DefaultDrainSettle is how long a drain takes to reach every entry VM.
	DefaultDrainSettle = 4 * time.Second
	// DefaultLoadTimeout is how long an order may stay unreported before it is sent anew.
	DefaultLoadTimeout = 2 * time.Minute
	// DefaultLoadsPerSecond is the part of the weight store's rate that one service may use.
	DefaultLoadsPerSecond = 1
)

// defaultMaxOutDivisor makes a fifth of the replicas the most that may be out at once.
const defaultMaxOutDivisor = 5

// DrainOwner is the name under which the reconciler drains targets.
const DrainOwner = "reconciler"

// LeasePrefix, followed by the service's name, is the name of the lease of its orders.
const LeasePrefix = "orders/"

// Orderer sends one order to a target.
type Orderer interface {
	Order(ctx context.Context, target string, order enginewire.Order) (enginewire.OrderResult, error)
}

// Drainer takes targets out of routing on every entry VM.
type Drainer interface {
	// Owner returns who drained a target, and false when nobody did.
	Owner(target string) (owner string, drained bool)
	SetDrained(ctx context.Context, owner, target string, drained bool) error
}

// Report is what is known of one target.
type Report struct {
	Target string
	Load   enginewire.LoadReport
	// ReadAt is when the report was asked for, by this VM's clock.
	ReadAt time.Time
	// Fresh is false when the target's state was not confirmed lately.
	Fresh bool
}

// Observer returns the reports of all targets of a service in a fixed order.
type Observer interface {
	Reports(service string) []Report
}

// Options configures a Reconciler. A zero field takes its default.
type Options struct {
	Orderer  Orderer
	Drainer  Drainer
	Observer Observer
	// Room, MaxOut and ChunkSize make the plan; see Plan. MaxOut is a fifth of the replicas by default.
	Room, MaxOut, ChunkSize int
	Interval                time.Duration
	ClockSkew               time.Duration
	DrainSettle             time.Duration
	LoadTimeout             time.Duration
	LoadsPerSecond          float64
	Registry                metrics.Registry
}

func (o Options) withDefaults() Options {
	o.Room = cmp.Or(o.Room, 1)
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

// pending is an order that was sent and not yet seen in a report.
type pending struct {
	order   enginewire.Order
	sentAt  time.Time
	settled bool
}

// Reconciler gives the orders of one service while it holds the service's lease. It is used
// by one goroutine.
type Reconciler struct {
	options Options
	service string
	lease   *lease.Lease
	loads   *rate.Limiter
	// pending holds the last order to each target.
	pending map[string]*pending
	// drainedSince is when this VM first saw a target drained.
	drainedSince map[string]time.Time

	sent, failed, withheld metrics.Counter
}

// NewReconciler returns a reconciler of a service for the time of one lease.
func NewReconciler(options Options, service string, held *lease.Lease) *Reconciler {
	options = options.withDefaults()
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("order."+name, options.Registry)
	}
	return &Reconciler{
		options: options, service: service, lease: held,
		loads:        rate.NewLimiter(rate.Limit(options.LoadsPerSecond), 1),
		pending:      make(map[string]*pending),
		drainedSince: make(map[string]time.Time),
		sent:         counter("sent"), failed: counter("failed"), withheld: counter("withheld"),
	}
}

// Run compares until the context ends; current returns the service as it is declared now,
// and false when it is no more.
func (r *Reconciler) Run(ctx context.Context, current func() (policy.Service, bool)) error {
	timer := time.NewTicker(r.options.Interval)
	defer timer.Stop()
	for {
		if service, declared := current(); declared {
			r.Step(ctx, service)
		}
		select {
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// Step makes one comparison and carries its actions out. A service that declares no loads is left
// as it is.
func (r *Reconciler) Step(ctx context.Context, service policy.Service) {
	now := time.Now()
	if len(service.Loads) == 0 || r.waits(service, now) {
		return
	}
	reports := r.options.Observer.Reports(service.Name)
	plan := Plan{
		Desired: service.Loads, Room: max(r.options.Room, len(service.Loads)),
		MaxOut: r.maxOut(len(reports)), ChunkSize: r.options.ChunkSize,
		Loads: int(r.loads.TokensAt(now)),
	}
	replicas := make([]Replica, 0, len(reports))
	for _, report := range reports {
		replicas = append(replicas, r.replica(report, now))
	}
	r.repeat(ctx)
	for _, action := range Decide(plan, replicas) {
		if err := r.carryOut(ctx, action); err != nil {
			r.failed.Inc(1)
		}
	}
}

// maxOut returns how many of a service's replicas may be out of routing at once.
func (r *Reconciler) maxOut(replicas int) int {
	if r.options.MaxOut > 0 {
		return r.options.MaxOut
	}
	return max(1, replicas/defaultMaxOutDivisor)
}

// waits reports whether orders of an earlier holder may still be on their way to targets that
// ignore the fencing number.
func (r *Reconciler) waits(service policy.Service, now time.Time) bool {
	return !service.ChecksFencing && now.Before(r.lease.PredecessorEnd().Add(r.options.ClockSkew))
}

// replica turns a report into what Decide needs.
func (r *Reconciler) replica(report Report, now time.Time) Replica {
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
	unused := report.Load.Running == 0 && report.Load.Waiting == 0
	replica.Idle = drained && unused && report.ReadAt.After(settledAt)
	replica.Pending = r.isPending(report, now)
	return replica
}

// isPending forgets an order that the report shows as done, or that took too long.
func (r *Reconciler) isPending(report Report, now time.Time) bool {
	last, ok := r.pending[report.Target]
	if !ok {
		return false
	}
	present := false
	for _, loaded := range report.Load.Loaded {
		present = present || loaded == last.order.Loaded
	}
	done := present == (last.order.Kind == enginewire.OrderLoad)
	if (done && report.ReadAt.After(last.sentAt)) || now.Sub(last.sentAt) > r.options.LoadTimeout {
		delete(r.pending, report.Target)
		return false
	}
	return true
}

// repeat sends orders again whose answer was lost; a target carries out an order id once.
func (r *Reconciler) repeat(ctx context.Context) {
	for name, last := range r.pending {
		if !last.settled {
			_ = r.send(ctx, name, last)
		}
	}
}

func (r *Reconciler) carryOut(ctx context.Context, action Action) error {
	switch action.Kind {
	case ActionDrain, ActionReturn:
		if !r.lease.Valid(time.Now()) {
			r.withheld.Inc(1)
			return errLeaseOver
		}
		return r.options.Drainer.SetDrained(ctx, DrainOwner, action.Target, action.Kind == ActionDrain)
	case ActionLoad:
		r.loads.Allow()
		return r.begin(ctx, action, enginewire.OrderLoad)
	default:
		return r.begin(ctx, action, enginewire.OrderUnload)
	}
}

// begin sends a new order.
func (r *Reconciler) begin(ctx context.Context, action Action, kind enginewire.OrderKind) error {
	made := &pending{order: enginewire.Order{
		ID: rand.Text(), Fencing: r.lease.Fencing(), Kind: kind, Loaded: enginewire.Loaded(action.Variant),
	}, sentAt: time.Now()}
	r.pending[action.Target] = made
	return r.send(ctx, action.Target, made)
}

// send checks the lease right before the order leaves. The order's deadline is the end of the
// lease's validity, so that no order of this VM starts under a later holder.
func (r *Reconciler) send(ctx context.Context, name string, made *pending) error {
	if !r.lease.Valid(time.Now()) {
		r.withheld.Inc(1)
		return errLeaseOver
	}
	until := r.lease.Until()
	made.order.DeadlineUnixMillis = until.UnixMilli()
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	r.sent.Inc(1)
	_, err := r.options.Orderer.Order(ctx, name, made.order)
	if err == nil {
		made.settled = true
		return nil
	}
	if refused(err) {
		delete(r.pending, name)
	}
	return err
}

var errLeaseOver = errors.New("the lease is over")

// refused reports whether the target itself refused the order, which then had no effect.
func refused(err error) bool {
	var refusal *target.RefusedError
	return errors.As(err, &refusal)
}
