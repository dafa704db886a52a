package claim

import (
	"context"
	"sync"
	"time"

	"godwitcart/internal/peer/peerpb"
)

const (
	// DefaultHandoverTimeout bounds the wait for a batcher, after which the VM writes itself.
	DefaultHandoverTimeout = 500 * time.Millisecond
	// batcherPause is how long nothing is handed over to a batcher that did not answer.
	batcherPause = time.Second
	// laneLimit bounds the operations that wait for one batcher.
	laneLimit = 1024
)

// Sender hands operations over to another VM. After an error their outcome is unknown.
type Sender interface {
	Claims(ctx context.Context, vm string, request *peerpb.ClaimsRequest) (*peerpb.ClaimsReply, error)
}

// handed is an operation on its way to a batcher.
type handed struct {
	message *peerpb.ClaimOperation
	// answer receives one answer, nil when the outcome is unknown.
	answer chan *peerpb.ClaimAnswer
}

// lane sends the operations for one batcher, one call at a time, each with all that waits.
type lane struct {
	vm     string
	sender Sender
	counts *counts

	mu      sync.Mutex
	waiting []*handed
	sending bool
	// pausedUntil is set when the batcher did not answer.
	pausedUntil time.Time
}

// push queues an operation, and returns nil when the lane takes none.
func (l *lane) push(message *peerpb.ClaimOperation) *handed {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) >= laneLimit || time.Now().Before(l.pausedUntil) {
		return nil
	}
	h := &handed{message: message, answer: make(chan *peerpb.ClaimAnswer, 1)}
	l.waiting = append(l.waiting, h)
	if !l.sending {
		l.sending = true
		go l.drain()
	}
	return h
}

// remove takes back an operation, and reports false when it may have been sent.
func (l *lane) remove(h *handed) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.waiting {
		if l.waiting[i] == h {
			l.waiting = append(l.waiting[:i:i], l.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// drain sends until nothing waits.
func (l *lane) drain() {
	for {
		batch := l.take()
		if batch == nil {
			return
		}
		l.send(batch)
	}
}

func (l *lane) take() []*handed {
	l.mu.Lock()
	defer l.mu.Unlock()
	size := min(len(l.waiting), maxHandedOver)
	if size == 0 {
		l.sending = false
		return nil
	}
	batch := l.waiting[:size:size]
	l.waiting = l.waiting[size:]
	return batch
}

// send makes one call and hands out its answers.
func (l *lane) send(batch []*handed) {
	request := &peerpb.ClaimsRequest{}
	for _, h := range batch {
		request.Operations = append(request.Operations, h.message)
	}
	ctx, cancel := context.WithTimeout(context.Background(), DefaultHandoverTimeout)
	defer cancel()
	l.counts.handedOver.Inc(int64(len(batch)))
	reply, err := l.sender.Claims(ctx, l.vm, request)
	if err != nil || len(reply.Answers) != len(batch) {
		l.pause()
		reply = &peerpb.ClaimsReply{Answers: make([]*peerpb.ClaimAnswer, len(batch))}
	}
	for i, h := range batch {
		h.answer <- reply.Answers[i]
	}
}

func (l *lane) pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pausedUntil = time.Now().Add(batcherPause)
}
