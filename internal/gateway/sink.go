package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
	"godwitcart/internal/dispatch"
	"godwitcart/internal/request"
	"godwitcart/internal/request/cursorpb"
	"godwitcart/internal/wire/enginewire"
)

// bufferedSink collects a response that is not streamed. No token counts as delivered before its end, so that
// the dispatcher may still start another attempt.
type bufferedSink struct {
	text   strings.Builder
	reason enginewire.FinishReason
	tokens int
}

func (s *bufferedSink) Bind(dispatch.Binding) error { return nil }

func (s *bufferedSink) Token(_ int, text string) error {
	s.text.WriteString(text)
	return nil
}

func (s *bufferedSink) Idle() error { return nil }

func (s *bufferedSink) Finish(reason enginewire.FinishReason, tokens int) error {
	s.reason = reason
	s.tokens = tokens
	return nil
}

func (s *bufferedSink) Delivered() int { return 0 }

func (s *bufferedSink) Reset() { s.text.Reset() }

// The write timeout of a caller's stream.
const (
	// callerWriteTimeout bounds how long a caller may not read its stream.
	callerWriteTimeout = 30 * time.Second
	// writeDeadlineInterval is how often the write deadline is extended.
	writeDeadlineInterval = 5 * time.Second
)

// errHandedOver ends a stream whose caller was asked to resume at another entry VM.
var errHandedOver = errors.New("the stream is handed over to another entry VM")

// keepAliveInterval is the longest time without a write on a stream. A comment is then sent, also while the request
// still waits for its first token, so that the caller and proxies can tell waiting from a dead connection.
const keepAliveInterval = 3 * time.Second

// streamSink sends a response as server-sent events. Each event's id is a cursor.
type streamSink struct {
	gateway   *Gateway
	x         *exchange
	meta      responseMeta
	cursor    *cursorpb.Cursor
	resumable bool

	sealer             *request.StreamSealer
	chunkPrefix        []byte
	chunkSuffix        []byte
	buffer             bytes.Buffer
	encoder            *json.Encoder
	writeDeadlineSetAt time.Time
	tokenTimes         tokenTimer
	headerSent         bool
	delivered          int

	// mu guards the fields below and all writes to the caller, since the keep-alive timer has its own goroutine.
	mu          sync.Mutex
	keepAlive   *time.Timer
	lastWriteAt time.Time
	closed      bool
}

func newStreamSink(g *Gateway, x *exchange, meta responseMeta, cursor *cursorpb.Cursor, resumable bool) *streamSink {
	s := &streamSink{gateway: g, x: x, meta: meta, cursor: cursor, resumable: resumable}
	s.tokenTimes = newTokenTimer(cursor.Class, time.Now())
	s.chunkPrefix, s.chunkSuffix = meta.chunkTemplate()
	s.encoder = json.NewEncoder(&s.buffer)
	s.encoder.SetEscapeHTML(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastWriteAt = time.Now()
	s.keepAlive = time.AfterFunc(keepAliveInterval, s.sendKeepAlive)
	return s
}

// sendKeepAlive sends a comment if nothing was written for keepAliveInterval, and rearms the timer.
func (s *streamSink) sendKeepAlive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	idle := time.Since(s.lastWriteAt)
	if idle < keepAliveInterval {
		s.keepAlive.Reset(keepAliveInterval - idle)
		return
	}
	// A disconnected caller is detected by the next token or by its context.
	_ = s.write([]byte(keepAliveComment))
	s.keepAlive.Reset(keepAliveInterval)
}

// Bind implements dispatch.Sink. The cursors of later events refer to the attempt of the binding.
func (s *streamSink) Bind(binding dispatch.Binding) error {
	s.cursor.Target = binding.Address.Name
	s.cursor.Address = binding.Address.HostPort
	s.cursor.AttemptId = binding.Attempt
	sealer, err := s.gateway.options.Sealer.NewStream(s.cursor)
	s.sealer = sealer
	return err
}

func (s *streamSink) Delivered() int { return s.delivered }

func (s *streamSink) Reset() {}

func (s *streamSink) Token(index int, text string) error {
	s.buffer.Reset()
	s.appendID(index + 1)
	s.buffer.WriteString("data: ")
	s.buffer.Write(s.chunkPrefix)
	if err := s.encoder.Encode(text); err != nil {
		return err
	}
	s.buffer.Truncate(s.buffer.Len() - 1) // the encoder's newline
	s.buffer.Write(s.chunkSuffix)
	s.buffer.WriteString("\n\n")
	s.delivered++
	s.tokenTimes.recordToken(time.Now())
	if err := s.flush(); err != nil {
		return err
	}
	return s.handOverIfDraining()
}

