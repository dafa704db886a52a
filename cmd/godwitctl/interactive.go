package main

import (
	"bufio"
	"fmt"
	"strconv"
	"strings"

	"godwitcart/internal/admin"
)

const (
	prompt = "godwit> "
	// maxLineBytes bounds the length of an input line.
	maxLineBytes = 64 << 10
	// maxHistory bounds the number of statements in the history.
	maxHistory = 100
)

const interactiveHelp = `Type a statement; add ? to see what may come next, as in "show ?".
help lists the statements, history the earlier ones; !! repeats the last, !3 the third; exit leaves.`

// interactiveCommand reads statements line by line and runs them, with a history and completion.
type interactiveCommand struct{}

// Run implements the subcommand.
func (c *interactiveCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	fmt.Fprintln(s.stdout, interactiveHelp)
	var history []string
	lines := bufio.NewScanner(s.stdin)
	lines.Buffer(nil, maxLineBytes)
	for s.ctx.Err() == nil {
		fmt.Fprint(s.stdout, prompt)
		if !lines.Scan() {
			break
		}
		line, fromHistory := expandHistory(strings.TrimSpace(lines.Text()), history)
		if fromHistory {
			fmt.Fprintln(s.stdout, line)
		}
		if line == "exit" || line == "quit" {
			return nil
		}
		if s.runLine(client, line, history) {
			history = append(history, line)
			history = history[max(0, len(history)-maxHistory):]
		}
	}
	fmt.Fprintln(s.stdout)
	return lines.Err()
}

// expandHistory replaces !! by the last statement of the history and !N by its Nth. Other lines, and references to
// statements that do not exist, are returned unchanged.
func expandHistory(line string, history []string) (text string, fromHistory bool) {
	reference, found := strings.CutPrefix(line, "!")
	if !found {
		return line, false
	}
	number := len(history)
	if reference != "!" {
		parsed, err := strconv.Atoi(reference)
		if err != nil {
			return line, false
		}
		number = parsed
	}
	if number < 1 || number > len(history) {
		return line, false
	}
	return history[number-1], true
}

// runLine runs one line and reports whether it is a statement to add to the history.
func (s *session) runLine(client *admin.Client, line string, history []string) bool {
	switch {
	case line == "":
		return false
	case line == "help":
		_ = s.printHelp()
		return false
	case line == "history":
		for i, earlier := range history {
			fmt.Fprintf(s.stdout, "%3d  %s\n", i+1, earlier)
		}
		return false
	case strings.HasSuffix(line, "?"):
		fmt.Fprintln(s.stdout, strings.Join(complete(strings.TrimSuffix(line, "?")), "  "))
		return false
	default:
		reportError(s.stderr, s.runStatement(client, line))
		return true
	}
}
