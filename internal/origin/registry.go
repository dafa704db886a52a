package origin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

const (
	// publishTimeout bounds how long the first event of a stream waits for a holder's confirmation.
	publishTimeout = 40 * time.Millisecond
	// lookupTimeout bounds how long a stream that is resumed waits for its record.
	lookupTimeout = 150 * time.Millisecond
	// resendInterval is the time after which a message without an answer is sent again.
	resendInterval = 25 * time.Millisecond
	// ttlMargin is added to the TTL of a record, for the time that messages take.
	ttlMargin = 2 * time.Second
)

// Kind is the kind of a Message.
type Kind uint8

// Kinds of messages.
const (
	// Put asks to hold a record, and Stored confirms it.
	Put Kind = iota + 1
	Stored
	// Get asks for the record of an attempt, and Found and Unknown answer.
	Get
	Found
	Unknown
)

// Message is what VMs send each other about one record. Only Put and Found carry more of it than the attempt.
type Message struct {
	Kind   Kind
	Record Record
}

// Errors of Lookup.
var (
	// ErrUnknown means that all VMs that hold records of the attempt answered that they have none.
	ErrUnknown = errors.New("no entry VM knows where the stream began")
	// ErrNoAnswer means that some of them did not answer in time.
	ErrNoAnswer = errors.New("the entry VMs that know where the stream began did not answer")
)

// Options configures a Registry.
type Options struct {
	// VM is the name of this entry VM.
	VM string
	// VMs returns the entry VMs of the directory, this one included; nil before the directory has been read.
	VMs func() []VM
	// Transmit sends a message to another VM. It must not block; messages may be lost.
	Transmit func(vm string, message Message)
}

// Registry holds the records of this VM and finds those of others. It is safe for concurrent use.
type Registry struct {
	options Options
	records *store
	metrics *registryMetrics

	mu sync.Mutex
	// waiting holds the calls that wait for messages about an attempt.
	waiting map[string][]*waiter
}

// waiter receives the messages about one attempt.
type waiter struct{ messages chan received }

type received struct {
	vm      string
	message Message
}

// NewRegistry returns a Registry without records.
func NewRegistry(options Options) *Registry {
	return &Registry{options: options, records: newStore(), metrics: newRegistryMetrics(), waiting: make(map[string][]*waiter)}
}

// Publish stores a record here and at its holders. It returns when one holder has confirmed, after publishTimeout or
// when ctx ends, and reports whether one has.
func (r *Registry) Publish(ctx context.Context, record Record) bool {
	record.TTL += ttlMargin
	r.records.put(record, time.Now())
	confirmed := false
	r.exchange(ctx, Message{Kind: Put, Record: record}, publishTimeout, func(answer Message) bool {
		confirmed = answer.Kind == Stored
		return confirmed
	})
	if confirmed {
		r.metrics.confirmed.Inc(1)
	} else {
		r.metrics.unconfirmed.Inc(1)
	}
	return confirmed
}

// Lookup returns the record of an attempt, from here or from its holders. The error is ErrUnknown, ErrNoAnswer or that
// of ctx.
func (r *Registry) Lookup(ctx context.Context, attempt string) (Record, error) {
	if record, found := r.records.get(attempt, time.Now()); found {
		r.metrics.found.Inc(1)
		return record, nil
	}
	var record Record
	found := false
	allAnswered := r.exchange(ctx, Message{Kind: Get, Record: Record{Attempt: attempt}}, lookupTimeout, func(answer Message) bool {
		if answer.Kind == Found {
			record, found = answer.Record, true
		}
		return found
	})
	switch {
	case found:
		r.metrics.found.Inc(1)
		r.restore(record)
		return record, nil
	case ctx.Err() != nil:
		return Record{}, ctx.Err()
	case allAnswered:
		r.metrics.unknown.Inc(1)
		return Record{}, ErrUnknown
	default:
		r.metrics.unanswered.Inc(1)
		return Record{}, ErrNoAnswer
	}
}

