package acceptance_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"godwitcart/internal/acceptance"
	"godwitcart/internal/object"
	"godwitcart/internal/object/objecttest"
	"godwitcart/internal/peer/peerpb"
	"godwitcart/internal/policy"
)

const testKey = "key-a"

var errCut = errors.New("cut off")

// cluster is a set of Managers on one store, inside a synctest bubble. VMs are numbered
// from zero; a link is cut when both ends are in different groups.
type cluster struct {
	store *objecttest.Store
	vms   []*vm
	// late are the calls that are still to be delivered again.
	late sync.WaitGroup
	// mu guards the fields below and the managers of vms.
	mu sync.Mutex
	// group is each VM's side of a cut between VMs.
	group []int
	// away tells which VMs cannot reach the platform.
	away   []bool
	outage bool
	faults peerFaults
}

// peerFaults is what goes wrong with the calls between VMs.
type peerFaults struct {
	// slowStage delays each Stage call by the number of the called VM times this.
	slowStage time.Duration
	// dropAnswers loses the answers of all calls, dropConclude loses Conclude calls.
	dropAnswers, dropConclude bool
	// repeatConclude delivers each Conclude call again after this time; zero does not.
	repeatConclude time.Duration
	// slowReply delays the answers of Configuration calls.
	slowReply time.Duration
}

// vm is one VM over its restarts.
type vm struct {
	name string
	// current is nil until the VM has started.
	current *acceptance.Manager
	cancel  context.CancelFunc
	done    chan struct{}
}

func newCluster(t *testing.T, size int) *cluster {
	c := startCluster(size)
	t.Cleanup(c.stop)
	return c
}

func startCluster(size int) *cluster {
	c := &cluster{store: objecttest.NewStore(), group: make([]int, size), away: make([]bool, size)}
	for i := range size {
		c.vms = append(c.vms, &vm{name: fmt.Sprintf("vm-%d", i)})
	}
	for i := range c.vms {
		c.start(i)
	}
	return c
}

func (c *cluster) start(i int) {
	member := c.vms[i]
	ctx, cancel := context.WithCancel(context.Background())
	manager := acceptance.New(acceptance.Options{
		VM:        member.name,
		Store:     &cutStore{cluster: c, vm: i},
		Peers:     &cutPeers{cluster: c, vm: i},
		Directory: &directory{cluster: c, vm: i},
		Seed:      seed(),
		Metrics:   metrics.NewRegistry(),
		Logger:    log.New(io.Discard),
	})
	done := make(chan struct{})
	c.mu.Lock()
	member.current = manager
	c.mu.Unlock()
	member.cancel = cancel
	member.done = done
	go func() {
		defer close(done)
		_ = manager.Run(ctx)
	}()
}

func (c *cluster) manager(i int) *acceptance.Manager {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vms[i].current
}

// cut moves a VM to a side; the platform is on side 0.
func (c *cluster) cut(i, side int) {
	c.link(i, side, side != 0)
}

// link moves a VM to a side among the VMs, with or without the platform.
func (c *cluster) link(i, side int, away bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.group[i] = side
	c.away[i] = away
}

func (c *cluster) reachesPlatform(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.away[i] && !c.outage
}

// linked reports whether VM i can call VM j, and whether answers arrive.
func (c *cluster) linked(i, j int) (calls, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	calls = c.group[i] == c.group[j] && c.vms[j].current != nil
	return calls, calls && !c.faults.dropAnswers
}

// setOutage cuts all VMs off from the platform; the oracle still sees the store.
func (c *cluster) setOutage(outage bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outage = outage
}

func (c *cluster) setPeerFaults(faults peerFaults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = faults
}

func (c *cluster) peerFaults() peerFaults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

func (c *cluster) restart(i int) {
	c.vms[i].cancel()
	<-c.vms[i].done
	c.start(i)
}

func (c *cluster) stop() {
	c.late.Wait()
	for _, member := range c.vms {
		member.cancel()
		<-member.done
	}
}

func (c *cluster) heal() {
	for i := range c.vms {
		c.cut(i, 0)
	}
	c.setOutage(false)
	c.store.SetFaults(nil)
	c.store.Flush()
	c.setPeerFaults(peerFaults{})
}

func seed() *policy.Configuration {
	return &policy.Configuration{
		Services: map[string]policy.Service{"cardstat": {Name: "cardstat", Kind: policy.KindPlain}},
		Accounts: map[string]policy.Account{"a": {Name: "a", KeyHashes: []string{policy.HashKey(testKey)}, Share: 1, Classes: []string{"kiosk", "batch"}}},
		Classes:  map[string]policy.Class{"kiosk": {Name: "kiosk", Priority: 1000}, "batch": {Name: "batch"}},
		Models:   map[string]policy.Model{},
	}
}

// setShare is a change that gives account a another share.
func setShare(operator string, share int) acceptance.Change {
	return acceptance.Change{
		Operator: operator,
		Summary:  fmt.Sprintf("change account a share=%d", share),
		Apply: func(c *policy.Configuration) error {
			account := c.Accounts["a"]
			account.Share = share
			c.Accounts["a"] = account
			return nil
		},
	}
}

