package load

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// streamEndMarker is the data of the last event of a complete stream.
const streamEndMarker = "[DONE]"

// reconnectEvent is the name of the event with which an entry VM asks the caller to resume at another one.
const reconnectEvent = "reconnect"

// responseBody is the part of an OpenAI-compatible response, chunk or error that callers read.
type responseBody struct {
	Choices []struct {
		Text    string      `json:"text"`
		Delta   chatMessage `json:"delta"`
		Message chatMessage `json:"message"`
	} `json:"choices"`
	Error *struct {
		Type    string `json:"type"`
		Message string `json:"message"`
		Remedy  string `json:"remedy"`
	} `json:"error"`
}

func (b responseBody) text() string {
	text := ""
	for _, choice := range b.Choices {
		text += choice.Text + choice.Delta.Content + choice.Message.Content
	}
	return text
}

// readStream reads the events of a stream. It returns nil when the stream ended with a final event or a request to
// reconnect, or when the caller disconnected as planned.
func (c *caller) readStream(body io.Reader, try *Try, watchdog *time.Timer) error {
	reader := newSSEReader(body)
	for {
		event, err := reader.next()
		if err != nil {
			return errors.Wrap(err, "stream ended without a final event")
		}
		watchdog.Reset(c.idleTimeout())
		try.LastReceived = time.Now()
		if event.ID != "" {
			c.lastEventID = event.ID
		}
		switch {
		case event.Name == reconnectEvent:
			try.HandedOver = true
			return nil
		case event.Data == streamEndMarker:
			c.finish(OutcomeAnswered)
			return nil
		case event.Data == "":
			continue
		}
		var chunk responseBody
		if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
			return errors.Wrap(err, "decode a stream event as JSON")
		}
		if chunk.Error != nil {
			c.finishWithError(chunk.Error.Type, chunk.Error.Message+"; "+chunk.Error.Remedy)
			return nil
		}
		c.recordToken(chunk.text())
		if c.request.DisconnectAfter > 0 && c.answer.Events >= c.request.DisconnectAfter {
			c.finish(OutcomeDisconnected)
			return nil
		}
	}
}

// recordToken records a token and the time since the previous one, which may have been received in an earlier try.
func (c *caller) recordToken(text string) {
	if text == "" {
		return
	}
	now := time.Now()
	if c.answer.First.IsZero() {
		c.answer.First = now
	} else {
		c.answer.Gaps = append(c.answer.Gaps, now.Sub(c.lastTokenAt))
	}
	c.lastTokenAt = now
	c.text.WriteString(text)
	c.answer.Events++
}

// readResponse reads a response that isn't streamed. It returns an error, so that the caller retries, for an error
// response without the JSON body that the system sends.
func (c *caller) readResponse(response *http.Response, body []byte) error {
	var parsed responseBody
	err := json.Unmarshal(body, &parsed)
	if response.StatusCode != http.StatusOK {
		if err != nil || parsed.Error == nil {
			return errors.Newf("status %d without the error's JSON body", response.StatusCode)
		}
		c.finishWithError(parsed.Error.Type, parsed.Error.Message+"; "+parsed.Error.Remedy)
		return nil
	}
	if c.request.Kind == KindPlain {
		c.text.Write(body)
		c.finish(OutcomeAnswered)
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "decode the answer as JSON")
	}
	c.text.WriteString(parsed.text())
	c.finish(OutcomeAnswered)
	return nil
}

func (c *caller) finishWithError(kind, message string) {
	c.answer.ErrorKind = kind
	c.answer.Message = message
	c.finish(OutcomeError)
}

func (c *caller) finish(outcome Outcome) {
	c.answer.Outcome = outcome
	c.finished = true
}
