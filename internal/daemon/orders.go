package daemon

import (
	"context"
	"crypto/rand"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"godwitcart/internal/apierror"
	"godwitcart/internal/lease"
	"godwitcart/internal/membership"
	"godwitcart/internal/order"
	"godwitcart/internal/pause"
	"godwitcart/internal/policy"
	"godwitcart/internal/query"
	"godwitcart/internal/target"
	"godwitcart/internal/wire/enginewire"
)

const (
	// dutyInterval is how often a VM looks for services whose orders it might give.
	dutyInterval = 2 * time.Second
	// candidatesPerDuty is how many entry VMs try to take the lease of a service's orders, so that the
	// platform's load does not grow with the fleet.
	candidatesPerDuty = 3
)

// orders gives the orders of the services whose lease this VM holds.
type orders struct {
	daemon *Daemon
	leases *lease.Manager
}

func newOrders(d *Daemon) *orders {
	holder := d.settings.VM.Name + "/" + d.incarnation
	return &orders{daemon: d, leases: lease.NewManager(lease.Options{
		Store: d.store, Holder: holder, Registry: metrics.DefaultRegistry,
	})}
}

// Run takes up duties until ctx ends.
func (o *orders) Run(ctx context.Context) error {
	ticker := time.NewTicker(dutyInterval)
	defer ticker.Stop()
	running := make(map[string]chan struct{})
	for {
		for _, service := range o.duties() {
			if ended, known := running[service]; known && !isClosed(ended) {
				continue
			}
			ended := make(chan struct{})
			running[service] = ended
			go func() {
				defer close(ended)
				o.serve(ctx, service)
			}()
		}
		select {
		case <-ctx.Done():
			for _, ended := range running {
				<-ended
			}
			return nil
		case <-ticker.C:
		}
	}
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// duties returns the services with loads of which this VM is a candidate.
func (o *orders) duties() []string {
	current := o.daemon.configuration.Current()
	if current == nil || o.daemon.notReady.Load() {
		return nil
	}
	var names []string
	for name, service := range current.Services {
		if len(service.Loads) > 0 && o.isCandidate(name) {
			names = append(names, name)
		}
	}
	return names
}

// isCandidate ranks the entry VMs for a service by rendezvous hashing.
func (o *orders) isCandidate(service string) bool {
	self := o.daemon.settings.VM.Name
	weight := func(vm string) uint64 { return xxhash.Sum64String(service + "\x00" + vm) }
	higher := 0
	for _, vm := range namesOf(o.daemon.otherEntries(time.Now())) {
		if weight(vm) > weight(self) {
			higher++
		}
	}
	return higher < candidatesPerDuty
}

// serve takes the service's lease and gives its orders until the lease is lost.
func (o *orders) serve(ctx context.Context, service string) {
	held, err := o.leases.Acquire(ctx, order.LeasePrefix+service)
	if err != nil {
		return
	}
	o.daemon.logger.Info("orders taken over", "service", service, "fencing", held.Fencing())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	kept := make(chan error, 1)
	go func() {
		kept <- held.KeepAlive(ctx)
		cancel()
	}()
	reconciler := order.NewReconciler(order.Options{
		Orderer: o, Drainer: o.daemon.drains, Observer: o, Registry: metrics.DefaultRegistry,
	}, service, held)
	_ = reconciler.Run(ctx, func() (policy.Service, bool) { return o.declared(service) })
	cancel()
	if err := <-kept; err != nil {
		o.daemon.logger.Warn("orders given up", "service", service, "error", err)
	}
}

func (o *orders) declared(name string) (policy.Service, bool) {
	current := o.daemon.configuration.Current()
	if current == nil {
		return policy.Service{}, false
	}
	service, known := current.Services[name]
	return service, known
}

// Order implements order.Orderer.
func (o *orders) Order(ctx context.Context, name string, message enginewire.Order) (enginewire.OrderResult, error) {
	address, known := o.daemon.Locate(name)
	if !known {
		return enginewire.OrderResult{}, apierror.Newf(apierror.KindNotFound, "wait for the platform's list", "target %s is not known", name)
	}
	return o.daemon.engines.Order(ctx, address, message)
}

// Reports implements order.Observer.
func (o *orders) Reports(service string) []order.Report {
	now := time.Now()
	var reports []order.Report
	for _, vm := range o.daemon.directory.AllTargets(now) {
		if vm.Service != service || vm.State == membership.StateGone {
			continue
		}
		load, readAt := o.daemon.directory.Load(vm.Name)
		load.Leaving = load.Leaving || vm.State >= membership.StateLeaving
		reports = append(reports, order.Report{
			Target: vm.Name, Load: load, ReadAt: readAt, Fresh: o.daemon.directory.IsEligible(vm.Name, now),
		})
	}
	slices.SortFunc(reports, func(a, b order.Report) int { return strings.Compare(a.Target, b.Target) })
	return reports
}

// orderOnce sends one order that an operator asked for, under the service's lease.
func (o *orders) orderOnce(ctx context.Context, vm membership.VM, kind enginewire.OrderKind, variant policy.Variant) error {
	held, err := o.leases.Acquire(ctx, order.LeasePrefix+vm.Service)
	if err != nil {
		return err
	}
	keeping, release := context.WithCancel(context.WithoutCancel(ctx))
	kept := make(chan error, 1)
	go func() { kept <- held.KeepAlive(keeping) }()
	defer func() {
		release()
		<-kept
	}()
	if service, _ := o.declared(vm.Service); !service.ChecksFencing {
		pause.For(ctx, time.Until(held.PredecessorExpiry().Add(order.DefaultClockSkew)))
	}
	if !held.Valid(time.Now()) || ctx.Err() != nil {
		return apierror.New(apierror.KindUnavailable, "the lease of the service's orders was lost", "repeat the command")
	}
	_, err = o.Order(ctx, vm.Name, enginewire.Order{
		ID: rand.Text(), Fencing: held.Fencing(), Kind: kind, Loaded: enginewire.Loaded(variant),
		DeadlineUnixMillis: held.ValidUntil().UnixMilli(),
	})
	return orderError(vm.Name, err)
}

// orderError says what is known of an order that was not taken.
func orderError(name string, err error) error {
	var refused *target.RefusedError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused):
		return apierror.Wrap(err, apierror.KindConflict, "target "+name+" refused the order", "see `show targets` and repeat the command")
	default:
		return apierror.Wrap(err, apierror.KindOutcomeUnknown, "the order may or may not have reached target "+name,
			"see `show targets` for what is loaded")
	}
}