// appendID appends the id line of an event: the cursor from which the stream resumes at the token index next.
func (s *streamSink) appendID(next int) {
	s.buffer.WriteString("id: ")
	s.buffer.Write(s.sealer.CursorAt(next))
	s.buffer.WriteByte('\n')
}

// handOverIfDraining ends a resumable stream at a token boundary once this VM drains, and asks the caller to
// resume at another VM.
func (s *streamSink) handOverIfDraining() error {
	if !s.resumable {
		return nil
	}
	select {
	case <-s.gateway.drain.handOver:
	default:
		return nil
	}
	s.buffer.Reset()
	s.buffer.WriteString("event: reconnect\nretry: 0\ndata: {}\n\n")
	if err := s.flushLast(); err != nil {
		return err
	}
	return errHandedOver
}

// keepAliveComment is a comment, which readers of server-sent events ignore.
const keepAliveComment = ": waiting\n\n"

// Idle implements dispatch.Sink. It sends a comment that keeps the connection alive.
func (s *streamSink) Idle() error {
	s.buffer.Reset()
	s.buffer.WriteString(keepAliveComment)
	return s.flush()
}

func (s *streamSink) Finish(reason enginewire.FinishReason, tokens int) error {
	s.buffer.Reset()
	s.appendID(tokens)
	if err := s.appendData(s.meta.finalChunk(reason)); err != nil {
		return err
	}
	if s.meta.includeUsage {
		if err := s.appendData(s.meta.usageChunk(tokens)); err != nil {
			return err
		}
	}
	s.buffer.WriteString("data: [DONE]\n\n")
	return s.flushLast()
}

// appendData appends value as the data line of an event, with the empty line that ends the event.
func (s *streamSink) appendData(value any) error {
	s.buffer.WriteString("data: ")
	if err := s.encoder.Encode(value); err != nil {
		return err
	}
	s.buffer.WriteByte('\n')
	return nil
}

// flush writes the buffer to the caller.
func (s *streamSink) flush() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(s.buffer.Bytes())
}

// flushLast writes the buffer to the caller and ends the response as complete.
func (s *streamSink) flushLast() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.write(s.buffer.Bytes()); err != nil {
		return err
	}
	return s.x.response.Complete()
}

// write sends data to the caller, after the response header if that was not sent yet. The caller holds mu.
func (s *streamSink) write(data []byte) error {
	s.sendHeader()
	s.lastWriteAt = time.Now()
	if s.lastWriteAt.Sub(s.writeDeadlineSetAt) > writeDeadlineInterval {
		s.writeDeadlineSetAt = s.lastWriteAt
		_ = s.x.response.SetWriteDeadline(s.lastWriteAt.Add(callerWriteTimeout))
	}
	_, err := s.x.response.Write(data)
	return err
}

func (s *streamSink) sendHeader() {
	if s.headerSent {
		return
	}
	s.headerSent = true
	header := s.x.response.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	s.x.response.Begin(http.StatusOK)
}

// reportError reports the failure of the stream, if err is not nil. Before the first write it returns err for an
// ordinary error response. After that it sends an error event, unless the stream was handed over, and returns
// errResponseStarted: the response is broken off behind the event. stopKeepAlive must be called afterwards.
func (s *streamSink) reportError(err error) error {
	s.mu.Lock()
	headerSent := s.headerSent
	// The keep-alive timer must not start a stream before an error response, or write behind an error event.
	s.closed = true
	s.mu.Unlock()
	if err == nil || !headerSent {
		return err
	}
	if errors.Is(err, errHandedOver) {
		return errResponseStarted
	}
	s.buffer.Reset()
	s.buffer.WriteString("event: error\n")
	typed := apierror.FromError(err)
	countError(typed.Kind)
	if encodeErr := s.appendData(newErrorBody(s.x.requestID, typed)); encodeErr == nil {
		_ = s.flush()
	}
	return errResponseStarted
}

// stopKeepAlive stops the keep-alive timer, which writes nothing to the caller after it returns.
func (s *streamSink) stopKeepAlive() {
	s.keepAlive.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}
