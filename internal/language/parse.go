package language

import (
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/pkg/errors"
)

// MaxTextBytes bounds the text that is parsed at once.
const MaxTextBytes = 256 << 10

// keywords are reserved as names of fronts, targets and services, which can be
// quoted instead; as names of fields they need no quotes.
var keywords = []string{
	"ADD", "ALTER", "AND", "AT", "BACK", "BRING", "CASK", "COLD", "COMMENT",
	"CONFIGURATION", "CONNECTIONS", "CONTAINS", "COVERAGE", "CREATE", "DOMAIN",
	"DOMAINS", "DROP", "EDIT", "EXPLAIN", "EXTRA", "FAILURE", "FORCE", "FROM",
	"FRONT", "FRONTS", "HISTORY", "IN", "KEEP", "KEY", "LIKE", "LIMIT", "LOAD",
	"ON", "OUT", "OUTCOME", "PARTITIONS", "PREFIX", "PUBLISH", "RECORD",
	"REVISION", "ROW", "SEARCH", "SERVICE", "SET", "SETUP", "SHOW", "SLOTS",
	"SNAPSHOT", "TAKE", "TARGET", "TARGETS", "TIME", "TO", "TOKEN", "TRANSFER",
	"VMS", "WHERE", "WITHIN",
}

var definition = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `--[^\n]*|/\*(?:[^*]|\*+[^*/])*\*+/`},
	{Name: "Whitespace", Pattern: `\s+`},
	{Name: "String", Pattern: `'(?:[^']|'')*'|"(?:[^"]|"")*"`},
	{Name: "Date", Pattern: `\d{4}-\d{2}-\d{2}\b`},
	{Name: "Duration", Pattern: `(?i)\d+(?:ms|s)\b`},
	{Name: "Number", Pattern: `\d+(?:\.\d+)?\b`},
	// Keyword never matches; reserve turns identifiers into keywords.
	{Name: "Keyword", Pattern: `[^\x00-\x{10FFFF}]`},
	{Name: "Ident", Pattern: `[\p{L}_][\p{L}\p{N}\p{M}_]*(?:[.:-][\p{L}\p{N}\p{M}_]+)*`},
	{Name: "Punctuation", Pattern: `[=<>,;%]`},
})

var symbols = definition.Symbols()

var parser = participle.MustBuild[Statement](parserOptions...)

var conditionParser = participle.MustBuild[conditionList](parserOptions...)

// parserOptions make an alternative or an optional part binding from its first
// token on, so that errors are found where they are.
var parserOptions = []participle.Option{
	participle.Lexer(definition),
	participle.Map(reserve, "Ident"),
	participle.CaseInsensitive("Keyword"),
	participle.Elide("Comment", "Whitespace"),
	participle.UseLookahead(0),
}

// reserve turns an identifier that is a keyword into a keyword token.
func reserve(token lexer.Token) (lexer.Token, error) {
	if slices.Contains(keywords, strings.ToUpper(token.Value)) {
		token.Type = symbols["Keyword"]
	}
	return token, nil
}

// Parse parses a single statement, which a semicolon may end. The error is a
// *SyntaxError.
func Parse(text string) (*Statement, error) {
	statements, err := ParseScript(text)
	if err != nil {
		return nil, err
	}
	if len(statements) == 0 {
		return nil, emptyText(text)
	}
	if len(statements) > 1 {
		second := statements[1].Pos
		return nil, &SyntaxError{
			Line: second.Line, Column: second.Column,
			Expected: []string{endOfText}, Found: "another statement",
		}
	}
	return statements[0], nil
}

// Ended reports whether the last statement of a text ends with a semicolon, or
// the text is wrong in a way that no further text can mend.
func Ended(text string) bool {
	tokens, err := tokenize(text)
	if err != nil {
		return err.Expected == nil
	}
	parts := split(tokens)
	return len(parts[len(parts)-1]) == 1
}

