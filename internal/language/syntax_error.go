package language

import (
	"fmt"
	"sort"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/pkg/errors"
)

const (
	endOfText = "the end of the statement"
	// maxProbed bounds the tokens of a statement up to which what was expected
	// is worked out; it keeps errors in very long statements cheap.
	maxProbed = 500
	// maxFound bounds the characters of the text that an error quotes.
	maxFound = 40
)

// SyntaxError states where a statement is wrong.
type SyntaxError struct {
	// Line and Column count from 1; Column counts characters.
	Line, Column int
	// Expected lists what could have stood there.
	Expected []string
	// Found is what stands there.
	Found string
}

// Error returns one line with the place, what was expected and what was found.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("line %d, column %d: expected %s, found %s",
		e.Line, e.Column, alternatives(e.Expected), e.Found)
}

func alternatives(items []string) string {
	if len(items) == 0 {
		return "something else"
	}
	last := len(items) - 1
	if last == 0 {
		return items[0]
	}
	return strings.Join(items[:last], ", ") + " or " + items[last]
}

// Expected returns what may follow an unfinished statement: keywords in upper
// case, punctuation in quotes, and descriptions in lower case. It is empty when
// the text is already wrong.
func Expected(unfinished string) []string {
	tokens, err := tokenize(unfinished)
	if err != nil {
		return nil
	}
	parts := split(tokens)
	last := parts[len(parts)-1]
	return statementCheck.expectedAfter(last[:len(last)-1])
}

// diagnose finds the first token with which nothing right can begin.
func diagnose(c check, tokens []lexer.Token, err error) *SyntaxError {
	var unexpected *participle.UnexpectedTokenError
	if !errors.As(err, &unexpected) {
		return badValue(tokens, err)
	}
	body := tokens[:len(tokens)-1]
	wrong := c.firstWrong(body, unexpected.Unexpected.Pos.Offset)
	found := tokens[wrong]
	return &SyntaxError{
		Line: found.Pos.Line, Column: found.Pos.Column,
		Expected: c.expectedAfter(body[:wrong]), Found: describe(found),
	}
}

// firstWrong returns the index of the first token with which nothing right can
// begin, or the number of tokens when there is none. The parser's own word on
// the offset is checked first, because it spares a search in long texts.
func (c check) firstWrong(body []lexer.Token, offset int) int {
	likely := sort.Search(len(body), func(i int) bool { return body[i].Pos.Offset >= offset })
	stops := likely == len(body) || !c.canContinue(body[:likely+1])
	if stops && c.canContinue(body[:likely]) {
		return likely
	}
	return sort.Search(len(body), func(i int) bool { return !c.canContinue(body[:i+1]) })
}

// badValue reports a token of the right kind whose value is not accepted.
func badValue(tokens []lexer.Token, err error) *SyntaxError {
	position := errorPosition(err)
	expected := "a whole number in range"
	var value *valueError
	if errors.As(err, &value) {
		expected = value.accepted
	}
	result := &SyntaxError{
		Line: position.Line, Column: position.Column,
		Expected: []string{expected}, Found: "another value",
	}
	for _, token := range tokens {
		if token.Pos.Offset == position.Offset {
			result.Found = describe(token)
		}
	}
	return result
}

func badToken(text string, position lexer.Position) *SyntaxError {
	rest := text[min(position.Offset, len(text)):]
	result := &SyntaxError{Line: position.Line, Column: position.Column, Found: quote(rest)}
	switch {
	case strings.HasPrefix(rest, "'"), strings.HasPrefix(rest, `"`):
		result.Expected = []string{"a closing quote"}
	case strings.HasPrefix(rest, "/*"):
		result.Expected = []string{"*/ at the end of the comment"}
	}
	return result
}

func emptyText(text string) *SyntaxError {
	position := lexer.Position{Line: 1, Column: 1}
	position.Advance(text)
	return &SyntaxError{
		Line: position.Line, Column: position.Column,
		Expected: statementCheck.expectedAfter(nil), Found: endOfText,
	}
}

func errorPosition(err error) lexer.Position {
	var located participle.Error
	if errors.As(err, &located) {
		return located.Position()
	}
	return lexer.Position{Line: 1, Column: 1}
}

// unfinished reports whether the only fault of a statement is that it ends.
func unfinished(err error) bool {
	var unexpected *participle.UnexpectedTokenError
	return errors.As(err, &unexpected) && unexpected.Unexpected.EOF()
}

func describe(token lexer.Token) string {
	if token.EOF() {
		return endOfText
	}
	return quote(token.Value)
}

func quote(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	runes := []rune(line)
	if len(runes) > maxFound {
		return fmt.Sprintf("%q...", string(runes[:maxFound]))
	}
	return fmt.Sprintf("%q", line)
}
