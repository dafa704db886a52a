package acceptance

import (
	"context"
	"crypto/rand"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/pause"
	"godwitcart/internal/peer/peerpb"
	"godwitcart/internal/policy"
)

// fenceSpread spreads the VMs that settle the same proposal.
const fenceSpread = 2 * time.Second

// Run learns the configuration, keeps it up to date and settles undecided proposals until
// ctx ends. Peers must already be able to call Stage, Conclude and Configuration, and this
// VM must have announced itself to them.
func (m *Manager) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { m.start(ctx) })
	group.Go(func() { m.watch(ctx) })
	group.Go(func() { m.follow(ctx) })
	group.Go(func() { m.resolve(ctx) })
	group.Wait()
	return ctx.Err()
}

// Observe tells that a peer has a version in force; a higher one is fetched.
func (m *Manager) Observe(vm string, version uint64) {
	if version <= m.Version() {
		return
	}
	select {
	case m.observed <- vm:
	default:
	}
}

// start makes the VM ready once it may serve.
func (m *Manager) start(ctx context.Context) {
	begun := time.Now()
	for !m.mayServe(ctx, begun) {
		if !pause.For(ctx, retryInterval) {
			return
		}
	}
	m.readyOnce.Do(func() { close(m.ready) })
}

// mayServe learns from the platform and the peers, and reports whether the highest version
// found can be served. It can if a peer in force vouches for it, or, with the platform in
// reach, if every proposal that could have missed this VM has ended.
func (m *Manager) mayServe(ctx context.Context, begun time.Time) bool {
	answers := m.askPeers(ctx)
	current, revision, err := readRoot(ctx, m.options.Store)
	if err == nil && current == nil && answers.silent() && m.options.Seed != nil {
		if m.seed(ctx) {
			return true
		}
	}
	if current != nil {
		m.adoptRoot(current, revision)
	}
	if answers.undecided > 0 || !m.knowsVersion() {
		return false
	}
	missedNone := answers.alone || time.Since(begun) >= proposalLifetime+settleTimeout
	return answers.vouched > 0 || err == nil && missedNone
}

func (m *Manager) knowsVersion() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.version() > 0
}

// peerAnswers counts what the peers said about the configuration.
type peerAnswers struct {
	// alone means that the platform lists no other VM.
	alone bool
	// vouched counts the peers that have a version in force and hold no proposal.
	vouched int
	// undecided counts the peers that hold a proposal.
	undecided int
}

func (a peerAnswers) silent() bool { return a.vouched == 0 && a.undecided == 0 }

// askPeers asks all peers for their version and adopts the highest that one vouches for.
func (m *Manager) askPeers(ctx context.Context) peerAnswers {
	peers, err := m.otherVMs(ctx)
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	var mu sync.Mutex
	counted := peerAnswers{alone: err == nil && len(peers) == 0}
	var group sync.WaitGroup
	for _, vm := range peers {
		group.Go(func() {
			reply, err := m.options.Peers.Configuration(ctx, vm, &peerpb.ConfigurationRequest{})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			switch {
			case undecided(reply):
				counted.undecided++
			case reply.Version > 0:
				counted.vouched++
				m.adoptReply(reply)
			}
		})
	}
	group.Wait()
	return counted
}

// otherVMs returns the other VMs that the platform or this VM knows, and the error of
// reading the platform's list.
func (m *Manager) otherVMs(ctx context.Context) ([]string, error) {
	listed, err := m.listed(ctx)
	vms := slices.Concat(listed, m.options.Directory.Known())
	slices.Sort(vms)
	vms = slices.DeleteFunc(slices.Compact(vms), func(vm string) bool { return vm == m.options.VM })
	return vms, err
}

