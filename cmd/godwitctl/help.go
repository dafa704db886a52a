package main

import (
	"fmt"
	"strings"

	"godwitcart/internal/command"
	"godwitcart/internal/language"
	"godwitcart/internal/query"
)

// objectTypes are the types of configuration objects that commands can change.
var objectTypes = []string{"service", "account", "class", "model"}

// helpCommand lists the statements, tables and fields.
type helpCommand struct{}

// Run implements the subcommand.
func (c *helpCommand) Run(s *session) error { return s.printHelp() }

func (s *session) printHelp() error {
	sections := []struct {
		title string
		lines [][]string
	}{
		{"Queries", usageLines(language.QueryUsages())},
		{"Commands (--dry-run shows the difference only)", usageLines(language.CommandUsages())},
		{"Tables and their columns", tableLines()},
		{"Fields of the configuration's objects", fieldLines()},
	}
	for i, section := range sections {
		if i > 0 {
			fmt.Fprintln(s.stdout)
		}
		fmt.Fprintln(s.stdout, section.title)
		if err := printAligned(s.stdout, section.lines); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(s.stdout, "\nConditions compare with = != < <= > >= or ~ (contains). Values with blanks go in double quotes.")
	return err
}

func usageLines(usages []language.Usage) [][]string {
	lines := make([][]string, 0, len(usages))
	for _, usage := range usages {
		lines = append(lines, []string{"  " + usage.Syntax, usage.Description})
	}
	return lines
}

func tableLines() [][]string {
	var lines [][]string
	for _, table := range query.Tables() {
		lines = append(lines, []string{"  " + table.Name, strings.Join(table.ColumnNames(), " ")})
	}
	return lines
}

func fieldLines() [][]string {
	var lines [][]string
	for _, objectType := range objectTypes {
		lines = append(lines, []string{"  " + objectType, strings.Join(command.Fields(objectType), " ")})
	}
	return lines
}
