// Package peer implements the protocol between the entry VMs: a drpc server and client, and gossip that propagates
// membership state.
//
// It has no consensus and no storage. State that needs agreement goes through the platform's object API.
package peer

import (
	"context"

	"godwitcart/internal/apierror"
	"godwitcart/internal/peer/peerpb"
)

// Exchanger handles the periodic digest exchange; Gossip implements it.
type Exchanger interface {
	Exchange(ctx context.Context, request *peerpb.Digest) (*peerpb.Digest, error)
}

// Acceptor stages proposed configurations, is informed of their outcome, and returns accepted ones.
type Acceptor interface {
	Stage(ctx context.Context, request *peerpb.StageRequest) (*peerpb.StageReply, error)
	Conclude(ctx context.Context, request *peerpb.ConcludeRequest) (*peerpb.ConcludeReply, error)
	Configuration(ctx context.Context, request *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error)
}

// Querier answers an operator query from this VM's own state.
type Querier interface {
	Query(ctx context.Context, request *peerpb.QueryRequest) (*peerpb.QueryReply, error)
}

// Canceler cancels a request that this VM is serving.
type Canceler interface {
	Cancel(ctx context.Context, request *peerpb.CancelRequest) (*peerpb.CancelReply, error)
}

// Claimer carries out operations on claims for other VMs.
type Claimer interface {
	Claims(ctx context.Context, request *peerpb.ClaimsRequest) (*peerpb.ClaimsReply, error)
}

// Handlers handle the calls of peers. A call whose handler is nil returns an error.
type Handlers struct {
	Exchange   Exchanger
	Acceptance Acceptor
	Query      Querier
	Cancel     Canceler
	Claims     Claimer
}

// service adapts Handlers to the generated interface.
type service struct {
	handlers Handlers
}

var _ peerpb.DRPCPeerServer = (*service)(nil)

var errNoHandler = apierror.New(apierror.KindUnavailable, "this VM does not serve the call", "ask another VM, or give all entry VMs the same release")

// Exchange implements peerpb.DRPCPeerServer.
func (s *service) Exchange(ctx context.Context, request *peerpb.Digest) (*peerpb.Digest, error) {
	if s.handlers.Exchange == nil {
		return nil, errNoHandler
	}
	return s.handlers.Exchange.Exchange(ctx, request)
}

// Stage implements peerpb.DRPCPeerServer.
func (s *service) Stage(ctx context.Context, request *peerpb.StageRequest) (*peerpb.StageReply, error) {
	if s.handlers.Acceptance == nil {
		return nil, errNoHandler
	}
	return s.handlers.Acceptance.Stage(ctx, request)
}

// Conclude implements peerpb.DRPCPeerServer.
func (s *service) Conclude(ctx context.Context, request *peerpb.ConcludeRequest) (*peerpb.ConcludeReply, error) {
	if s.handlers.Acceptance == nil {
		return nil, errNoHandler
	}
	return s.handlers.Acceptance.Conclude(ctx, request)
}

// Configuration implements peerpb.DRPCPeerServer.
func (s *service) Configuration(ctx context.Context, request *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error) {
	if s.handlers.Acceptance == nil {
		return nil, errNoHandler
	}
	return s.handlers.Acceptance.Configuration(ctx, request)
}

// Query implements peerpb.DRPCPeerServer.
func (s *service) Query(ctx context.Context, request *peerpb.QueryRequest) (*peerpb.QueryReply, error) {
	if s.handlers.Query == nil {
		return nil, errNoHandler
	}
	return s.handlers.Query.Query(ctx, request)
}

// Cancel implements peerpb.DRPCPeerServer.
func (s *service) Cancel(ctx context.Context, request *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	if s.handlers.Cancel == nil {
		return nil, errNoHandler
	}
	return s.handlers.Cancel.Cancel(ctx, request)
}

// Claims implements peerpb.DRPCPeerServer.
func (s *service) Claims(ctx context.Context, request *peerpb.ClaimsRequest) (*peerpb.ClaimsReply, error) {
	if s.handlers.Claims == nil {
		return nil, errNoHandler
	}
	return s.handlers.Claims.Claims(ctx, request)
}
