package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/pause"
)

// The headers and paths of the API for callers.
const (
	headerRequest    = "Godwitcart-Request"
	headerClass      = "Godwitcart-Class"
	headerDeadline   = "Godwitcart-Deadline-Ms"
	headerIdempotent = "Godwitcart-Idempotent"
	headerResumable  = "Godwitcart-Resumable"
	headerKey        = "Idempotency-Key"
	headerLastEvent  = "Last-Event-ID"

	pathCompletions = "/v1/completions"
	pathChat        = "/v1/chat/completions"
	pathServices    = "/services/"
)

// The bounds of the exponential backoff between two tries.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// maxResponseBytes bounds a response that isn't streamed.
const maxResponseBytes = 8 << 20

// promptFiller is repeated to fill prompts up to their length. Its text is shared by all prompts.
const promptFiller = "The price sheet of the depot lists flour, oats and barley. "

// caller sends one request and retries until it has a final answer.
type caller struct {
	options  Options
	client   *http.Client
	balancer *balancer
	request  Request
	answer   Answer
	text     strings.Builder
	// lastTokenAt is when the latest token was received.
	lastTokenAt time.Time
	// lastEventID is the ID of the last received event, with which a stream is resumed.
	lastEventID string
	// finished is set when the answer is final.
	finished bool
}

// run sends the request to one entry VM after another until the answer is final or the deadline has passed.
func (c *caller) run(ctx context.Context) Answer {
	ctx, cancel := context.WithTimeout(ctx, c.options.Deadline+c.options.DeadlineGrace)
	defer cancel()
	c.answer.Started = time.Now()
	backoff := minBackoff
	for ctx.Err() == nil && time.Since(c.answer.Started) < c.options.Deadline {
		c.tryOnce(ctx)
		if c.finished {
			break
		}
		if c.lastTry().HandedOver {
			continue
		}
		pause.For(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
	c.answer.Ended = time.Now()
	c.answer.Text = c.text.String()
	if !c.finished {
		c.answer.Outcome = OutcomeNone
	}
	return c.answer
}

// tryOnce makes one exchange with an entry VM, if possible a different one than in the previous try.
func (c *caller) tryOnce(ctx context.Context) {
	entry := c.balancer.choose(c.lastTry().Entry)
	now := time.Now()
	try := Try{Entry: entry, Resumed: c.lastEventID != "", Started: now, LastReceived: now}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(c.idleTimeout(), func() { cancel(errIdle) })
	defer watchdog.Stop()
	if err := c.exchange(ctx, entry, &try, watchdog); err != nil {
		try.Failure = err.Error()
		try.NotSent = isDialError(err)
		if context.Cause(ctx) == errIdle {
			try.Failure = errIdle.Error()
			try.GaveUp = true
		}
	}
	try.Ended = time.Now()
	c.answer.Tries = append(c.answer.Tries, try)
}

// idleTimeout returns the time without data after which a try is abandoned. It is longer for responses that aren't
// streamed, which arrive only once the work is complete.
func (c *caller) idleTimeout() time.Duration {
	if c.request.Kind == KindStream {
		return c.options.IdleTimeout
	}
	return max(c.options.IdleTimeout, c.options.Deadline/2)
}

var errIdle = errors.New("the entry VM sent no data within the idle timeout")

func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// lastTry returns the latest try, or the zero Try if there is none.
func (c *caller) lastTry() Try {
	if len(c.answer.Tries) == 0 {
		return Try{}
	}
	return c.answer.Tries[len(c.answer.Tries)-1]
}

func (c *caller) exchange(ctx context.Context, entry string, try *Try, watchdog *time.Timer) error {
	request, err := c.newRequest(ctx, entry)
	if err != nil {
		return err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	try.RequestID = response.Header.Get(headerRequest)
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return c.readStream(response.Body, try, watchdog)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	return c.readResponse(response, body)
}

// newRequest returns the HTTP request of the next try. It resumes a stream that has delivered events.
func (c *caller) newRequest(ctx context.Context, entry string) (*http.Request, error) {
	method, path, body := http.MethodPost, c.path(), c.body()
	if c.lastEventID != "" {
		method, body = http.MethodGet, nil
	}
	request, err := http.NewRequestWithContext(ctx, method, entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	header := request.Header
	header.Set("Authorization", "Bearer "+c.request.Account)
	if c.lastEventID != "" {
		header.Set(headerLastEvent, c.lastEventID)
		return request, nil
	}
	header.Set("Content-Type", "application/json")
	header.Set(headerKey, c.request.Key)
	header.Set(headerIdempotent, strconv.FormatBool(!c.request.NonIdempotent))
	remaining := time.Until(c.answer.Started.Add(c.options.Deadline))
	header.Set(headerDeadline, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	if c.request.Class != "" {
		header.Set(headerClass, c.request.Class)
	}
	if c.request.Kind == KindStream {
		header.Set(headerResumable, "true")
	}
	return request, nil
}

func (c *caller) path() string {
	switch {
	case c.request.Kind == KindPlain:
		return pathServices + c.request.Service + "/calls/" + strings.TrimPrefix(c.request.Tag, "tag=")
	case c.request.Chat:
		return pathChat
	default:
		return pathCompletions
	}
}

// generationBody is the part of an OpenAI-compatible request that callers use.
type generationBody struct {
	Model    string        `json:"model"`
	Prompt   string        `json:"prompt,omitempty"`
	Messages []chatMessage `json:"messages,omitempty"`
	Stream   bool          `json:"stream,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (c *caller) body() []byte {
	prompt := c.prompt()
	if c.request.Kind == KindPlain {
		return []byte(prompt)
	}
	body := generationBody{Model: c.options.Model, Stream: c.request.Kind == KindStream}
	if c.request.Chat {
		body.Messages = []chatMessage{{Role: "user", Content: prompt}}
	} else {
		body.Prompt = prompt
	}
	// Encoding this type can't fail.
	encoded, _ := json.Marshal(body)
	return encoded
}

func (c *caller) prompt() string {
	prompt := fmt.Sprintf("%s len=%d ", c.request.Tag, c.request.Tokens)
	if missing := c.options.PromptBytes - len(prompt); missing > 0 {
		prompt += strings.Repeat(promptFiller, missing/len(promptFiller)+1)[:missing]
	}
	return prompt
}
