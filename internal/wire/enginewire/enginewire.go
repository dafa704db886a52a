// Package enginewire defines the HTTP messages between godwitcart and model engines. All bodies are JSON; streams are
// server-sent events whose id is the token index and whose data is a TokenEvent.
package enginewire

import "net/http"

// Paths of a model engine.
const (
	// PathCompletions: POST of GenerationRequest; the response is a stream of TokenEvent.
	PathCompletions = "/v1/completions"
	// PathAttempts, followed by an attempt id: GET with the query parameter "from" resumes the
	// stream at that token index, DELETE cancels the attempt.
	PathAttempts = "/v1/attempts/"
	// PathLoad: GET returns LoadReport.
	PathLoad = "/v1/load"
	// PathCacheEvents: GET returns the CacheEvents with a Sequence above the query parameter "after".
	PathCacheEvents = "/v1/cache/events"
	// PathOrders: POST of Order returns OrderResult.
	PathOrders = "/v1/orders"
)

// Headers of calls to targets and of their responses.
const (
	// HeaderAttempt is the attempt id of a call to a plain service. In the response of any target it names the attempt that
	// the response is for. A refusal without it is accepted only as the first response on its connection.
	HeaderAttempt = "Godwitcart-Attempt"
	// HeaderRequest is the request id of a call to any target.
	HeaderRequest = "Godwitcart-Request"
	// HeaderDeadline is the time remaining for a call to any target, in milliseconds.
	HeaderDeadline = "Godwitcart-Deadline-Ms"
	// HeaderRefused is the RefusalKind in a target's response; it guarantees that the call did not run.
	HeaderRefused = "Godwitcart-Refused"
)

// GenerationRequest starts one attempt. An engine rejects an AttemptID that it has seen before.
type GenerationRequest struct {
	AttemptID string `json:"attempt_id"`
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Version   string `json:"version,omitempty"`
	Prompt    string `json:"prompt"`
	// MaxTokens is the maximum number of output tokens; zero means the engine's default.
	MaxTokens int    `json:"max_tokens,omitempty"`
	Seed      uint64 `json:"seed,omitempty"`
	// Priority is the class priority; a higher number is preempted later.
	Priority int `json:"priority"`
}

// TokenEvent is one event of a generation's stream.
type TokenEvent struct {
	AttemptID string `json:"attempt_id"`
	// Index is the zero-based index of the token in the attempt. On the last event, which has a
	// FinishReason and no text, it is the number of tokens generated.
	Index int    `json:"index"`
	Text  string `json:"text,omitempty"`
	// FinishReason is empty until the last event.
	FinishReason FinishReason `json:"finish_reason,omitempty"`
	// Preempted marks an event without a token: the attempt was preempted and waits for KV cache memory.
	Preempted bool `json:"preempted,omitempty"`
}

// FinishReason is the reason why a generation ended.
type FinishReason string

const (
	FinishStop     FinishReason = "stop"
	FinishLength   FinishReason = "length"
	FinishCanceled FinishReason = "canceled"
)

// IsDefined reports whether the reason is one of those of this package.
func (r FinishReason) IsDefined() bool {
	return r == FinishStop || r == FinishLength || r == FinishCanceled
}

// Refusal is the body of every response with a status other than 2xx. It guarantees that the call did not run.
type Refusal struct {
	Kind              RefusalKind `json:"kind"`
	Message           string      `json:"message"`
	RetryAfterSeconds float64     `json:"retry_after_seconds,omitempty"`
}

// RefusalKind is the reason why a target rejected a call.
type RefusalKind string

const (
	RefusedLeaving          RefusalKind = "leaving"
	RefusedNotLoaded        RefusalKind = "not_loaded"
	RefusedQueueFull        RefusalKind = "queue_full"
	RefusedBadRequest       RefusalKind = "bad_request"
	RefusedDuplicateAttempt RefusalKind = "duplicate_attempt"
	RefusedUnknownAttempt   RefusalKind = "unknown_attempt"
	RefusedStaleFencing     RefusalKind = "stale_fencing"
	RefusedWeightStore      RefusalKind = "weight_store"
)

// HTTPStatus returns the status code of responses with a refusal of the kind.
func (k RefusalKind) HTTPStatus() int {
	switch k {
	case RefusedBadRequest:
		return http.StatusBadRequest
	case RefusedUnknownAttempt:
		return http.StatusNotFound
	case RefusedNotLoaded, RefusedDuplicateAttempt, RefusedStaleFencing:
		return http.StatusConflict
	case RefusedQueueFull:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

// ModelVariant identifies a model that an engine has loaded or is to load, with an optional adapter and version.
type ModelVariant struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
}

// LoadReport is an engine's report of its state, which may be outdated when it is read.
type LoadReport struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
	// AsOfUnixMillis is the time at which the state was taken, by the engine's clock.
	AsOfUnixMillis int64 `json:"as_of_unix_millis"`
	Running        int   `json:"running"`
	Waiting        int   `json:"waiting"`
	// MemoryTokens is the KV cache size, and UsedTokens the used part of it, both in tokens.
	MemoryTokens int            `json:"memory_tokens"`
	UsedTokens   int            `json:"used_tokens"`
	Preemptions  uint64         `json:"preemptions"`
	Loaded       []ModelVariant `json:"loaded"`
	Role         string         `json:"role"`
	// Fencing is the highest fencing number that the engine has seen; zero on engines that do not check it.
	Fencing uint64 `json:"fencing"`
}

// CacheEvents is a page of prefix cache events. A jump in Sequence means that events are missing.
type CacheEvents struct {
	// Incarnation identifies one start of the engine; sequence numbers of two incarnations are not comparable.
	Incarnation string       `json:"incarnation,omitempty"`
	Events      []CacheEvent `json:"events"`
}

// CacheEvent reports that the engine stored or evicted one block of a prompt prefix.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// PrefixHash is the xxhash of the prompt up to and including the block (see PrefixBlockBytes).
	PrefixHash uint64 `json:"prefix_hash"`
	Evicted    bool   `json:"evicted,omitempty"`
}

// PrefixBlockBytes is the number of prompt bytes in one block of the prefix cache.
const PrefixBlockBytes = 256

// OrderKind is the operation that an order requests.
type OrderKind string

const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order requests an engine to load or unload a variant or to change its role. Orders are idempotent by ID.
type Order struct {
	ID      string    `json:"id"`
	Fencing uint64    `json:"fencing"`
	Kind    OrderKind `json:"kind"`
	ModelVariant
	Role string `json:"role,omitempty"`
	// DeadlineUnixMillis is the time after which the engine must not start to execute the order.
	DeadlineUnixMillis int64 `json:"deadline_unix_millis,omitempty"`
}

// OrderResult is the response to an order that the engine accepted.
type OrderResult struct {
	ID   string `json:"id"`
	Done bool   `json:"done"`
}
