package gateway_test

import (
	"context"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/stand/engine"
	"godwitcart/internal/wire/enginewire"
)

func newOpenAIClient(h *harness, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL(h.entryVMs[0].URL+"/v1/"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

// The OpenAI client library checks the API independently of the harness of this package.
func TestOpenAIClientBufferedChat(t *testing.T) {
	h := newHarness(t)
	client := newOpenAIClient(h, acmeKey)
	answer, err := client.Chat.Completions.New(context.Background(), openai.ChatCompletionNewParams{
		Model:    "sheet",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("len=15")},
	})
	require.NoError(t, err)
	requireCompleteGeneration(t, answer.Choices[0].Message.Content, 15)
	require.EqualValues(t, 15, answer.Usage.CompletionTokens)
}

func TestOpenAIClientStreamedChat(t *testing.T) {
	h := newHarness(t)
	h.engines[0].SetFaults(engine.Faults{BreakStreams: 2})
	client := newOpenAIClient(h, acmeKey)
	stream := client.Chat.Completions.NewStreaming(context.Background(), openai.ChatCompletionNewParams{
		Model:         "sheet",
		Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage("len=15")},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	})
	var accumulated openai.ChatCompletionAccumulator
	for stream.Next() {
		require.True(t, accumulated.AddChunk(stream.Current()))
	}
	require.NoError(t, stream.Err())
	requireCompleteGeneration(t, accumulated.Choices[0].Message.Content, 15)
	require.EqualValues(t, 15, accumulated.Usage.CompletionTokens)
}

func TestOpenAIClientStreamedCompletion(t *testing.T) {
	h := newHarness(t)
	client := newOpenAIClient(h, acmeKey)
	stream := client.Completions.NewStreaming(context.Background(), openai.CompletionNewParams{
		Model:  "sheet",
		Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("len=9")},
	})
	text := ""
	for stream.Next() {
		text += stream.Current().Choices[0].Text
	}
	require.NoError(t, stream.Err())
	requireCompleteGeneration(t, text, 9)
}

func TestOpenAIClientDecodesErrors(t *testing.T) {
	h := newHarness(t)
	for _, standIn := range h.engines {
		standIn.SetFaults(engine.Faults{Refuse: enginewire.RefusedLeaving})
	}
	client := newOpenAIClient(h, acmeKey)
	_, err := client.Chat.Completions.New(context.Background(), openai.ChatCompletionNewParams{
		Model:    "sheet",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("x")},
	})
	var failure *openai.Error
	require.ErrorAs(t, err, &failure)
	require.Equal(t, 503, failure.StatusCode)
	require.Equal(t, "overloaded", failure.Type)
	require.NotEmpty(t, failure.Response.Header.Get("Retry-After"))
}
