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

var errPartitioned = errors.New("the VM is partitioned")

// cluster is a set of Managers that share a store, inside a synctest bubble. VMs are numbered from zero. Two VMs can
// call each other if they are on the same side of the simulated partition.
type cluster struct {
	store *objecttest.Store
	vms   []*vm
	// repeatedCalls waits for the calls that are delivered a second time.
	repeatedCalls sync.WaitGroup
	// mu guards the fields below and the manager of each vm.
	mu sync.Mutex
	// side is each VM's side of the partition between VMs.
	side []int
	// withoutPlatform holds, for each VM, whether it cannot reach the platform.
	withoutPlatform []bool
	outage          bool
	faults          peerFaults
}

// peerFaults are the faults injected into calls between VMs.
type peerFaults struct {
	// slowStage delays each Stage call by this time, multiplied by the number of the called VM.
	slowStage time.Duration
	// dropAnswers drops the replies of all calls, dropConclude drops Conclude calls.
	dropAnswers, dropConclude bool
	// repeatConclude delivers each Conclude call a second time after this delay, unless it is zero.
	repeatConclude time.Duration
	// slowReply delays the replies of Configuration calls.
	slowReply time.Duration
}

// vm is one VM, across restarts.
type vm struct {
	name string
	// manager is nil until the VM has started.
	manager *acceptance.Manager
	cancel  context.CancelFunc
	done    chan struct{}
}

func newCluster(t *testing.T, size int) *cluster {
	c := startCluster(size)
	t.Cleanup(c.stop)
	return c
}

func startCluster(size int) *cluster {
	c := &cluster{store: objecttest.NewStore(), side: make([]int, size), withoutPlatform: make([]bool, size)}
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
		Store:     &vmStore{cluster: c, vm: i},
		Peers:     &vmPeers{cluster: c, vm: i},
		Directory: &directory{cluster: c, vm: i},
		Seed:      seed(),
		Metrics:   metrics.NewRegistry(),
		Logger:    log.New(io.Discard),
	})
	done := make(chan struct{})
	c.mu.Lock()
	member.manager = manager
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
	return c.vms[i].manager
}

// moveToSide moves a VM to a side of the partition. The platform is on side 0.
func (c *cluster) moveToSide(i, side int) {
	c.setLink(i, side, side != 0)
}

// setLink moves a VM to a side of the partition, and sets separately whether it can reach the platform.
func (c *cluster) setLink(i, side int, withoutPlatform bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.side[i] = side
	c.withoutPlatform[i] = withoutPlatform
}

func (c *cluster) reachesPlatform(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.withoutPlatform[i] && !c.outage
}

// canCall reports whether calls of VM i reach VM j, and whether the replies arrive.
func (c *cluster) canCall(i, j int) (reachable, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reachable = c.side[i] == c.side[j] && c.vms[j].manager != nil
	return reachable, reachable && !c.faults.dropAnswers
}

// setOutage makes the platform unreachable for all VMs. The oracle can still read the store.
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
	c.repeatedCalls.Wait()
	for _, member := range c.vms {
		member.cancel()
		<-member.done
	}
}

