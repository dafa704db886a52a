// Package acceptance makes a change of configuration take effect on every entry VM or on none.
//
// A change is validated against the accepted version, staged on every live entry VM and then accepted by one
// conditional update of the root object. A VM receives the outcome from a watch of the root, from the proposer or from
// a peer, whichever is first. A VM that has staged a proposal and does not receive its outcome is in doubt: it serves
// the requests for which both versions give the same decision, and refuses the others as not run.
//
// Invariants: the version in force on a VM never decreases; a proposal whose conditional update did not take effect is
// never in force; a VM that serves has either staged an accepted version or received it.
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

// Timeouts and delays of the protocol.
const (
	// peerCallTimeout is the timeout of one call to a peer.
	peerCallTimeout = 1 * time.Second
	// platformReadTimeout is the timeout of one read from the platform, including retries.
	platformReadTimeout = 2 * time.Second
	// proposalLifetime is the maximum time from reading the root to sending the conditional update.
	proposalLifetime = 3 * time.Second
	// settleTimeout is the maximum time to find out whether a write whose answer was lost took effect.
	settleTimeout = 5 * time.Second
	// inDoubtAfter is the age from which an undecided proposal puts the VM in doubt.
	inDoubtAfter = 2 * time.Second
	// fenceAfter is the age from which a VM fences an undecided proposal: it writes the root object again, so that the
	// conditional update of the proposal can no longer succeed.
	fenceAfter = 10 * time.Second
	// rootRetryDelay is the delay after a failed read of the root.
	rootRetryDelay = 250 * time.Millisecond
	// inDoubtRetryAfter is the retry delay sent with the refusal of a request while the VM is in doubt.
	inDoubtRetryAfter = 2 * time.Second
)

// maxStagedProposals limits the undecided proposals on one VM.
const maxStagedProposals = 16

// Peers calls the other entry VMs by name. After an error it is unknown whether the call took effect.
type Peers interface {
	Stage(ctx context.Context, vm string, request *peerpb.StageRequest) (*peerpb.StageReply, error)
	Conclude(ctx context.Context, vm string, request *peerpb.ConcludeRequest) (*peerpb.ConcludeReply, error)
	Configuration(ctx context.Context, vm string, request *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error)
}

// Directory lists the names of the live entry VMs, including this one. VMs that are leaving accept no new requests and
// are omitted.
type Directory interface {
	// ListVMs reads the list from the platform.
	ListVMs(ctx context.Context) ([]string, error)
	// KnownVMs returns the VMs known to this VM, without a call to the platform.
	KnownVMs() []string
}

// Options configures a Manager.
type Options struct {
	// VM is the name of this VM.
	VM        string
	Store     object.Store
	Peers     Peers
	Directory Directory
	// Seed is accepted as version 1 if neither the platform nor a peer has a configuration. If it is nil, the VM waits
	// until another VM's seed is accepted.
	Seed *policy.Configuration
	// Metrics is the registry of the counters; nil means the default registry.
	Metrics metrics.Registry
	Logger  *log.Logger
}

// Manager holds the configuration in force on one VM. It is safe for concurrent use.
type Manager struct {
	options Options
	// snapshot is read by requests without a lock; it is replaced as a whole.
	snapshot atomic.Pointer[snapshot]

	mu    sync.Mutex
	state state

	ready        chan struct{}
	readyOnce    sync.Once
	peersToFetch chan string
	counters     counters
}

type counters struct {
	adopted, staged, refused, accepted, rejected, fenced metrics.Counter
	// version is the version in force, and undecided the number of staged proposals.
	version, undecided metrics.Gauge
}

// New returns a Manager that has no configuration until Run has obtained one.
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
		options:      options,
		state:        newState(),
		ready:        make(chan struct{}),
		peersToFetch: make(chan string, maxStagedProposals),
		counters: counters{
			adopted: count("adopted"), staged: count("staged"), refused: count("stage_refused"),
			accepted: count("accepted"), rejected: count("rejected"), fenced: count("fenced"),
			version:   metrics.GetOrRegisterGauge("configuration.version", registry),
			undecided: metrics.GetOrRegisterGauge("configuration.undecided", registry),
		},
	}
	m.snapshot.Store(&snapshot{})
	return m
}

// Ready returns a channel that is closed once the VM has a configuration that it may serve.
func (m *Manager) Ready() <-chan struct{} { return m.ready }

// Current returns the configuration in force, or nil before Ready. The caller must not modify it.
func (m *Manager) Current() *policy.Configuration {
	index := m.Index()
	if index == nil {
		return nil
	}
	return index.Configuration()
}

// Index returns the lookup index of the configuration in force, or nil before Ready.
func (m *Manager) Index() *policy.Index {
	if !m.isReady() {
		return nil
	}
	return m.snapshot.Load().current
}

// Version returns the version in force, or zero before Ready.
func (m *Manager) Version() uint64 {
	if current := m.Current(); current != nil {
		return current.Version
	}
	return 0
}

// Decide answers a request's query from the configuration in force. While the VM is in doubt, it refuses a query as
// not run if an undecided version would answer it differently.
func (m *Manager) Decide(query policy.Query) (policy.Decision, error) {
	index := m.Index()
	if index == nil {
		return policy.Decision{}, apierror.New(apierror.KindNotRun, "this VM has not learnt the configuration yet",
			"send the request again").WithRetryAfter(time.Second)
	}
	for _, proposal := range m.snapshot.Load().inDoubtProposals(time.Now()) {
		if !policy.SameDecision(index, proposal.index, query) {
			return policy.Decision{}, apierror.New(apierror.KindNotRun,
				"this VM is cut off while a change of configuration that affects the request is undecided",
				"send the request again; another entry VM may know the outcome").WithRetryAfter(inDoubtRetryAfter)
		}
	}
	return index.Decide(query)
}

// InDoubt reports whether a staged proposal has been undecided for longer than inDoubtAfter, so that requests may be
// refused.
func (m *Manager) InDoubt() bool { return len(m.snapshot.Load().inDoubtProposals(time.Now())) > 0 }

// Status is the state of a Manager as shown in the state dump.
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

// Status returns the version in force and the undecided proposals.
func (m *Manager) Status() Status {
	status := Status{Version: m.Version(), Ready: m.Version() > 0, InDoubt: m.InDoubt()}
	for _, proposal := range m.snapshot.Load().staged {
		status.Staged = append(status.Staged, proposal.id)
	}
	return status
}

// adopt puts a configuration in force unless it is older than the current one; see state.adopt.
func (m *Manager) adopt(index *policy.Index, accepted []string, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state.adopt(index, accepted, revision) {
		m.counters.adopted.Inc(1)
		m.options.Logger.Info("configuration in force", "version", index.Configuration().Version)
	}
	m.publish()
}

// publish replaces the snapshot and updates the gauges. The caller holds mu.
func (m *Manager) publish() {
	m.snapshot.Store(m.state.snapshot())
	m.counters.version.Update(int64(m.state.version()))
	m.counters.undecided.Update(int64(len(m.state.staged)))
}