// SetLoaded implements command.Operations.
func (o *operations) SetLoaded(ctx context.Context, _, name string, variant policy.Variant, loaded bool) error {
	vm, known := o.daemon.directory.Get(name)
	if !known || vm.Role != membership.RoleTarget {
		return apierror.Newf(apierror.KindNotFound, "name a target that `show targets` lists", "there is no target %s", name)
	}
	service, _ := o.daemon.orders.declared(vm.Service)
	switch {
	case service.Kind != policy.KindEngine:
		return apierror.Newf(apierror.KindBadRequest, "name the target of a model service", "target %s runs no models", name)
	case len(service.Loads) > 0:
		return apierror.Newf(apierror.KindConflict, "change the service's loads instead",
			"service %s declares what its targets load, so that an order to one of them would be undone", vm.Service)
	case loaded && !service.MayRun(variant):
		return apierror.Newf(apierror.KindBadRequest, "add it to the service's runs first", "service %s may not run %s", vm.Service, variant)
	}
	kind := enginewire.OrderUnload
	if loaded {
		kind = enginewire.OrderLoad
	}
	return o.daemon.orders.orderOnce(ctx, vm, kind, variant)
}

// leaseRows returns the leases that the platform holds.
func (o *orders) leaseRows(ctx context.Context) ([]query.Lease, error) {
	listing, err := o.daemon.store.List(ctx, lease.Prefix)
	if err != nil {
		return nil, err
	}
	var rows []query.Lease
	for _, stored := range listing.Objects {
		info, err := lease.Parse(stored)
		if err != nil {
			return nil, err
		}
		rows = append(rows, query.Lease{Name: strings.TrimPrefix(stored.Key, lease.Prefix), Holder: info.Holder, Fencing: info.Fencing})
	}
	return rows, nil
}
