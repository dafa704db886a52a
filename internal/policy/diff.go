package policy

import (
	"encoding/json"
	"fmt"
)

// Change is one field that differs between two configurations. Before is empty for a
// field that was added, After for one that was removed; both are JSON.
type Change struct {
	Type   string `json:"type"`
	Name   string `json:"name"`
	Field  string `json:"field"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the change as one line.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("+ %s %s %s: %s", c.Type, c.Name, c.Field, c.After)
	case c.After == "":
		return fmt.Sprintf("- %s %s %s: %s", c.Type, c.Name, c.Field, c.Before)
	default:
		return fmt.Sprintf("~ %s %s %s: %s -> %s", c.Type, c.Name, c.Field, c.Before, c.After)
	}
}

// Diff returns the fields in which two configurations differ, in a fixed order; the
// versions are not compared.
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
		changes = append(changes, diffFields(objectType, name, fields(old, hadOld), fields(current, hasNew))...)
	}
	return changes
}

func diffFields(objectType, name string, before, after map[string]string) []Change {
	keys := make(map[string]bool, len(before)+len(after))
	for key := range before {
		keys[key] = true
	}
	for key := range after {
		keys[key] = true
	}
	var changes []Change
	for _, key := range sortedKeys(keys) {
		if before[key] != after[key] {
			changes = append(changes, Change{Type: objectType, Name: name, Field: key, Before: before[key], After: after[key]})
		}
	}
	return changes
}

// fields returns the JSON of each field that is set, but for the name.
func fields(object any, exists bool) map[string]string {
	if !exists {
		return nil
	}
	text, err := json.Marshal(object)
	if err != nil {
		// Unreachable: the objects of a Configuration hold only encodable values.
		panic(err)
	}
	raw := make(map[string]json.RawMessage)
	if err := json.Unmarshal(text, &raw); err != nil {
		panic(err)
	}
	printed := make(map[string]string, len(raw))
	for key, value := range raw {
		if key != "name" && string(value) != "null" {
			printed[key] = string(value)
		}
	}
	return printed
}
