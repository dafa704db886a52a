// Package language parses and prints the statements of the operators' language.
//
// One grammar has two separate sides: a Query asks and changes nothing, a Command changes
// something. Parse checks the form only; the packages query and command check the names.
// Invariant: for every statement that Parse returns, Parse(statement.String()) returns an
// equal statement.
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

// Query asks something.
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
	// Limit is the greatest number of rows; nil leaves it to the default.
	Limit *Number `parser:"( 'limit' @Word )?"`
}

// Count counts the rows of a table, for each combination of the columns in By.
type Count struct {
	Table      string      `parser:"@Word"`
	Conditions []Condition `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	By         []string    `parser:"( 'by' @Word ( ',' @Word )* )?"`
}

// Explain tells the life of one request and the reason of each decision.
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

// Command changes something.
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
	// DryRun shows the difference without making the change.
	DryRun bool `parser:"@'--dry-run'?"`
}

// Object names an object of the configuration.
type Object struct {
	Type string `parser:"@( 'service' | 'account' | 'class' | 'model' )"`
	Name string `parser:"@(Word | String)"`
}

// Edit sets fields of an object.
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

// Load names what to load or unload, as MODEL[:ADAPTER][@VERSION], and where.
type Load struct {
	Variant string `parser:"@(Word | String)"`
	Target  string `parser:"'on' @(Word | String)"`
}

// Cancel names a request to cancel.
type Cancel struct {
	Request string `parser:"@(Word | String)"`
}

// RollBack names the version whose content becomes the newest version.
type RollBack struct {
	Version Number `parser:"'to' @Word"`
}

// Number is a whole number.
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

// wordPattern is what needs no quotes. A word does not end in + or -, which begin an operator.
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
