package failures

import (
	"strconv"
	"strings"

	"godwitcart/internal/stand/load"
)

// token is one output token of an engine that runs with engine.TextAttempt.
type token struct {
	attempt string
	index   int
}

// parseTokens parses a sequence of "<attempt ID>:<index> " tokens. It returns false and the tokens so far when the
// text is malformed.
func parseTokens(text string) ([]token, bool) {
	var tokens []token
	for _, field := range strings.Fields(text) {
		at := strings.LastIndexByte(field, ':')
		if at <= 0 {
			return tokens, false
		}
		index, err := strconv.Atoi(field[at+1:])
		if err != nil {
			return tokens, false
		}
		tokens = append(tokens, token{attempt: field[:at], index: index})
	}
	return tokens, true
}

// checkTokens checks that all tokens of an answer come from one generation of its own request, each once and in order,
// and that none is missing.
func (o *oracle) checkTokens(request load.Request, answer load.Answer) {
	tokens, ok := parseTokens(answer.Text)
	if !ok {
		o.addViolation(&o.verdict.MixedGenerations, 1, "%s received text that is no engine output: %.120q", request.Tag, answer.Text)
	}
	if len(tokens) > 0 {
		o.checkTokenOrigin(request, tokens)
	}
	o.checkTokenOrder(request, answer, tokens)
}

func (o *oracle) checkTokenOrigin(request load.Request, tokens []token) {
	first := tokens[0].attempt
	for _, token := range tokens {
		if token.attempt != first {
			o.addViolation(&o.verdict.MixedGenerations, 1, "%s received tokens of attempts %s and %s", request.Tag, first, token.attempt)
			break
		}
	}
	if owner := o.tagByAttempt[first]; owner != request.Tag {
		o.addViolation(&o.verdict.CrossedAnswers, 1, "%s received tokens of attempt %s, which belongs to %q", request.Tag, first, owner)
	}
}

// checkTokenOrder counts tokens that are repeated, out of order or missing. A token is missing if a later one was
// received, or if the answer is complete without it.
func (o *oracle) checkTokenOrder(request load.Request, answer load.Answer, tokens []token) {
	seen := make(map[int]bool)
	highest := -1
	for _, token := range tokens {
		switch {
		case seen[token.index]:
			o.addViolation(&o.verdict.TokensRepeated, 1, "%s received token %d again", request.Tag, token.index)
		case token.index < highest:
			o.addViolation(&o.verdict.TokensOutOfOrder, 1, "%s received token %d after %d", request.Tag, token.index, highest)
		}
		seen[token.index] = true
		highest = max(highest, token.index)
	}
	expected := highest + 1
	if answer.Outcome == load.OutcomeAnswered {
		expected = max(expected, request.Tokens)
	}
	if lost := expected - len(seen); lost > 0 {
		o.addViolation(&o.verdict.TokensLost, lost, "%s (%s) lost %d of %d tokens: %s",
			request.Tag, request.Kind, lost, expected, formatTries(answer))
	}
}
