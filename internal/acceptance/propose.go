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

// maxConfigurationBytes limits the encoded configuration. It leaves room in the root object for the changes of the
// latest acceptance and for the recent acceptances.
const maxConfigurationBytes = platformwire.MaxValueBytes / 2

// maxRecordedChanges is the maximum number of changes that the history stores for one version.
const maxRecordedChanges = 500

// Change is a change of the configuration that an operator requests.
type Change struct {
	Operator string
	// Summary is the operator's command. It is shown in the history.
	Summary string
	// Apply edits a copy of the accepted configuration.
	Apply func(*policy.Configuration) error
	// DryRun only validates the change and compares the result with the accepted version.
	DryRun bool
}

// Outcome is the effect of a change, or of a dry run of it.
type Outcome struct {
	// Version is the newly accepted version. For a dry run or an empty change it is the version compared with.
	Version  uint64          `json:"version"`
	Proposal string          `json:"proposal,omitempty"`
	Changes  []policy.Change `json:"changes"`
}

// attempt is the proposer's state of one proposal.
type attempt struct {
	// base is the root that was read from the platform, and revision the version of its object there; next is to
	// replace it.
	base     *root
	revision uint64
	next     *root
	// changes is the complete difference from base to next.
	changes  []policy.Change
	deadline time.Time
}

func (a *attempt) id() string { return a.next.Latest.Proposal }

// Propose makes a change take effect on every VM, or returns why it was rejected. An error of kind KindOutcomeUnknown
// means that the platform became unavailable during the update; "show history" shows whether the change was accepted.
// In that case the VMs are sent no outcome, and each settles the staged proposal from the root. A dry run and a change
// without effect end after validation.
func (m *Manager) Propose(ctx context.Context, change Change) (Outcome, error) {
	if !m.isReady() {
		return Outcome{}, m.countRejection(notReadyError())
	}
	a, err := m.prepare(ctx, change)
	if err != nil {
		return Outcome{}, m.countRejection(err)
	}
	outcome := Outcome{Version: a.base.version(), Changes: a.changes}
	if change.DryRun || len(outcome.Changes) == 0 {
		return outcome, nil
	}
	outcome.Proposal = a.id()
	archiveResult := m.archiveBase(ctx, a)
	stagedVMs, err := m.stageEverywhere(ctx, a)
	if err == nil {
		err = m.accept(ctx, a, archiveResult)
	}
	if err != nil {
		if !apierror.Is(err, apierror.KindOutcomeUnknown) {
			m.conclude(ctx, stagedVMs, &peerpb.ConcludeRequest{ProposalId: a.id()})
		}
		return Outcome{}, m.countRejection(err)
	}
	outcome.Version = a.next.version()
	m.counters.accepted.Inc(1)
	m.conclude(ctx, stagedVMs, a.acceptedRequest())
	pruneHistory(ctx, m.options.Store, outcome.Version)
	return outcome, nil
}

func (a *attempt) acceptedRequest() *peerpb.ConcludeRequest {
	return &peerpb.ConcludeRequest{
		ProposalId: a.id(),
		Accepted:   true,
		Version:    a.next.version(),
	}
}

func notReadyError() error {
	return apierror.New(apierror.KindUnavailable, "this VM has not learnt the configuration yet",
		"repeat the command in a few seconds or send it to another VM").WithRetryAfter(rootRetryDelay)
}

// countRejection counts a rejected change and returns its error.
func (m *Manager) countRejection(err error) error {
	m.counters.rejected.Inc(1)
	return err
}

