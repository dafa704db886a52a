package main

import (
	"slices"
	"strings"

	"godwitcart/internal/command"
	"godwitcart/internal/language"
	"godwitcart/internal/query"
)

// complete returns the words that may follow the beginning of a statement, or that its last
// word may become.
func complete(text string) []string {
	words := strings.Fields(text)
	partial := ""
	if len(words) > 0 && !strings.HasSuffix(text, " ") {
		partial = words[len(words)-1]
		words = words[:len(words)-1]
	}
	return slices.DeleteFunc(following(words), func(word string) bool { return !strings.HasPrefix(word, partial) })
}

// following returns the words that may follow whole words.
func following(words []string) []string {
	if len(words) == 0 {
		return language.Keywords()
	}
	switch words[0] {
	case "show", "count":
		return followingQuery(words)
	case "create", "change", "delete":
		return followingEdit(words)
	default:
		return nil
	}
}

func followingQuery(words []string) []string {
	if len(words) == 1 {
		var names []string
		for _, table := range query.Tables() {
			names = append(names, table.Name)
		}
		return names
	}
	switch words[len(words)-1] {
	case "where", "and", "by":
		return columnsOf(words[1])
	case "order":
		return []string{"by"}
	}
	if words[0] == "count" {
		return []string{"where", "and", "by"}
	}
	return []string{"where", "and", "order by", "limit"}
}

func columnsOf(name string) []string {
	for _, table := range query.Tables() {
		if table.Name == name {
			return table.ColumnNames()
		}
	}
	return nil
}

func followingEdit(words []string) []string {
	if len(words) == 1 {
		return slices.Clone(objectTypes)
	}
	if len(words) == 2 || words[0] == "delete" {
		return nil
	}
	var fields []string
	for _, field := range command.Fields(words[1]) {
		fields = append(fields, field+"=")
	}
	return fields
}
