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

// stageRounds is the least number of times that every VM is asked to stage a proposal. The
// second round reaches a VM that restarted after the first and forgot it.
const stageRounds = 2

// maxStageRounds bounds the rounds in which VMs name further VMs.
const maxStageRounds = 5

// stageEverywhere stages the attempt at every VM that the platform or any VM knows, and
// returns the VMs that may hold it.
func (m *Manager) stageEverywhere(ctx context.Context, a *attempt) ([]string, error) {
	listed, err := m.listed(ctx)
	if err != nil {
		return nil, platformAway(err)
	}
	vms := map[string]bool{m.options.VM: true}
	add(vms, listed)
	add(vms, m.options.Directory.Known())
	request := &peerpb.StageRequest{
		ProposalId:    a.id(),
		BaseVersion:   a.revision,
		Configuration: policy.Encode(a.next.Configuration),
	}
	var asked []string
	for round := 1; round <= maxStageRounds; round++ {
		before := asked
		asked = slices.Sorted(maps.Keys(vms))
		replies, err := m.stageRound(ctx, asked, before, request)
		if overtaken(replies, a) {
			return asked, m.lostBefore(ctx, a)
		}
		if err != nil {
			return asked, err
		}
		for _, reply := range replies {
			add(vms, reply.KnownVms)
		}
		if round >= stageRounds && len(vms) == len(asked) {
			return asked, nil
		}
	}
	return slices.Sorted(maps.Keys(vms)), apierror.New(apierror.KindUnavailable,
		"the change is rejected: new VMs kept appearing while it was staged", "repeat the command in a few seconds")
}

// listed reads the platform's list of entry VMs.
func (m *Manager) listed(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	return m.options.Directory.Listed(ctx)
}

func add(vms map[string]bool, names []string) {
	for _, name := range names {
		vms[name] = true
	}
}

// overtaken reports whether a VM already has a version in force that follows the attempt's base.
func overtaken(replies []*peerpb.StageReply, a *attempt) bool {
	return slices.ContainsFunc(replies, func(reply *peerpb.StageReply) bool {
		return reply != nil && reply.KnownVersion > a.base.version()
	})
}

// lostBefore tells which change was accepted before the attempt was sent to the platform.
func (m *Manager) lostBefore(ctx context.Context, a *attempt) error {
	held, err := m.options.Store.Get(ctx, rootKey)
	if err != nil {
		return platformAway(err)
	}
	return m.lost(held, a)
}

// stageRound asks the VMs in parallel and fails unless all of them hold the proposal. It
// returns the replies also when it fails; a VM that did not answer has none. before lists the VMs
// that were asked in the round before.
func (m *Manager) stageRound(ctx context.Context, vms, before []string, request *peerpb.StageRequest) ([]*peerpb.StageReply, error) {
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	replies := make([]*peerpb.StageReply, len(vms))
	failures := make([]string, len(vms))
	var group sync.WaitGroup
	for i, vm := range vms {
		group.Go(func() {
			reply, err := m.stageAt(ctx, vm, slices.Contains(before, vm), request)
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

// stageAt stages a proposal on a VM. One that was asked before is first asked whether it still
// holds the proposal, which saves sending the configuration again.
func (m *Manager) stageAt(ctx context.Context, vm string, again bool, request *peerpb.StageRequest) (*peerpb.StageReply, error) {
	if again {
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
