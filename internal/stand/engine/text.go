package engine

import (
	"math"
	"math/rand/v2"
	"regexp"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"godwitcart/internal/wire/enginewire"
)

// maxOutputTokens bounds every generation.
const maxOutputTokens = 32768

// bytesPerToken is the size of a prompt token.
const bytesPerToken = 4

// lengthDirective in a prompt fixes the output length.
var lengthDirective = regexp.MustCompile(`\blen=(\d{1,6})\b`)

var words = []string{
	"flour", "oats", "price", "sheet", "renewal", "card", "fare", "kiosk", "depot", "margin",
	"order", "stock", "letter", "station", "grocer", "check", "credit", "north", "valid", "today",
}

func promptTokens(prompt string) int { return len(prompt)/bytesPerToken + 1 }

// contentHash identifies what a generation says, independent of the attempt.
func contentHash(request enginewire.GenerationRequest) uint64 {
	digest := xxhash.NewWithSeed(request.Seed)
	for _, part := range []string{request.Model, request.Adapter, request.Version, request.Prompt} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// outputLength draws how many tokens the model would produce, and why it ends.
func outputLength(options Options, request enginewire.GenerationRequest) (int, enginewire.FinishReason) {
	length := naturalLength(options, request)
	if request.MaxTokens > 0 && request.MaxTokens < length {
		return request.MaxTokens, enginewire.FinishLength
	}
	return length, enginewire.FinishStop
}

func naturalLength(options Options, request enginewire.GenerationRequest) int {
	if match := lengthDirective.FindStringSubmatch(request.Prompt); match != nil {
		length, _ := strconv.Atoi(match[1])
		return clampLength(float64(length))
	}
	random := rand.New(rand.NewPCG(contentHash(request), options.Seed))
	return clampLength(options.MedianTokens * math.Exp(options.Sigma*random.NormFloat64()))
}

func clampLength(length float64) int {
	return int(min(max(length, 1), maxOutputTokens))
}

// tokenText returns the text of one token.
func tokenText(mode TextMode, attemptID string, content uint64, index int) string {
	if mode == TextAttempt {
		return attemptID + ":" + strconv.Itoa(index) + " "
	}
	random := rand.NewPCG(content, uint64(index))
	return words[random.Uint64()%uint64(len(words))] + " "
}
