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
	endOfStatement = "the end of the statement"
	// maxProbedTokens is the longest statement, in tokens, for which errors list what
	// was expected. Probing longer statements would be expensive.
	maxProbedTokens = 500
	// maxFoundRunes is the number of characters of the input that an error quotes.
	maxFoundRunes = 40
)

// SyntaxError describes the position and cause of a syntax error.
type SyntaxError struct {
	// Line and Column count from 1; Column counts characters.
	Line, Column int
	// Expected lists what is valid at that position; it may be empty.
	Expected []string
	// Found describes the input at that position.
	Found string
}

// Error returns one line with the position, what was expected and what was found.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("line %d, column %d: expected %s, found %s",
		e.Line, e.Column, joinAlternatives(e.Expected), e.Found)
}

func joinAlternatives(items []string) string {
	if len(items) == 0 {
		return "something else"
	}
	last := len(items) - 1
	if last == 0 {
		return items[0]
	}
	return strings.Join(items[:last], ", ") + " or " + items[last]
}

// Expected returns what may follow an incomplete statement: keywords in upper
// case, punctuation in quotes, and descriptions of other tokens in lower case. It
// is empty when the text is already invalid.
func Expected(incomplete string) []string {
	tokens, err := tokenize(incomplete)
	if err != nil {
		return nil
	}
	parts := splitStatements(tokens)
	last := parts[len(parts)-1]
	return statementCheck.expectedAfter(last[:len(last)-1])
}

// diagnose converts a parse error into a SyntaxError at the first invalid token.
func diagnose(c checkFunc, tokens []lexer.Token, err error) *SyntaxError {
	var unexpected *participle.UnexpectedTokenError
	if !errors.As(err, &unexpected) {
		return invalidValueError(tokens, err)
	}
	body := tokens[:len(tokens)-1]
	index := c.firstInvalid(body, unexpected.Unexpected.Pos.Offset)
	found := tokens[index]
	return &SyntaxError{
		Line: found.Pos.Line, Column: found.Pos.Column,
		Expected: c.expectedAfter(body[:index]), Found: describeToken(found),
	}
}

// firstInvalid returns the index of the first token at which the tokens stop being
// a valid prefix, or the number of tokens when there is none. It first
// checks the token at the offset that the parser reported, which avoids a binary
// search in long texts.
func (c checkFunc) firstInvalid(body []lexer.Token, offset int) int {
	hint := sort.Search(len(body), func(i int) bool { return body[i].Pos.Offset >= offset })
	hintInvalid := hint == len(body) || !c.isValidPrefix(body[:hint+1])
	if hintInvalid && c.isValidPrefix(body[:hint]) {
		return hint
	}
	return sort.Search(len(body), func(i int) bool { return !c.isValidPrefix(body[:i+1]) })
}

// invalidValueError returns the error for a token of the right type whose value is not
// accepted.
func invalidValueError(tokens []lexer.Token, err error) *SyntaxError {
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
			result.Found = describeToken(token)
		}
	}
	return result
}

func invalidTokenError(text string, position lexer.Position) *SyntaxError {
	rest := text[min(position.Offset, len(text)):]
	result := &SyntaxError{Line: position.Line, Column: position.Column, Found: quoteExcerpt(rest)}
	switch {
	case strings.HasPrefix(rest, "'"), strings.HasPrefix(rest, `"`):
		result.Expected = []string{"a closing quote"}
	case strings.HasPrefix(rest, "/*"):
		result.Expected = []string{"*/ at the end of the comment"}
	}
	return result
}

func emptyTextError(text string) *SyntaxError {
	position := lexer.Position{Line: 1, Column: 1}
	position.Advance(text)
	return &SyntaxError{
		Line: position.Line, Column: position.Column,
		Expected: statementCheck.expectedAfter(nil), Found: endOfStatement,
	}
}

func errorPosition(err error) lexer.Position {
	var located participle.Error
	if errors.As(err, &located) {
		return located.Position()
	}
	return lexer.Position{Line: 1, Column: 1}
}

// isUnexpectedEnd reports whether err means that the statement is incomplete.
func isUnexpectedEnd(err error) bool {
	var unexpected *participle.UnexpectedTokenError
	return errors.As(err, &unexpected) && unexpected.Unexpected.EOF()
}

func describeToken(token lexer.Token) string {
	if token.EOF() {
		return endOfStatement
	}
	return quoteExcerpt(token.Value)
}

func quoteExcerpt(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	runes := []rune(line)
	if len(runes) > maxFoundRunes {
		return fmt.Sprintf("%q...", string(runes[:maxFoundRunes]))
	}
	return fmt.Sprintf("%q", line)
}
