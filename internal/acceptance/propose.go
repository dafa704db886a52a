package acceptance

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
	"godwitcart/internal/object"
	"godwitcart/internal/peer/peerpb"
	"godwitcart/internal/policy"
	"godwitcart/internal/wire/platformwire"
)

// maxConfigurationBytes leaves room in the root object for the acceptance's changes and the recent
// acceptances.
const maxConfigurationBytes = platformwire.MaxValueBytes / 2

// maxRecordedChanges bounds the changes that the history keeps of one version.
const maxRecordedChanges = 500

// Change is what an operator wants changed.
type Change struct {
	Operator string
	// Summary is the operator's command, for the history.
	Summary string
	// Apply edits a copy of the accepted configuration.
	Apply func(*policy.Configuration) error
	// DryRun validates and compares without proposing.
	DryRun bool
}

// Outcome tells what a proposal did, or would do.
type Outcome struct {
	// Version is the accepted version; for a dry run, the version that it was compared with.
	Version  uint64          `json:"version"`
	Proposal string          `json:"proposal,omitempty"`
	Changes  []policy.Change `json:"changes"`
}

// attempt is one proposal on its way.
type attempt struct {
	base     *root
	revision uint64
	next     *root
	// changes is the whole difference from base to next.
	changes  []policy.Change
	deadline time.Time
}

func (a *attempt) id() string { return a.next.Latest.Proposal }

// Propose makes a change take effect on every VM, or returns why it is rejected. An error of
// kind KindOutcomeUnknown means that the platform went away in between: "show history" tells.
func (m *Manager) Propose(ctx context.Context, change Change) (Outcome, error) {
	if !m.isReady() {
		return Outcome{}, m.reject(notReady())
	}
	a, err := m.prepare(ctx, change)
	if err != nil {
		return Outcome{}, m.reject(err)
	}
	outcome := Outcome{Version: a.base.version(), Changes: a.changes}
	if change.DryRun || len(outcome.Changes) == 0 {
		return outcome, nil
	}
	outcome.Proposal = a.id()
	archived := m.archiveBase(ctx, a)
	staged, err := m.stageEverywhere(ctx, a)
	if err == nil {
		err = m.accept(ctx, a, archived)
	}
	if err != nil {
		if !apierror.Is(err, apierror.KindOutcomeUnknown) {
			m.conclude(ctx, staged, &peerpb.ConcludeRequest{ProposalId: a.id()})
		}
		return Outcome{}, m.reject(err)
	}
	outcome.Version = a.next.version()
	m.counters.accepted.Inc(1)
	m.conclude(ctx, staged, a.acceptedRequest())
	prune(ctx, m.options.Store, outcome.Version)
	return outcome, nil
}

func (a *attempt) acceptedRequest() *peerpb.ConcludeRequest {
	return &peerpb.ConcludeRequest{
		ProposalId: a.id(),
		Accepted:   true,
		Version:    a.next.version(),
	}
}

func notReady() error {
	return apierror.New(apierror.KindUnavailable, "this VM has not learnt the configuration yet",
		"repeat the command in a few seconds or send it to another VM").WithRetryAfter(retryInterval)
}

func (m *Manager) reject(err error) error {
	m.counters.rejected.Inc(1)
	return err
}

// prepare reads the accepted version, applies the change and validates the result.
func (m *Manager) prepare(ctx context.Context, change Change) (*attempt, error) {
	deadline := time.Now().Add(proposalLifetime)
	base, revision, err := readRoot(ctx, m.options.Store)
	if err != nil {
		return nil, platformAway(err)
	}
	if base == nil {
		return nil, apierror.New(apierror.KindUnavailable, "the platform holds no configuration",
			"start an entry VM with a seed configuration")
	}
	if base.version() < m.Version() {
		return nil, apierror.Newf(apierror.KindUnavailable, "restore the object "+rootKey+" on the platform",
			"the platform holds version %d of the configuration, but version %d was accepted", base.version(), m.Version())
	}
	m.adoptRoot(base, revision)
	next := base.Configuration.Clone()
	if err := change.Apply(next); err != nil {
		return nil, err
	}
	next.Version = base.version() + 1
	if err := policy.Validate(*next); err != nil {
		return nil, err
	}
	if err := checkSize(next); err != nil {
		return nil, err
	}
	changes := policy.Diff(base.Configuration, next)
	acceptance := Acceptance{
		Version:  next.Version,
		Proposal: rand.Text(),
		Operator: change.Operator,
		VM:       m.options.VM,
		At:       time.Now().UTC(),
		Summary:  change.Summary,
		Changes:  changes[:min(len(changes), maxRecordedChanges)],
	}
	return &attempt{
		base: base, revision: revision, next: base.next(next, acceptance), changes: changes, deadline: deadline,
	}, nil
}