// prepare reads the accepted version, applies the change and validates the result. It returns an error if the platform
// has no configuration, or an older one than the version in force on this VM.
func (m *Manager) prepare(ctx context.Context, change Change) (*attempt, error) {
	deadline := time.Now().Add(proposalLifetime)
	base, revision, err := readRoot(ctx, m.options.Store)
	if err != nil {
		return nil, rejectedWithoutPlatform(err)
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

// checkSize returns an error if the configuration is too large for the root object; see maxConfigurationBytes.
func checkSize(configuration *policy.Configuration) error {
	size := len(policy.Encode(configuration))
	if size <= maxConfigurationBytes {
		return nil
	}
	return apierror.Newf(apierror.KindTooLarge, "delete objects that are no longer used",
		"the configuration has %d bytes, more than %d", size, maxConfigurationBytes)
}

// rejectedWithoutPlatform turns an error of an unreachable platform into the rejection of a change. It returns other
// errors unchanged.
func rejectedWithoutPlatform(err error) error {
	unreachable := apierror.Is(err, apierror.KindUnavailable) || errors.Is(err, context.DeadlineExceeded)
	if !unreachable {
		return err
	}
	return apierror.Wrap(err, apierror.KindUnavailable, "the change is rejected: the platform cannot be reached, and only it can accept a change",
		"repeat the command when the platform is back; serving goes on with the version in force").WithRetryAfter(time.Second)
}

// archiveBase starts to store the base version of the attempt in the history, concurrently with staging, and returns
// the channel for the result. The base version is already accepted, so archiving it is correct whether or not the
// attempt succeeds.
func (m *Manager) archiveBase(ctx context.Context, a *attempt) <-chan error {
	archiveResult := make(chan error, 1)
	go func() { archiveResult <- archive(ctx, m.options.Store, a.base) }()
	return archiveResult
}

// accept makes the staged attempt the accepted version by one conditional update of the root. It first waits until the
// base version is archived, since the update replaces it. The update is not sent after the deadline of the attempt. If
// the answer of the platform is lost, accept finds out whether the update took effect.
func (m *Manager) accept(ctx context.Context, a *attempt, archiveResult <-chan error) error {
	if err := <-archiveResult; err != nil {
		return rejectedWithoutPlatform(err)
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
	if conflict, conflicted := object.AsConflict(err); conflicted {
		return m.conflictError(conflict.Current, a)
	}
	if object.IsUnknownOutcome(err) {
		return m.settleRootUpdate(ctx, a, value)
	}
	return rejectedWithoutPlatform(err)
}

// settleRootUpdate finds out whether an update of the root took effect if the answer of the platform was lost. It
// returns nil if it did, the conflict if another root was written instead, and an error of kind KindOutcomeUnknown if
// neither can be established within settleTimeout. It goes on if ctx ends.
func (m *Manager) settleRootUpdate(ctx context.Context, a *attempt, value []byte) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	stored, applied, err := object.ResolveOutcome(ctx, m.options.Store, rootKey, value, a.revision, func(stored object.Object) bool {
		current, err := decodeRoot(stored.Value)
		return err == nil && current.hasAccepted(a.id())
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
		return m.conflictError(stored, a)
	}
}

// conflictError returns the rejection of an attempt, given the stored root that was written in its place. It names the
// change that was accepted, or says that another VM fenced the attempt. It also puts the stored configuration in force.
func (m *Manager) conflictError(stored object.Object, a *attempt) error {
	current, err := decodeRoot(stored.Value)
	if err != nil {
		return apierror.Wrap(err, apierror.KindInternal, "the stored configuration cannot be read",
			"restore the object "+rootKey+" on the platform")
	}
	m.adoptRoot(current, stored.Version)
	if current.version() == a.base.version() {
		return apierror.New(apierror.KindUnavailable, "the change is rejected: it stayed undecided for too long and another VM settled it",
			"repeat the command").WithRetryAfter(time.Second)
	}
	winner := current.Latest
	for _, recent := range current.Recent {
		if recent.Version == a.next.version() {
			winner = recent
		}
	}
	return apierror.Newf(apierror.KindConflict,
		"look at \"show history\" and repeat the command if it still applies",
		"the change is rejected: %s accepted version %d first (%s) through %s",
		winner.Operator, winner.Version, winner.Summary, winner.VM)
}

// conclude sends the outcome to the VMs. Errors are only logged: VMs that do not receive it read it from the root.
func (m *Manager) conclude(ctx context.Context, vms []string, request *peerpb.ConcludeRequest) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), peerCallTimeout)
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
				m.options.Logger.Debug("outcome of a change not delivered to a peer", "vm", vm, "err", err)
			}
		})
	}
	group.Wait()
}
