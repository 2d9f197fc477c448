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

// MaxTextBytes is the maximum size of a text that is parsed at once.
const MaxTextBytes = 256 << 10

// keywords are reserved words. Names of fronts, targets and services that equal
// a keyword must be quoted; field names need no quotes.
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

var lexerDefinition = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `--[^\n]*|/\*(?:[^*]|\*+[^*/])*\*+/`},
	{Name: "Whitespace", Pattern: `\s+`},
	{Name: "String", Pattern: `'(?:[^']|'')*'|"(?:[^"]|"")*"`},
	{Name: "Date", Pattern: `\d{4}-\d{2}-\d{2}\b`},
	{Name: "Duration", Pattern: `(?i)\d+(?:ms|s)\b`},
	{Name: "Number", Pattern: `\d+(?:\.\d+)?\b`},
	// The Keyword pattern never matches; markKeyword turns identifiers into keywords.
	{Name: "Keyword", Pattern: `[^\x00-\x{10FFFF}]`},
	{Name: "Ident", Pattern: `[\p{L}_][\p{L}\p{N}\p{M}_]*(?:[.:-][\p{L}\p{N}\p{M}_]+)*`},
	{Name: "Punctuation", Pattern: `[=<>,;%]`},
})

var tokenTypes = lexerDefinition.Symbols()

var statementParser = participle.MustBuild[Statement](parserOptions...)

var conditionParser = participle.MustBuild[conditionList](parserOptions...)

// parserOptions disable backtracking: the parser commits to an alternative or an
// optional part at its first token, so that errors are reported where they occur.
var parserOptions = []participle.Option{
	participle.Lexer(lexerDefinition),
	participle.Map(markKeyword, "Ident"),
	participle.CaseInsensitive("Keyword"),
	participle.Elide("Comment", "Whitespace"),
	participle.UseLookahead(0),
}

// markKeyword turns an identifier that equals a keyword, in any case, into a
// keyword token.
func markKeyword(token lexer.Token) (lexer.Token, error) {
	if slices.Contains(keywords, strings.ToUpper(token.Value)) {
		token.Type = tokenTypes["Keyword"]
	}
	return token, nil
}

// Parse parses a single statement with an optional semicolon at its end. The
// error is a *SyntaxError.
func Parse(text string) (*Statement, error) {
	statements, err := ParseScript(text)
	if err != nil {
		return nil, err
	}
	if len(statements) == 0 {
		return nil, emptyTextError(text)
	}
	if len(statements) > 1 {
		second := statements[1].Pos
		return nil, &SyntaxError{
			Line: second.Line, Column: second.Column,
			Expected: []string{endOfStatement}, Found: "another statement",
		}
	}
	return statements[0], nil
}

// Terminated reports whether the last statement of a text ends with a semicolon. It
// also returns true if the text contains a character that begins no token, because
// further input cannot correct that.
func Terminated(text string) bool {
	tokens, err := tokenize(text)
	if err != nil {
		return err.Expected == nil
	}
	parts := splitStatements(tokens)
	return len(parts[len(parts)-1]) == 1
}

// ParseConditions parses the conditions of a WHERE clause, joined by AND. The error
// is a *SyntaxError with positions in the given text.
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

// ParseScript parses statements separated by semicolons. If a statement is
// invalid, ParseScript returns a *SyntaxError for the first such statement and no
// statements.
func ParseScript(text string) ([]*Statement, error) {
	tokens, lexError := tokenize(text)
	if lexError != nil && lexError.Expected != nil {
		return nil, lexError
	}
	var statements []*Statement
	for _, part := range splitStatements(tokens) {
		if len(part) == 1 && lexError == nil {
			continue
		}
		statement, err := parseTokens(statementParser, part)
		if err == nil {
			statements = append(statements, statement)
			continue
		}
		if lexError != nil && isUnexpectedEnd(err) {
			break
		}
		return nil, diagnose(statementCheck, part, err)
	}
	if lexError != nil {
		parts := splitStatements(tokens)
		last := parts[len(parts)-1]
		lexError.Expected = statementCheck.expectedAfter(last[:len(last)-1])
		return nil, lexError
	}
	return statements, nil
}

// tokenize returns the tokens of text, followed by an EOF token. At the first
// character that begins no token, it stops and returns the preceding tokens and an
// error. If what is valid there depends on the preceding tokens, Expected of the error
// is nil, and the calling function sets it.
func tokenize(text string) ([]lexer.Token, *SyntaxError) {
	if err := validateText(text); err != nil {
		return nil, err
	}
	lex, err := lexerDefinition.LexString("", text)
	if err != nil {
		return nil, &SyntaxError{Line: 1, Column: 1, Expected: []string{"a statement"}, Found: err.Error()}
	}
	var tokens []lexer.Token
	for {
		token, err := lex.Next()
		if err != nil {
			end := lexer.EOFToken(errorPosition(err))
			return append(tokens, end), invalidTokenError(text, end.Pos)
		}
		if token.Type == tokenTypes["Ident"] {
			token, _ = markKeyword(token)
		}
		if token.Type != tokenTypes["Comment"] && token.Type != tokenTypes["Whitespace"] {
			tokens = append(tokens, token)
		}
		if token.EOF() {
			return tokens, nil
		}
	}
}

func validateText(text string) *SyntaxError {
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

// splitStatements splits tokens at semicolons; each part ends with an EOF token.
func splitStatements(tokens []lexer.Token) [][]lexer.Token {
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
	peekingLexer, err := lexer.Upgrade(&tokenSource{tokens: tokens})
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return parser.ParseFromLexer(peekingLexer)
}

// tokenSource is a lexer.Lexer that replays tokens.
type tokenSource struct {
	tokens []lexer.Token
	next   int
}

// Next returns the next token; at the end it repeats the last one.
func (s *tokenSource) Next() (lexer.Token, error) {
	token := s.tokens[s.next]
	if s.next < len(s.tokens)-1 {
		s.next++
	}
	return token, nil
}
