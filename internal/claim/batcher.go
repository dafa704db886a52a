package claim

import (
	"context"
	"encoding/json"
	"sync"

	"godwitcart/internal/apierror"
	"godwitcart/internal/peer/peerpb"
)

// maxHandedOver bounds the operations of one call between VMs.
const maxHandedOver = DefaultBatchLimit

// Claims carries out operations that another VM hands over. It never undoes a claim whose answer comes
// too late: only the VM of the attempt knows whether the attempt is dispatched.
func (b *Book) Claims(ctx context.Context, request *peerpb.ClaimsRequest) (*peerpb.ClaimsReply, error) {
	if len(request.Operations) > maxHandedOver {
		return nil, apierror.New(apierror.KindBadRequest, "too many operations in one call", "send fewer")
	}
	b.counts.batched.Inc(int64(len(request.Operations)))
	reply := &peerpb.ClaimsReply{Answers: make([]*peerpb.ClaimAnswer, len(request.Operations))}
	var running sync.WaitGroup
	for i, message := range request.Operations {
		running.Go(func() { reply.Answers[i] = b.carryOut(ctx, message) })
	}
	running.Wait()
	return reply, nil
}

// carryOut answers one operation. Lazy ones are answered once they are queued.
func (b *Book) carryOut(ctx context.Context, message *peerpb.ClaimOperation) *peerpb.ClaimAnswer {
	o, err := operationOf(message)
	if err != nil {
		return &peerpb.ClaimAnswer{Message: err.Error()}
	}
	o.undo = nil
	if !o.lazy {
		return answerOf(b.do(ctx, message.Key, o))
	}
	if !b.enqueue(message.Key, o) {
		return &peerpb.ClaimAnswer{Message: errBusy.Error()}
	}
	return &peerpb.ClaimAnswer{Outcome: peerpb.ClaimAnswer_OUTCOME_DONE}
}

// operationOf builds the operation that a message describes.
func operationOf(message *peerpb.ClaimOperation) (*operation, error) {
	switch message.Kind {
	case peerpb.ClaimOperation_KIND_CLAIM:
		var record Record
		if err := json.Unmarshal(message.Record, &record); err != nil {
			return nil, err
		}
		record.Key, record.AttemptID = message.Key, message.Attempt
		return newClaim(record), nil
	case peerpb.ClaimOperation_KIND_REBIND:
		return newRebind(message.Key, message.Attempt, message.NewAttempt, message.NewTarget), nil
	case peerpb.ClaimOperation_KIND_END:
		var ending Ending
		if err := json.Unmarshal(message.Ending, &ending); err != nil {
			return nil, err
		}
		return newEnd(message.Key, message.Attempt, ending), nil
	case peerpb.ClaimOperation_KIND_RELEASE:
		if message.Withdraw {
			return newWithdrawal(message.Key, message.Attempt), nil
		}
		return newRelease(message.Key, message.Attempt, false), nil
	case peerpb.ClaimOperation_KIND_LOOKUP:
		return newLookup(message.Key), nil
	default:
		return nil, errUnknownOperation
	}
}

var errUnknownOperation = apierror.New(apierror.KindBadRequest, "the operation is not known", "give all entry VMs the same release")

func answerOf(outcome result) *peerpb.ClaimAnswer {
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

// resultOf reads an answer. It is false when the answer leaves the outcome unknown.
func resultOf(answer *peerpb.ClaimAnswer) (result, bool) {
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
