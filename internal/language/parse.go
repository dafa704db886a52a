package language

import (
	"fmt"
	"regexp"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
)

// maxStatementBytes limits the length of a statement.
const maxStatementBytes = 64 << 10

// SyntaxError describes where a statement is malformed and what was expected there.
type SyntaxError struct {
	Text string
	// Offset is the byte offset of the error in Text.
	Offset  int
	Problem string
}

// Error implements error. It returns the problem, the line that contains it, and a caret under the position.
func (e *SyntaxError) Error() string {
	begin := strings.LastIndexByte(e.Text[:e.Offset], '\n') + 1
	line, _, _ := strings.Cut(e.Text[begin:], "\n")
	mark := strings.Repeat(" ", utf8.RuneCountInString(e.Text[begin:e.Offset])) + "^"
	return fmt.Sprintf("%s\n  %s\n  %s", e.Problem, line, mark)
}

// Parse parses one statement. For a syntax error it returns an apierror.Error of kind KindBadRequest that wraps a
// *SyntaxError.
func Parse(text string) (*Statement, error) {
	if len(text) > maxStatementBytes {
		return nil, apierror.Newf(apierror.KindTooLarge, "shorten it, or use godwitctl apply for a whole configuration",
			"the statement has more than %d bytes", maxStatementBytes)
	}
	if !utf8.ValidString(text) {
		return nil, apierror.New(apierror.KindBadRequest, "the statement is not valid UTF-8", "send it as UTF-8")
	}
	statement, err := parser.ParseString("", text)
	if err != nil {
		return nil, syntaxError(text, err)
	}
	return statement, nil
}

func syntaxError(text string, err error) error {
	problem := err.Error()
	offset := len(text)
	var positioned participle.Error
	if errors.As(err, &positioned) {
		problem = positioned.Message()
		offset = min(positioned.Position().Offset, len(text))
	}
	for offset < len(text) && strings.ContainsRune(" \t\r\n", rune(text[offset])) {
		offset++
	}
	syntax := &SyntaxError{Text: text, Offset: offset, Problem: readableProblem(problem, offset)}
	return apierror.Wrap(syntax, apierror.KindBadRequest, "the statement is malformed", "\"godwitctl help\" lists the statements")
}

// repetitionPattern matches a repeated group in the expectations that the parser library prints.
var repetitionPattern = regexp.MustCompile(` \((","|"and") (?:\([^()]*\)|[^()]*)\)\*`)

// replaceGrammarNames replaces the names of grammar rules and tokens with descriptions for operators.
var replaceGrammarNames = strings.NewReplacer(
	"failed to capture: ", "",
	"<EOF>", "end of the statement",
	"(<word> | <string>)", "a word or a quoted text",
	"<word>", "a word",
	"(expected Show)", "(expected a table)",
	"(expected Count)", "(expected a table)",
	"(expected Explain)", "(expected a request)",
	"(expected Cancel)", "(expected a request)",
	"(expected Edit)", "(expected service, account, class or model)",
	"(expected Object)", "(expected service, account, class or model)",
	"(expected Target)", `(expected "target" and its name)`,
	"(expected Load)", "(expected a model)",
	"(expected RollBack)", `(expected "to" and a version)`,
	`"back" RollBack`, `"back"`,
	"expected Condition", "expected a condition such as state = waiting",
	"Order", "a column",
).Replace

// readableProblem rewrites the message of the parser library for operators. offset is the position of the error; at
// 0 the possible keywords are listed.
func readableProblem(problem string, offset int) string {
	problem = replaceGrammarNames(repetitionPattern.ReplaceAllString(problem, ""))
	if strings.Contains(problem, "(expected") || !strings.HasPrefix(problem, "unexpected token") {
		return problem
	}
	if offset == 0 {
		return problem + " (expected " + strings.Join(Keywords(), ", ") + ")"
	}
	return problem + " (expected another part of the statement, or its end)"
}
