package query

import (
	"cmp"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"godwitcart/internal/apierror"
	"godwitcart/internal/language"
)

// filter reports whether a row satisfies a condition.
type filter func(Row) bool

// newFilter compiles a condition. It returns an error if the table has no such column or if the operator or the
// value does not fit the type of the column.
func newFilter(table *Table, condition language.Condition) (filter, error) {
	column, err := table.column(condition.Column)
	if err != nil {
		return nil, err
	}
	if condition.Operator == "~" {
		wanted := strings.ToLower(condition.Value)
		return func(row Row) bool { return strings.Contains(strings.ToLower(column.format(row)), wanted) }, nil
	}
	switch column.kind {
	case kindText:
		return orderedFilter(condition, condition.Value, func(row Row) string { return column.value(row).String() }), nil
	case kindNumber:
		return numberFilter(column, condition)
	case kindDuration:
		return durationFilter(column, condition)
	case kindTime:
		return timeFilter(column, condition)
	case kindBool:
		return boolFilter(column, condition)
	default:
		return listFilter(column, condition)
	}
}

// orderedFilter compares the value of a row with wanted by the operator of the condition.
func orderedFilter[T cmp.Ordered](condition language.Condition, wanted T, value func(Row) T) filter {
	return func(row Row) bool { return satisfies(condition.Operator, cmp.Compare(value(row), wanted)) }
}

// satisfies reports whether the result of a three-way comparison satisfies the operator.
func satisfies(operator string, result int) bool {
	switch operator {
	case "=":
		return result == 0
	case "!=":
		return result != 0
	case "<":
		return result < 0
	case "<=":
		return result <= 0
	case ">":
		return result > 0
	default:
		return result >= 0
	}
}

func valueError(column Column, value, remedy string) error {
	return apierror.Newf(apierror.KindBadRequest, remedy, "column %s cannot be compared with %q", column.Name, value)
}

func numberFilter(column Column, condition language.Condition) (filter, error) {
	wanted, err := strconv.ParseFloat(condition.Value, 64)
	if err != nil {
		return nil, valueError(column, condition.Value, "write a number")
	}
	return orderedFilter(condition, wanted, func(row Row) float64 { return asFloat(column.value(row)) }), nil
}

func asFloat(value reflect.Value) float64 {
	switch {
	case value.CanInt():
		return float64(value.Int())
	case value.CanUint():
		return float64(value.Uint())
	default:
		return value.Float()
	}
}

func durationFilter(column Column, condition language.Condition) (filter, error) {
	wanted, err := time.ParseDuration(condition.Value)
	if err != nil {
		return nil, valueError(column, condition.Value, "write a length of time such as 500ms, 30s or 2m")
	}
	return orderedFilter(condition, wanted, func(row Row) time.Duration { return time.Duration(column.value(row).Int()) }), nil
}

func timeFilter(column Column, condition language.Condition) (filter, error) {
	wanted, err := time.Parse(time.RFC3339, condition.Value)
	if err != nil {
		return nil, valueError(column, condition.Value, "write a time such as \"2026-03-01T06:00:00Z\"")
	}
	return func(row Row) bool {
		return satisfies(condition.Operator, column.value(row).Interface().(time.Time).Compare(wanted))
	}, nil
}

func boolFilter(column Column, condition language.Condition) (filter, error) {
	wanted, err := strconv.ParseBool(condition.Value)
	if err != nil || condition.Operator != "=" && condition.Operator != "!=" {
		return nil, valueError(column, condition.Value, "write = true or = false")
	}
	return func(row Row) bool {
		return (column.value(row).Bool() == wanted) == (condition.Operator == "=")
	}, nil
}

// listFilter tests whether the list contains the value.
func listFilter(column Column, condition language.Condition) (filter, error) {
	if condition.Operator != "=" && condition.Operator != "!=" {
		return nil, valueError(column, condition.Value, "use = (holds the value), != or ~")
	}
	return func(row Row) bool {
		list := column.value(row).Interface().([]string)
		return slices.Contains(list, condition.Value) == (condition.Operator == "=")
	}, nil
}

// compareRows compares two rows by the value of a column.
func compareRows(column Column, a, b Row) int {
	left, right := column.value(a), column.value(b)
	switch column.kind {
	case kindText:
		return strings.Compare(left.String(), right.String())
	case kindNumber, kindDuration:
		return cmp.Compare(asFloat(left), asFloat(right))
	case kindTime:
		return left.Interface().(time.Time).Compare(right.Interface().(time.Time))
	case kindBool:
		return strings.Compare(column.format(a), column.format(b))
	default:
		return slices.Compare(left.Interface().([]string), right.Interface().([]string))
	}
}
