package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/acceptance"
	"godwitcart/internal/admin"
	"godwitcart/internal/command"
	"godwitcart/internal/membership"
	"godwitcart/internal/object/objecttest"
	"godwitcart/internal/peer/peerpb"
	"godwitcart/internal/policy"
	"godwitcart/internal/query"
	"godwitcart/internal/request"
	"godwitcart/internal/routing"
)

const testToken = "token-ann"

// vmNames are the entry VMs of the test system; the first one serves the operators' requests.
var vmNames = []string{"hobart-1", "launceston-1", "burnie-1"}

// entryVM is one entry VM of the test system.
type entryVM struct {
	name          string
	zone          string
	registry      *request.Registry
	configuration *acceptance.Manager
	queries       *query.Engine
}

// system runs three entry VMs in one process, inside a synctest bubble.
type system struct {
	store *objecttest.Store
	vms   map[string]*entryVM
	// unreachable is the name of the VM that cannot be reached, if any.
	unreachable string
	drained     map[string]bool
	handler     http.Handler
}

func newSystem(t *testing.T) *system {
	t.Helper()
	s := &system{store: objecttest.NewStore(), vms: make(map[string]*entryVM), drained: make(map[string]bool)}
	seed, err := policy.Load("testdata/derwent.yaml")
	require.NoError(t, err)
	for _, name := range vmNames {
		s.vms[name] = s.newEntryVM(name, seed)
	}
	ctx, cancel := context.WithCancel(context.Background())
	for _, name := range vmNames {
		go func() { _ = s.vms[name].configuration.Run(ctx) }()
		<-s.vms[name].configuration.Ready()
	}
	t.Cleanup(cancel)
	contacted := s.vms[vmNames[0]]
	s.addRequests()
	s.handler = admin.NewHandler(admin.Options{
		Ready:                func() (bool, string) { return true, "ready" },
		Tokens:               []admin.Token{{Operator: "ann", Role: admin.RoleChange, SHA256: policy.HashKey(testToken)}},
		Queries:              contacted.queries,
		Commands:             command.NewExecutor(contacted.configuration, &operations{system: s}),
		CurrentConfiguration: contacted.configuration.Current,
	})
	return s
}

func (s *system) newEntryVM(name string, seed *policy.Configuration) *entryVM {
	zone := name[:len(name)-len("-1")]
	m := &entryVM{name: name, zone: zone, registry: request.NewRegistry()}
	peers := &peers{system: s, from: name}
	m.configuration = acceptance.New(acceptance.Options{
		VM: name, Store: s.store, Peers: peers, Directory: peers, Seed: seed,
		Metrics: metrics.NewRegistry(), Logger: log.New(io.Discard),
	})
	m.queries = query.NewEngine(name, &query.LocalSource{
		VM: name, Zone: zone, Requests: m.registry, Configuration: m.configuration,
		Targets: targetRows, EntryVMs: entryVMs, Leases: leaseRows,
		IsDrained: func(target string) bool { return s.drained[target] },
	}, peers)
	return m
}

// addRequests adds the requests that the examples of the page show.
func (s *system) addRequests() {
	now := time.Now()
	newRequest := func(id string, age time.Duration, class string) *request.Request {
		return &request.Request{
			ID: id, Account: "renewals-north", Class: class, Service: "drafter",
			Variant: policy.Variant{Model: "letter-7b"}, NonIdempotent: true, ReceivedAt: now.Add(-age),
		}
	}
	hobart, burnie := s.vms["hobart-1"].registry, s.vms["burnie-1"].registry
	streaming := hobart.Register(newRequest("req-7f3a", 4*time.Second, "desk"), func(string) {})
	recordStep(streaming, now.Add(-3800*time.Millisecond), request.StateDispatched, "drafter-3", "a-1", "lowest memory risk of 18 targets")
	recordStep(streaming, now.Add(-3400*time.Millisecond), request.StateStreaming, "drafter-3", "a-1", "first token")
	streaming.AddTokens(212)
	burnie.Register(newRequest("req-19c2", 90*time.Second, "batch"), func(string) {})
	preempted := burnie.Register(newRequest("req-55d0", 20*time.Second, "batch"), func(string) {})
	recordStep(preempted, now.Add(-18*time.Second), request.StateDispatched, "drafter-1", "a-2", "only target with room")
	recordStep(preempted, now.Add(-2*time.Second), request.StatePreempted, "drafter-1", "a-2", "memory went to class desk")
}

func recordStep(record *request.Record, at time.Time, state request.State, target, attempt, reason string) {
	step := request.Step{At: at, State: state, Target: target, Attempt: attempt, Reason: reason}
	if err := record.Transition(step); err != nil {
		panic(err)
	}
}