// seed accepts the seed configuration as version 1 and reports whether it came first: then no
// proposal can have been made before.
func (m *Manager) seed(ctx context.Context) bool {
	first := m.options.Seed.Clone()
	first.Version = 1
	acceptance := Acceptance{Version: 1, Proposal: rand.Text(), Operator: "seed", VM: m.options.VM, At: time.Now().UTC(), Summary: "seed"}
	created := (&root{}).next(first, acceptance)
	written, err := m.options.Store.Put(ctx, rootKey, created.encode(), 0)
	if err != nil {
		m.options.Logger.Debug("seed not accepted", "err", err)
		return false
	}
	m.adoptRoot(created, written.Version)
	return true
}

// watch follows the root object.
func (m *Manager) watch(ctx context.Context) {
	for ctx.Err() == nil {
		current, revision, err := readRoot(ctx, m.options.Store)
		if err != nil {
			pause.For(ctx, retryInterval)
			continue
		}
		if current != nil {
			m.adoptRoot(current, revision)
		}
		m.watchFrom(ctx, revision)
	}
}

// watchFrom follows the root object from a revision until the watch breaks.
func (m *Manager) watchFrom(ctx context.Context, revision uint64) {
	for {
		batch, err := m.options.Store.Watch(ctx, rootKey, revision)
		if err != nil {
			pause.For(ctx, retryInterval)
			return
		}
		if batch.Compacted {
			return
		}
		for _, event := range batch.Events {
			if current, err := decodeRoot(event.Value); err == nil && !event.Deleted {
				m.adoptRoot(current, event.Version)
			}
		}
		revision = batch.Revision
	}
}

// adoptRoot puts the root object's configuration in force, as read at a revision.
func (m *Manager) adoptRoot(current *root, revision uint64) {
	m.adopt(policy.NewIndex(current.Configuration), current.proposals(), revision)
}

func (m *Manager) adoptReply(reply *peerpb.ConfigurationReply) {
	configuration, err := policy.Decode(reply.Configuration)
	if err != nil {
		m.options.Logger.Error("configuration of a peer is malformed", "err", err)
		return
	}
	m.adopt(policy.NewIndex(configuration), nil, 0)
}

// follow fetches the versions that peers were observed to have.
func (m *Manager) follow(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case vm := <-m.observed:
			m.fetch(ctx, vm)
		}
	}
}

func (m *Manager) fetch(ctx context.Context, vm string) {
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	reply, err := m.options.Peers.Configuration(ctx, vm, &peerpb.ConfigurationRequest{NewerThan: m.Version()})
	if err == nil && len(reply.Configuration) > 0 {
		m.adoptReply(reply)
	}
}

// resolve settles proposals that stay undecided.
func (m *Manager) resolve(ctx context.Context) {
	for pause.For(ctx, doubtAfter/2) {
		m.mu.Lock()
		base, staged, undecided := m.state.oldest()
		m.mu.Unlock()
		if !undecided || time.Since(staged) < doubtAfter {
			continue
		}
		if err := m.resolveOne(ctx, base, time.Since(staged)); err != nil {
			m.options.Logger.Debug("undecided change not settled yet", "err", err)
		}
	}
}

// resolveOne reads the root; if it still has the revision that the proposal expects after a long
// time, it writes the same configuration again, so that the proposal can no longer be accepted.
// The version stays: no VM has to learn of it, and none can fall behind it.
func (m *Manager) resolveOne(ctx context.Context, base uint64, age time.Duration) error {
	current, revision, err := readRoot(ctx, m.options.Store)
	if err != nil {
		return err
	}
	if current == nil {
		return errors.New("the platform holds no configuration")
	}
	m.adoptRoot(current, revision)
	if revision > base || age < fenceAfter+m.fenceDelay() {
		return nil
	}
	current.Settled++
	written, err := m.options.Store.Put(ctx, rootKey, current.encode(), revision)
	if err != nil {
		return err
	}
	m.counters.fenced.Inc(1)
	m.adoptRoot(current, written.Version)
	return nil
}

// fenceDelay differs between VMs, so that one of them usually comes first.
func (m *Manager) fenceDelay() time.Duration {
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(m.options.VM))
	return time.Duration(digest.Sum32()) % fenceSpread
}
