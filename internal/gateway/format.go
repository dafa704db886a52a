package gateway

import (
	"bytes"
	"encoding/json"
	"time"

	"godwitcart/internal/wire/enginewire"
)

// answerFormat is one of the two OpenAI-compatible shapes of an answer.
type answerFormat int

const (
	textFormat answerFormat = iota
	chatFormat
)

// answerMeta is what every part of one answer repeats.
type answerMeta struct {
	id           string
	model        string
	promptTokens int
	format       answerFormat
	created      time.Time
	includeUsage bool
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int                      `json:"index"`
	Text         *string                  `json:"text,omitempty"`
	Message      *messageContent          `json:"message,omitempty"`
	Delta        *messageContent          `json:"delta,omitempty"`
	FinishReason *enginewire.FinishReason `json:"finish_reason"`
}

type messageContent struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// whole returns a complete answer.
func (m answerMeta) whole(text string, reason enginewire.FinishReason, tokens int) answer {
	result := m.envelope("text_completion", "chat.completion")
	part := choice{FinishReason: &reason}
	if m.format == chatFormat {
		part.Message = &messageContent{Role: "assistant", Content: text}
	} else {
		part.Text = &text
	}
	result.Choices = []choice{part}
	result.Usage = m.usage(tokens)
	return result
}

// last returns the chunk that ends a stream.
func (m answerMeta) last(reason enginewire.FinishReason) answer {
	result := m.envelope("text_completion", "chat.completion.chunk")
	part := choice{FinishReason: &reason}
	if m.format == chatFormat {
		part.Delta = &messageContent{}
	} else {
		part.Text = new(string)
	}
	result.Choices = []choice{part}
	return result
}

// usageChunk returns the chunk that reports the usage of a stream.
func (m answerMeta) usageChunk(tokens int) answer {
	result := m.envelope("text_completion", "chat.completion.chunk")
	result.Choices = []choice{}
	result.Usage = m.usage(tokens)
	return result
}

func (m answerMeta) envelope(textObject, chatObject string) answer {
	result := answer{ID: "cmpl-" + m.id, Object: textObject, Created: m.created.Unix(), Model: m.model}
	if m.format == chatFormat {
		result.ID = "chatcmpl-" + m.id
		result.Object = chatObject
	}
	return result
}

func (m answerMeta) usage(tokens int) *usage {
	return &usage{PromptTokens: m.promptTokens, CompletionTokens: tokens, TotalTokens: m.promptTokens + tokens}
}

// textPlaceholder stands for a token's text while the constant part of a chunk is prepared.
const textPlaceholder = "\x00"

// chunkFrame returns the bytes before and after the JSON string of a token's text, so that a
// token costs the encoding of its text only.
func (m answerMeta) chunkFrame() (before, after []byte) {
	result := m.envelope("text_completion", "chat.completion.chunk")
	placeholder := textPlaceholder
	part := choice{}
	if m.format == chatFormat {
		part.Delta = &messageContent{Role: "assistant", Content: placeholder}
	} else {
		part.Text = &placeholder
	}
	result.Choices = []choice{part}
	// The types of an answer always encode.
	text, _ := json.Marshal(result)
	quoted, _ := json.Marshal(placeholder)
	before, after, _ = bytes.Cut(text, quoted)
	return before, after
}