// ParseConditions parses what may follow WHERE in a search: conditions joined
// by AND. The error is a *SyntaxError with positions in the given text.
func ParseConditions(text string) ([]*Condition, error) {
	tokens, lexError := tokenize(text)
	if lexError != nil {
		if lexError.Expected == nil {
			lexError.Expected = []string{"a condition"}
		}
		return nil, lexError
	}
	list, err := parseTokens(conditionParser, tokens)
	if err != nil {
		return nil, diagnose(conditionCheck, tokens, err)
	}
	return list.Conditions, nil
}

// ParseScript parses statements that semicolons separate. The error is a
// *SyntaxError for the first statement that is wrong; no statement is returned
// then.
func ParseScript(text string) ([]*Statement, error) {
	tokens, lexError := tokenize(text)
	if lexError != nil && lexError.Expected != nil {
		return nil, lexError
	}
	var statements []*Statement
	for _, part := range split(tokens) {
		if len(part) == 1 && lexError == nil {
			continue
		}
		statement, err := parseTokens(parser, part)
		if err == nil {
			statements = append(statements, statement)
			continue
		}
		if lexError != nil && unfinished(err) {
			break
		}
		return nil, diagnose(statementCheck, part, err)
	}
	if lexError != nil {
		parts := split(tokens)
		last := parts[len(parts)-1]
		lexError.Expected = statementCheck.expectedAfter(last[:len(last)-1])
		return nil, lexError
	}
	return statements, nil
}

// tokenize returns the tokens of text, ending with one that marks its end. At
// text that is no token it stops and also returns the error, whose Expected is
// empty when it depends on the tokens before it.
func tokenize(text string) ([]lexer.Token, *SyntaxError) {
	if err := checkText(text); err != nil {
		return nil, err
	}
	source, err := definition.LexString("", text)
	if err != nil {
		return nil, &SyntaxError{Line: 1, Column: 1, Expected: []string{"a statement"}, Found: err.Error()}
	}
	var tokens []lexer.Token
	for {
		token, err := source.Next()
		if err != nil {
			end := lexer.EOFToken(errorPosition(err))
			return append(tokens, end), badToken(text, end.Pos)
		}
		if token.Type == symbols["Ident"] {
			token, _ = reserve(token)
		}
		if token.Type != symbols["Comment"] && token.Type != symbols["Whitespace"] {
			tokens = append(tokens, token)
		}
		if token.EOF() {
			return tokens, nil
		}
	}
}

func checkText(text string) *SyntaxError {
	if len(text) > MaxTextBytes {
		return &SyntaxError{
			Line: 1, Column: 1,
			Expected: []string{fmt.Sprintf("at most %d bytes", MaxTextBytes)}, Found: "a longer text",
		}
	}
	if utf8.ValidString(text) {
		return nil
	}
	position := lexer.Position{Line: 1, Column: 1}
	for offset, r := range text {
		if r == utf8.RuneError && !strings.HasPrefix(text[offset:], "\uFFFD") {
			position.Advance(text[:offset])
			break
		}
	}
	return &SyntaxError{
		Line: position.Line, Column: position.Column,
		Expected: []string{"text in UTF-8"}, Found: "an invalid byte",
	}
}

// split cuts tokens at semicolons; each part ends with an end token.
func split(tokens []lexer.Token) [][]lexer.Token {
	var parts [][]lexer.Token
	var part []lexer.Token
	for _, token := range tokens {
		if token.Value == ";" || token.EOF() {
			parts = append(parts, append(part, lexer.EOFToken(token.Pos)))
			part = nil
			continue
		}
		part = append(part, token)
	}
	return parts
}

func parseTokens[G any](parser *participle.Parser[G], tokens []lexer.Token) (*G, error) {
	peeking, err := lexer.Upgrade(&tokenSource{tokens: tokens})
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return parser.ParseFromLexer(peeking)
}

// tokenSource is a lexer over tokens that were read before.
type tokenSource struct {
	tokens []lexer.Token
	next   int
}

// Next returns the next token; the last one is repeated.
func (s *tokenSource) Next() (lexer.Token, error) {
	token := s.tokens[s.next]
	if s.next < len(s.tokens)-1 {
		s.next++
	}
	return token, nil
}
