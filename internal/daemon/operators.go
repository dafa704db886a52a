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
		Ready: d.Ready, Tokens: admin.TokensOf(d.settings.Operators.Tokens), States: d.states(), Queries: d.queries,
		Commands: command.NewExecutor(d.configuration, &operations{daemon: d}),
		Current:  d.configuration.Current,
	})
}

// buildQueries makes the answers to operators' queries, here and for peers.
func (d *Daemon) buildQueries() {
	d.queries = query.NewEngine(d.settings.VM.Name, &query.Process{
		VM: d.settings.VM.Name, Zone: d.settings.VM.Zone, Requests: d.registry, Configuration: d.configuration,
		Targets: d.targetRows, Drained: d.drains.Drained, Entries: d.directory.EntryVMs,
		Leases: d.orders.leaseRows,
	}, d.peers)
}

// states are the parts of the state dump.
func (d *Daemon) states() []admin.StateProvider {
	part := func(name string, get func() any) admin.StateProvider { return admin.StateFunc{Part: name, Get: get} }
	return []admin.StateProvider{
		part("vm", func() any { return d.identity() }),
		d.configuration,
		part("targets", func() any { return d.targetRows(time.Now()) }),
		part("vms", func() any { return d.directory.EntryVMs(time.Now()) }),
		part("admission", func() any { return d.controller.Counters() }),
		part("waiting", func() any { return d.controller.Rows() }),
		part("requests", func() any { return d.registry.Views() }),
	}
}

// identity says who this process is and how it stands.
type identity struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	Ready       bool   `json:"ready"`
	Reason      string `json:"reason"`
	InProgress  int    `json:"in_progress"`
}

func (d *Daemon) identity() identity {
	ready, reason := d.Ready()
	return identity{
		Name: d.settings.VM.Name, Zone: d.settings.VM.Zone, Incarnation: d.incarnation,
		Ready: ready, Reason: reason, InProgress: d.Active(),
	}
}

// DumpState writes the state of the process as JSON. It holds no keys.
func (d *Daemon) DumpState(w io.Writer) error { return admin.DumpState(w, d.states()) }

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
	canceler := command.Canceler{Local: o.daemon.registry.Cancel, Peers: o.daemon.peers}
	return canceler.Cancel(ctx, request, reason)
}
