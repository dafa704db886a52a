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
func (s *LocalSource) Rows(ctx context.Context, table string) ([]Row, error) {
	now := time.Now()
	switch table {
	case TableRequests:
		return s.requestRows(now), nil
	case TableTargets:
		return s.targetRows(now), nil
	case TableVMs:
		return s.vmRows(now), nil
	case TableLeases:
		return s.leaseRows(ctx)
	case TableConfiguration:
		return s.configurationRows(), nil
	case TableHistory:
		return s.historyRows(ctx)
	default:
		return s.objectRows(table), nil
	}
}

// Explain implements Source.
func (s *LocalSource) Explain(_ context.Context, id string) (Timeline, bool) {
	if s.Requests == nil {
		return Timeline{}, false
	}
	view, found := s.Requests.Find(id)
	if !found {
		return Timeline{}, false
	}
	received := Step{At: view.ReceivedAt, State: string(request.StateWaiting), Reason: "received"}
	timeline := Timeline{Request: s.requestRow(view, time.Now()), Steps: []Step{received}}
	for _, step := range view.Steps {
		timeline.Steps = append(timeline.Steps, Step{
			At: step.At, State: string(step.State), Target: step.Target, Attempt: step.Attempt, Reason: step.Reason,
		})
	}
	return timeline, true
}

func (s *LocalSource) requestRows(now time.Time) []Row {
	if s.Requests == nil {
		return nil
	}
	var rows []Row
	for _, view := range s.Requests.Snapshots() {
		rows = append(rows, s.requestRow(view, now))
	}
	return rows
}

func (s *LocalSource) requestRow(view request.Snapshot, now time.Time) Request {
	return Request{
		ID: view.ID, State: string(view.State), Account: view.Account, Class: view.Class, Service: view.Service,
		Model: view.Model, Target: view.Target, Zone: s.Zone, VM: s.VM,
		Age: Duration(now.Sub(view.ReceivedAt)), Since: Duration(now.Sub(view.StateSince)),
		Attempts: view.Attempts, Tokens: view.Tokens, Preemptions: view.Preemptions,
		NonIdempotent: view.NonIdempotent, Reason: view.Reason,
	}
}

func (s *LocalSource) targetRows(now time.Time) []Row {
	if s.Targets == nil {
		return nil
	}
	var rows []Row
	for _, target := range s.Targets(now) {
		rows = append(rows, Target{
			Name: target.Name, Service: target.Service, Zone: target.Zone, State: target.StateName,
			Drained: s.IsDrained != nil && s.IsDrained(target.Name), Circuit: target.Circuit,
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

func (s *LocalSource) vmRows(now time.Time) []Row {
	if s.EntryVMs == nil {
		return nil
	}
	var rows []Row
	for _, vm := range s.EntryVMs(now) {
		rows = append(rows, VM{
			Name: vm.Name, Zone: vm.Zone, State: vm.State.String(), Address: vm.Address, PeerAddress: vm.PeerAddress,
			Confirmed: Duration(now.Sub(vm.ConfirmedAt)),
		})
	}
	return rows
}

func (s *LocalSource) leaseRows(ctx context.Context) ([]Row, error) {
	if s.Leases == nil {
		return nil, nil
	}
	leases, err := s.Leases(ctx)
	rows := make([]Row, 0, len(leases))
	for _, lease := range leases {
		rows = append(rows, lease)
	}
	return rows, err
}

func (s *LocalSource) configurationRows() []Row {
	if s.Configuration == nil {
		return nil
	}
	status := s.Configuration.Status()
	return []Row{Configuration{
		VM: s.VM, Version: status.Version, Ready: status.Ready, InDoubt: status.InDoubt, Staged: status.Staged,
	}}
}

func (s *LocalSource) historyRows(ctx context.Context) ([]Row, error) {
	if s.Configuration == nil {
		return nil, nil
	}
	history, err := s.Configuration.History(ctx)
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
func (s *LocalSource) objectRows(table string) []Row {
	if s.Configuration == nil || s.Configuration.Current() == nil {
		return nil
	}
	current := s.Configuration.Current()
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
