package query

import (
	"cmp"
	"slices"
	"strings"

	"godwitcart/internal/language"
)

// defaultLimit bounds the rows of an answer to a query without a limit.
const defaultLimit = 1000

// maxLimit bounds the rows of any answer.
const maxLimit = 100_000

// plan is a checked query on one table.
type plan struct {
	table   *Table
	filters []filter
	order   []ordering
	limit   int
	// by is set for a count, also when it is empty.
	by    []Column
	count bool
}

type ordering struct {
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
	p, err := basePlan(show.Table, show.Conditions)
	if err != nil {
		return nil, err
	}
	for _, order := range show.Order {
		column, err := p.table.column(order.Column)
		if err != nil {
			return nil, err
		}
		p.order = append(p.order, ordering{column: column, descending: order.Descending})
	}
	p.limit = defaultLimit
	if show.Limit != nil {
		p.limit = int(min(*show.Limit, maxLimit))
	}
	return p, nil
}

func newCountPlan(count *language.Count) (*plan, error) {
	p, err := basePlan(count.Table, count.Conditions)
	if err != nil {
		return nil, err
	}
	p.count = true
	for _, name := range count.By {
		column, err := p.table.column(name)
		if err != nil {
			return nil, err
		}
		p.by = append(p.by, column)
	}
	return p, nil
}

func basePlan(name string, conditions []language.Condition) (*plan, error) {
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

// answer evaluates the plan on the rows of one VM.
func (p *plan) answer(rows []Row) *Answer {
	kept := make([]Row, 0, len(rows))
	for _, row := range rows {
		if p.keeps(row) {
			kept = append(kept, row)
		}
	}
	answer := p.empty()
	if p.count {
		answer.Counts = p.counts(kept)
		return answer
	}
	answer.Rows = kept
	p.trim(answer)
	return answer
}

// empty returns an answer with its header alone.
func (p *plan) empty() *Answer {
	answer := &Answer{Table: p.table.Name}
	columns := p.table.Columns
	if p.count {
		columns = p.by
	}
	for _, column := range columns {
		answer.Columns = append(answer.Columns, column.Name)
	}
	if p.count {
		answer.Columns = append(answer.Columns, "count")
	}
	return answer
}

func (p *plan) keeps(row Row) bool {
	for _, keep := range p.filters {
		if !keep(row) {
			return false
		}
	}
	return true
}

// trim sorts the rows and cuts them to the limit.
func (p *plan) trim(answer *Answer) {
	slices.SortStableFunc(answer.Rows, p.compare)
	if len(answer.Rows) > p.limit {
		answer.Rows = answer.Rows[:p.limit]
		answer.Truncated = true
	}
}

// compare orders by the query's columns and then by the table's first column.
func (p *plan) compare(a, b Row) int {
	for _, order := range p.order {
		result := compareRows(order.column, a, b)
		if order.descending {
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

func (p *plan) counts(rows []Row) []Count {
	var counted []Count
	for _, row := range rows {
		values := make([]string, 0, len(p.by))
		for _, column := range p.by {
			values = append(values, column.text(row))
		}
		counted = append(counted, Count{Values: values, Count: 1})
	}
	return mergeCounts(counted, len(p.by) == 0)
}

// mergeCounts adds the counts of equal values; total keeps one count of zero where there is none.
func mergeCounts(counts []Count, total bool) []Count {
	sums := make(map[string]*Count)
	for _, count := range counts {
		key := strings.Join(count.Values, "\x00")
		if sums[key] == nil {
			sums[key] = &Count{Values: count.Values}
		}
		sums[key].Count += count.Count
	}
	merged := make([]Count, 0, len(sums))
	for _, sum := range sums {
		merged = append(merged, *sum)
	}
	if total && len(merged) == 0 {
		merged = append(merged, Count{})
	}
	slices.SortFunc(merged, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), slices.Compare(a.Values, b.Values))
	})
	return merged
}

// merge joins the answers of several VMs.
func (p *plan) merge(answers []*Answer) *Answer {
	merged := p.empty()
	for _, answer := range answers {
		merged.Rows = append(merged.Rows, answer.Rows...)
		merged.Counts = append(merged.Counts, answer.Counts...)
		merged.Truncated = merged.Truncated || answer.Truncated
	}
	if p.count {
		merged.Counts = mergeCounts(merged.Counts, len(p.by) == 0)
		return merged
	}
	p.trim(merged)
	return merged
}