func (c *cluster) heal() {
	for i := range c.vms {
		c.moveToSide(i, 0)
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

// changeShare returns a change of the share of account a.
func changeShare(operator string, share int) acceptance.Change {
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

// changeBatchClass returns a change that affects only requests of class batch.
func changeBatchClass(operator string, deadline time.Duration) acceptance.Change {
	return acceptance.Change{Operator: operator, Summary: "change class batch", Apply: func(c *policy.Configuration) error {
		c.Classes["batch"] = policy.Class{Name: "batch", Deadline: deadline}
		return nil
	}}
}

// vmStore is the store as seen by one VM. It fails while the VM cannot reach the platform.
type vmStore struct {
	cluster *cluster
	vm      int
}

func (s *vmStore) check() error {
	if !s.cluster.reachesPlatform(s.vm) {
		return object.NewUnavailableError(time.Second, false, errPartitioned)
	}
	return nil
}

func (s *vmStore) Get(ctx context.Context, key string) (object.Object, error) {
	if err := s.check(); err != nil {
		return object.Object{}, err
	}
	return s.cluster.store.Get(ctx, key)
}

func (s *vmStore) List(ctx context.Context, prefix string) (object.Listing, error) {
	if err := s.check(); err != nil {
		return object.Listing{}, err
	}
	return s.cluster.store.List(ctx, prefix)
}

func (s *vmStore) Put(ctx context.Context, key string, value []byte, expected uint64) (object.Object, error) {
	if err := s.check(); err != nil {
		return object.Object{}, err
	}
	written, err := s.cluster.store.Put(ctx, key, value, expected)
	if s.check() != nil {
		return object.Object{}, object.NewUnknownOutcomeError(key, errPartitioned)
	}
	return written, err
}

func (s *vmStore) Delete(ctx context.Context, key string, expected uint64) error {
	if err := s.check(); err != nil {
		return err
	}
	return s.cluster.store.Delete(ctx, key, expected)
}

func (s *vmStore) Watch(ctx context.Context, prefix string, after uint64) (object.Batch, error) {
	if err := s.check(); err != nil {
		return object.Batch{}, err
	}
	batch, err := s.cluster.store.Watch(ctx, prefix, after)
	if unreachable := s.check(); unreachable != nil {
		return object.Batch{}, unreachable
	}
	return batch, err
}

// vmPeers calls the other Managers directly, unless they are on another side of the partition.
type vmPeers struct {
	cluster *cluster
	vm      int
}

func (c *cluster) indexOf(name string) int {
	return slices.IndexFunc(c.vms, func(member *vm) bool { return member.name == name })
}

// call makes one call, and drops the reply if the VMs are separated before the call returns.
func call[Q, R any](p *vmPeers, name string, method func(*acceptance.Manager) func(context.Context, Q) (R, error), request Q) (R, error) {
	var zero R
	c := p.cluster
	callee := c.indexOf(name)
	if reachable, _ := c.canCall(p.vm, callee); !reachable {
		return zero, errPartitioned
	}
	reply, err := method(c.manager(callee))(context.Background(), request)
	if _, answered := c.canCall(p.vm, callee); !answered {
		return zero, errPartitioned
	}
	return reply, err
}

func (p *vmPeers) Stage(ctx context.Context, name string, request *peerpb.StageRequest) (*peerpb.StageReply, error) {
	time.Sleep(p.cluster.peerFaults().slowStage * time.Duration(p.cluster.indexOf(name)))
	return call(p, name, func(m *acceptance.Manager) func(context.Context, *peerpb.StageRequest) (*peerpb.StageReply, error) {
		return m.Stage
	}, request)
}

func (p *vmPeers) Conclude(_ context.Context, name string, request *peerpb.ConcludeRequest) (*peerpb.ConcludeReply, error) {
	faults := p.cluster.peerFaults()
	if faults.dropConclude {
		return nil, errPartitioned
	}
	if faults.repeatConclude > 0 {
		p.cluster.repeatedCalls.Go(func() {
			time.Sleep(faults.repeatConclude)
			_, _ = p.conclude(name, request)
		})
	}
	return p.conclude(name, request)
}

func (p *vmPeers) conclude(name string, request *peerpb.ConcludeRequest) (*peerpb.ConcludeReply, error) {
	return call(p, name, func(m *acceptance.Manager) func(context.Context, *peerpb.ConcludeRequest) (*peerpb.ConcludeReply, error) {
		return m.Conclude
	}, request)
}

func (p *vmPeers) Configuration(_ context.Context, name string, request *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error) {
	delay := p.cluster.peerFaults().slowReply
	reply, err := call(p, name, func(m *acceptance.Manager) func(context.Context, *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error) {
		return m.Configuration
	}, request)
	time.Sleep(delay)
	return reply, err
}

// directory lists every VM, including unreachable ones, since the platform's list may be outdated.
type directory struct {
	cluster *cluster
	vm      int
}

func (d *directory) ListVMs(context.Context) ([]string, error) {
	if !d.cluster.reachesPlatform(d.vm) {
		return nil, errPartitioned
	}
	return d.KnownVMs(), nil
}

func (d *directory) KnownVMs() []string {
	var names []string
	for _, member := range d.cluster.vms {
		names = append(names, member.name)
	}
	return names
}
