package failures

import (
	"strconv"
	"strings"

	"godwitcart/internal/stand/load"
)

// token is one token of an engine that runs with engine.TextAttempt.
type token struct {
	attempt string
	index   int
}

// parseTokens reads "<attempt id>:<index> " texts. It reports false when the text has another form.
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

// judgeTokens checks that the tokens of an answer are those of one generation of its own
// request, each once and in order, and all of them when the answer is complete.
func (o *oracle) judgeTokens(request load.Request, answer load.Answer) {
	tokens, ok := parseTokens(answer.Text)
	if !ok {
		o.violate(&o.verdict.MixedGenerations, 1, "%s received a text that no engine made: %.120q", request.Tag, answer.Text)
	}
	if len(tokens) > 0 {
		o.judgeOrigin(request, tokens)
	}
	o.judgeOrder(request, answer, tokens)
}

func (o *oracle) judgeOrigin(request load.Request, tokens []token) {
	first := tokens[0].attempt
	for _, token := range tokens {
		if token.attempt != first {
			o.violate(&o.verdict.MixedGenerations, 1, "%s received tokens of %s and of %s", request.Tag, first, token.attempt)
			break
		}
	}
	if owner := o.owner[first]; owner != request.Tag {
		o.violate(&o.verdict.CrossedAnswers, 1, "%s received tokens of %s, which belongs to %q", request.Tag, first, owner)
	}
}

func (o *oracle) judgeOrder(request load.Request, answer load.Answer, tokens []token) {
	seen := make(map[int]bool)
	highest := -1
	for _, token := range tokens {
		switch {
		case seen[token.index]:
			o.violate(&o.verdict.TokensRepeated, 1, "%s received token %d again", request.Tag, token.index)
		case token.index < highest:
			o.violate(&o.verdict.TokensOutOfOrder, 1, "%s received token %d after %d", request.Tag, token.index, highest)
		}
		seen[token.index] = true
		highest = max(highest, token.index)
	}
	expected := highest + 1
	if answer.Outcome == load.OutcomeAnswered {
		expected = max(expected, request.Tokens)
	}
	if lost := expected - len(seen); lost > 0 {
		o.violate(&o.verdict.TokensLost, lost, "%s (%s) lost %d of %d tokens: %s",
			request.Tag, request.Kind, lost, expected, describeTries(answer))
	}
}
