package query

import (
	"context"
	"time"

	"godwitcart/internal/acceptance"
	"godwitcart/internal/membership"
	"godwitcart/internal/policy"
	"godwitcart/internal/request"
	"godwitcart/internal/routing"
)

// LocalSource is the Source of one godwitcartd. The table of a nil field has no rows.
type LocalSource struct {
	VM, Zone      string
	Requests      *request.Registry
	Configuration *acceptance.Manager
	// Targets returns the targets with their state in the routing table.
	Targets func(now time.Time) []routing.TargetRow
	// IsDrained reports whether an operator drained the target.
	IsDrained func(target string) bool
	// EntryVMs returns the entry VMs.
	EntryVMs func(now time.Time) []membership.VM
	// Leases returns the leases stored by the platform.
	Leases func(ctx context.Context) ([]Lease, error)
}

var _ Source = (*LocalSource)(nil)

// Rows implements Source.
func (p *LocalSource) Rows(ctx context.Context, table string) ([]Row, error) {
	now := time.Now()
	switch table {
	case TableRequests:
		return p.requestRows(now), nil
	case TableTargets:
		return p.targetRows(now), nil
	case TableVMs:
		return p.entryRows(now), nil
	case TableLeases:
		return p.leaseRows(ctx)
	case TableConfiguration:
		return p.configurationRows(), nil
	case TableHistory:
		return p.historyRows(ctx)
	default:
		return p.objectRows(table), nil
	}
}

// Explain implements Source.
func (p *LocalSource) Explain(_ context.Context, id string) (Timeline, bool) {
	if p.Requests == nil {
		return Timeline{}, false
	}
	view, found := p.Requests.Find(id)
	if !found {
		return Timeline{}, false
	}
	received := Step{At: view.ReceivedAt, State: string(request.StateWaiting), Reason: "received"}
	timeline := Timeline{Request: p.requestRow(view, time.Now()), Steps: []Step{received}}
	for _, step := range view.Steps {
		timeline.Steps = append(timeline.Steps, Step{
			At: step.At, State: string(step.State), Target: step.Target, Attempt: step.Attempt, Reason: step.Reason,
		})
	}
	return timeline, true
}

func (p *LocalSource) requestRows(now time.Time) []Row {
	if p.Requests == nil {
		return nil
	}
	var rows []Row
	for _, view := range p.Requests.Snapshots() {
		rows = append(rows, p.requestRow(view, now))
	}
	return rows
}

func (p *LocalSource) requestRow(view request.Snapshot, now time.Time) Request {
	return Request{
		ID: view.ID, State: string(view.State), Account: view.Account, Class: view.Class, Service: view.Service,
		Model: view.Model, Target: view.Target, Zone: p.Zone, VM: p.VM,
		Age: Duration(now.Sub(view.ReceivedAt)), Since: Duration(now.Sub(view.StateSince)),
		Attempts: view.Attempts, Tokens: view.Tokens, Preemptions: view.Preemptions,
		NonIdempotent: view.NonIdempotent, Reason: view.Reason,
	}
}

func (p *LocalSource) targetRows(now time.Time) []Row {
	if p.Targets == nil {
		return nil
	}
	var rows []Row
	for _, target := range p.Targets(now) {
		rows = append(rows, Target{
			Name: target.Name, Service: target.Service, Zone: target.Zone, State: target.StateName,
			Drained: p.IsDrained != nil && p.IsDrained(target.Name), Circuit: target.Circuit,
			Running: target.Running, Waiting: target.Waiting,
			MemoryTokens: target.MemoryTokens, UsedTokens: target.UsedTokens, Preemptions: int(target.Preemptions),
			ReportAge: Duration(target.ReportAgeSeconds * float64(time.Second)), Loaded: variantNames(target.Loaded),
		})
	}
	return rows
}

func variantNames(variants []policy.Variant) []string {
	names := make([]string, 0, len(variants))
	for _, variant := range variants {
		names = append(names, variant.String())
	}
	return names
}

func (p *LocalSource) entryRows(now time.Time) []Row {
	if p.EntryVMs == nil {
		return nil
	}
	var rows []Row
	for _, vm := range p.EntryVMs(now) {
		rows = append(rows, VM{
			Name: vm.Name, Zone: vm.Zone, State: vm.State.String(), Address: vm.Address, PeerAddress: vm.PeerAddress,
			Confirmed: Duration(now.Sub(vm.ConfirmedAt)),
		})
	}
	return rows
}

func (p *LocalSource) leaseRows(ctx context.Context) ([]Row, error) {
	if p.Leases == nil {
		return nil, nil
	}
	leases, err := p.Leases(ctx)
	rows := make([]Row, 0, len(leases))
	for _, lease := range leases {
		rows = append(rows, lease)
	}
	return rows, err
}

func (p *LocalSource) configurationRows() []Row {
	if p.Configuration == nil {
		return nil
	}
	status := p.Configuration.Status()
	return []Row{Configuration{
		VM: p.VM, Version: status.Version, Ready: status.Ready, InDoubt: status.InDoubt, Staged: status.Staged,
	}}
}

func (p *LocalSource) historyRows(ctx context.Context) ([]Row, error) {
	if p.Configuration == nil {
		return nil, nil
	}
	history, err := p.Configuration.History(ctx)
	rows := make([]Row, 0, len(history))
	for _, entry := range history {
		changes := make([]string, 0, len(entry.Changes))
		for _, change := range entry.Changes {
			changes = append(changes, change.String())
		}
		rows = append(rows, Version{
			Version: entry.Version, Operator: entry.Operator, VM: entry.VM, At: entry.At, Summary: entry.Summary, Changes: changes,
		})
	}
	return rows, err
}

// objectRows returns the objects of one type in the configuration in force.
func (p *LocalSource) objectRows(table string) []Row {
	if p.Configuration == nil || p.Configuration.Current() == nil {
		return nil
	}
	current := p.Configuration.Current()
	switch table {
	case TableAccounts:
		return convertObjects(current.Accounts, accountRow)
	case TableServices:
		return convertObjects(current.Services, serviceRow)
	case TableClasses:
		return convertObjects(current.Classes, classRow)
	default:
		return convertObjects(current.Models, modelRow)
	}
}

func convertObjects[V any](objects map[string]V, row func(V) Row) []Row {
	rows := make([]Row, 0, len(objects))
	for _, object := range objects {
		rows = append(rows, row(object))
	}
	return rows
}

func accountRow(a policy.Account) Row {
	return Account{
		Name: a.Name, Share: a.Share, RequestsPerSecond: a.RequestsPerSecond, Concurrency: a.Concurrency,
		Classes: a.Classes, Keys: len(a.KeyHashes),
	}
}

func serviceRow(s policy.Service) Row {
	return Service{
		Name: s.Name, Kind: string(s.Kind), NonIdempotent: s.NonIdempotent, Zones: s.Zones,
		Runs: variantNames(s.Runs), Loads: variantNames(s.Loads), ChecksFencing: s.ChecksFencing,
	}
}

func classRow(c policy.Class) Row {
	return Class{Name: c.Name, Priority: c.Priority, Deadline: Duration(c.Deadline)}
}

func modelRow(m policy.Model) Row {
	return Model{Name: m.Name, Versions: m.Versions, Adapters: m.Adapters}
}
