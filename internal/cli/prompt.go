package cli

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/chzyer/readline"
	"github.com/pkg/errors"

	"github.com/carawayreel/carawayreel/internal/language"
)

const (
	promptText       = "carawayreel> "
	continuationText = "        ...> "
)

type promptCommand struct {
	HistoryFile string `help:"File that keeps the history; empty keeps none." default:"${history}"`
}

// Help implements kong.HelpProvider.
func (*promptCommand) Help() string {
	return `Statements end with a semicolon and may span lines. The tab key completes keywords.
"exit" or the end of input leaves.

Examples:
  carawayreel prompt
  carawayreel prompt --server 10.0.0.1:7100 --history-file ""`
}

// historyFile returns the default path of the history file, or an empty string if the
// home directory is unknown.
func historyFile() string {
	home, err := os.UserHomeDir()
	if err != nil {
		return ""
	}
	return filepath.Join(home, ".carawayreel_history")
}

// Run reads and runs statements until the end of input.
func (c *promptCommand) Run(s *session) error {
	input, err := readline.NewEx(&readline.Config{
		Prompt:       promptText,
		HistoryFile:  c.HistoryFile,
		AutoComplete: completer{},
		Stdin:        io.NopCloser(s.Stdin),
		Stdout:       s.Stdout,
		Stderr:       s.Stderr,
		// runBuffer saves whole statements; readline would save each line.
		DisableAutoSaveHistory: true,
	})
	if err != nil {
		return errors.Wrap(err, "open prompt")
	}
	defer func() { _ = input.Close() }()
	p := &prompt{session: s, input: input}
	return p.readLoop()
}

// prompt collects input lines into statements and runs them.
type prompt struct {
	session *session
	input   *readline.Instance
	// buffer holds the lines that have not run yet.
	buffer string
}

func (p *prompt) readLoop() error {
	for {
		line, err := p.input.Readline()
		if errors.Is(err, readline.ErrInterrupt) {
			p.reset()
			continue
		}
		if errors.Is(err, io.EOF) {
			return p.endOfInput()
		}
		if err != nil {
			return errors.Wrap(err, "read line")
		}
		if p.buffer == "" && isExit(line) {
			return nil
		}
		p.addLine(line)
	}
}

func isExit(line string) bool {
	word := strings.ToLower(strings.TrimRight(strings.TrimSpace(line), ";"))
	return word == "exit" || word == "quit"
}

// addLine appends a line to the buffer and runs the buffer if its last statement ends
// with a semicolon or its text cannot become valid.
func (p *prompt) addLine(line string) {
	p.buffer = strings.TrimLeft(p.buffer+line+"\n", " \n")
	if p.buffer == "" {
		return
	}
	if !language.Terminated(p.buffer) {
		p.input.SetPrompt(continuationText)
		return
	}
	p.runBuffer()
}

func (p *prompt) runBuffer() {
	text := p.buffer
	p.reset()
	_ = p.input.SaveHistory(strings.Join(strings.Fields(text), " "))
	statements, err := language.ParseScript(text)
	if err != nil {
		p.printError(err)
		return
	}
	for _, parsed := range statements {
		code, err := p.session.runStatement(parsed)
		if err != nil {
			p.printError(err)
			return
		}
		p.session.exitCode = code
	}
}

func (p *prompt) printError(err error) {
	p.session.exitCode = exitCodeOfError(err)
	_, _ = fmt.Fprintln(p.session.Stderr, "carawayreel:", err)
}

func (p *prompt) reset() {
	p.buffer = ""
	p.input.SetPrompt(promptText)
}

// endOfInput returns a *UsageError if the buffer holds a statement that was not run.
func (p *prompt) endOfInput() error {
	if strings.TrimSpace(p.buffer) == "" {
		return nil
	}
	return &UsageError{Reason: "the last statement does not end with a semicolon and was not run"}
}

// matchCase returns the suffix, in lower case if the typed text is in lower case.
func matchCase(suffix, typed string) string {
	if typed != "" && typed == strings.ToLower(typed) {
		return strings.ToLower(suffix)
	}
	return suffix
}

// completer completes the keywords that the grammar accepts at the cursor.
type completer struct{}

// Do implements readline.AutoCompleter: it returns the possible suffixes of the word
// before the cursor, and the length of that word in characters.
func (completer) Do(line []rune, position int) ([][]rune, int) {
	typed := string(line[:position])
	start := strings.LastIndexAny(typed, " \t;,=<>") + 1
	word := strings.ToUpper(typed[start:])
	var suffixes [][]rune
	for _, candidate := range language.Expected(typed[:start]) {
		isKeyword := candidate[0] >= 'A' && candidate[0] <= 'Z'
		if isKeyword && strings.HasPrefix(candidate, word) {
			suffixes = append(suffixes, []rune(matchCase(candidate[len(word):], typed[start:])+" "))
		}
	}
	return suffixes, len([]rune(word))
}
