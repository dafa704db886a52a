package language

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

var wordRegexp = regexp.MustCompile(`^(?:` + wordPattern + `)$`)

// quoteIfNeeded returns value unchanged if it is a word, and in quotes otherwise.
func quoteIfNeeded(value string) string {
	if wordRegexp.MatchString(value) {
		return value
	}
	return strconv.Quote(value)
}

// String returns the statement as Parse accepts it.
func (s *Statement) String() string {
	if s.Query != nil {
		return s.Query.String()
	}
	return s.Command.String()
}

// String returns the query as Parse accepts it.
func (q *Query) String() string {
	switch {
	case q.Show != nil:
		return q.Show.String()
	case q.Count != nil:
		return q.Count.String()
	default:
		return "explain " + quoteIfNeeded(q.Explain.Request)
	}
}

// String returns the query as Parse accepts it.
func (s *Show) String() string {
	text := "show " + s.Table + formatConditions(s.Conditions)
	for i, order := range s.Order {
		text += separator(i, " order by ") + order.Column
		if order.Descending {
			text += " desc"
		} else {
			// Print the direction explicitly: without it, a column named "asc" or "desc" that follows would be
			// parsed as the direction.
			text += " asc"
		}
	}
	if s.Limit != nil {
		text += fmt.Sprintf(" limit %d", *s.Limit)
	}
	return text
}

// String returns the query as Parse accepts it.
func (c *Count) String() string {
	text := "count " + c.Table + formatConditions(c.Conditions)
	for i, column := range c.By {
		text += separator(i, " by ") + column
	}
	return text
}

func formatConditions(list []Condition) string {
	text := ""
	for i, condition := range list {
		if i == 0 {
			text += " where "
		} else {
			text += " and "
		}
		text += condition.Column + " " + condition.Operator + " " + quoteIfNeeded(condition.Value)
	}
	return text
}

func separator(i int, first string) string {
	if i == 0 {
		return first
	}
	return ", "
}

// String returns the command as Parse accepts it.
func (c *Command) String() string {
	text := c.format()
	if c.DryRun {
		text += " --dry-run"
	}
	return text
}

// format returns the command without the dry-run flag.
func (c *Command) format() string {
	switch {
	case c.Create != nil:
		return "create " + c.Create.String()
	case c.Change != nil:
		return "change " + c.Change.String()
	case c.Delete != nil:
		return "delete " + c.Delete.String()
	case c.Drain != nil:
		return "drain target " + quoteIfNeeded(c.Drain.Name)
	case c.Undrain != nil:
		return "undrain target " + quoteIfNeeded(c.Undrain.Name)
	case c.Load != nil:
		return "load " + c.Load.String()
	case c.Unload != nil:
		return "unload " + c.Unload.String()
	case c.Cancel != nil:
		return "cancel " + quoteIfNeeded(c.Cancel.Request)
	default:
		return fmt.Sprintf("roll back to %d", c.RollBack.Version)
	}
}

// String returns the object as Parse accepts it.
func (o Object) String() string { return o.Type + " " + quoteIfNeeded(o.Name) }

// String returns the edit as Parse accepts it.
func (e *Edit) String() string {
	parts := []string{e.Object.String()}
	for _, field := range e.Fields {
		parts = append(parts, field.String())
	}
	return strings.Join(parts, " ")
}

// String returns the assignment as Parse accepts it.
func (a Assignment) String() string {
	values := make([]string, 0, len(a.Values))
	for _, value := range a.Values {
		values = append(values, quoteIfNeeded(value))
	}
	return a.Field + a.Operator + strings.Join(values, ",")
}

// String returns the operands as Parse accepts them.
func (l *Load) String() string { return quoteIfNeeded(l.Variant) + " on " + quoteIfNeeded(l.Target) }
