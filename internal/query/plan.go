package query

import (
	"cmp"
	"slices"
	"strings"

	"godwitcart/internal/language"
)

// defaultLimit is the maximum number of rows returned for a query without a limit.
const defaultLimit = 1000

// maxLimit is the maximum number of rows returned for any query.
const maxLimit = 100_000

// plan is a validated query on one table.
type plan struct {
	table    *Table
	filters  []filter
	sortKeys []sortKey
	limit    int
	// groupBy holds the columns by which a count is grouped; empty counts all rows together.
	groupBy []Column
	isCount bool
}

type sortKey struct {
	column     Column
	descending bool
}

func newPlan(query *language.Query) (*plan, error) {
	if query.Show != nil {
		return newShowPlan(query.Show)
	}
	return newCountPlan(query.Count)
}

func newShowPlan(show *language.Show) (*plan, error) {
	p, err := newTablePlan(show.Table, show.Conditions)
	if err != nil {
		return nil, err
	}
	for _, order := range show.Order {
		column, err := p.table.column(order.Column)
		if err != nil {
			return nil, err
		}
		p.sortKeys = append(p.sortKeys, sortKey{column: column, descending: order.Descending})
	}
	p.limit = defaultLimit
	if show.Limit != nil {
		p.limit = int(min(*show.Limit, maxLimit))
	}
	return p, nil
}

func newCountPlan(count *language.Count) (*plan, error) {
	p, err := newTablePlan(count.Table, count.Conditions)
	if err != nil {
		return nil, err
	}
	p.isCount = true
	for _, name := range count.By {
		column, err := p.table.column(name)
		if err != nil {
			return nil, err
		}
		p.groupBy = append(p.groupBy, column)
	}
	return p, nil
}

func newTablePlan(name string, conditions []language.Condition) (*plan, error) {
	table, err := findTable(name)
	if err != nil {
		return nil, err
	}
	p := &plan{table: table}
	for _, condition := range conditions {
		filter, err := newFilter(table, condition)
		if err != nil {
			return nil, err
		}
		p.filters = append(p.filters, filter)
	}
	return p, nil
}

// evaluate applies the plan to the rows of one VM.
func (p *plan) evaluate(rows []Row) *Result {
	matching := make([]Row, 0, len(rows))
	for _, row := range rows {
		if p.matches(row) {
			matching = append(matching, row)
		}
	}
	result := p.emptyResult()
	if p.isCount {
		result.Counts = p.countRows(matching)
		return result
	}
	result.Rows = matching
	p.sortAndLimit(result)
	return result
}

// emptyResult returns a result with the table and column names but no rows.
func (p *plan) emptyResult() *Result {
	result := &Result{Table: p.table.Name}
	columns := p.table.Columns
	if p.isCount {
		columns = p.groupBy
	}
	for _, column := range columns {
		result.Columns = append(result.Columns, column.Name)
	}
	if p.isCount {
		result.Columns = append(result.Columns, "count")
	}
	return result
}

func (p *plan) matches(row Row) bool {
	for _, filter := range p.filters {
		if !filter(row) {
			return false
		}
	}
	return true
}

// sortAndLimit sorts the rows and truncates them to the limit.
func (p *plan) sortAndLimit(result *Result) {
	slices.SortStableFunc(result.Rows, p.compare)
	if len(result.Rows) > p.limit {
		result.Rows = result.Rows[:p.limit]
		result.Truncated = true
	}
}

// compare orders rows by the sort keys of the query and then by the first column of the table, which is
// descending for the history, so that the newest version comes first.
func (p *plan) compare(a, b Row) int {
	for _, key := range p.sortKeys {
		result := compareRows(key.column, a, b)
		if key.descending {
			result = -result
		}
		if result != 0 {
			return result
		}
	}
	if p.table.Name == TableHistory {
		return compareRows(p.table.Columns[0], b, a)
	}
	return compareRows(p.table.Columns[0], a, b)
}

func (p *plan) countRows(rows []Row) []Count {
	var counted []Count
	for _, row := range rows {
		values := make([]string, 0, len(p.groupBy))
		for _, column := range p.groupBy {
			values = append(values, column.format(row))
		}
		counted = append(counted, Count{Values: values, Count: 1})
	}
	return mergeCounts(counted, len(p.groupBy) == 0)
}

// mergeCounts adds up the counts of equal values. With keepZero, it returns a single count of zero if there are
// no counts.
func mergeCounts(counts []Count, keepZero bool) []Count {
	byValues := make(map[string]*Count)
	for _, count := range counts {
		key := strings.Join(count.Values, "\x00")
		if byValues[key] == nil {
			byValues[key] = &Count{Values: count.Values}
		}
		byValues[key].Count += count.Count
	}
	merged := make([]Count, 0, len(byValues))
	for _, count := range byValues {
		merged = append(merged, *count)
	}
	if keepZero && len(merged) == 0 {
		merged = append(merged, Count{})
	}
	slices.SortFunc(merged, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), slices.Compare(a.Values, b.Values))
	})
	return merged
}

// merge combines the results of several VMs.
func (p *plan) merge(results []*Result) *Result {
	merged := p.emptyResult()
	for _, result := range results {
		merged.Rows = append(merged.Rows, result.Rows...)
		merged.Counts = append(merged.Counts, result.Counts...)
		merged.Truncated = merged.Truncated || result.Truncated
	}
	if p.isCount {
		merged.Counts = mergeCounts(merged.Counts, len(p.groupBy) == 0)
		return merged
	}
	p.sortAndLimit(merged)
	return merged
}
