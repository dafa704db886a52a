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

// The headers and the paths of the callers' interface.
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

// The rests between two tries.
const (
	firstRest = 50 * time.Millisecond
	longRest  = time.Second
)

// maxAnswerBytes bounds an answer that is not streamed.
const maxAnswerBytes = 8 << 20

// sharedFill is the text that prompts share.
const sharedFill = "The price sheet of the depot lists flour, oats and barley. "

// caller sends one request and waits for its final answer.
type caller struct {
	options Options
	client  *http.Client
	entries *entryList
	request Request
	answer  Answer
	text    strings.Builder
	// lastToken is when the newest token came.
	lastToken time.Time
	// lastEvent is the cursor of the last event received; ended tells that the answer is final.
	lastEvent string
	ended     bool
}

// run tries entry VMs until an answer is final or the deadline has passed.
func (c *caller) run(ctx context.Context) Answer {
	ctx, cancel := context.WithTimeout(ctx, c.options.Deadline+c.options.Grace)
	defer cancel()
	c.answer.Started = time.Now()
	rest := firstRest
	for ctx.Err() == nil && time.Since(c.answer.Started) < c.options.Deadline {
		c.try(ctx)
		if c.ended {
			break
		}
		if c.lastTry().HandedOver {
			continue
		}
		pause.For(ctx, rest)
		rest = min(2*rest, longRest)
	}
	c.answer.Ended = time.Now()
	c.answer.Text = c.text.String()
	if !c.ended {
		c.answer.Outcome = OutcomeNone
	}
	return c.answer
}

// try makes one exchange with an entry VM that was not used last.
func (c *caller) try(ctx context.Context) {
	entry := c.entries.choose(c.lastTry().Entry)
	now := time.Now()
	try := Try{Entry: entry, Resumed: c.lastEvent != "", Started: now, Heard: now}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(c.silence(), func() { cancel(errSilence) })
	defer watchdog.Stop()
	if err := c.exchange(ctx, entry, &try, watchdog); err != nil {
		try.Break = err.Error()
		try.NotSent = isDialError(err)
		if context.Cause(ctx) == errSilence {
			try.Break = errSilence.Error()
			try.GaveUp = true
		}
	}
	try.Ended = time.Now()
	c.answer.Tries = append(c.answer.Tries, try)
}

// silence is how long an exchange may go without a byte. An answer that is not streamed comes
// all at once, so its caller has to be more patient.
func (c *caller) silence() time.Duration {
	if c.request.Kind == KindStream {
		return c.options.Silence
	}
	return max(c.options.Silence, c.options.Deadline/2)
}

var errSilence = errors.New("the entry VM sent nothing for too long")

func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// lastTry returns the newest try; the zero Try when there is none.
func (c *caller) lastTry() Try {
	if len(c.answer.Tries) == 0 {
		return Try{}
	}
	return c.answer.Tries[len(c.answer.Tries)-1]
}

func (c *caller) exchange(ctx context.Context, entry string, try *Try, watchdog *time.Timer) error {
	request, err := c.build(ctx, entry)
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	return c.readWhole(response, body)
}

func (c *caller) build(ctx context.Context, entry string) (*http.Request, error) {
	method, path, body := http.MethodPost, c.path(), c.body()
	if c.lastEvent != "" {
		method, body = http.MethodGet, nil
	}
	request, err := http.NewRequestWithContext(ctx, method, entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	header := request.Header
	header.Set("Authorization", "Bearer "+c.request.Account)
	if c.lastEvent != "" {
		header.Set(headerLastEvent, c.lastEvent)
		return request, nil
	}
	header.Set("Content-Type", "application/json")
	header.Set(headerKey, c.request.Key)
	header.Set(headerIdempotent, strconv.FormatBool(!c.request.NonIdempotent))
	left := time.Until(c.answer.Started.Add(c.options.Deadline))
	header.Set(headerDeadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
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

// generationBody is the part of the OpenAI-compatible request that the callers use.
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
	// The type always encodes.
	encoded, _ := json.Marshal(body)
	return encoded
}

func (c *caller) prompt() string {
	prompt := fmt.Sprintf("%s len=%d ", c.request.Tag, c.request.Tokens)
	if missing := c.options.PromptBytes - len(prompt); missing > 0 {
		prompt += strings.Repeat(sharedFill, missing/len(sharedFill)+1)[:missing]
	}
	return prompt
}
