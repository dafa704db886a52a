// Package language parses and prints the statements of the operators' language.
//
// A statement is either a Query, which is read-only, or a Command, which changes something. Parse checks only the
// syntax; the packages query and command check the names.
//
// Invariant: for every statement that Parse returns, Parse(statement.String()) returns an equal statement.
//
// Syntax errors contain the names of the types of this package, because the parser library names grammar rules
// after their Go types; readableProblem replaces them. A type that is renamed has to be renamed there too.
package language

import (
	"strconv"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/cockroachdb/errors"
)

// Statement is a Query or a Command; exactly one of the two is set.
type Statement struct {
	Query   *Query   `parser:"  @@"`
	Command *Command `parser:"| @@"`
}

// Query is a read-only statement; exactly one of its fields is set.
type Query struct {
	Show    *Show    `parser:"  'show' @@"`
	Count   *Count   `parser:"| 'count' @@"`
	Explain *Explain `parser:"| 'explain' @@"`
}

// Show lists rows of a table.
type Show struct {
	Table      string      `parser:"@Word"`
	Conditions []Condition `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	Order      []Order     `parser:"( 'order' 'by' @@ ( ',' @@ )* )?"`
	// Limit is the maximum number of rows; nil selects the default.
	Limit *Number `parser:"( 'limit' @Word )?"`
}

// Count counts the rows of a table, for each combination of the columns in By.
type Count struct {
	Table      string      `parser:"@Word"`
	Conditions []Condition `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	By         []string    `parser:"( 'by' @Word ( ',' @Word )* )?"`
}

// Explain shows the timeline of one request with the reason of each decision.
type Explain struct {
	Request string `parser:"@(Word | String)"`
}

// Condition compares a column with a value.
type Condition struct {
	Column   string `parser:"@Word"`
	Operator string `parser:"@( '=' | '!=' | '<=' | '>=' | '<' | '>' | '~' )"`
	Value    string `parser:"@(Word | String)"`
}

// Order sorts by a column, ascending unless Descending.
type Order struct {
	Column     string `parser:"@Word"`
	Descending bool   `parser:"( @'desc' | 'asc' )?"`
}

// Command is a statement that changes something; exactly one of its pointer fields is set.
type Command struct {
	Create   *Edit     `parser:"( 'create' @@"`
	Change   *Edit     `parser:"| 'change' @@"`
	Delete   *Object   `parser:"| 'delete' @@"`
	Drain    *Target   `parser:"| 'drain' @@"`
	Undrain  *Target   `parser:"| 'undrain' @@"`
	Load     *Load     `parser:"| 'load' @@"`
	Unload   *Load     `parser:"| 'unload' @@"`
	Cancel   *Cancel   `parser:"| 'cancel' @@"`
	RollBack *RollBack `parser:"| 'roll' 'back' @@ )"`
	// DryRun makes the command report what it would change without changing it.
	DryRun bool `parser:"@'--dry-run'?"`
}

// Object names an object of the configuration.
type Object struct {
	Type string `parser:"@( 'service' | 'account' | 'class' | 'model' )"`
	Name string `parser:"@(Word | String)"`
}

// Edit assigns values to fields of an object.
type Edit struct {
	Object Object       `parser:"@@"`
	Fields []Assignment `parser:"@@*"`
}

// Assignment sets a field, or adds values to a list or removes them from it.
type Assignment struct {
	Field string `parser:"@Word"`
	// Operator is "=", "+=" or "-=".
	Operator string   `parser:"@( '=' | '+=' | '-=' )"`
	Values   []string `parser:"@(Word | String) ( ',' @(Word | String) )*"`
}

// Target names a target.
type Target struct {
	Name string `parser:"'target' @(Word | String)"`
}

// Load names a variant to load or unload, as MODEL[:ADAPTER][@VERSION], and the target.
type Load struct {
	Variant string `parser:"@(Word | String)"`
	Target  string `parser:"'on' @(Word | String)"`
}

// Cancel names a request to cancel.
type Cancel struct {
	Request string `parser:"@(Word | String)"`
}

// RollBack names the version whose content becomes the content of a new version.
type RollBack struct {
	Version Number `parser:"'to' @Word"`
}

// Number is a non-negative integer of at most 63 bits.
type Number uint64

// Capture implements participle.Capture.
func (n *Number) Capture(values []string) error {
	parsed, err := strconv.ParseUint(values[0], 10, 63)
	if err != nil {
		return errors.Newf("unexpected %q (expected a whole number)", values[0])
	}
	*n = Number(parsed)
	return nil
}

// wordPattern matches a value that needs no quotes. A word cannot end in + or -, because those characters begin the
// operators += and -=.
const wordPattern = `-?[\pL\pN_](?:[\pL\pN_.:@/+*-]*[\pL\pN_.:@/*])?`

var statementLexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Space", Pattern: `[ \t\r\n]+`},
	{Name: "String", Pattern: `"(\\.|[^"\\\n])*"`},
	{Name: "Option", Pattern: `--[a-z-]+`},
	{Name: "Operator", Pattern: `\+=|-=|!=|<=|>=|[=<>~]`},
	{Name: "Word", Pattern: wordPattern},
	{Name: "Punctuation", Pattern: `,`},
})

var parser = participle.MustBuild[Statement](
	participle.Lexer(statementLexer),
	participle.Elide("Space"),
	participle.Unquote("String"),
	participle.UseLookahead(2),
)
