package acceptance

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/peer/peerpb"
	"godwitcart/internal/policy"
)

// Stage answers a peer that asks this VM to hold a proposal. A VM that is still starting
// holds it too. BaseVersion is the revision of the root object that the update expects. Without
// a configuration the call asks whether the proposal is held still.
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
	known := m.options.Directory.Known()
	m.mu.Lock()
	defer m.mu.Unlock()
	reply := &peerpb.StageReply{KnownVersion: m.state.version(), KnownVms: known}
	if err := m.hold(request, index); err != nil {
		m.counters.refused.Inc(1)
		reply.Reason = err.Error()
		return reply, nil
	}
	reply.Staged = true
	return reply, nil
}

var errNotHeld = errors.New("the proposal is not held")

// hold stages a proposal, or confirms that it is held if index is nil; the caller holds mu.
func (m *Manager) hold(request *peerpb.StageRequest, index *policy.Index) error {
	if index == nil {
		if _, held := m.state.held(request.ProposalId); !held {
			return errNotHeld
		}
		return nil
	}
	p := proposal{id: request.ProposalId, base: request.BaseVersion, index: index, staged: time.Now()}
	if err := m.state.stage(p); err != nil {
		return err
	}
	m.counters.staged.Inc(1)
	m.publish()
	return nil
}

// Conclude takes the outcome of a proposal from its proposer. An accepted one is put in force if
// it is held; a VM that does not hold it learns it from the root object.
func (m *Manager) Conclude(_ context.Context, request *peerpb.ConcludeRequest) (*peerpb.ConcludeReply, error) {
	m.mu.Lock()
	p, held := m.state.held(request.ProposalId)
	if !request.Accepted {
		m.state.drop(request.ProposalId)
		m.publish()
	}
	m.mu.Unlock()
	if request.Accepted && held {
		m.adopt(p.index, []string{request.ProposalId}, 0)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return &peerpb.ConcludeReply{Version: m.state.version()}, nil
}

// Configuration answers a peer that asks for the highest accepted version. The reply holds a
// configuration only if this VM vouches for it: to a starting peer, which names no version, it
// does not while it holds an undecided proposal. A VM that is not ready answers version zero.
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

// undecided reports whether the reply to a starting VM comes from a VM that holds a proposal.
func undecided(reply *peerpb.ConfigurationReply) bool {
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