func targetRows(time.Time) []routing.TargetRow {
	return []routing.TargetRow{
		{
			Name: "drafter-1", Service: "drafter", Zone: "burnie", StateName: "live", Circuit: "closed", Running: 11, Waiting: 2,
			MemoryTokens: 60000, UsedTokens: 58210, Preemptions: 3, ReportAgeSeconds: 0.4,
			Loaded: []policy.Variant{{Model: "letter-7b", Version: "v1"}},
		},
		{
			Name: "drafter-3", Service: "drafter", Zone: "hobart", StateName: "live", Circuit: "closed", Running: 5,
			MemoryTokens: 60000, UsedTokens: 21444, ReportAgeSeconds: 0.2,
			Loaded: []policy.Variant{{Model: "letter-7b", Version: "v1"}, {Model: "letter-7b", Adapter: "renewal", Version: "v1"}},
		},
		{Name: "cardstat-1", Service: "cardstat", Zone: "hobart", StateName: "leaving", Circuit: "closed", ReportAgeSeconds: -1},
	}
}

func entryVMs(now time.Time) []membership.VM {
	vms := make([]membership.VM, 0, len(vmNames))
	for i, name := range vmNames {
		vms = append(vms, membership.VM{
			Name: name, Zone: name[:len(name)-len("-1")], State: membership.StateLive,
			Address: "192.0.2." + string(rune('1'+i)) + ":8080", PeerAddress: "192.0.2." + string(rune('1'+i)) + ":7702",
			ConfirmedAt: now.Add(-time.Duration(i) * 300 * time.Millisecond),
		})
	}
	return vms
}

func leaseRows(context.Context) ([]query.Lease, error) {
	return []query.Lease{{Name: "orders/drafter", Holder: "launceston-1", Fencing: 41}}, nil
}

// peers calls the other entry VMs directly, unless one of the two is unreachable.
type peers struct {
	system *system
	from   string
}

var errConnectionRefused = errors.New("connection refused")

func (p *peers) dial(vm string) (*entryVM, error) {
	if vm == p.system.unreachable || p.from == p.system.unreachable {
		return nil, errConnectionRefused
	}
	return p.system.vms[vm], nil
}

// ListVMs implements acceptance.Directory.
func (p *peers) ListVMs(context.Context) ([]string, error) { return vmNames, nil }

// KnownVMs implements acceptance.Directory.
func (p *peers) KnownVMs() []string { return vmNames }

// VMs implements query.Peers and command.Peers.
func (p *peers) VMs() []string {
	var others []string
	for _, name := range vmNames {
		if name != p.from {
			others = append(others, name)
		}
	}
	return others
}

// Stage implements acceptance.Peers.
func (p *peers) Stage(ctx context.Context, vm string, r *peerpb.StageRequest) (*peerpb.StageReply, error) {
	m, err := p.dial(vm)
	if err != nil {
		return nil, err
	}
	return m.configuration.Stage(ctx, r)
}

// Conclude implements acceptance.Peers.
func (p *peers) Conclude(ctx context.Context, vm string, r *peerpb.ConcludeRequest) (*peerpb.ConcludeReply, error) {
	m, err := p.dial(vm)
	if err != nil {
		return nil, err
	}
	return m.configuration.Conclude(ctx, r)
}

// Configuration implements acceptance.Peers.
func (p *peers) Configuration(ctx context.Context, vm string, r *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error) {
	m, err := p.dial(vm)
	if err != nil {
		return nil, err
	}
	return m.configuration.Configuration(ctx, r)
}

// Query implements query.Peers.
func (p *peers) Query(ctx context.Context, vm string, r *peerpb.QueryRequest) (*peerpb.QueryReply, error) {
	m, err := p.dial(vm)
	if err != nil {
		return nil, err
	}
	return m.queries.Query(ctx, r)
}

// Cancel implements command.Peers.
func (p *peers) Cancel(_ context.Context, vm string, r *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	m, err := p.dial(vm)
	if err != nil {
		return nil, err
	}
	return &peerpb.CancelReply{Found: m.registry.Cancel(r.RequestId, r.Reason)}, nil
}

// operations records which targets are drained, and cancels requests.
type operations struct{ system *system }

func (o *operations) SetDrained(_ context.Context, _, target string, drained bool) error {
	o.system.drained[target] = drained
	return nil
}

func (o *operations) SetLoaded(context.Context, string, string, policy.Variant, bool) error {
	return nil
}

func (o *operations) Cancel(ctx context.Context, id, reason string) (bool, error) {
	contacted := o.system.vms[vmNames[0]]
	canceler := command.Canceler{CancelLocal: contacted.registry.Cancel, Peers: &peers{system: o.system, from: contacted.name}}
	return canceler.Cancel(ctx, id, reason)
}

// RoundTrip implements http.RoundTripper by calling the operators' handler directly.
func (s *system) RoundTrip(r *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	s.handler.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

// run executes one invocation of godwitctl against the system.
func (s *system) run(args []string, stdin string) (code int, stdout, stderr string) {
	var out, errOut bytes.Buffer
	env := environment{ctx: context.Background(), stdin: bytes.NewBufferString(stdin), stdout: &out, stderr: &errOut, transport: s}
	code = run(env, append([]string{"--token", testToken}, args...))
	return code, out.String(), errOut.String()
}

func requireJSON(t *testing.T, text string, value any) {
	t.Helper()
	require.NoError(t, json.Unmarshal([]byte(text), value), text)
}
