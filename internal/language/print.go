package language

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

var wholeWord = regexp.MustCompile(`^(?:` + wordPattern + `)$`)

// quote returns a value as a word where it is one, and in quotes elsewhere.
func quote(value string) string {
	if wholeWord.MatchString(value) {
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
		return "explain " + quote(q.Explain.Request)
	}
}

// String returns the query as Parse accepts it.
func (s *Show) String() string {
	text := "show " + s.Table + conditions(s.Conditions)
	for i, order := range s.Order {
		text += separator(i, " order by ") + order.Column
		if order.Descending {
			text += " desc"
		} else {
			// Without it, a column named "asc" or "desc" after this one would be taken for the direction.
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
	text := "count " + c.Table + conditions(c.Conditions)
	for i, column := range c.By {
		text += separator(i, " by ") + column
	}
	return text
}

func conditions(list []Condition) string {
	text := ""
	for i, condition := range list {
		if i == 0 {
			text += " where "
		} else {
			text += " and "
		}
		text += condition.Column + " " + condition.Operator + " " + quote(condition.Value)
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
	text := c.action()
	if c.DryRun {
		text += " --dry-run"
	}
	return text
}

func (c *Command) action() string {
	switch {
	case c.Create != nil:
		return "create " + c.Create.String()
	case c.Change != nil:
		return "change " + c.Change.String()
	case c.Delete != nil:
		return "delete " + c.Delete.String()
	case c.Drain != nil:
		return "drain target " + quote(c.Drain.Name)
	case c.Undrain != nil:
		return "undrain target " + quote(c.Undrain.Name)
	case c.Load != nil:
		return "load " + c.Load.String()
	case c.Unload != nil:
		return "unload " + c.Unload.String()
	case c.Cancel != nil:
		return "cancel " + quote(c.Cancel.Request)
	default:
		return fmt.Sprintf("roll back to %d", c.RollBack.Version)
	}
}

// String returns the object as Parse accepts it.
func (o Object) String() string { return o.Type + " " + quote(o.Name) }

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
		values = append(values, quote(value))
	}
	return a.Field + a.Operator + strings.Join(values, ",")
}

// String returns the operands as Parse accepts them.
func (l *Load) String() string { return quote(l.Variant) + " on " + quote(l.Target) }
