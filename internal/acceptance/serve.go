package acceptance

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/peer/peerpb"
	"godwitcart/internal/policy"
)

// Stage handles a peer's request to stage a proposal, also while this VM is starting. BaseVersion is the revision of
// the root object that the conditional update expects. A request without a configuration asks whether the proposal is
// still staged. The reply tells whether the proposal is staged and, if not, the reason; a refusal is not an error.
func (m *Manager) Stage(_ context.Context, request *peerpb.StageRequest) (*peerpb.StageReply, error) {
	var index *policy.Index
	if len(request.Configuration) > 0 {
		configuration, err := policy.Decode(request.Configuration)
		if err != nil {
			m.counters.refused.Inc(1)
			return &peerpb.StageReply{Reason: err.Error()}, nil
		}
		index = policy.NewIndex(configuration)
	}
	known := m.options.Directory.KnownVMs()
	m.mu.Lock()
	defer m.mu.Unlock()
	reply := &peerpb.StageReply{KnownVersion: m.state.version(), KnownVms: known}
	if err := m.stageOrConfirm(request, index); err != nil {
		m.counters.refused.Inc(1)
		reply.Reason = err.Error()
		return reply, nil
	}
	reply.Staged = true
	return reply, nil
}

var errNotStaged = errors.New("the proposal is not held")

// stageOrConfirm stages a proposal or, if index is nil, returns an error unless it is already staged. The caller holds
// mu.
func (m *Manager) stageOrConfirm(request *peerpb.StageRequest, index *policy.Index) error {
	if index == nil {
		if _, staged := m.state.findStaged(request.ProposalId); !staged {
			return errNotStaged
		}
		return nil
	}
	p := proposal{id: request.ProposalId, baseRevision: request.BaseVersion, index: index, stagedAt: time.Now()}
	if err := m.state.stage(p); err != nil {
		return err
	}
	m.counters.staged.Inc(1)
	m.publish()
	return nil
}

// Conclude handles the outcome of a proposal, sent by its proposer. An accepted proposal is put in force if it is
// staged on this VM. Otherwise this VM reads the accepted version from the root object. The reply contains the version
// in force afterwards.
func (m *Manager) Conclude(_ context.Context, request *peerpb.ConcludeRequest) (*peerpb.ConcludeReply, error) {
	m.mu.Lock()
	p, staged := m.state.findStaged(request.ProposalId)
	if !request.Accepted {
		m.state.reject(request.ProposalId)
		m.publish()
	}
	m.mu.Unlock()
	if request.Accepted && staged {
		m.adopt(p.index, []string{request.ProposalId}, 0)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return &peerpb.ConcludeReply{Version: m.state.version()}, nil
}

// Configuration handles a peer's request for the newest accepted version. The reply contains the configuration only if
// it is newer than the version that the peer names. A starting peer names none. While this VM has an undecided
// proposal, a starting peer gets a version above zero without a configuration (see isUndecided), since a newer version
// may already be accepted. Otherwise a VM that is not ready replies version zero.
func (m *Manager) Configuration(_ context.Context, request *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	starting := request.NewerThan == 0
	if starting && len(m.state.staged) > 0 {
		return &peerpb.ConfigurationReply{Version: max(m.state.version(), 1)}, nil
	}
	if !m.isReady() {
		return &peerpb.ConfigurationReply{}, nil
	}
	reply := &peerpb.ConfigurationReply{Version: m.state.version()}
	if reply.Version > request.NewerThan {
		reply.Configuration = policy.Encode(m.state.current.Configuration())
	}
	return reply, nil
}

// isUndecided reports whether a reply to a starting VM was sent by a VM with an undecided proposal.
func isUndecided(reply *peerpb.ConfigurationReply) bool {
	return reply.Version > 0 && len(reply.Configuration) == 0
}

func (m *Manager) isReady() bool {
	select {
	case <-m.ready:
		return true
	default:
		return false
	}
}
