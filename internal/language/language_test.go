package language_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/apierror"
	"godwitcart/internal/language"
)

// canonicalStatements contains each kind of statement as String prints it.
var canonicalStatements = []string{
	`show requests`,
	`show requests where state = waiting and account = acme and age >= 1m order by age desc, id asc limit 20`,
	`show targets where reason ~ "out of memory"`,
	`count requests`,
	`count requests where tokens != 0 by class, zone`,
	`explain req-1`,
	`create class counter priority=-1 deadline=30s`,
	`create account "a b" key_hashes="" classes=counter,batch --dry-run`,
	`change model m versions+=v3 versions-=v1,v2`,
	`delete service drafter`,
	`drain target t-1`,
	`undrain target t-1 --dry-run`,
	`load prairie-8b:pricing@v2 on t-1`,
	`unload prairie-8b on t-1`,
	`cancel req-1`,
	`roll back to 17`,
}

func TestCanonicalStatementsRoundTrip(t *testing.T) {
	for _, text := range canonicalStatements {
		statement, err := language.Parse(text)
		require.NoError(t, err, text)
		require.Equal(t, text, statement.String())
	}
}

func TestSyntaxErrorGivesOffsetAndExpectation(t *testing.T) {
	cases := map[string]struct {
		offset  int
		problem string
	}{
		`shwo requests`:                   {0, `(expected show, count, explain`},
		`show requests were state = x`:    {14, `expected another part of the statement, or its end`},
		`show requests where state`:       {25, `expected`},
		`show requests limit many`:        {20, `expected a whole number`},
		`roll back to -1`:                 {13, `expected a whole number`},
		`create table t`:                  {7, `expected service, account, class or model`},
		`change class c priority`:         {23, `expected`},
		`load m at t`:                     {7, `expected "on"`},
		``:                                {0, `unexpected token "end of the statement"`},
		`show requests where a = "open`:   {24, `invalid input text`},
		`drain target t --force`:          {15, `unexpected token "--force"`},
		`show requests; delete service x`: {13, `invalid input text`},
	}
	for text, want := range cases {
		_, err := language.Parse(text)
		require.True(t, apierror.Is(err, apierror.KindBadRequest), text)
		var syntax *language.SyntaxError
		require.True(t, errors.As(err, &syntax), text)
		require.Equal(t, want.offset, syntax.Offset, "%s: %s", text, syntax.Problem)
		require.Contains(t, syntax.Problem, want.problem, text)
	}
}

func TestSyntaxErrorMarksTheOffset(t *testing.T) {
	err := &language.SyntaxError{Text: "show requests\nwhere é !", Offset: 23, Problem: "no"}
	require.Equal(t, "no\n  where é !\n          ^", err.Error())
}

// FuzzParse checks that Parse does not panic and that every parsed statement is equal after printing and parsing
// it again.
func FuzzParse(f *testing.F) {
	for _, text := range canonicalStatements {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		statement, err := language.Parse(text)
		if err != nil {
			_ = err.Error()
			return
		}
		printed := statement.String()
		again, err := language.Parse(printed)
		require.NoError(t, err, printed)
		require.Equal(t, statement, again, printed)
	})
}
