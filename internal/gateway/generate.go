package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"godwitcart/internal/apierror"
	"godwitcart/internal/dispatch"
	"godwitcart/internal/request"
	"godwitcart/internal/request/cursorpb"
)

func (g *Gateway) completions(x *exchange) error {
	if x.r.Header.Get(HeaderLastEventID) != "" {
		return g.resume(x)
	}
	body, digest, err := g.readBody(x)
	if err != nil {
		return err
	}
	prompt, err := completionPrompt(body.Prompt)
	if err != nil {
		return err
	}
	return g.generate(x, body, prompt, digest, textFormat)
}

func (g *Gateway) chatCompletions(x *exchange) error {
	if x.r.Header.Get(HeaderLastEventID) != "" {
		return g.resume(x)
	}
	body, digest, err := g.readBody(x)
	if err != nil {
		return err
	}
	prompt, err := chatPrompt(body.Messages)
	if err != nil {
		return err
	}
	return g.generate(x, body, prompt, digest, chatFormat)
}

// generate runs a generation request and sends the response: as a stream of events if the body asks for one,
// otherwise as one JSON object. An error that it returns is reported to the caller by serve.
func (g *Gateway) generate(x *exchange, body *generationBody, prompt, digest string, format responseFormat) error {
	r, err := g.newRequest(x, body, prompt, digest)
	if err != nil {
		return err
	}
	ctx, record, end := g.startRequest(x, r)
	defer end()
	meta := responseMeta{id: x.requestID, model: body.Model, promptTokens: r.PromptTokens, format: format, created: r.ReceivedAt}
	if !body.Stream {
		return g.generateBuffered(ctx, x, r, record, meta)
	}
	meta.includeUsage = body.StreamOptions.IncludeUsage
	cursor := &cursorpb.Cursor{
		Account: r.Account, RequestId: r.ID, Service: r.Service, Model: body.Model, Class: r.Class,
		Chat: format == chatFormat, CreatedUnixSeconds: r.ReceivedAt.Unix(),
		DeadlineUnixMillis: r.Deadline.UnixMilli(), IncludeUsage: meta.includeUsage, PromptTokens: int64(r.PromptTokens),
	}
	sink := newStreamSink(g, x, meta, cursor, r.Resumable)
	defer sink.stopKeepAlive()
	return sink.reportError(g.options.Dispatcher.Generate(ctx, r, record, sink))
}

func (g *Gateway) generateBuffered(ctx context.Context, x *exchange, r *request.Request, record *request.Record, meta responseMeta) error {
	sink := &bufferedSink{}
	if err := g.options.Dispatcher.Generate(ctx, r, record, sink); err != nil {
		return err
	}
	return writeJSON(x, meta.fullResponse(sink.text.String(), sink.reason, sink.tokens))
}

// startRequest counts the request and adds it to the registry. The context that it returns ends when the caller
// disconnects, the deadline passes, an operator cancels the request, or the returned function is called.
func (g *Gateway) startRequest(x *exchange, r *request.Request) (context.Context, *request.Record, func()) {
	x.dispatched = true
	classMetricsRegistry.get(r.Class).requests.Inc(1)
	ctx, cancelCause := context.WithCancelCause(x.r.Context())
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	record := g.options.Registry.Register(r, func(reason string) {
		cancelCause(apierror.New(apierror.KindCanceled, "an operator canceled the request: "+reason,
			"ask the operators before sending it again"))
	})
	stopWatching := context.AfterFunc(g.drain.cutOff, func() { cancelCause(dispatch.ErrStopping) })
	return ctx, record, func() {
		stopWatching()
		cancel()
		cancelCause(context.Canceled)
	}
}

// resume continues a stream after the event whose cursor is in Last-Event-ID. The request keeps the id and the
// deadline of the one that started the stream, and is bound to the attempt and the target named by the cursor.
func (g *Gateway) resume(x *exchange) error {
	cursor, nextToken, err := g.openCursor(x)
	if err != nil {
		return err
	}
	r := &request.Request{
		ID: cursor.RequestId, Account: cursor.Account, Class: cursor.Class, Service: cursor.Service,
		Resumable: true, ReceivedAt: time.Now(), Deadline: time.UnixMilli(cursor.DeadlineUnixMillis),
	}
	r.Variant.Model = cursor.Model
	x.requestID = r.ID
	x.response.Header().Set(HeaderRequestID, r.ID)
	ctx, record, end := g.startRequest(x, r)
	defer end()
	meta := responseMeta{
		id: r.ID, model: cursor.Model, promptTokens: int(cursor.PromptTokens), format: textFormat,
		created: time.Unix(cursor.CreatedUnixSeconds, 0), includeUsage: cursor.IncludeUsage,
	}
	if cursor.Chat {
		meta.format = chatFormat
	}
	binding := dispatch.Binding{Attempt: cursor.AttemptId}
	binding.Address.Name = cursor.Target
	binding.Address.HostPort = cursor.Address
	sink := newStreamSink(g, x, meta, cursor, true)
	defer sink.stopKeepAlive()
	return sink.reportError(g.options.Dispatcher.Resume(ctx, record, binding, nextToken, sink))
}

// openCursor decrypts the cursor in Last-Event-ID and returns it with the index of the next token to send.
// A cursor of another client account is an error of kind forbidden.
func (g *Gateway) openCursor(x *exchange) (*cursorpb.Cursor, int, error) {
	text := x.r.Header.Get(HeaderLastEventID)
	if text == "" {
		return nil, 0, badRequest("Last-Event-ID is missing",
			"send the id of the last event that was received, or POST a new request")
	}
	cursor, nextToken, err := g.options.Sealer.Open(text)
	if err != nil {
		return nil, 0, err
	}
	if cursor.Account != x.account {
		return nil, 0, apierror.New(apierror.KindForbidden, "the cursor belongs to another client account",
			"resume with the API key of the account that sent the request")
	}
	return cursor, nextToken, nil
}

// modelList is the response body of GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (g *Gateway) models(x *exchange) error {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range x.index.Models() {
		list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "godwitcart"})
	}
	return writeJSON(x, list)
}

func writeJSON(x *exchange, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return apierror.Wrap(err, apierror.KindInternal, "encode the answer", "report this")
	}
	x.response.Whole(http.StatusOK, "application/json", append(text, '\n'))
	return nil
}
