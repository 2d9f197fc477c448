package language_test

import (
	_ "github.com/carawayreel/carawayreel/internal/testseed"
	"os"
	"regexp"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carawayreel/carawayreel/internal/language"
)

// fencedBlocks returns the fenced code blocks of docs/LANGUAGE.md with the given label.
func fencedBlocks(t testing.TB, label string) []string {
	t.Helper()
	page, err := os.ReadFile("../../docs/LANGUAGE.md")
	require.NoError(t, err)
	fence := regexp.MustCompile("(?s)```" + label + "\n(.*?)\n```")
	matches := fence.FindAllStringSubmatch(string(page), -1)
	found := make([]string, 0, len(matches))
	for _, match := range matches {
		found = append(found, match[1])
	}
	require.NotEmpty(t, found)
	return found
}

func TestDocumentedExamplesParse(t *testing.T) {
	forms := map[string]bool{}
	for _, block := range fencedBlocks(t, "carawayreel") {
		statements, err := language.ParseScript(block)
		require.NoError(t, err, block)
		for _, s := range statements {
			forms[statementForm(s)] = true
		}
	}
	require.Len(t, forms, 18, "docs/LANGUAGE.md lacks an example of a statement form: %v", forms)
	require.NotContains(t, forms, "")
}

func statementForm(s *language.Statement) string {
	switch {
	case s.Search != nil:
		return "search"
	case s.Edit != nil:
		return "edit"
	case s.Transfer != nil:
		return "transfer"
	case s.Token:
		return "token"
	case s.Show != nil:
		return "show " + showForm(s.Show)
	case s.TakeOut != nil:
		return "take out"
	case s.BringBack != nil:
		return "bring back"
	case s.CreateFront != nil:
		return "create"
	case s.AlterFront != nil:
		return "alter"
	case s.DropFront != nil:
		return "drop"
	case s.PublishSnapshot != nil:
		return "publish"
	}
	return ""
}

func showForm(s *language.Show) string {
	switch {
	case s.Fronts:
		return "fronts"
	case s.Targets != nil:
		return "targets"
	case s.FailureDomains:
		return "failure domains"
	case s.Configuration != nil:
		return "configuration"
	case s.History != nil:
		return "history"
	case s.Coverage != "":
		return "coverage"
	case s.VMs:
		return "vms"
	case s.Outcome != nil:
		return "outcome"
	}
	return ""
}

func TestDocumentedErrorMessages(t *testing.T) {
	messages := fencedBlocks(t, "message")
	invalid := fencedBlocks(t, "wrong")
	require.Len(t, messages, len(invalid))
	for i, text := range invalid {
		_, err := language.Parse(text)
		require.EqualError(t, err, messages[i])
	}
}

func TestParseSearch(t *testing.T) {
	s, err := language.Parse(`search "limit" where LIMIT like prefix 'O''Neil' and b = "say ""x""" and c > 3 within 2s coverage 90 % limit 7 explain;`)
	require.NoError(t, err)
	require.Equal(t, language.Text("limit"), s.Search.Front)
	require.Len(t, s.Search.Conditions, 3)
	require.Equal(t, language.Text("LIMIT"), s.Search.Conditions[0].Field)
	require.True(t, s.Search.Conditions[0].Operator.LikePrefix)
	require.Equal(t, language.Value("O'Neil"), s.Search.Conditions[0].Value)
	require.Equal(t, language.Value(`say "x"`), s.Search.Conditions[1].Value)
	require.Equal(t, language.Value("3"), s.Search.Conditions[2].Value)
	require.Equal(t, language.Milliseconds(2000), s.Search.TimeLimit)
	require.Equal(t, language.Percent(90), s.Search.Coverage)
	require.Equal(t, language.RowLimit(7), s.Search.RowLimit)
	require.True(t, s.Search.Explain)
}

func TestSyntaxErrorMessages(t *testing.T) {
	cases := []struct{ text, message string }{
		{"", "line 1, column 1: expected ALTER, BRING, CREATE, DROP, EDIT, PUBLISH, SEARCH, SHOW, TAKE, TOKEN or TRANSFER, found the end of the statement"},
		{"search where a = 'b'", `line 1, column 8: expected a name or a quoted text, found "where"`},
		{"token; token", "line 1, column 8: expected the end of the statement, found another statement"},
		{"token;\n  show vm", `line 2, column 8: expected CONFIGURATION, COVERAGE, FAILURE, FRONTS, HISTORY, OUTCOME, TARGETS or VMS, found "vm"`},
		{"search f where é = ?", `line 1, column 20: expected a quoted text, a date such as 1850-01-31 or a number, found "?"`},
		{"search f where a = 'b", `line 1, column 20: expected a closing quote, found "'b"`},
		{"search f /* where", `line 1, column 10: expected */ at the end of the comment, found "/* where"`},
		{"search f coverage 101%", `line 1, column 19: expected a whole number from 0 to 100, found "101"`},
		{"search f limit 10001", `line 1, column 16: expected a whole number from 1 to 10000, found "10001"`},
		{"show configuration revision 99999999999999999999", `line 1, column 29: expected a whole number in range, found "99999999999999999999"`},
		{"search '' limit 2", `line 1, column 8: expected a text that is not empty, found "''"`},
		{"search f \xff", "line 1, column 10: expected text in UTF-8, found an invalid byte"},
		{"'search' f", `line 1, column 1: expected ALTER, BRING, CREATE, DROP, EDIT, PUBLISH, SEARCH, SHOW, TAKE, TOKEN or TRANSFER, found "'search'"`},
	}
	for _, c := range cases {
		_, err := language.Parse(c.text)
		require.EqualError(t, err, c.message, c.text)
		var syntax *language.SyntaxError
		require.ErrorAs(t, err, &syntax)
	}
}

