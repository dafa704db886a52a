// Package forward forwards callers' requests to the targets of their routes and relays the responses.
//
// Invariants: a request that may run only once is sent again only if the target has stated that it did not run; the
// caller is told "not run" only if no target can have run the request; a response reaches its caller complete and
// from a single run, or ends so that it cannot look complete; a stream's events arrive in order and exactly once,
// including those sent after its generation has moved to another target; all events of a stream come from targets of one
// software version, also where its caller resumes it at another VM.
package forward

import (
	"context"
	"net/http"
	"time"

	"godwitcart/internal/roster"
	"godwitcart/internal/selfreport"
	"godwitcart/internal/targetlimit"
)

// Call is one attempt of a caller, as parsed by the Codec.
type Call struct {
	// ID is the unique id of the caller's attempt.
	ID     string
	Method string
	Host   string
	// Path is the path without the query; URI is the path with the query, as the caller sent it.
	Path string
	URI  string
	// Key is the API key; empty if the caller sent none.
	Key string
	// Timeout is how long the caller will wait; zero if it sets no limit.
	Timeout time.Duration
	Prompt  Prompt
	// LastEventID is the last event of the stream that the caller has received; empty at its start.
	LastEventID string
	// Resumes is the id of the attempt that brought the first event of the stream that this one resumes; empty if the
	// caller names none.
	Resumes string
	// Header holds the fields to forward, without hop-by-hop fields and those that the system sets itself.
	Header http.Header
	Body   []byte
}

// Prompt describes the input length and the output limit of a generation.
type Prompt struct {
	// Tokens is the length of the prompt; zero if the request is not a generation.
	Tokens int
	// MaxOutput is the maximum number of output tokens; zero for no limit.
	MaxOutput int
	// SharedParts are the ids of the parts of the prompt that other requests may share, in order. The last part of a prompt
	// belongs to its request or session and is not among them: OwnPart is its id.
	SharedParts []string
	OwnPart     string
}

// Attempt describes one attempt to run a call at a target.
type Attempt struct {
	Target roster.Target
	// Account is the client account sent to the target; empty if the call has none.
	Account string
	// Remaining is the time that the target has for the call.
	Remaining time.Duration
	// Priority orders work at engines; zero is the highest.
	Priority int
	// LastEventID is the event after which the target continues; empty to start at the first.
	LastEventID string
	// From is the KV cache from which the generation continues; nil to start from the prompt.
	From *KVCacheRef
	// BackupAddress is the engine that keeps an up-to-date copy of the generation's KV cache; empty for none.
	BackupAddress string
	// Sending is called when there is a connection to the target, right before the call is sent, which its error prevents; nil for
	// nothing.
	Sending func() error
}

// KVCacheRef refers to the KV cache of a generation that was stopped, or to a copy of it at another engine.
type KVCacheRef struct {
	// Address is host:port of the engine that issued the handle.
	Address string
	Handle  string
}

// Verdict is what the status and header of a target's response say about the call.
type Verdict struct {
	// NotRun is true if the target did not run the call.
	NotRun bool
	// WrongTarget is true if the address now belongs to another target.
	WrongTarget bool
	// Mismatched is true if the response belongs to another request or was not made by the target.
	Mismatched bool
	// Limit is what the target says about its request limit; nil if the response does not tell.
	Limit *targetlimit.Statement
	// Leaving is true if the target says that it is leaving.
	Leaving bool
	// RetryAfter is how long the target asks this VM to send it nothing; zero if it does not ask.
	RetryAfter time.Duration
}

// Codec translates between HTTP messages and calls.
type Codec interface {
	// ParseCall parses the request line and header of a caller's request. Its error is an *apierror.Error.
	ParseCall(request *http.Request) (*Call, error)
	// NewRequest returns the request that is sent to a target.
	NewRequest(call *Call, attempt Attempt) *http.Request
	// CheckResponse checks the status and header of a target's response to the call.
	CheckResponse(call *Call, response *http.Response) Verdict
	// ResponseHeader returns the fields of a target's response header that are forwarded to the caller.
	ResponseHeader(response http.Header) http.Header
}

// CopyResult is the result of copying a generation.
type CopyResult struct {
	// KVCache is the KV cache from which the generation can continue.
	KVCache KVCacheRef
	// Refused is true if the destination had no capacity or could not be reached.
	Refused bool
	// Unknown is true if the source is not running the generation.
	Unknown bool
	// Relayed is true if the source answered through another VM.
	Relayed bool
	// InProgress is true if the source is still serving an earlier call for the generation, and did nothing.
	InProgress bool
}

// Mover copies running generations between engines.
type Mover interface {
	// Copy copies the KV cache of the generation that the engine at source runs under the call's id. With stop, the
	// generation is stopped at the source and can be continued from the KV cache returned.
	Copy(ctx context.Context, source, id, destination string, stop bool) (CopyResult, error)
	// Free frees a KV cache from which no generation will continue.
	Free(ctx context.Context, cache KVCacheRef) error
}

// Reports reads what engines say of themselves.
type Reports interface {
	// Report reads the report of the engine at an address.
	Report(ctx context.Context, address string) (selfreport.Report, error)
}
