package gateway

import (
	"bytes"
	"encoding/json"
	"time"

	"godwitcart/internal/wire/enginewire"
)

// responseFormat selects one of the two OpenAI-compatible response formats.
type responseFormat int

const (
	textFormat responseFormat = iota
	chatFormat
)

// responseMeta holds the fields that all chunks of one response share.
type responseMeta struct {
	id           string
	model        string
	promptTokens int
	format       responseFormat
	created      time.Time
	includeUsage bool
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completion struct {
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

// fullResponse returns the response to a request that is not streamed.
func (m responseMeta) fullResponse(text string, reason enginewire.FinishReason, tokens int) completion {
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

// finalChunk returns the chunk with the finish reason.
func (m responseMeta) finalChunk(reason enginewire.FinishReason) completion {
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

// usageChunk returns the chunk that reports the token usage of a stream; it has no choices.
func (m responseMeta) usageChunk(tokens int) completion {
	result := m.envelope("text_completion", "chat.completion.chunk")
	result.Choices = []choice{}
	result.Usage = m.usage(tokens)
	return result
}

func (m responseMeta) envelope(textObject, chatObject string) completion {
	result := completion{ID: "cmpl-" + m.id, Object: textObject, Created: m.created.Unix(), Model: m.model}
	if m.format == chatFormat {
		result.ID = "chatcmpl-" + m.id
		result.Object = chatObject
	}
	return result
}

func (m responseMeta) usage(tokens int) *usage {
	return &usage{PromptTokens: m.promptTokens, CompletionTokens: tokens, TotalTokens: m.promptTokens + tokens}
}

// textPlaceholder is replaced by a token's text in the chunk template.
const textPlaceholder = "\x00"

// chunkTemplate returns the bytes of a chunk before and after the JSON string of the token's text.
// It is computed once per stream, so that each token only costs the encoding of its text.
func (m responseMeta) chunkTemplate() (prefix, suffix []byte) {
	result := m.envelope("text_completion", "chat.completion.chunk")
	placeholder := textPlaceholder
	part := choice{}
	if m.format == chatFormat {
		part.Delta = &messageContent{Role: "assistant", Content: placeholder}
	} else {
		part.Text = &placeholder
	}
	result.Choices = []choice{part}
	// Encoding cannot fail: the types have only plain fields.
	text, _ := json.Marshal(result)
	quoted, _ := json.Marshal(placeholder)
	prefix, suffix, _ = bytes.Cut(text, quoted)
	return prefix, suffix
}
