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
	// leaseAttemptInterval is how often a VM looks for services whose order lease it should try to acquire.
	leaseAttemptInterval = 2 * time.Second
	// leaseCandidates is how many entry VMs try to acquire the order lease of a service. The bound keeps
	// the load on the platform independent of the number of entry VMs.
	leaseCandidates = 3
)

// orderManager runs the order reconcilers of the services whose lease this VM holds.
type orderManager struct {
	daemon *Daemon
	leases *lease.Manager
}

func newOrderManager(d *Daemon) *orderManager {
	holder := d.settings.VM.Name + "/" + d.incarnation
	return &orderManager{daemon: d, leases: lease.NewManager(lease.Options{
		Store: d.store, Holder: holder, Registry: metrics.DefaultRegistry,
	})}
}

// Run starts a reconciler for each service of which this VM is a lease candidate, until ctx ends; it then waits for
// the reconcilers. One that has ended, for example because another VM holds the lease or the lease was lost, is
// started again at the next tick while this VM is a candidate.
func (o *orderManager) Run(ctx context.Context) error {
	ticker := time.NewTicker(leaseAttemptInterval)
	defer ticker.Stop()
	doneByService := make(map[string]chan struct{})
	for {
		for _, service := range o.candidateServices() {
			if done, known := doneByService[service]; known && !isClosed(done) {
				continue
			}
			done := make(chan struct{})
			doneByService[service] = done
			go func() {
				defer close(done)
				o.reconcileService(ctx, service)
			}()
		}
		select {
		case <-ctx.Done():
			for _, done := range doneByService {
				<-done
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

// candidateServices returns the services with loads for whose order lease this VM is a candidate.
func (o *orderManager) candidateServices() []string {
	current := o.daemon.configuration.Current()
	if current == nil || o.daemon.shuttingDown.Load() {
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

// isCandidate reports whether this VM is among the first leaseCandidates of the service, by rendezvous hashing.
func (o *orderManager) isCandidate(service string) bool {
	self := o.daemon.settings.VM.Name
	weight := func(vm string) uint64 { return xxhash.Sum64String(service + "\x00" + vm) }
	higher := 0
	for _, vm := range vmNames(o.daemon.otherEntryVMs(time.Now())) {
		if weight(vm) > weight(self) {
			higher++
		}
	}
	return higher < leaseCandidates
}

// reconcileService acquires the service's order lease and reconciles its targets until the lease is lost or ctx
// ends; in the latter case it releases the lease. It returns at once if the lease cannot be acquired, for example
// because another VM holds it.
func (o *orderManager) reconcileService(ctx context.Context, service string) {
	serviceLease, err := o.leases.Acquire(ctx, order.LeasePrefix+service)
	if err != nil {
		return
	}
	o.daemon.logger.Info("order lease taken; sending the service's orders", "service", service, "fencing", serviceLease.Fencing())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	keepAliveResult := make(chan error, 1)
	go func() {
		keepAliveResult <- serviceLease.KeepAlive(ctx)
		cancel()
	}()
	reconciler := order.NewReconciler(order.Options{
		Orderer: o, Drainer: o.daemon.drains, Observer: o, Registry: metrics.DefaultRegistry,
	}, service, serviceLease)
	_ = reconciler.Run(ctx, func() (policy.Service, bool) { return o.serviceDeclaration(service) })
	cancel() // makes KeepAlive release the lease, unless it was lost
	if err := <-keepAliveResult; err != nil {
		o.daemon.logger.Warn("order lease lost; no longer sending the service's orders", "service", service, "error", err)
	}
}

func (o *orderManager) serviceDeclaration(name string) (policy.Service, bool) {
	current := o.daemon.configuration.Current()
	if current == nil {
		return policy.Service{}, false
	}
	service, known := current.Services[name]
	return service, known
}

// Order implements order.Orderer.
func (o *orderManager) Order(ctx context.Context, name string, message enginewire.Order) (enginewire.OrderResult, error) {
	address, known := o.daemon.Locate(name)
	if !known {
		return enginewire.OrderResult{}, apierror.Newf(apierror.KindNotFound, "wait for the platform's list", "target %s is not known", name)
	}
	return o.daemon.engines.SendOrder(ctx, address, message)
}

// Reports implements order.Observer.
func (o *orderManager) Reports(service string) []order.Report {
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

// sendOneOrder sends a single order that an operator requested, under the service's order lease, which it releases
// afterwards also if ctx has ended. If targets of the service do not check the fencing token, it first waits until no
// order of an earlier lease holder can be valid.
func (o *orderManager) sendOneOrder(ctx context.Context, vm membership.VM, kind enginewire.OrderKind, variant policy.Variant) error {
	serviceLease, err := o.leases.Acquire(ctx, order.LeasePrefix+vm.Service)
	if err != nil {
		return err
	}
	keepAliveCtx, stopKeepAlive := context.WithCancel(context.WithoutCancel(ctx))
	keepAliveResult := make(chan error, 1)
	go func() { keepAliveResult <- serviceLease.KeepAlive(keepAliveCtx) }()
	defer func() {
		stopKeepAlive()
		<-keepAliveResult
	}()
	if service, _ := o.serviceDeclaration(vm.Service); !service.ChecksFencing {
		pause.For(ctx, time.Until(serviceLease.PredecessorExpiry().Add(order.DefaultClockSkew)))
	}
	if !serviceLease.Valid(time.Now()) || ctx.Err() != nil {
		return apierror.New(apierror.KindUnavailable, "the lease of the service's orders was lost", "repeat the command")
	}
	_, err = o.Order(ctx, vm.Name, enginewire.Order{
		ID: rand.Text(), Fencing: serviceLease.Fencing(), Kind: kind, ModelVariant: enginewire.ModelVariant(variant),
		DeadlineUnixMillis: serviceLease.ValidUntil().UnixMilli(),
	})
	return orderError(vm.Name, err)
}

// orderError classifies the failure of an order: refused by the target, or of unknown outcome.
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
	service, _ := o.daemon.orders.serviceDeclaration(vm.Service)
	switch {
	case service.Kind != policy.KindEngine:
		return apierror.Newf(apierror.KindBadRequest, "name the target of a model service", "target %s runs no models", name)
	case len(service.Loads) > 0:
		return apierror.Newf(apierror.KindConflict, "change the service's loads instead",
			"service %s declares what its targets load, so that an order to one of them would be undone", vm.Service)
	case loaded && !service.CanRun(variant):
		return apierror.Newf(apierror.KindBadRequest, "add it to the service's runs first", "service %s may not run %s", vm.Service, variant)
	}
	kind := enginewire.OrderUnload
	if loaded {
		kind = enginewire.OrderLoad
	}
	return o.daemon.orders.sendOneOrder(ctx, vm, kind, variant)
}

// leaseRows returns the leases in the platform's store.
func (o *orderManager) leaseRows(ctx context.Context) ([]query.Lease, error) {
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
