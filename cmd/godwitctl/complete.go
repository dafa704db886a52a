package main

import (
	"slices"
	"strings"

	"godwitcart/internal/command"
	"godwitcart/internal/language"
	"godwitcart/internal/query"
)

// complete returns the words that can follow the text of an incomplete statement. If the text does not end with a
// blank, it returns the completions of the last word.
func complete(text string) []string {
	words := strings.Fields(text)
	partial := ""
	if len(words) > 0 && !strings.HasSuffix(text, " ") {
		partial = words[len(words)-1]
		words = words[:len(words)-1]
	}
	return slices.DeleteFunc(nextWords(words), func(word string) bool { return !strings.HasPrefix(word, partial) })
}

// nextWords returns the words that can follow complete words.
func nextWords(words []string) []string {
	if len(words) == 0 {
		return language.Keywords()
	}
	switch words[0] {
	case "show", "count":
		return nextQueryWords(words)
	case "create", "change", "delete":
		return nextEditWords(words)
	default:
		return nil
	}
}

func nextQueryWords(words []string) []string {
	if len(words) == 1 {
		var names []string
		for _, table := range query.Tables() {
			names = append(names, table.Name)
		}
		return names
	}
	switch words[len(words)-1] {
	case "where", "and", "by":
		return columnNames(words[1])
	case "order":
		return []string{"by"}
	}
	if words[0] == "count" {
		return []string{"where", "and", "by"}
	}
	return []string{"where", "and", "order by", "limit"}
}

func columnNames(name string) []string {
	for _, table := range query.Tables() {
		if table.Name == name {
			return table.ColumnNames()
		}
	}
	return nil
}

func nextEditWords(words []string) []string {
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
