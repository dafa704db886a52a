package engine

import (
	"math"
	"math/rand/v2"
	"regexp"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"godwitcart/internal/wire/enginewire"
)

// maxOutputTokens limits the output of every generation.
const maxOutputTokens = 32768

// bytesPerToken is the prompt size in bytes that counts as one token.
const bytesPerToken = 4

// lengthPattern matches the directive in a prompt that sets the output length in tokens.
var lengthPattern = regexp.MustCompile(`\blen=(\d{1,6})\b`)

var vocabulary = []string{
	"flour", "oats", "price", "sheet", "renewal", "card", "fare", "kiosk", "depot", "margin",
	"order", "stock", "letter", "station", "grocer", "check", "credit", "north", "valid", "today",
}

func countPromptTokens(prompt string) int { return len(prompt)/bytesPerToken + 1 }

// contentHash identifies the text of a generation. It does not depend on the attempt, so that retries produce the same
// text.
func contentHash(request enginewire.GenerationRequest) uint64 {
	digest := xxhash.NewWithSeed(request.Seed)
	for _, part := range []string{request.Model, request.Adapter, request.Version, request.Prompt} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// outputLength returns the number of output tokens and the reason for which the generation ends there.
func outputLength(options Options, request enginewire.GenerationRequest) (int, enginewire.FinishReason) {
	length := sampleLength(options, request)
	if request.MaxTokens > 0 && request.MaxTokens < length {
		return request.MaxTokens, enginewire.FinishLength
	}
	return length, enginewire.FinishStop
}

func sampleLength(options Options, request enginewire.GenerationRequest) int {
	if match := lengthPattern.FindStringSubmatch(request.Prompt); match != nil {
		length, _ := strconv.Atoi(match[1])
		return clampLength(float64(length))
	}
	random := rand.New(rand.NewPCG(contentHash(request), options.Seed))
	return clampLength(options.MedianTokens * math.Exp(options.Sigma*random.NormFloat64()))
}

func clampLength(length float64) int {
	return int(min(max(length, 1), maxOutputTokens))
}

func tokenText(mode TextMode, attemptID string, content uint64, index int) string {
	if mode == TextAttempt {
		return attemptID + ":" + strconv.Itoa(index) + " "
	}
	random := rand.NewPCG(content, uint64(index))
	return vocabulary[random.Uint64()%uint64(len(vocabulary))] + " "
}
