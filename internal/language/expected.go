package language

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/pkg/errors"
)

// checkFunc parses tokens, the last of which is an EOF token, and returns the
// parse error.
type checkFunc func(tokens []lexer.Token) error

var statementCheck checkFunc = func(tokens []lexer.Token) error {
	_, err := parseTokens(statementParser, tokens)
	return err
}

var conditionCheck checkFunc = func(tokens []lexer.Token) error {
	_, err := parseTokens(conditionParser, tokens)
	return err
}

// tokenClass is a token type with the sample value that expectedAfter probes with and
// the description that syntax errors print.
type tokenClass struct {
	tokenType   string
	sample      string
	description string
}

var tokenClasses = []tokenClass{
	{"Ident", "x", "a name"},
	{"String", "'x'", "a quoted text"},
	{"Date", "1850-01-31", "a date such as 1850-01-31"},
	{"Duration", "1ms", "a time such as 140ms"},
	{"Number", "1", "a number"},
}

var punctuation = []string{"=", "<", ">", ",", "%"}

// expectedAfter returns what may follow the tokens of an incomplete statement.
// It probes each keyword, token class and punctuation character. Where a field name
// may follow, it omits the keywords, because every keyword is a valid field name. It
// returns nil for more than maxProbedTokens tokens.
func (c checkFunc) expectedAfter(tokens []lexer.Token) []string {
	if len(tokens) > maxProbedTokens {
		return nil
	}
	var expected []string
	if !c.acceptsFieldName(tokens) {
		expected = c.keywordsAfter(tokens)
	}
	for _, class := range tokenClasses {
		if c.acceptsNext(tokens, class.tokenType, class.sample) {
			expected = append(expected, class.description)
		}
	}
	for _, char := range punctuation {
		if c.acceptsNext(tokens, "Punctuation", char) {
			expected = append(expected, `"`+char+`"`)
		}
	}
	if c.isComplete(tokens) {
		expected = append(expected, endOfStatement)
	}
	return expected
}

func (c checkFunc) keywordsAfter(tokens []lexer.Token) []string {
	var expected []string
	for _, keyword := range keywords {
		if c.acceptsNext(tokens, "Keyword", keyword) {
			expected = append(expected, keyword)
		}
	}
	return expected
}

// acceptsFieldName reports whether a field name may follow. It probes with an empty
// keyword, which is valid only as a field name because it matches no keyword of the
// grammar.
func (c checkFunc) acceptsFieldName(tokens []lexer.Token) bool {
	return c.acceptsNext(tokens, "Keyword", "")
}

func (c checkFunc) acceptsNext(tokens []lexer.Token, tokenType, value string) bool {
	next := lexer.Token{Type: tokenTypes[tokenType], Value: value}
	return c.isValidPrefix(append(tokens[:len(tokens):len(tokens)], next))
}

func (c checkFunc) isComplete(tokens []lexer.Token) bool {
	if len(tokens) == 0 {
		return false
	}
	end := lexer.EOFToken(tokens[len(tokens)-1].Pos)
	return c(append(tokens[:len(tokens):len(tokens)], end)) == nil
}

// isValidPrefix reports whether some valid input begins with the tokens. Values that
// are out of range count as valid; invalidValueError describes them.
func (c checkFunc) isValidPrefix(tokens []lexer.Token) bool {
	end := lexer.EOFToken(lexer.Position{Line: 1, Column: 1})
	err := c(append(tokens[:len(tokens):len(tokens)], end))
	var unexpected *participle.UnexpectedTokenError
	return err == nil || isUnexpectedEnd(err) || !errors.As(err, &unexpected)
}
