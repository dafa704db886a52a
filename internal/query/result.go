package query

import (
	"encoding/json"
	"fmt"
	"time"
)

// Result is the result of a query. Depending on the statement, Rows (show), Counts (count) or Timeline (explain)
// is set.
type Result struct {
	Table    string    `json:"table"`
	Columns  []string  `json:"columns"`
	Rows     []Row     `json:"rows,omitempty"`
	Counts   []Count   `json:"counts,omitempty"`
	Timeline *Timeline `json:"life,omitempty"`
	// Unreachable lists the VMs whose rows are missing from the result.
	Unreachable []Unreachable `json:"unreachable,omitempty"`
	// Truncated is true if more rows match than the limit allows.
	Truncated bool `json:"truncated,omitempty"`
}

// Unreachable is a VM that did not respond to a query, and the reason.
type Unreachable struct {
	VM     string `json:"vm"`
	Reason string `json:"reason"`
}

// UnmarshalJSON implements json.Unmarshaler. It decodes the rows into the row type of the result's table.
func (r *Result) UnmarshalJSON(text []byte) error {
	type plain Result
	decoded := struct {
		*plain
		Rows json.RawMessage `json:"rows"`
	}{plain: (*plain)(r)}
	if err := json.Unmarshal(text, &decoded); err != nil {
		return err
	}
	if len(decoded.Rows) == 0 {
		return nil
	}
	table, err := findTable(r.Table)
	if err != nil {
		return err
	}
	r.Rows, err = table.decode(decoded.Rows)
	return err
}

// Cells returns the result as lines of text cells, one cell per entry of Columns.
func (r *Result) Cells() ([][]string, error) {
	if r.Timeline != nil {
		return r.Timeline.cells(), nil
	}
	var lines [][]string
	for _, count := range r.Counts {
		lines = append(lines, append(append([]string{}, count.Values...), fmt.Sprint(count.Count)))
	}
	if len(r.Rows) == 0 {
		return lines, nil
	}
	table, err := findTable(r.Table)
	if err != nil {
		return nil, err
	}
	for _, row := range r.Rows {
		line := make([]string, 0, len(table.Columns))
		for _, column := range table.Columns {
			line = append(line, column.format(row))
		}
		lines = append(lines, line)
	}
	return lines, nil
}

// timelineColumns are the columns of the result of an explain query.
var timelineColumns = []string{"at", "state", "target", "attempt", "reason"}

func (t *Timeline) cells() [][]string {
	lines := make([][]string, 0, len(t.Steps))
	for _, step := range t.Steps {
		at := step.At.UTC().Format(time.RFC3339Nano)
		lines = append(lines, []string{at, step.State, step.Target, step.Attempt, step.Reason})
	}
	return lines
}
