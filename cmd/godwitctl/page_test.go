package main

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/command"
	"godwitcart/internal/language"
	"godwitcart/internal/query"
)

var update = flag.Bool("update", false, "write the output of the examples into the operators' page")

const pagePath = "../../docs/operations/language.md"

// examplePattern matches a block of the page with one invocation and its output.
var examplePattern = regexp.MustCompile("(?s)(?:<!-- unreachable: ([a-z0-9-]*) -->\n)?```console\n\\$ godwitctl ([^\n]*)\n(.*?)```")

// TestPageExamplesMatchOutput guards against a page that differs from the program. It runs every example of the
// operators' page, in order, on a system of three VMs and compares the output. With -update it rewrites the page.
func TestPageExamplesMatchOutput(t *testing.T) {
	text, err := os.ReadFile(pagePath)
	require.NoError(t, err)
	var rewritten string
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		rewritten = examplePattern.ReplaceAllStringFunc(string(text), func(block string) string {
			parts := examplePattern.FindStringSubmatch(block)
			s.unreachable = parts[1]
			// Time passes between two statements, so that the ages in the output grow.
			time.Sleep(time.Minute)
			output := s.runExample(t, parts[2])
			if !*update {
				require.Equal(t, parts[3], output, "godwitctl %s", parts[2])
			}
			head, _, _ := strings.Cut(block, "```console")
			return head + "```console\n$ godwitctl " + parts[2] + "\n" + output + "```"
		})
	})
	if *update {
		require.NoError(t, os.WriteFile(pagePath, []byte(rewritten), 0o644))
	}
}

// runExample runs an example's command line and returns the output as a terminal would show it.
func (s *system) runExample(t *testing.T, line string) string {
	t.Helper()
	code, stdout, stderr := s.run(splitArguments(t, line), "")
	output := stdout + stderr
	if code != exitOK {
		output += fmt.Sprintf("(exit code %d)\n", code)
	}
	return output
}

// argumentPattern matches a word or a text in single quotes.
var argumentPattern = regexp.MustCompile(`'([^']*)'|(\S+)`)

func splitArguments(t *testing.T, line string) []string {
	t.Helper()
	var args []string
	for _, match := range argumentPattern.FindAllStringSubmatch(line, -1) {
		args = append(args, match[1]+match[2])
	}
	return args
}

// TestPageCoversEveryStatement guards against an undocumented statement, table, command or field: each needs an
// example or, for a field, an entry in the table of its object type.
func TestPageCoversEveryStatement(t *testing.T) {
	text, err := os.ReadFile(pagePath)
	require.NoError(t, err)
	var shown string
	for _, match := range examplePattern.FindAllStringSubmatch(string(text), -1) {
		shown += match[2] + "\n"
	}
	for _, table := range query.Tables() {
		require.Contains(t, shown, "show "+table.Name)
	}
	for _, usage := range append(language.QueryUsages(), language.CommandUsages()...) {
		require.Contains(t, shown, strings.Fields(usage.Syntax)[0]+" ")
	}
	for _, objectType := range objectTypes {
		_, row, found := strings.Cut(string(text), "| `"+objectType+"` |")
		require.True(t, found, objectType)
		row, _, _ = strings.Cut(row, "\n")
		for _, field := range command.Fields(objectType) {
			require.Contains(t, row, "`"+field+"`", objectType)
		}
	}
}

func TestJSONOutputAndExitCodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		code, stdout, _ := s.run([]string{"-o", "json", "show requests where id = req-55d0"}, "")
		require.Equal(t, exitOK, code)
		var answer query.Result
		requireJSON(t, stdout, &answer)
		require.Equal(t, "preempted", answer.Rows[0].(query.Request).State)
		code, stdout, _ = s.run([]string{"-o", "json", "--dry-run", "delete class desk"}, "")
		require.Equal(t, exitUsage, code, "account renewals-north still names the class")
		require.Empty(t, stdout)
		for text, want := range map[string]int{
			"show":                         exitUsage,
			"show nothing":                 exitUsage,
			"cancel req-0":                 exitNotFound,
			"create class desk":            exitConflict,
			"change class desk rank=1":     exitUsage,
			"change class none priority=1": exitNotFound,
		} {
			code, _, stderr := s.run([]string{text}, "")
			require.Equal(t, want, code, text)
			require.Contains(t, stderr, "remedy: ", text)
		}
		code, _, _ = s.run([]string{"--token", "wrong", "show requests"}, "")
		require.Equal(t, exitNotAllowed, code)
		s.unreachable = "burnie-1"
		code, _, _ = s.run([]string{"show requests"}, "")
		require.Equal(t, exitPartial, code)
		code, _, _ = s.run([]string{"change class desk priority=51"}, "")
		require.Equal(t, exitUnavailable, code)
	})
}

func TestApplyingAnExportChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		code, exported, _ := s.run([]string{"export"}, "")
		require.Equal(t, exitOK, code)
		code, stdout, _ := s.run([]string{"apply", "-"}, exported)
		require.Equal(t, exitOK, code)
		require.Equal(t, "nothing to change in version 1\n", stdout)
		changed := strings.Replace(exported, "priority: 50", "priority: 60", 1)
		code, stdout, _ = s.run([]string{"--dry-run", "apply", "-"}, changed)
		require.Equal(t, exitOK, code)
		require.Equal(t, "~ class desk priority=50 -> 60\nwould change version 1\n", stdout)
	})
}

func TestInteractiveModeHistoryAndCompletion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		input := "count requests\n!!\nshow cl?\nshow requests where st?\ncreate class x p?\nhistory\nnonsense\nexit\n"
		code, stdout, stderr := s.run([]string{"interactive"}, input)
		require.Equal(t, exitOK, code)
		require.Equal(t, 2, strings.Count(stdout, "COUNT\n3\n"))
		require.Contains(t, stdout, prompt+"classes\n")
		require.Contains(t, stdout, prompt+"state\n")
		require.Contains(t, stdout, prompt+"priority=\n")
		require.Contains(t, stdout, "  1  count requests\n")
		require.Contains(t, stderr, "unexpected token")
	})
}
