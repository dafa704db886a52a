package claim

import (
	"context"
	"encoding/json"
	"sync"

	"godwitcart/internal/apierror"
	"godwitcart/internal/peer/peerpb"
)

// maxForwardedOperations limits the number of operations in one call between VMs.
const maxForwardedOperations = DefaultBatchLimit

// Claims executes operations that another VM forwards. Even if the response is late, it does not undo a
// claim: only the VM that owns the attempt knows whether the attempt was dispatched.
func (m *Manager) Claims(ctx context.Context, request *peerpb.ClaimsRequest) (*peerpb.ClaimsReply, error) {
	if len(request.Operations) > maxForwardedOperations {
		return nil, apierror.New(apierror.KindBadRequest, "too many operations in one call", "send fewer")
	}
	m.metrics.receivedForwarded.Inc(int64(len(request.Operations)))
	reply := &peerpb.ClaimsReply{Answers: make([]*peerpb.ClaimAnswer, len(request.Operations))}
	var executions sync.WaitGroup
	for i, message := range request.Operations {
		executions.Go(func() { reply.Answers[i] = m.executeForwarded(ctx, message) })
	}
	executions.Wait()
	return reply, nil
}

// executeForwarded executes one operation without its undo; see Claims. Deferrable operations, which
// end or release a claim, are answered as soon as they are queued, before they are written. An answer
// without an outcome makes the forwarding VM execute the operation itself.
func (m *Manager) executeForwarded(ctx context.Context, message *peerpb.ClaimOperation) *peerpb.ClaimAnswer {
	o, err := decodeOperation(message)
	if err != nil {
		return &peerpb.ClaimAnswer{Message: err.Error()}
	}
	o.undo = nil
	if !o.deferrable {
		return encodeAnswer(m.execute(ctx, message.Key, o))
	}
	if !m.enqueue(message.Key, o) {
		return &peerpb.ClaimAnswer{Message: errQueueFull.Error()}
	}
	return &peerpb.ClaimAnswer{Outcome: peerpb.ClaimAnswer_OUTCOME_DONE}
}

// decodeOperation converts a message to an operation.
func decodeOperation(message *peerpb.ClaimOperation) (*operation, error) {
	switch message.Kind {
	case peerpb.ClaimOperation_KIND_CLAIM:
		var record Record
		if err := json.Unmarshal(message.Record, &record); err != nil {
			return nil, err
		}
		record.Key, record.AttemptID = message.Key, message.Attempt
		return claimOperation(record), nil
	case peerpb.ClaimOperation_KIND_REBIND:
		return rebindOperation(message.Key, message.Attempt, message.NewAttempt, message.NewTarget), nil
	case peerpb.ClaimOperation_KIND_END:
		var ending Ending
		if err := json.Unmarshal(message.Ending, &ending); err != nil {
			return nil, err
		}
		return endOperation(message.Key, message.Attempt, ending), nil
	case peerpb.ClaimOperation_KIND_RELEASE:
		if message.Withdraw {
			return withdrawOperation(message.Key, message.Attempt), nil
		}
		return releaseOperation(message.Key, message.Attempt, false), nil
	case peerpb.ClaimOperation_KIND_LOOKUP:
		return lookupOperation(message.Key), nil
	default:
		return nil, errUnknownOperation
	}
}

var errUnknownOperation = apierror.New(apierror.KindBadRequest, "the operation is not known", "give all entry VMs the same release")

// encodeAnswer converts a result to an answer. Errors other than not_found and conflict leave the outcome
// unset; see decodeAnswer.
func encodeAnswer(outcome result) *peerpb.ClaimAnswer {
	answer := &peerpb.ClaimAnswer{Won: outcome.won}
	switch {
	case outcome.err == nil:
		answer.Outcome = peerpb.ClaimAnswer_OUTCOME_DONE
	case apierror.Is(outcome.err, apierror.KindNotFound):
		answer.Outcome = peerpb.ClaimAnswer_OUTCOME_NOT_FOUND
	case apierror.Is(outcome.err, apierror.KindConflict):
		answer.Outcome = peerpb.ClaimAnswer_OUTCOME_CONFLICT
	}
	if outcome.err != nil {
		answer.Message = outcome.err.Error()
		return answer
	}
	encoded, err := json.Marshal(outcome.record)
	if err != nil {
		return &peerpb.ClaimAnswer{Message: err.Error()}
	}
	answer.Record = encoded
	return answer
}

// decodeAnswer converts an answer to a result. It returns false if the answer does not tell the
// outcome.
func decodeAnswer(answer *peerpb.ClaimAnswer) (result, bool) {
	switch answer.GetOutcome() {
	case peerpb.ClaimAnswer_OUTCOME_DONE:
		var record Record
		if len(answer.Record) > 0 && json.Unmarshal(answer.Record, &record) != nil {
			return result{}, false
		}
		return result{record: record, won: answer.Won}, true
	case peerpb.ClaimAnswer_OUTCOME_NOT_FOUND:
		return result{err: errNoClaim}, true
	case peerpb.ClaimAnswer_OUTCOME_CONFLICT:
		return result{err: apierror.New(apierror.KindConflict, answer.Message, "do not dispatch the attempt")}, true
	default:
		return result{}, false
	}
}
