package query

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"time"

	"godwitcart/internal/apierror"
)

// kind is the type of a column's values.
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

// Table is the schema of a table.
type Table struct {
	Name    string
	Meaning string
	// Everywhere means that each VM has rows of its own, so that all of them are asked.
	Everywhere bool
	Columns    []Column
	// decode reads a JSON array of the table's rows.
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
	newTable[Request](TableRequests, "requests that run, wait, are preempted, or ended lately", true),
	newTable[Target](TableTargets, "targets as the asked VM sees them", false),
	newTable[VM](TableVMs, "entry VMs as the asked VM sees them", false),
	newTable[Lease](TableLeases, "leases of singleton duties", false),
	newTable[Account](TableAccounts, "client accounts", false),
	newTable[Service](TableServices, "services", false),
	newTable[Class](TableClasses, "priority classes", false),
	newTable[Model](TableModels, "models with their versions and adapters", false),
	newTable[Configuration](TableConfiguration, "the version that each VM has in force", true),
	newTable[Version](TableHistory, "accepted versions: who changed what, and when", false),
}

// Tables lists the tables.
func Tables() []*Table { return tables }

func newTable[R Row](name, meaning string, everywhere bool) *Table {
	return &Table{
		Name:       name,
		Meaning:    meaning,
		Everywhere: everywhere,
		Columns:    columnsOf(reflect.TypeFor[R]()),
		decode:     decodeRows[R],
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

// findTable returns the table of a name.
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

// column returns the column of a name.
func (t *Table) column(name string) (Column, error) {
	for _, column := range t.Columns {
		if column.Name == name {
			return column, nil
		}
	}
	return Column{}, apierror.Newf(apierror.KindBadRequest, "use one of "+strings.Join(t.ColumnNames(), ", "),
		"table %s has no column %q", t.Name, name)
}

// ColumnNames lists the names of the columns.
func (t *Table) ColumnNames() []string {
	names := make([]string, 0, len(t.Columns))
	for _, column := range t.Columns {
		names = append(names, column.Name)
	}
	return names
}

// value returns the column's value in a row.
func (c Column) value(row Row) reflect.Value { return reflect.ValueOf(row).Field(c.field) }

// text returns the column's value in a row as tables show it.
func (c Column) text(row Row) string {
	value := c.value(row)
	switch held := value.Interface().(type) {
	case Duration:
		return formatDuration(time.Duration(held))
	case time.Time:
		return held.UTC().Format(time.RFC3339)
	case []string:
		return strings.Join(held, ",")
	default:
		return fmt.Sprint(held)
	}
}

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
