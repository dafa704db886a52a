package acceptance

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"godwitcart/internal/apierror"
	"godwitcart/internal/peer/peerpb"
	"godwitcart/internal/policy"
)

// minStageRounds is the minimum number of times that every VM is asked to stage a proposal. The second round reaches
// VMs that restarted after the first one and so lost the proposal.
const minStageRounds = 2

// maxStageRounds limits the rounds, since the replies of each round may name further VMs.
const maxStageRounds = 5

// stageEverywhere stages the attempt on every VM that the platform or any VM knows. It returns the VMs on which the
// attempt may be staged, also on error. It repeats the round until the replies name no further VM, at least
// minStageRounds and at most maxStageRounds times. It fails if a VM does not stage the attempt, or already has a newer
// version in force than the base.
func (m *Manager) stageEverywhere(ctx context.Context, a *attempt) ([]string, error) {
	listed, err := m.listVMs(ctx)
	if err != nil {
		return nil, rejectedWithoutPlatform(err)
	}
	vms := map[string]bool{m.options.VM: true}
	addNames(vms, listed)
	addNames(vms, m.options.Directory.KnownVMs())
	request := &peerpb.StageRequest{
		ProposalId:    a.id(),
		BaseVersion:   a.revision,
		Configuration: policy.Encode(a.next.Configuration),
	}
	var asked []string
	for round := 1; round <= maxStageRounds; round++ {
		previous := asked
		asked = slices.Sorted(maps.Keys(vms))
		replies, err := m.stageRound(ctx, asked, previous, request)
		if isSuperseded(replies, a) {
			return asked, m.currentConflictError(ctx, a)
		}
		if err != nil {
			return asked, err
		}
		for _, reply := range replies {
			addNames(vms, reply.KnownVms)
		}
		if round >= minStageRounds && len(vms) == len(asked) {
			return asked, nil
		}
	}
	return slices.Sorted(maps.Keys(vms)), apierror.New(apierror.KindUnavailable,
		"the change is rejected: new VMs kept appearing while it was staged", "repeat the command in a few seconds")
}

// listVMs reads the platform's list of entry VMs.
func (m *Manager) listVMs(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, platformReadTimeout)
	defer cancel()
	return m.options.Directory.ListVMs(ctx)
}

func addNames(vms map[string]bool, names []string) {
	for _, name := range names {
		vms[name] = true
	}
}

// isSuperseded reports whether a VM already has a version in force that is newer than the base of the attempt.
func isSuperseded(replies []*peerpb.StageReply, a *attempt) bool {
	return slices.ContainsFunc(replies, func(reply *peerpb.StageReply) bool {
		return reply != nil && reply.KnownVersion > a.base.version()
	})
}

// currentConflictError is conflictError for the root that the platform stores now.
func (m *Manager) currentConflictError(ctx context.Context, a *attempt) error {
	stored, err := m.options.Store.Get(ctx, rootKey)
	if err != nil {
		return rejectedWithoutPlatform(err)
	}
	return m.conflictError(stored, a)
}

// stageRound asks the VMs concurrently to stage the proposal, and fails unless all of them have. It returns the
// replies also on error, with nil for each VM that did not reply. previous lists the VMs that were asked in the
// previous round.
func (m *Manager) stageRound(ctx context.Context, vms, previous []string, request *peerpb.StageRequest) ([]*peerpb.StageReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	replies := make([]*peerpb.StageReply, len(vms))
	failures := make([]string, len(vms))
	var group sync.WaitGroup
	for i, vm := range vms {
		group.Go(func() {
			reply, err := m.stageAt(ctx, vm, slices.Contains(previous, vm), request)
			switch {
			case err != nil:
				failures[i] = fmt.Sprintf("%s cannot be reached (%v)", vm, err)
			case !reply.Staged:
				failures[i] = fmt.Sprintf("%s refuses it: %s", vm, reply.Reason)
			}
			replies[i] = reply
		})
	}
	group.Wait()
	failures = slices.DeleteFunc(failures, func(text string) bool { return text == "" })
	if len(failures) > 0 {
		return replies, apierror.New(apierror.KindUnavailable,
			"the change is rejected, because not every entry VM can hold it: "+strings.Join(failures, "; "),
			"repeat the command when these VMs can be reached, or once they have left the platform's list").WithRetryAfter(time.Second)
	}
	return replies, nil
}

// stageAt stages a proposal on a VM. A VM that was asked before is first asked whether the proposal is still staged,
// which usually avoids sending the configuration again.
func (m *Manager) stageAt(ctx context.Context, vm string, askedBefore bool, request *peerpb.StageRequest) (*peerpb.StageReply, error) {
	if askedBefore {
		confirm := &peerpb.StageRequest{ProposalId: request.ProposalId, BaseVersion: request.BaseVersion}
		reply, err := m.callStage(ctx, vm, confirm)
		if err != nil || reply.Staged {
			return reply, err
		}
	}
	return m.callStage(ctx, vm, request)
}

func (m *Manager) callStage(ctx context.Context, vm string, request *peerpb.StageRequest) (*peerpb.StageReply, error) {
	if vm == m.options.VM {
		return m.Stage(ctx, request)
	}
	return m.options.Peers.Stage(ctx, vm, request)
}