// checkSize refuses a configuration that would not fit into the root object with what else is there.
func checkSize(configuration *policy.Configuration) error {
	size := len(policy.Encode(configuration))
	if size <= maxConfigurationBytes {
		return nil
	}
	return apierror.Newf(apierror.KindTooLarge, "delete objects that are no longer used",
		"the configuration has %d bytes, more than %d", size, maxConfigurationBytes)
}

// platformAway is the rejection of a change for want of the platform; other errors stay as they are.
func platformAway(err error) error {
	away := apierror.Is(err, apierror.KindUnavailable) || errors.Is(err, context.DeadlineExceeded)
	if !away {
		return err
	}
	return apierror.Wrap(err, apierror.KindUnavailable, "the change is rejected: the platform cannot be reached, and only it can accept a change",
		"repeat the command when the platform is back; serving goes on with the version in force").WithRetryAfter(time.Second)
}

// archiveBase stores the version that the attempt follows in the history, while the attempt is
// staged. The version is accepted already, so it is archived rightly whatever comes of the attempt.
func (m *Manager) archiveBase(ctx context.Context, a *attempt) <-chan error {
	archived := make(chan error, 1)
	go func() { archived <- archive(ctx, m.options.Store, a.base) }()
	return archived
}

// accept makes the staged attempt the accepted version by one conditional update.
// The write is sent before the attempt's deadline or not at all.
func (m *Manager) accept(ctx context.Context, a *attempt, archived <-chan error) error {
	if err := <-archived; err != nil {
		return platformAway(err)
	}
	ctx, cancel := context.WithDeadline(ctx, a.deadline)
	defer cancel()
	if ctx.Err() != nil {
		return apierror.New(apierror.KindUnavailable, "the change is rejected: staging it took too long",
			"repeat the command; \"show vms\" names the slow VMs")
	}
	value := a.next.encode()
	written, err := m.options.Store.Put(ctx, rootKey, value, a.revision)
	if err == nil {
		m.adoptRoot(a.next, written.Version)
		return nil
	}
	if conflict, lost := object.AsConflict(err); lost {
		return m.lost(conflict.Current, a)
	}
	if object.IsUnknownOutcome(err) {
		return m.settle(ctx, a, value)
	}
	return platformAway(err)
}

// settle finds out whether the root update took effect, whose answer was lost.
func (m *Manager) settle(ctx context.Context, a *attempt, value []byte) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	held, applied, err := object.Settle(ctx, m.options.Store, rootKey, value, a.revision, func(held object.Object) bool {
		current, err := decodeRoot(held.Value)
		return err == nil && current.accepted(a.id())
	})
	switch {
	case err != nil:
		return apierror.Wrap(err, apierror.KindOutcomeUnknown,
			fmt.Sprintf("the platform went away while version %d was being accepted", a.next.version()),
			"look for the proposal "+a.id()+" in \"show history\" when the platform is back")
	case applied:
		m.adopt(policy.NewIndex(a.next.Configuration), []string{a.id()}, 0)
		return nil
	default:
		return m.lost(held, a)
	}
}

// lost tells which change was accepted in place of the attempt.
func (m *Manager) lost(held object.Object, a *attempt) error {
	current, err := decodeRoot(held.Value)
	if err != nil {
		return apierror.Wrap(err, apierror.KindInternal, "the stored configuration cannot be read",
			"restore the object "+rootKey+" on the platform")
	}
	m.adoptRoot(current, held.Version)
	if current.version() == a.base.version() {
		return apierror.New(apierror.KindUnavailable, "the change is rejected: it stayed undecided for too long and another VM settled it",
			"repeat the command").WithRetryAfter(time.Second)
	}
	winner := current.Latest
	for _, acceptance := range current.Recent {
		if acceptance.Version == a.next.version() {
			winner = acceptance
		}
	}
	return apierror.Newf(apierror.KindConflict,
		"look at \"show history\" and repeat the command if it still applies",
		"the change is rejected: %s accepted version %d first (%s) through %s",
		winner.Operator, winner.Version, winner.Summary, winner.VM)
}

// conclude tells the VMs the outcome; those that do not hear learn it from the root.
func (m *Manager) conclude(ctx context.Context, vms []string, request *peerpb.ConcludeRequest) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stageTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, vm := range vms {
		group.Go(func() {
			var err error
			if vm == m.options.VM {
				_, err = m.Conclude(ctx, request)
			} else {
				_, err = m.options.Peers.Conclude(ctx, vm, request)
			}
			if err != nil && !errors.Is(err, context.DeadlineExceeded) {
				m.options.Logger.Debug("peer not told the outcome of a change", "vm", vm, "err", err)
			}
		})
	}
	group.Wait()
}
