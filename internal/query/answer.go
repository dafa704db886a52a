package query

import (
	"encoding/json"
	"fmt"
	"time"
)

// Answer is the answer to a query. Rows, Counts or Life is set, as the query asks.
type Answer struct {
	Table   string   `json:"table"`
	Columns []string `json:"columns"`
	Rows    []Row    `json:"rows,omitempty"`
	Counts  []Count  `json:"counts,omitempty"`
	Life    *Life    `json:"life,omitempty"`
	// Unreachable names the VMs whose part of the answer is missing.
	Unreachable []Unreachable `json:"unreachable,omitempty"`
	// Truncated means that more rows match than the limit lets through.
	Truncated bool `json:"truncated,omitempty"`
}

// Unreachable is a VM that did not answer, and why.
type Unreachable struct {
	VM     string `json:"vm"`
	Reason string `json:"reason"`
}

// UnmarshalJSON implements json.Unmarshaler: the rows get the type of their table.
func (a *Answer) UnmarshalJSON(text []byte) error {
	type plain Answer
	read := struct {
		*plain
		Rows json.RawMessage `json:"rows"`
	}{plain: (*plain)(a)}
	if err := json.Unmarshal(text, &read); err != nil {
		return err
	}
	if len(read.Rows) == 0 {
		return nil
	}
	table, err := findTable(a.Table)
	if err != nil {
		return err
	}
	a.Rows, err = table.decode(read.Rows)
	return err
}

// Cells returns the answer's lines as text, one cell for each of Columns.
func (a *Answer) Cells() ([][]string, error) {
	if a.Life != nil {
		return a.Life.cells(), nil
	}
	var lines [][]string
	for _, count := range a.Counts {
		lines = append(lines, append(append([]string{}, count.Values...), fmt.Sprint(count.Count)))
	}
	if len(a.Rows) == 0 {
		return lines, nil
	}
	table, err := findTable(a.Table)
	if err != nil {
		return nil, err
	}
	for _, row := range a.Rows {
		line := make([]string, 0, len(table.Columns))
		for _, column := range table.Columns {
			line = append(line, column.text(row))
		}
		lines = append(lines, line)
	}
	return lines, nil
}

// lifeColumns are the columns of an explanation.
var lifeColumns = []string{"at", "state", "target", "attempt", "reason"}

func (l *Life) cells() [][]string {
	lines := make([][]string, 0, len(l.Steps))
	for _, step := range l.Steps {
		at := step.At.UTC().Format(time.RFC3339Nano)
		lines = append(lines, []string{at, step.State, step.Target, step.Attempt, step.Reason})
	}
	return lines
}
