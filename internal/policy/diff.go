package policy

import (
	"fmt"
	"reflect"
	"strings"
	"time"
)

// Action is what happened to a field or its object.
type Action string

const (
	ActionCreate Action = "create"
	ActionChange Action = "change"
	ActionDelete Action = "delete"
)

// Change is one field that differs between two configurations. Its values are in the syntax of the operators'
// language; Before is empty for ActionCreate, After for ActionDelete.
type Change struct {
	Action Action `json:"action"`
	Type   string `json:"type"`
	Name   string `json:"name"`
	Field  string `json:"field"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the change as one line.
func (c Change) String() string {
	switch c.Action {
	case ActionCreate:
		return fmt.Sprintf("+ %s %s %s=%s", c.Type, c.Name, c.Field, c.After)
	case ActionDelete:
		return fmt.Sprintf("- %s %s %s=%s", c.Type, c.Name, c.Field, c.Before)
	default:
		return fmt.Sprintf("~ %s %s %s=%s -> %s", c.Type, c.Name, c.Field, c.Before, c.After)
	}
}

// Diff returns the fields in which two configurations differ, in a deterministic order; the
// versions are not compared. Invariant: it is empty only if the configurations are equal.
func Diff(before, after *Configuration) []Change {
	var changes []Change
	changes = append(changes, diffObjects("service", before.Services, after.Services)...)
	changes = append(changes, diffObjects("account", before.Accounts, after.Accounts)...)
	changes = append(changes, diffObjects("class", before.Classes, after.Classes)...)
	changes = append(changes, diffObjects("model", before.Models, after.Models)...)
	return changes
}

func diffObjects[V any](objectType string, before, after map[string]V) []Change {
	names := make(map[string]bool, len(before)+len(after))
	for name := range before {
		names[name] = true
	}
	for name := range after {
		names[name] = true
	}
	var changes []Change
	for _, name := range sortedKeys(names) {
		old, hadOld := before[name]
		current, hasNew := after[name]
		var fields []Change
		switch {
		case !hadOld:
			fields = createdFields(current)
		case !hasNew:
			fields = deletedFields(old)
		default:
			fields = changedFields(old, current)
		}
		for _, field := range fields {
			field.Type = objectType
			field.Name = name
			changes = append(changes, field)
		}
	}
	return changes
}

type fieldValue struct {
	name  string
	text  string
	empty bool
}

// fieldsOf returns the fields of an object except its name.
func fieldsOf(object any) []fieldValue {
	value := reflect.ValueOf(object)
	var fields []fieldValue
	for i := range value.NumField() {
		name, _, _ := strings.Cut(value.Type().Field(i).Tag.Get("json"), ",")
		if name == "name" {
			continue
		}
		field := value.Field(i)
		fields = append(fields, fieldValue{name: name, text: formatField(field.Interface()), empty: isEmpty(field)})
	}
	return fields
}

func isEmpty(field reflect.Value) bool {
	return field.IsZero() || field.Kind() == reflect.Slice && field.Len() == 0
}

// formatField returns a value in the syntax of the operators' language.
func formatField(value any) string {
	var text string
	switch typed := value.(type) {
	case time.Duration:
		text = typed.String()
	case []string:
		text = strings.Join(typed, ",")
	case []Variant:
		names := make([]string, 0, len(typed))
		for _, variant := range typed {
			names = append(names, variant.String())
		}
		text = strings.Join(names, ",")
	default:
		text = fmt.Sprint(typed)
	}
	if text == "" {
		return `""`
	}
	return text
}

// nonEmptyFields returns the fields that are not empty, or the first field if all are, so that each created or deleted
// object yields at least one Change.
func nonEmptyFields(fields []fieldValue) []fieldValue {
	var nonEmpty []fieldValue
	for _, field := range fields {
		if !field.empty {
			nonEmpty = append(nonEmpty, field)
		}
	}
	if len(nonEmpty) == 0 {
		return fields[:1]
	}
	return nonEmpty
}

func createdFields(object any) []Change {
	var changes []Change
	for _, field := range nonEmptyFields(fieldsOf(object)) {
		changes = append(changes, Change{Action: ActionCreate, Field: field.name, After: field.text})
	}
	return changes
}

func deletedFields(object any) []Change {
	var changes []Change
	for _, field := range nonEmptyFields(fieldsOf(object)) {
		changes = append(changes, Change{Action: ActionDelete, Field: field.name, Before: field.text})
	}
	return changes
}

func changedFields(before, after any) []Change {
	var changes []Change
	current := fieldsOf(after)
	for i, old := range fieldsOf(before) {
		if old.text != current[i].text {
			changes = append(changes, Change{Action: ActionChange, Field: old.name, Before: old.text, After: current[i].text})
		}
	}
	return changes
}
