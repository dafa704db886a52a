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

// maxFenceDelay is the maximum additional delay of a fence, which differs between VMs.
const maxFenceDelay = 2 * time.Second

// Run obtains the configuration, keeps it up to date and settles undecided proposals until ctx is done. Before Run is
// called, this VM must be known to its peers, and they must be able to call Stage, Conclude and Configuration.
func (m *Manager) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { m.waitUntilReady(ctx) })
	group.Go(func() { m.watchRoot(ctx) })
	group.Go(func() { m.fetchObserved(ctx) })
	group.Go(func() { m.resolveProposals(ctx) })
	group.Wait()
	return ctx.Err()
}

// Observe records that a peer has a version in force. If it is newer than this VM's, it is fetched from the peer.
func (m *Manager) Observe(vm string, version uint64) {
	if version <= m.Version() {
		return
	}
	select {
	case m.peersToFetch <- vm:
	default:
	}
}

// waitUntilReady closes ready once this VM can serve.
func (m *Manager) waitUntilReady(ctx context.Context) {
	startedAt := time.Now()
	for !m.canServe(ctx, startedAt) {
		if !pause.For(ctx, rootRetryDelay) {
			return
		}
	}
	m.readyOnce.Do(func() { close(m.ready) })
}

// canServe adopts the newest configuration that the peers and the platform have, and reports whether this VM may serve
// it. It may not while a peer has an undecided proposal. Otherwise it may if a peer confirms a version, or if the root
// could be read and no proposal can still be accepted without having been staged on this VM: there are no peers, or the
// time that a proposal can take, proposalLifetime + settleTimeout, has passed since startedAt. If there is no
// configuration at all, canServe first tries to accept the seed, and returns true if this VM has created the root.
func (m *Manager) canServe(ctx context.Context, startedAt time.Time) bool {
	answers := m.askPeers(ctx)
	current, revision, err := readRoot(ctx, m.options.Store)
	if err == nil && current == nil && answers.isEmpty() && m.options.Seed != nil {
		if m.acceptSeed(ctx) {
			return true
		}
	}
	if current != nil {
		m.adoptRoot(current, revision)
	}
	if answers.undecided > 0 || !m.hasVersion() {
		return false
	}
	noProposalMissed := answers.noPeers || time.Since(startedAt) >= proposalLifetime+settleTimeout
	return answers.confirmed > 0 || err == nil && noProposalMissed
}

func (m *Manager) hasVersion() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.version() > 0
}

// peerAnswers counts the replies of the peers about the configuration.
type peerAnswers struct {
	// noPeers is set if the platform lists no other VM.
	noPeers bool
	// confirmed counts the peers that have a version in force and no undecided proposal.
	confirmed int
	// undecided counts the peers that have an undecided proposal.
	undecided int
}

func (a peerAnswers) isEmpty() bool { return a.confirmed == 0 && a.undecided == 0 }

// askPeers asks all peers for their configuration and adopts the newest one that a peer confirms. Peers that do not
// reply within peerCallTimeout are not counted.
func (m *Manager) askPeers(ctx context.Context) peerAnswers {
	peers, err := m.otherVMs(ctx)
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var mu sync.Mutex
	answers := peerAnswers{noPeers: err == nil && len(peers) == 0}
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
			case isUndecided(reply):
				answers.undecided++
			case reply.Version > 0:
				answers.confirmed++
				m.adoptReply(reply)
			}
		})
	}
	group.Wait()
	return answers
}

// otherVMs returns the other VMs that the platform or this VM knows. The error is that of reading the platform's list;
// the VMs known to this VM are returned even then.
func (m *Manager) otherVMs(ctx context.Context) ([]string, error) {
	listed, err := m.listVMs(ctx)
	vms := slices.Concat(listed, m.options.Directory.KnownVMs())
	slices.Sort(vms)
	vms = slices.DeleteFunc(slices.Compact(vms), func(vm string) bool { return vm == m.options.VM })
	return vms, err
}

// acceptSeed writes the seed configuration as version 1. It reports whether this VM created the root object; if so, no
// proposal can have been made before.
func (m *Manager) acceptSeed(ctx context.Context) bool {
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

// watchRoot adopts every change of the root object until ctx is done.
func (m *Manager) watchRoot(ctx context.Context) {
	for ctx.Err() == nil {
		current, revision, err := readRoot(ctx, m.options.Store)
		if err != nil {
			pause.For(ctx, rootRetryDelay)
			continue
		}
		if current != nil {
			m.adoptRoot(current, revision)
		}
		m.watchRootFrom(ctx, revision)
	}
}

// watchRootFrom watches the root object from a revision until the watch fails or the platform has dropped its history.
func (m *Manager) watchRootFrom(ctx context.Context, revision uint64) {
	for {
		batch, err := m.options.Store.Watch(ctx, rootKey, revision)
		if err != nil {
			pause.For(ctx, rootRetryDelay)
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
	m.adopt(policy.NewIndex(current.Configuration), current.recentProposals(), revision)
}

func (m *Manager) adoptReply(reply *peerpb.ConfigurationReply) {
	configuration, err := policy.Decode(reply.Configuration)
	if err != nil {
		m.options.Logger.Error("malformed configuration of a peer ignored", "err", err)
		return
	}
	m.adopt(policy.NewIndex(configuration), nil, 0)
}

// fetchObserved fetches the configuration of the peers given to Observe.
func (m *Manager) fetchObserved(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case vm := <-m.peersToFetch:
			m.fetchFromPeer(ctx, vm)
		}
	}
}

func (m *Manager) fetchFromPeer(ctx context.Context, vm string) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	reply, err := m.options.Peers.Configuration(ctx, vm, &peerpb.ConfigurationRequest{NewerThan: m.Version()})
	if err == nil && len(reply.Configuration) > 0 {
		m.adoptReply(reply)
	}
}

// resolveProposals periodically settles proposals that stay undecided.
func (m *Manager) resolveProposals(ctx context.Context) {
	for pause.For(ctx, inDoubtAfter/2) {
		m.mu.Lock()
		baseRevision, stagedAt, found := m.state.oldestStaged()
		m.mu.Unlock()
		if !found || time.Since(stagedAt) < inDoubtAfter {
			continue
		}
		if err := m.resolveProposal(ctx, baseRevision, time.Since(stagedAt)); err != nil {
			m.options.Logger.Debug("undecided proposal could not be settled", "err", err)
		}
	}
}

// resolveProposal reads the root to settle a proposal that expects it to have baseRevision. A newer revision decides
// the proposal. If the root still has baseRevision once the age of the proposal reaches fenceAfter plus this VM's
// fenceDelay, resolveProposal writes the same configuration again, so that the conditional update of the proposal
// fails. The version does not change, so other VMs need not receive this write. Before that age, resolveProposal
// returns nil and leaves the proposal undecided.
func (m *Manager) resolveProposal(ctx context.Context, baseRevision uint64, age time.Duration) error {
	current, revision, err := readRoot(ctx, m.options.Store)
	if err != nil {
		return err
	}
	if current == nil {
		return errors.New("the platform holds no configuration")
	}
	m.adoptRoot(current, revision)
	if revision > baseRevision || age < fenceAfter+m.fenceDelay() {
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

// fenceDelay is derived from the name of the VM, so that usually only one VM fences a proposal.
func (m *Manager) fenceDelay() time.Duration {
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(m.options.VM))
	return time.Duration(digest.Sum32()) % maxFenceDelay
}