// restore stores a record that was found, also at holders that may have lost it.
func (r *Registry) restore(record Record) {
	r.records.put(record, time.Now())
	for _, holder := range r.otherHolders(record.Attempt) {
		r.options.Transmit(holder, Message{Kind: Put, Record: record})
	}
}

func (r *Registry) otherHolders(attempt string) []string {
	return slices.DeleteFunc(Holders(attempt, r.options.VMs()), func(name string) bool { return name == r.options.VM })
}

// exchange sends a message to the other holders, again until they answer, and passes their answers to onAnswer until it
// returns true. It reports whether all of them answered; without a directory nobody is asked.
func (r *Registry) exchange(ctx context.Context, message Message, timeout time.Duration, onAnswer func(Message) bool) (allAnswered bool) {
	open := r.otherHolders(message.Record.Attempt)
	if len(open) == 0 {
		return r.options.VMs() != nil
	}
	w := r.wait(message.Record.Attempt, len(open))
	defer r.stopWaiting(message.Record.Attempt, w)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resend := time.NewTicker(resendInterval)
	defer resend.Stop()
	for sendDue := true; ; {
		if sendDue {
			for _, holder := range open {
				r.options.Transmit(holder, message)
			}
		}
		sendDue = false
		select {
		case <-ctx.Done():
			return false
		case <-resend.C:
			sendDue = true
		case answer := <-w.messages:
			if !slices.Contains(open, answer.vm) || !isAnswer(message.Kind, answer.message.Kind) {
				continue
			}
			open = slices.DeleteFunc(open, func(name string) bool { return name == answer.vm })
			if onAnswer(answer.message) || len(open) == 0 {
				return len(open) == 0
			}
		}
	}
}

// isAnswer reports whether a message of the kind answers one of the other.
func isAnswer(asked, answered Kind) bool {
	if asked == Put {
		return answered == Stored
	}
	return answered == Found || answered == Unknown
}

// answersKept is the number of messages of one holder that a waiting call has room for.
const answersKept = 4

func (r *Registry) wait(attempt string, holders int) *waiter {
	w := &waiter{messages: make(chan received, answersKept*holders)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting[attempt] = append(r.waiting[attempt], w)
	return w
}

func (r *Registry) stopWaiting(attempt string, w *waiter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting[attempt] = slices.DeleteFunc(r.waiting[attempt], func(other *waiter) bool { return other == w })
	if len(r.waiting[attempt]) == 0 {
		delete(r.waiting, attempt)
	}
}

// HandleMessage handles a message of another VM. It does not block.
func (r *Registry) HandleMessage(vm string, message Message) {
	attempt := message.Record.Attempt
	switch message.Kind {
	case Put:
		r.records.put(message.Record, time.Now())
		r.options.Transmit(vm, Message{Kind: Stored, Record: Record{Attempt: attempt}})
	case Get:
		answer := Message{Kind: Unknown, Record: Record{Attempt: attempt}}
		if record, found := r.records.get(attempt, time.Now()); found {
			answer = Message{Kind: Found, Record: record}
		}
		r.options.Transmit(vm, answer)
	default:
		r.deliver(received{vm: vm, message: message})
	}
}

// deliver passes an answer to the calls that wait for it. One that does not fit is dropped: the holder is asked again.
func (r *Registry) deliver(answer received) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.waiting[answer.message.Record.Attempt] {
		select {
		case w.messages <- answer:
		default:
		}
	}
}

// registryMetrics count how records were published and found.
type registryMetrics struct{ confirmed, unconfirmed, found, unknown, unanswered metrics.Counter }

func newRegistryMetrics() *registryMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("origin."+name, nil) }
	return &registryMetrics{
		confirmed: counter("published"), unconfirmed: counter("published_unconfirmed"),
		found: counter("found"), unknown: counter("unknown"), unanswered: counter("unanswered"),
	}
}