// setBatch is a change that bears on requests of class batch alone.
func setBatch(operator string, deadline time.Duration) acceptance.Change {
	return acceptance.Change{Operator: operator, Summary: "change class batch", Apply: func(c *policy.Configuration) error {
		c.Classes["batch"] = policy.Class{Name: "batch", Deadline: deadline}
		return nil
	}}
}

// cutStore is the store as seen by one VM.
type cutStore struct {
	cluster *cluster
	vm      int
}

func (s *cutStore) check() error {
	if !s.cluster.reachesPlatform(s.vm) {
		return object.NewUnavailableError(time.Second, false, errCut)
	}
	return nil
}

func (s *cutStore) Get(ctx context.Context, key string) (object.Object, error) {
	if err := s.check(); err != nil {
		return object.Object{}, err
	}
	return s.cluster.store.Get(ctx, key)
}

func (s *cutStore) List(ctx context.Context, prefix string) (object.Listing, error) {
	if err := s.check(); err != nil {
		return object.Listing{}, err
	}
	return s.cluster.store.List(ctx, prefix)
}

func (s *cutStore) Put(ctx context.Context, key string, value []byte, expected uint64) (object.Object, error) {
	if err := s.check(); err != nil {
		return object.Object{}, err
	}
	written, err := s.cluster.store.Put(ctx, key, value, expected)
	if s.check() != nil {
		return object.Object{}, object.NewUnknownOutcomeError(key, errCut)
	}
	return written, err
}

func (s *cutStore) Delete(ctx context.Context, key string, expected uint64) error {
	if err := s.check(); err != nil {
		return err
	}
	return s.cluster.store.Delete(ctx, key, expected)
}

func (s *cutStore) Watch(ctx context.Context, prefix string, after uint64) (object.Batch, error) {
	if err := s.check(); err != nil {
		return object.Batch{}, err
	}
	batch, err := s.cluster.store.Watch(ctx, prefix, after)
	if cut := s.check(); cut != nil {
		return object.Batch{}, cut
	}
	return batch, err
}

// cutPeers calls the other Managers directly, unless the link is cut.
type cutPeers struct {
	cluster *cluster
	vm      int
}

func (c *cluster) number(name string) int {
	return slices.IndexFunc(c.vms, func(member *vm) bool { return member.name == name })
}

// call makes one call over the link and loses its answer if the link is cut meanwhile.
func call[Q, R any](p *cutPeers, name string, method func(*acceptance.Manager) func(context.Context, Q) (R, error), request Q) (R, error) {
	var none R
	c := p.cluster
	to := c.number(name)
	if calls, _ := c.linked(p.vm, to); !calls {
		return none, errCut
	}
	reply, err := method(c.manager(to))(context.Background(), request)
	if _, answered := c.linked(p.vm, to); !answered {
		return none, errCut
	}
	return reply, err
}

func (p *cutPeers) Stage(ctx context.Context, name string, request *peerpb.StageRequest) (*peerpb.StageReply, error) {
	time.Sleep(p.cluster.peerFaults().slowStage * time.Duration(p.cluster.number(name)))
	return call(p, name, func(m *acceptance.Manager) func(context.Context, *peerpb.StageRequest) (*peerpb.StageReply, error) {
		return m.Stage
	}, request)
}

func (p *cutPeers) Conclude(_ context.Context, name string, request *peerpb.ConcludeRequest) (*peerpb.ConcludeReply, error) {
	faults := p.cluster.peerFaults()
	if faults.dropConclude {
		return nil, errCut
	}
	if faults.repeatConclude > 0 {
		p.cluster.late.Go(func() {
			time.Sleep(faults.repeatConclude)
			_, _ = p.conclude(name, request)
		})
	}
	return p.conclude(name, request)
}

func (p *cutPeers) conclude(name string, request *peerpb.ConcludeRequest) (*peerpb.ConcludeReply, error) {
	return call(p, name, func(m *acceptance.Manager) func(context.Context, *peerpb.ConcludeRequest) (*peerpb.ConcludeReply, error) {
		return m.Conclude
	}, request)
}

func (p *cutPeers) Configuration(_ context.Context, name string, request *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error) {
	wait := p.cluster.peerFaults().slowReply
	reply, err := call(p, name, func(m *acceptance.Manager) func(context.Context, *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error) {
		return m.Configuration
	}, request)
	time.Sleep(wait)
	return reply, err
}

// directory lists every VM, also those that are cut off: the platform's list lags.
type directory struct {
	cluster *cluster
	vm      int
}

func (d *directory) Listed(context.Context) ([]string, error) {
	if !d.cluster.reachesPlatform(d.vm) {
		return nil, errCut
	}
	return d.Known(), nil
}

func (d *directory) Known() []string {
	var names []string
	for _, member := range d.cluster.vms {
		names = append(names, member.name)
	}
	return names
}
