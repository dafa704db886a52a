package query

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"time"

	"godwitcart/internal/apierror"
)

// kind is the type of the values of a column.
type kind int

const (
	kindText kind = iota
	kindNumber
	kindBool
	kindDuration
	kindTime
	kindList
)

// Column is a column of a table.
type Column struct {
	Name  string
	kind  kind
	field int
}

// Table describes a table and its columns.
type Table struct {
	Name        string
	Description string
	// PerVM is true if each VM has rows of its own, so that a query is sent to all VMs.
	PerVM   bool
	Columns []Column
	// decode decodes a JSON array of rows of the table.
	decode func(text []byte) ([]Row, error)
}

// The names of the tables.
const (
	TableRequests      = "requests"
	TableTargets       = "targets"
	TableVMs           = "vms"
	TableLeases        = "leases"
	TableAccounts      = "accounts"
	TableServices      = "services"
	TableClasses       = "classes"
	TableModels        = "models"
	TableConfiguration = "configuration"
	TableHistory       = "history"
)

var tables = []*Table{
	newTable[Request](TableRequests, "requests that run, wait or are preempted, or that ended recently", true),
	newTable[Target](TableTargets, "targets as seen by the queried VM", false),
	newTable[VM](TableVMs, "entry VMs as seen by the queried VM", false),
	newTable[Lease](TableLeases, "leases of singleton tasks", false),
	newTable[Account](TableAccounts, "client accounts", false),
	newTable[Service](TableServices, "services", false),
	newTable[Class](TableClasses, "priority classes", false),
	newTable[Model](TableModels, "models with their versions and adapters", false),
	newTable[Configuration](TableConfiguration, "the version in force on each VM", true),
	newTable[Version](TableHistory, "accepted versions: who changed what, and when", false),
}

// Tables returns all tables.
func Tables() []*Table { return tables }

func newTable[R Row](name, description string, perVM bool) *Table {
	return &Table{
		Name:        name,
		Description: description,
		PerVM:       perVM,
		Columns:     columnsOf(reflect.TypeFor[R]()),
		decode:      decodeRows[R],
	}
}

func columnsOf(row reflect.Type) []Column {
	columns := make([]Column, 0, row.NumField())
	for i := range row.NumField() {
		field := row.Field(i)
		columns = append(columns, Column{Name: field.Tag.Get("json"), kind: kindOf(field.Type), field: i})
	}
	return columns
}

func kindOf(field reflect.Type) kind {
	switch field {
	case reflect.TypeFor[Duration]():
		return kindDuration
	case reflect.TypeFor[time.Time]():
		return kindTime
	}
	switch field.Kind() {
	case reflect.String:
		return kindText
	case reflect.Bool:
		return kindBool
	case reflect.Slice:
		return kindList
	default:
		return kindNumber
	}
}

func decodeRows[R Row](text []byte) ([]Row, error) {
	var typed []R
	if err := json.Unmarshal(text, &typed); err != nil {
		return nil, err
	}
	rows := make([]Row, len(typed))
	for i, row := range typed {
		rows[i] = row
	}
	return rows, nil
}

// findTable returns the table with the name.
func findTable(name string) (*Table, error) {
	names := make([]string, 0, len(tables))
	for _, table := range tables {
		if table.Name == name {
			return table, nil
		}
		names = append(names, table.Name)
	}
	return nil, apierror.Newf(apierror.KindBadRequest, "use one of "+strings.Join(names, ", "), "there is no table %q", name)
}

// column returns the column with the name.
func (t *Table) column(name string) (Column, error) {
	for _, column := range t.Columns {
		if column.Name == name {
			return column, nil
		}
	}
	return Column{}, apierror.Newf(apierror.KindBadRequest, "use one of "+strings.Join(t.ColumnNames(), ", "),
		"table %s has no column %q", t.Name, name)
}

// ColumnNames returns the names of the columns in order.
func (t *Table) ColumnNames() []string {
	names := make([]string, 0, len(t.Columns))
	for _, column := range t.Columns {
		names = append(names, column.Name)
	}
	return names
}

// value returns the value of the column in a row.
func (c Column) value(row Row) reflect.Value { return reflect.ValueOf(row).Field(c.field) }

// format returns the value of the column in a row as it is displayed in tables.
func (c Column) format(row Row) string {
	value := c.value(row)
	switch typed := value.Interface().(type) {
	case Duration:
		return formatDuration(time.Duration(typed))
	case time.Time:
		return typed.UTC().Format(time.RFC3339)
	case []string:
		return strings.Join(typed, ",")
	default:
		return fmt.Sprint(typed)
	}
}

// formatDuration rounds to milliseconds below one second and to tenths of a second above; a negative duration
// means that there is no value and is shown as "-".
func formatDuration(d time.Duration) string {
	switch {
	case d < 0:
		return "-"
	case d < time.Second:
		return d.Round(time.Millisecond).String()
	default:
		return d.Round(100 * time.Millisecond).String()
	}
}
