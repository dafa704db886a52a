package acceptance

import (
	"context"
	"time"

	"godwitcart/internal/peer/peerpb"
	"godwitcart/internal/policy"
)

// Stage answers a peer that asks this VM to hold a proposal. A VM that is still starting
// holds it too. BaseVersion is the revision of the root object that the update expects.
func (m *Manager) Stage(_ context.Context, request *peerpb.StageRequest) (*peerpb.StageReply, error) {
	configuration, err := policy.Decode(request.Configuration)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil {
		err = m.state.stage(proposal{
			id:     request.ProposalId,
			base:   request.BaseVersion,
			index:  policy.NewIndex(configuration),
			staged: time.Now(),
		})
	}
	reply := &peerpb.StageReply{KnownVersion: m.state.version(), KnownVms: m.options.Directory.Known()}
	if err != nil {
		m.counters.refused.Inc(1)
		reply.Reason = err.Error()
		return reply, nil
	}
	m.counters.staged.Inc(1)
	reply.Staged = true
	m.publish()
	return reply, nil
}

// Conclude takes the outcome of a proposal from its proposer.
func (m *Manager) Conclude(_ context.Context, request *peerpb.ConcludeRequest) (*peerpb.ConcludeReply, error) {
	if request.Accepted {
		configuration, err := policy.Decode(request.Configuration)
		if err != nil {
			return nil, err
		}
		m.adopt(policy.NewIndex(configuration), []string{request.ProposalId}, 0)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !request.Accepted {
		m.state.drop(request.ProposalId)
		m.publish()
	}
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
