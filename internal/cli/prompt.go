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

// Help has the examples.
func (*promptCommand) Help() string {
	return `Statements end with a semicolon and may span lines. The tab key completes keywords.
"exit" or the end of input leaves.

Examples:
  carawayreel prompt
  carawayreel prompt --server 10.0.0.1:7100 --history-file ""`
}

// historyFile returns where the prompt keeps its history by default.
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
		// Statements are saved whole.
		DisableAutoSaveHistory: true,
	})
	if err != nil {
		return errors.Wrap(err, "open prompt")
	}
	defer func() { _ = input.Close() }()
	p := &prompt{session: s, input: input}
	return p.loop()
}

// prompt gathers lines into statements.
type prompt struct {
	session *session
	input   *readline.Instance
	pending string
}

func (p *prompt) loop() error {
	for {
		line, err := p.input.Readline()
		if errors.Is(err, readline.ErrInterrupt) {
			p.reset()
			continue
		}
		if errors.Is(err, io.EOF) {
			return p.end()
		}
		if err != nil {
			return errors.Wrap(err, "read line")
		}
		if p.pending == "" && leaves(line) {
			return nil
		}
		p.take(line)
	}
}

func leaves(line string) bool {
	word := strings.ToLower(strings.TrimRight(strings.TrimSpace(line), ";"))
	return word == "exit" || word == "quit"
}

// take adds a line and runs the statements once they end with a semicolon.
func (p *prompt) take(line string) {
	p.pending = strings.TrimLeft(p.pending+line+"\n", " \n")
	if p.pending == "" {
		return
	}
	if !language.Terminated(p.pending) {
		p.input.SetPrompt(continuationText)
		return
	}
	p.run()
}

func (p *prompt) run() {
	text := p.pending
	p.reset()
	_ = p.input.SaveHistory(strings.Join(strings.Fields(text), " "))
	statements, err := language.ParseScript(text)
	if err != nil {
		p.complain(err)
		return
	}
	for _, parsed := range statements {
		code, err := p.session.runStatement(parsed)
		if err != nil {
			p.complain(err)
			return
		}
		p.session.exitCode = code
	}
}

func (p *prompt) complain(err error) {
	p.session.exitCode = exitCodeOfError(err)
	_, _ = fmt.Fprintln(p.session.Stderr, "carawayreel:", err)
}

func (p *prompt) reset() {
	p.pending = ""
	p.input.SetPrompt(promptText)
}

// end states that an unfinished statement was not run.
func (p *prompt) end() error {
	if strings.TrimSpace(p.pending) == "" {
		return nil
	}
	return &UsageError{Reason: "the last statement does not end with a semicolon and was not run"}
}

// sameCase returns an ending in lower case when what was typed is.
func sameCase(ending, typed string) string {
	if typed != "" && typed == strings.ToLower(typed) {
		return strings.ToLower(ending)
	}
	return ending
}

// completer completes keywords by what the grammar accepts next.
type completer struct{}

// Do returns the endings of the word before the cursor, and its length.
func (completer) Do(line []rune, position int) ([][]rune, int) {
	typed := string(line[:position])
	start := strings.LastIndexAny(typed, " \t;,=<>") + 1
	word := strings.ToUpper(typed[start:])
	var endings [][]rune
	for _, candidate := range language.Expected(typed[:start]) {
		isKeyword := candidate[0] >= 'A' && candidate[0] <= 'Z'
		if isKeyword && strings.HasPrefix(candidate, word) {
			endings = append(endings, []rune(sameCase(candidate[len(word):], typed[start:])+" "))
		}
	}
	return endings, len([]rune(word))
}
