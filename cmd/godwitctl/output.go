package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"godwitcart/internal/command"
	"godwitcart/internal/language"
	"godwitcart/internal/query"
)

// columnGap is the number of spaces between two columns.
const columnGap = 2

// printAnswer prints an answer and the VMs that are missing from it; it returns errPartial if there are any.
func (s *session) printAnswer(answer *query.Result) error {
	var err error
	if s.cli.Output == "json" {
		err = printJSON(s.stdout, answer)
	} else {
		err = s.printTable(answer)
	}
	if err != nil {
		return err
	}
	for _, vm := range answer.Unreachable {
		fmt.Fprintf(s.stderr, "godwitctl: %s could not be reached: %s\n", vm.VM, vm.Reason)
	}
	if len(answer.Unreachable) > 0 {
		return errPartial
	}
	return nil
}

func (s *session) printTable(answer *query.Result) error {
	lines, err := answer.Cells()
	if err != nil {
		return err
	}
	header := make([]string, 0, len(answer.Columns))
	for _, column := range answer.Columns {
		header = append(header, strings.ToUpper(column))
	}
	if err := printAligned(s.stdout, append([][]string{header}, lines...)); err != nil {
		return err
	}
	return nil
}

// warnTruncated warns that rows were left out, unless the statement set the limit.
func (s *session) warnTruncated(answer *query.Result, statement *language.Query) {
	limited := statement.Show != nil && statement.Show.Limit != nil
	if answer.Truncated && !limited {
		fmt.Fprintln(s.stderr, "godwitctl: there are more rows; set a limit or add conditions")
	}
}

// printAligned prints the lines with aligned columns; empty cells are shown as "-".
func printAligned(w io.Writer, lines [][]string) error {
	table := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	for _, line := range lines {
		for i, cell := range line {
			if cell == "" {
				cell = "-"
			}
			if i < len(line)-1 {
				cell += "\t"
			}
			fmt.Fprint(table, cell)
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}

func (s *session) printResult(result *command.Result) error {
	if s.cli.Output == "json" {
		return printJSON(s.stdout, result)
	}
	for _, change := range result.Changes {
		fmt.Fprintln(s.stdout, change)
	}
	_, err := fmt.Fprintln(s.stdout, result.Message)
	return err
}

func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
