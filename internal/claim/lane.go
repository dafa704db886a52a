package claim

import (
	"context"
	"sync"
	"time"

	"godwitcart/internal/peer/peerpb"
)

const (
	// DefaultForwardTimeout is how long a VM waits for a batcher before it writes an operation itself.
	DefaultForwardTimeout = 500 * time.Millisecond
	// unresponsiveBatcherPause is how long no operations are forwarded to a batcher that did not
	// answer.
	unresponsiveBatcherPause = time.Second
	// batcherQueueLimit limits the number of operations that wait for one batcher.
	batcherQueueLimit = 1024
)

// Sender forwards operations to another VM. After an error their outcome is unknown.
type Sender interface {
	Claims(ctx context.Context, vm string, request *peerpb.ClaimsRequest) (*peerpb.ClaimsReply, error)
}

// forwardedOperation is an operation that waits for a batcher's answer.
type forwardedOperation struct {
	message *peerpb.ClaimOperation
	// answer receives exactly one value: nil if the outcome is unknown.
	answer chan *peerpb.ClaimAnswer
}

// batcherQueue sends operations to one batcher, one call at a time. Each call takes the waiting
// operations, up to maxForwardedOperations.
type batcherQueue struct {
	vm      string
	sender  Sender
	metrics *claimMetrics

	mu      sync.Mutex
	waiting []*forwardedOperation
	sending bool
	// pausedUntil is set if the batcher did not answer.
	pausedUntil time.Time
}

// push queues an operation. It returns nil if the queue is full or paused.
func (q *batcherQueue) push(message *peerpb.ClaimOperation) *forwardedOperation {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) >= batcherQueueLimit || time.Now().Before(q.pausedUntil) {
		return nil
	}
	queued := &forwardedOperation{message: message, answer: make(chan *peerpb.ClaimAnswer, 1)}
	q.waiting = append(q.waiting, queued)
	if !q.sending {
		q.sending = true
		go q.sendAll()
	}
	return queued
}

// remove removes an operation from the queue. It returns false if the operation may have been sent.
func (q *batcherQueue) remove(operation *forwardedOperation) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range q.waiting {
		if q.waiting[i] == operation {
			q.waiting = append(q.waiting[:i:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// sendAll sends operations until the queue is empty.
func (q *batcherQueue) sendAll() {
	for {
		batch := q.nextBatch()
		if batch == nil {
			return
		}
		q.send(batch)
	}
}

func (q *batcherQueue) nextBatch() []*forwardedOperation {
	q.mu.Lock()
	defer q.mu.Unlock()
	size := min(len(q.waiting), maxForwardedOperations)
	if size == 0 {
		q.sending = false
		return nil
	}
	batch := q.waiting[:size:size]
	q.waiting = q.waiting[size:]
	return batch
}

// send makes one call and delivers its answers.
func (q *batcherQueue) send(batch []*forwardedOperation) {
	request := &peerpb.ClaimsRequest{}
	for _, queued := range batch {
		request.Operations = append(request.Operations, queued.message)
	}
	ctx, cancel := context.WithTimeout(context.Background(), DefaultForwardTimeout)
	defer cancel()
	q.metrics.forwarded.Inc(int64(len(batch)))
	reply, err := q.sender.Claims(ctx, q.vm, request)
	if err != nil || len(reply.Answers) != len(batch) {
		q.pause()
		reply = &peerpb.ClaimsReply{Answers: make([]*peerpb.ClaimAnswer, len(batch))}
	}
	for i, queued := range batch {
		queued.answer <- reply.Answers[i]
	}
}

func (q *batcherQueue) pause() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pausedUntil = time.Now().Add(unresponsiveBatcherPause)
}