func TestLongTexts(t *testing.T) {
	long := "SEARCH f WHERE a = '" + strings.Repeat("x", language.MaxTextBytes) + "'"
	_, err := language.Parse(long)
	require.EqualError(t, err, "line 1, column 1: expected at most 262144 bytes, found a longer text")
	_, err = language.Parse("SEARCH f WHERE " + strings.Repeat("a = 'b' AND ", 2000) + "c ! 'd'")
	require.EqualError(t, err, `line 1, column 24018: expected something else, found "! 'd'"`)
}

func TestParseScriptReturnsNoStatementsOnError(t *testing.T) {
	statements, err := language.ParseScript("TAKE OUT TARGET t-1; SERCH f")
	require.ErrorContains(t, err, "column 22")
	require.Nil(t, statements)
}

func TestQuotingRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(1, 40, -1).Filter(utf8.ValidString).Draw(t, "text")
		quote := rapid.SampledFrom([]string{"'", `"`}).Draw(t, "quote")
		quoted := quote + strings.ReplaceAll(text, quote, quote+quote) + quote
		s, err := language.Parse("SEARCH " + quoted + " WHERE " + quoted + " = " + quoted)
		require.NoError(t, err)
		require.Equal(t, text, string(s.Search.Front))
		require.Equal(t, text, string(s.Search.Conditions[0].Field))
		require.Equal(t, text, string(s.Search.Conditions[0].Value))
	})
}

// Expected must return at least one continuation for a valid statement that is cut off
// between two tokens, and none for a text that is already invalid.
func TestExpectedIsNeverEmptyForAValidPrefix(t *testing.T) {
	comment := regexp.MustCompile("--.*")
	for _, block := range fencedBlocks(t, "carawayreel") {
		block = comment.ReplaceAllString(block, "")
		for end, r := range block {
			quoted := strings.Count(block[:end], "'")%2+strings.Count(block[:end], `"`)%2 > 0
			if r == ' ' && !quoted {
				require.NotEmpty(t, language.Expected(block[:end]), block[:end])
			}
		}
	}
	require.Equal(t, []string{"DOMAIN"}, language.Expected("take out failure "))
	require.Empty(t, language.Expected("search limit "))
}

func TestTerminated(t *testing.T) {
	require.True(t, language.Terminated("token;"))
	require.True(t, language.Terminated("token; -- done"))
	require.True(t, language.Terminated("search ?"))
	require.False(t, language.Terminated("token"))
	require.False(t, language.Terminated("search f where a = 'x;"))
	require.False(t, language.Terminated("search f /* ; "))
}

func TestParseConditionsErrorPositions(t *testing.T) {
	conditions, err := language.ParseConditions("a = 'x' AND b < 2")
	require.NoError(t, err)
	require.Len(t, conditions, 2)
	for text, message := range map[string]string{
		"a ! 'x'":         `line 1, column 3: expected a condition, found "! 'x'"`,
		"a is 'x'":        `line 1, column 3: expected CONTAINS, LIKE, "=", "<" or ">", found "is"`,
		"a = 'x' limit 3": `line 1, column 9: expected AND or the end of the statement, found "limit"`,
		"a = 'x'; token":  `line 1, column 8: expected AND or the end of the statement, found ";"`,
	} {
		_, err := language.ParseConditions(text)
		require.EqualError(t, err, message)
	}
}

func BenchmarkParse(b *testing.B) {
	for b.Loop() {
		_, err := language.Parse("SEARCH zoekportaal WHERE name LIKE PREFIX 'Jans' AND parish = 'Utrecht' WITHIN 140ms LIMIT 50")
		require.NoError(b, err)
	}
}

func BenchmarkParseInvalid(b *testing.B) {
	for b.Loop() {
		_, err := language.Parse("SEARCH zoekportaal WHERE name LIKE 'Jans' AND parish = 'Utrecht' WITHIN 140ms LIMIT 50")
		require.Error(b, err)
	}
}

func FuzzParseScript(f *testing.F) {
	for _, label := range []string{"carawayreel", "wrong"} {
		for _, block := range fencedBlocks(f, label) {
			f.Add(block)
		}
	}
	f.Fuzz(func(t *testing.T, text string) {
		statements, err := language.ParseScript(text)
		if err == nil {
			for _, s := range statements {
				require.NotEmpty(t, statementForm(s))
			}
			return
		}
		require.Nil(t, statements)
		var syntax *language.SyntaxError
		require.ErrorAs(t, err, &syntax)
		lines := strings.Split(text, "\n")
		require.LessOrEqual(t, syntax.Line, len(lines))
		require.LessOrEqual(t, syntax.Column, utf8.RuneCountInString(lines[syntax.Line-1])+1)
		require.NotEmpty(t, syntax.Found)
	})
}
