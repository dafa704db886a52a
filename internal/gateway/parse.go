package gateway

import (
	"cmp"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
	"godwitcart/internal/membudget"
	"godwitcart/internal/policy"
	"godwitcart/internal/request"
	"godwitcart/internal/wire/enginewire"
)

// Limits on the callers' input.
const (
	// defaultDeadline applies when the caller, its class and the settings set none.
	defaultDeadline = 10 * time.Minute
	maxDeadline     = time.Hour
	// maxTokensLimit bounds max_tokens and max_completion_tokens.
	maxTokensLimit         = 1 << 20
	maxIdempotencyKeyBytes = 255
	// bytesPerToken is the assumed average length of a token; it converts the length of a prompt to tokens.
	bytesPerToken = 4
)

// generationBody holds the supported fields of completion and chat completion requests.
// Other fields of the OpenAI API are accepted and ignored.
type generationBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Seed                uint64          `json:"seed"`
	N                   *int            `json:"n"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// readBody reads and decodes the body of a generation request and returns it with a digest of its bytes, which
// consists of their hash and their number.
func (g *Gateway) readBody(x *exchange) (*generationBody, string, error) {
	data, err := membudget.ReadAll(x.response.LimitBody(g.options.MaxBodyBytes), x.held, g.options.MaxBodyBytes)
	x.bodyBytes = int64(cap(data))
	var tooLarge *http.MaxBytesError
	if errors.Is(err, membudget.ErrNoRoom) {
		return nil, "", noMemoryError(err)
	}
	if errors.As(err, &tooLarge) {
		return nil, "", apierror.Newf(apierror.KindTooLarge, "send a shorter prompt",
			"the body exceeds %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, "", badRequest("the body could not be read", "send the request again")
	}
	if err := x.hold(int64(len(data))); err != nil { // the decoded body
		return nil, "", err
	}
	body := &generationBody{}
	if err := json.Unmarshal(data, body); err != nil {
		return nil, "", badRequest("the body is not the expected JSON: "+truncate(err.Error()), "correct the named field")
	}
	digest := strconv.FormatUint(xxhash.Sum64(data), 16) + "-" + strconv.Itoa(len(data))
	return body, digest, nil
}

func badRequest(message, remedy string) error {
	return apierror.New(apierror.KindBadRequest, message, remedy)
}

// newRequest validates the body and headers of a generation request and resolves them by the configuration.
func (g *Gateway) newRequest(x *exchange, body *generationBody, prompt, digest string) (*request.Request, error) {
	if err := checkBody(body, prompt); err != nil {
		return nil, err
	}
	decision, err := g.decide(x, body.Model, x.r.Header.Get(HeaderService))
	if err != nil {
		return nil, err
	}
	r, err := g.newBaseRequest(x, decision, decision.Service.NonIdempotent)
	if err != nil {
		return nil, err
	}
	r.Variant = decision.Variants[0]
	r.Digest = digest
	r.Prompt = prompt
	r.PromptTokens = len(prompt)/bytesPerToken + 1
	r.PrefixHashes = prefixHashes(prompt)
	r.MaxTokens = tokenLimit(body)
	r.Seed = body.Seed
	return r, nil
}

func checkBody(body *generationBody, prompt string) error {
	if body.Model == "" {
		return badRequest("the model is missing", "set model to one that GET /v1/models lists")
	}
	if prompt == "" {
		return badRequest("the prompt is empty", "set prompt, or messages for a chat")
	}
	if body.N != nil && *body.N != 1 {
		return badRequest("n must be 1", "send one request for each answer")
	}
	for _, limit := range []*int{body.MaxTokens, body.MaxCompletionTokens} {
		if limit != nil && (*limit < 1 || *limit > maxTokensLimit) {
			return badRequest("the limit on tokens must be between 1 and "+strconv.Itoa(maxTokensLimit),
				"correct max_tokens or max_completion_tokens")
		}
	}
	return nil
}

// tokenLimit returns the maximum number of tokens to generate, or 0 when the caller sets none. max_completion_tokens
// takes precedence over max_tokens.
func tokenLimit(body *generationBody) int {
	if body.MaxCompletionTokens != nil {
		return *body.MaxCompletionTokens
	}
	if body.MaxTokens != nil {
		return *body.MaxTokens
	}
	return 0
}

// decide applies the configuration to the request. An empty model selects the plain service of the name.
func (g *Gateway) decide(x *exchange, model, service string) (policy.Decision, error) {
	return g.options.Policy.Decide(policy.Query{
		Key: bearerToken(x.r), Model: model, Service: service, Class: x.r.Header.Get(HeaderClass),
	})
}

// newBaseRequest returns a request with the fields that generations and plain calls have in common, from the
// headers and the decision. nonIdempotent is the default for a caller that does not send HeaderIdempotent. The
// resulting value is also stored in x, where error responses read it.
func (g *Gateway) newBaseRequest(x *exchange, decision policy.Decision, nonIdempotent bool) (*request.Request, error) {
	now := time.Now()
	timeout, err := parseTimeout(x.r.Header, cmp.Or(decision.Class.Deadline, g.options.DefaultDeadline))
	if err != nil {
		return nil, err
	}
	if nonIdempotent, err = parseNonIdempotent(x.r.Header, nonIdempotent); err != nil {
		return nil, err
	}
	key := x.r.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes || strings.ContainsRune(key, 0) {
		return nil, badRequest("the Idempotency-Key is longer than 255 bytes or has a zero byte", "send a shorter key")
	}
	x.nonIdempotent = nonIdempotent
	return &request.Request{
		ID: x.requestID, Account: decision.Account.Name, Share: decision.Account.Share,
		RequestsPerSecond: decision.Account.RequestsPerSecond, Concurrency: decision.Account.Concurrency,
		Class: decision.Class.Name, Priority: decision.Class.Priority, Service: decision.Service.Name,
		IdempotencyKey: key, NonIdempotent: nonIdempotent, Resumable: x.r.Header.Get(HeaderResumable) == "true",
		ReceivedAt: now, Deadline: now.Add(timeout),
	}, nil
}

// parseTimeout returns the time limit in HeaderDeadline, or fallback when the header is missing.
func parseTimeout(header http.Header, fallback time.Duration) (time.Duration, error) {
	text := header.Get(HeaderDeadline)
	if text == "" {
		return fallback, nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	timeout := time.Duration(millis) * time.Millisecond
	if err != nil || millis < 1 || millis > maxDeadline.Milliseconds() {
		return 0, badRequest(HeaderDeadline+" must be a number of milliseconds between 1 and "+
			strconv.FormatInt(maxDeadline.Milliseconds(), 10), "correct or omit the header")
	}
	return timeout, nil
}

// parseNonIdempotent returns the negation of HeaderIdempotent, or fallback when the header is missing.
func parseNonIdempotent(header http.Header, fallback bool) (bool, error) {
	switch strings.ToLower(header.Get(HeaderIdempotent)) {
	case "":
		return fallback, nil
	case "true":
		return false, nil
	case "false":
		return true, nil
	default:
		return false, badRequest(HeaderIdempotent+" must be true or false", "correct or omit the header")
	}
}

// completionPrompt decodes a prompt that is a string or a list with one string.
func completionPrompt(raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var list []string
	if json.Unmarshal(raw, &list) == nil && len(list) == 1 {
		return list[0], nil
	}
	return "", badRequest("prompt must be a string or a list with one string", "send one request for each prompt")
}

// chatPrompt joins the messages of a chat into one prompt, one line each, prefixed with the role.
func chatPrompt(messages []chatMessage) (string, error) {
	var prompt strings.Builder
	for _, message := range messages {
		content, err := messageText(message.Content)
		if err != nil {
			return "", err
		}
		prompt.WriteString(message.Role + ": " + content + "\n")
	}
	return prompt.String(), nil
}

// messageText decodes the content of a chat message, which is a string or a list of text parts to be joined.
func messageText(raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if json.Unmarshal(raw, &parts) != nil {
		return "", badRequest("a message's content must be a string or a list of text parts", "correct messages")
	}
	var joined strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return "", badRequest("a message has a part of type "+truncate(part.Type), "send text parts only")
		}
		joined.WriteString(part.Text)
	}
	return joined.String(), nil
}

// prefixHashes returns, for each complete block of the prompt, the hash of the prompt up to the block's end.
func prefixHashes(prompt string) []uint64 {
	blocks := len(prompt) / enginewire.PrefixBlockBytes
	hashes := make([]uint64, 0, blocks)
	digest := xxhash.New()
	for block := range blocks {
		start := block * enginewire.PrefixBlockBytes
		_, _ = digest.WriteString(prompt[start : start+enginewire.PrefixBlockBytes])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
