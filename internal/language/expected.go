package language

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/pkg/errors"
)

// check parses tokens, which end with one that marks the end.
type check func(tokens []lexer.Token) error

var statementCheck check = func(tokens []lexer.Token) error {
	_, err := parseTokens(parser, tokens)
	return err
}

var conditionCheck check = func(tokens []lexer.Token) error {
	_, err := parseTokens(conditionParser, tokens)
	return err
}

// kind is a class of tokens with a sample that stands for all of them.
type kind struct {
	symbol      string
	sample      string
	description string
}

var kinds = []kind{
	{"Ident", "x", "a name"},
	{"String", "'x'", "a quoted text"},
	{"Date", "1850-01-31", "a date such as 1850-01-31"},
	{"Duration", "1ms", "a time such as 140ms"},
	{"Number", "1", "a number"},
}

var punctuation = []string{"=", "<", ">", ",", "%"}

// expectedAfter returns what may follow the tokens of an unfinished statement,
// found by trying each keyword and each kind of token.
func (c check) expectedAfter(tokens []lexer.Token) []string {
	if len(tokens) > maxProbed {
		return nil
	}
	var expected []string
	if !c.fieldNameFollows(tokens) {
		expected = c.keywordsAfter(tokens)
	}
	for _, k := range kinds {
		if c.followsWith(tokens, k.symbol, k.sample) {
			expected = append(expected, k.description)
		}
	}
	for _, mark := range punctuation {
		if c.followsWith(tokens, "Punctuation", mark) {
			expected = append(expected, `"`+mark+`"`)
		}
	}
	if c.complete(tokens) {
		expected = append(expected, endOfText)
	}
	return expected
}

func (c check) keywordsAfter(tokens []lexer.Token) []string {
	var expected []string
	for _, keyword := range keywords {
		if c.followsWith(tokens, "Keyword", keyword) {
			expected = append(expected, keyword)
		}
	}
	return expected
}

// fieldNameFollows reports whether any keyword would be read as a name.
func (c check) fieldNameFollows(tokens []lexer.Token) bool {
	return c.followsWith(tokens, "Keyword", "")
}

func (c check) followsWith(tokens []lexer.Token, symbol, value string) bool {
	next := lexer.Token{Type: symbols[symbol], Value: value}
	return c.canContinue(append(tokens[:len(tokens):len(tokens)], next))
}

func (c check) complete(tokens []lexer.Token) bool {
	if len(tokens) == 0 {
		return false
	}
	end := lexer.EOFToken(tokens[len(tokens)-1].Pos)
	return c(append(tokens[:len(tokens):len(tokens)], end)) == nil
}

// canContinue reports whether something right begins with the tokens.
func (c check) canContinue(tokens []lexer.Token) bool {
	end := lexer.EOFToken(lexer.Position{Line: 1, Column: 1})
	err := c(append(tokens[:len(tokens):len(tokens)], end))
	var unexpected *participle.UnexpectedTokenError
	return err == nil || unfinished(err) || !errors.As(err, &unexpected)
}
