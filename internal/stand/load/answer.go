package load

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// streamEnd is the data of a stream's last event.
const streamEnd = "[DONE]"

// eventReconnect is the name of the event by which an entry VM asks to resume elsewhere.
const eventReconnect = "reconnect"

// answerBody is the part of an OpenAI-compatible answer, chunk or error that the callers read.
type answerBody struct {
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

func (b answerBody) text() string {
	text := ""
	for _, choice := range b.Choices {
		text += choice.Text + choice.Delta.Content + choice.Message.Content
	}
	return text
}

// readStream takes the events of a stream. It returns nil when the stream ended in order.
func (c *caller) readStream(body io.Reader, try *Try, watchdog *time.Timer) error {
	reader := newSSEReader(body)
	for {
		event, err := reader.next()
		if err != nil {
			return errors.Wrap(err, "the stream broke off")
		}
		watchdog.Reset(c.silence())
		try.Heard = time.Now()
		if event.ID != "" {
			c.lastEvent = event.ID
		}
		switch {
		case event.Name == eventReconnect:
			try.HandedOver = true
			return nil
		case event.Data == streamEnd:
			c.end(OutcomeAnswered)
			return nil
		case event.Data == "":
			continue
		}
		var part answerBody
		if err := json.Unmarshal([]byte(event.Data), &part); err != nil {
			return errors.Wrap(err, "the stream has an event that is not JSON")
		}
		if part.Error != nil {
			c.fail(part.Error.Type, part.Error.Message+"; "+part.Error.Remedy)
			return nil
		}
		c.receive(part.text())
		if c.request.LeaveAfter > 0 && c.answer.Events >= c.request.LeaveAfter {
			c.end(OutcomeLeft)
			return nil
		}
	}
}

// receive keeps a token and the time since the last one, which may have come by another try.
func (c *caller) receive(text string) {
	if text == "" {
		return
	}
	now := time.Now()
	if c.answer.First.IsZero() {
		c.answer.First = now
	} else {
		c.answer.Gaps = append(c.answer.Gaps, now.Sub(c.lastToken))
	}
	c.lastToken = now
	c.text.WriteString(text)
	c.answer.Events++
}

// readWhole takes an answer that is not streamed. An error without the system's JSON shape is
// no final answer.
func (c *caller) readWhole(response *http.Response, body []byte) error {
	var parsed answerBody
	err := json.Unmarshal(body, &parsed)
	if response.StatusCode != http.StatusOK {
		if err != nil || parsed.Error == nil {
			return errors.Newf("status %d without the error's JSON shape", response.StatusCode)
		}
		c.fail(parsed.Error.Type, parsed.Error.Message+"; "+parsed.Error.Remedy)
		return nil
	}
	if c.request.Kind == KindPlain {
		c.text.Write(body)
		c.end(OutcomeAnswered)
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "the answer is not JSON")
	}
	c.text.WriteString(parsed.text())
	c.end(OutcomeAnswered)
	return nil
}

func (c *caller) fail(kind, message string) {
	c.answer.ErrorKind = kind
	c.answer.Message = message
	c.end(OutcomeError)
}

func (c *caller) end(outcome Outcome) {
	c.answer.Outcome = outcome
	c.ended = true
}
