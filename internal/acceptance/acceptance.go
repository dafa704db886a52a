// Package acceptance makes a change of configuration take effect on every entry VM or on none.
//
// A change is validated against the accepted version, staged at every live entry VM and
// then accepted by one conditional update of the root object. VMs learn of the outcome
// from a watch of the root, from the proposer and from their peers, whichever is first.
// A VM that staged a proposal and does not learn its outcome is in doubt: it serves the
// requests on which both versions agree and refuses the rest as not run.
//
// Invariants: the version in force on a VM never falls; a proposal whose conditional update
// did not take effect is never in force; a VM that serves has either staged an accepted
// version or learnt it.
package acceptance

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"godwitcart/internal/apierror"
	"godwitcart/internal/object"
	"godwitcart/internal/peer/peerpb"
	"godwitcart/internal/policy"
)

// Time limits of acceptance.
const (
	// stageTimeout bounds one call to a peer.
	stageTimeout = 1 * time.Second
	// platformTimeout bounds one read from the platform with its retries.
	platformTimeout = 2 * time.Second
	// proposalLifetime bounds the time from reading the root to sending the conditional update.
	proposalLifetime = 3 * time.Second
	// settleTimeout bounds the settling of a lost write answer.
	settleTimeout = 5 * time.Second
	// doubtAfter is the age from which a staged proposal puts the VM in doubt.
	doubtAfter = 2 * time.Second
	// fenceAfter is the age from which a VM settles a staged proposal by writing the root object again.
	fenceAfter = 10 * time.Second
	// retryInterval is the pause after a failed read of the root.
	retryInterval = 250 * time.Millisecond
	// doubtRetryAfter is what a caller is told whose request the versions in doubt disagree on.
	doubtRetryAfter = 2 * time.Second
)

// maxStaged bounds the undecided proposals that a VM holds.
const maxStaged = 16

// Peers calls the other entry VMs by name. An error means that the call may or may not have
// had an effect.
type Peers interface {
	Stage(ctx context.Context, vm string, request *peerpb.StageRequest) (*peerpb.StageReply, error)
	Conclude(ctx context.Context, vm string, request *peerpb.ConcludeRequest) (*peerpb.ConcludeReply, error)
	Configuration(ctx context.Context, vm string, request *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error)
}

// Directory names the live entry VMs, this one included; VMs that are leaving take no new
// work and are left out.
type Directory interface {
	// Listed reads the platform's list.
	Listed(ctx context.Context) ([]string, error)
	// Known returns this VM's own view.
	Known() []string
}

// Options configures a Manager.
type Options struct {
	// VM is this VM's name.
	VM        string
	Store     object.Store
	Peers     Peers
	Directory Directory
	// Seed is accepted as version 1 when the platform holds no configuration and no peer
	// knows one; nil waits for another VM's seed.
	Seed *policy.Configuration
	// Metrics receives the counters; nil means the default registry.
	Metrics metrics.Registry
	Logger  *log.Logger
}

// Manager holds the configuration in force on one VM. It is safe for concurrent use.
type Manager struct {
	options Options
	// view is what requests read; it is replaced whole.
	view atomic.Pointer[view]

	mu    sync.Mutex
	state state

	ready     chan struct{}
	readyOnce sync.Once
	observed  chan string
	counters  counters
}

type counters struct {
	adopted, staged, refused, accepted, rejected, fenced metrics.Counter
	// version is the version in force, undecided the number of proposals that are held.
	version, undecided metrics.Gauge
}

// New returns a Manager that holds no configuration until Run has learnt one.
func New(options Options) *Manager {
	registry := options.Metrics
	if registry == nil {
		registry = metrics.DefaultRegistry
	}
	if options.Logger == nil {
		options.Logger = log.Default()
	}
	count := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("configuration."+name, registry)
	}
	m := &Manager{
		options:  options,
		state:    newState(),
		ready:    make(chan struct{}),
		observed: make(chan string, maxStaged),
		counters: counters{
			adopted: count("adopted"), staged: count("staged"), refused: count("stage_refused"),
			accepted: count("accepted"), rejected: count("rejected"), fenced: count("fenced"),
			version:   metrics.GetOrRegisterGauge("configuration.version", registry),
			undecided: metrics.GetOrRegisterGauge("configuration.undecided", registry),
		},
	}
	m.view.Store(&view{})
	return m
}

// Ready is closed once the VM has learnt a configuration and may serve.
func (m *Manager) Ready() <-chan struct{} { return m.ready }

// Current returns the configuration in force, or nil before Ready. It must not be changed.
func (m *Manager) Current() *policy.Configuration {
	index := m.Index()
	if index == nil {
		return nil
	}
	return index.Configuration()
}

// Index returns the lookups of the configuration in force, or nil before Ready.
func (m *Manager) Index() *policy.Index {
	if !m.isReady() {
		return nil
	}
	return m.view.Load().current
}

// Version returns the version in force, or zero before Ready.
func (m *Manager) Version() uint64 {
	if current := m.Current(); current != nil {
		return current.Version
	}
	return 0
}

// Decide answers a request's query from the configuration in force. While the VM is in
// doubt it refuses, as not run, the queries on which the undecided versions disagree.
func (m *Manager) Decide(query policy.Query) (policy.Decision, error) {
	index := m.Index()
	if index == nil {
		return policy.Decision{}, apierror.New(apierror.KindNotRun, "this VM has not learnt the configuration yet",
			"send the request again").WithRetryAfter(time.Second)
	}
	for _, proposal := range m.view.Load().inDoubt(time.Now()) {
		if !policy.Agree(index, proposal.index, query) {
			return policy.Decision{}, apierror.New(apierror.KindNotRun,
				"this VM is cut off while a change of configuration that affects the request is undecided",
				"send the request again; another entry VM may know the outcome").WithRetryAfter(doubtRetryAfter)
		}
	}
	return index.Decide(query)
}

// InDoubt reports whether a staged proposal has been undecided for so long that requests
// may be refused.
func (m *Manager) InDoubt() bool { return len(m.view.Load().inDoubt(time.Now())) > 0 }

// Status is what the state dump shows of a Manager.
type Status struct {
	Version uint64   `json:"version"`
	Ready   bool     `json:"ready"`
	InDoubt bool     `json:"in_doubt"`
	Staged  []string `json:"staged,omitempty"`
}

// Name implements the state provider of package admin.
func (m *Manager) Name() string { return "configuration" }

// State implements the state provider of package admin.
func (m *Manager) State() any { return m.Status() }

// Status returns what this VM has in force and holds undecided.
func (m *Manager) Status() Status {
	status := Status{Version: m.Version(), Ready: m.Version() > 0, InDoubt: m.InDoubt()}
	for _, proposal := range m.view.Load().staged {
		status.Staged = append(status.Staged, proposal.id)
	}
	return status
}

// adopt puts a configuration in force unless it is older than the one known; see state.adopt.
func (m *Manager) adopt(index *policy.Index, accepted []string, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state.adopt(index, accepted, revision) {
		m.counters.adopted.Inc(1)
		m.options.Logger.Info("configuration in force", "version", index.Configuration().Version)
	}
	m.publish()
}

// publish replaces the view; the caller holds mu.
func (m *Manager) publish() {
	m.view.Store(m.state.view())
	m.counters.version.Update(int64(m.state.version()))
	m.counters.undecided.Update(int64(len(m.state.staged)))
}
