package daemon

import (
	"context"
	"io"
	"net/http"
	"time"

	"godwitcart/internal/admin"
	"godwitcart/internal/apierror"
	"godwitcart/internal/command"
	"godwitcart/internal/query"
)

// operatorsHandler serves the operators' interface.
func (d *Daemon) operatorsHandler() http.Handler {
	return admin.NewHandler(admin.Options{
		Ready: d.Ready, Tokens: admin.TokensFromSettings(d.settings.Operators.Tokens), States: d.stateProviders(), Queries: d.queries,
		Commands:             command.NewExecutor(d.configuration, &operations{daemon: d}),
		CurrentConfiguration: d.configuration.Current,
	})
}

// buildQueries makes the engine that answers queries of operators and of peers.
func (d *Daemon) buildQueries() {
	d.queries = query.NewEngine(d.settings.VM.Name, &query.LocalSource{
		VM: d.settings.VM.Name, Zone: d.settings.VM.Zone, Requests: d.registry, Configuration: d.configuration,
		Targets: d.targetRows, IsDrained: d.drains.Drained, EntryVMs: d.directory.EntryVMs,
		Leases: d.orders.leaseRows,
	}, d.peers)
}

// stateProviders returns the sections of the state dump.
func (d *Daemon) stateProviders() []admin.StateProvider {
	provider := func(name string, get func() any) admin.StateProvider { return admin.StateFunc{Part: name, Get: get} }
	return []admin.StateProvider{
		provider("vm", func() any { return d.processStatus() }),
		d.configuration,
		provider("targets", func() any { return d.targetRows(time.Now()) }),
		provider("vms", func() any { return d.directory.EntryVMs(time.Now()) }),
		provider("admission", func() any { return d.controller.Counters() }),
		provider("waiting", func() any { return d.controller.Rows() }),
		provider("requests", func() any { return d.registry.Snapshots() }),
	}
}

// processStatus identifies this process and gives its readiness and load.
type processStatus struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	Ready       bool   `json:"ready"`
	Reason      string `json:"reason"`
	InProgress  int    `json:"in_progress"`
}

func (d *Daemon) processStatus() processStatus {
	ready, reason := d.Ready()
	return processStatus{
		Name: d.settings.VM.Name, Zone: d.settings.VM.Zone, Incarnation: d.incarnation,
		Ready: ready, Reason: reason, InProgress: d.Active(),
	}
}

// DumpState writes the state of the process as JSON. The dump contains no keys or tokens.
func (d *Daemon) DumpState(w io.Writer) error { return admin.DumpState(w, d.stateProviders()) }

// operations implements command.Operations.
type operations struct{ daemon *Daemon }

// SetDrained implements command.Operations.
func (o *operations) SetDrained(ctx context.Context, operator, target string, drained bool) error {
	if _, known := o.daemon.directory.Get(target); !known {
		return apierror.Newf(apierror.KindNotFound, "name a target that `show targets` lists", "there is no target %s", target)
	}
	return o.daemon.drains.SetDrained(ctx, operator, target, drained)
}

// Cancel implements command.Operations.
func (o *operations) Cancel(ctx context.Context, request, reason string) (bool, error) {
	canceler := command.Canceler{CancelLocal: o.daemon.registry.Cancel, Peers: o.daemon.peers}
	return canceler.Cancel(ctx, request, reason)
}
