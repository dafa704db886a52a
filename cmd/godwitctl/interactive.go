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
	// maxLineBytes bounds a line of the interactive mode.
	maxLineBytes = 64 << 10
	// maxRemembered bounds the statements that can be repeated.
	maxRemembered = 100
)

const interactiveHelp = `Type a statement; add ? to see what may come next, as in "show ?".
help lists the statements, history the earlier ones; !! repeats the last, !3 the third; exit leaves.`

// interactiveCommand reads statements line by line.
type interactiveCommand struct{}

// Run implements the subcommand.
func (c *interactiveCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	fmt.Fprintln(s.stdout, interactiveHelp)
	var remembered []string
	lines := bufio.NewScanner(s.stdin)
	lines.Buffer(nil, maxLineBytes)
	for s.ctx.Err() == nil {
		fmt.Fprint(s.stdout, prompt)
		if !lines.Scan() {
			break
		}
		line, repeated := recall(strings.TrimSpace(lines.Text()), remembered)
		if repeated {
			fmt.Fprintln(s.stdout, line)
		}
		if line == "exit" || line == "quit" {
			return nil
		}
		if s.line(client, line, remembered) {
			remembered = append(remembered, line)
			remembered = remembered[max(0, len(remembered)-maxRemembered):]
		}
	}
	fmt.Fprintln(s.stdout)
	return lines.Err()
}

// recall replaces !! and !N by the statement that they stand for.
func recall(line string, remembered []string) (text string, repeated bool) {
	rest, found := strings.CutPrefix(line, "!")
	if !found {
		return line, false
	}
	number := len(remembered)
	if rest != "!" {
		parsed, err := strconv.Atoi(rest)
		if err != nil {
			return line, false
		}
		number = parsed
	}
	if number < 1 || number > len(remembered) {
		return line, false
	}
	return remembered[number-1], true
}

// line carries out one line and reports whether it is a statement to remember.
func (s *session) line(client *admin.Client, line string, remembered []string) bool {
	switch {
	case line == "":
		return false
	case line == "help":
		_ = s.printHelp()
		return false
	case line == "history":
		for i, earlier := range remembered {
			fmt.Fprintf(s.stdout, "%3d  %s\n", i+1, earlier)
		}
		return false
	case strings.HasSuffix(line, "?"):
		fmt.Fprintln(s.stdout, strings.Join(complete(strings.TrimSuffix(line, "?")), "  "))
		return false
	default:
		report(s.stderr, s.statement(client, line))
		return true
	}
}
