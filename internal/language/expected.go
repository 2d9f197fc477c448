package language

import "github.com/alecthomas/participle/v2/lexer"

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
func expectedAfter(tokens []lexer.Token) []string {
	if len(tokens) > maxProbed {
		return nil
	}
	var expected []string
	if !fieldNameFollows(tokens) {
		expected = keywordsAfter(tokens)
	}
	for _, k := range kinds {
		if followsWith(tokens, k.symbol, k.sample) {
			expected = append(expected, k.description)
		}
	}
	for _, mark := range punctuation {
		if followsWith(tokens, "Punctuation", mark) {
			expected = append(expected, mark)
		}
	}
	if complete(tokens) {
		expected = append(expected, endOfText)
	}
	return expected
}

func keywordsAfter(tokens []lexer.Token) []string {
	var expected []string
	for _, keyword := range keywords {
		if followsWith(tokens, "Keyword", keyword) {
			expected = append(expected, keyword)
		}
	}
	return expected
}

// fieldNameFollows reports whether any keyword would be read as a name.
func fieldNameFollows(tokens []lexer.Token) bool {
	return followsWith(tokens, "Keyword", "")
}

func followsWith(tokens []lexer.Token, symbol, value string) bool {
	next := lexer.Token{Type: symbols[symbol], Value: value}
	return canContinue(append(tokens[:len(tokens):len(tokens)], next))
}

func complete(tokens []lexer.Token) bool {
	if len(tokens) == 0 {
		return false
	}
	end := lexer.EOFToken(tokens[len(tokens)-1].Pos)
	_, err := parseTokens(append(tokens[:len(tokens):len(tokens)], end))
	return err == nil
}
