package cli

import (
	"io"
	"os"

	"github.com/carawayreel/carawayreel/internal/language"
	"github.com/carawayreel/carawayreel/internal/report"
	"github.com/carawayreel/carawayreel/internal/statement"
)

type runCommand struct {
	Statements string `arg:"" optional:"" help:"Statements separated by semicolons."`
	File       string `help:"File with statements, or - for the standard input." placeholder:"FILE"`
}

// Help implements kong.HelpProvider.
func (*runCommand) Help() string {
	return `All statements are parsed before the first one runs. The run ends at the first
statement whose outcome is neither success nor partial; the exit code is the
worst outcome's. docs/LANGUAGE.md describes the language.

Examples:
  carawayreel run "SEARCH zoekportaal WHERE name LIKE PREFIX 'Jans' WITHIN 140ms"
  carawayreel run --file morning-checks.txt --json
  echo "SHOW VMS" | carawayreel run --file -`
}

// Run runs the statements in order and stops at the first one whose outcome is neither
// success nor partial.
func (c *runCommand) Run(s *session) error {
	text, err := c.text(s.Stdin)
	if err != nil {
		return err
	}
	statements, err := language.ParseScript(text)
	if err != nil {
		return err
	}
	if len(statements) == 0 {
		return &UsageError{Reason: "there is no statement to run"}
	}
	for _, parsed := range statements {
		code, err := s.runStatement(parsed)
		s.exitCode = max(s.exitCode, code)
		if err != nil {
			return err
		}
		if code > statement.ExitPartial {
			return nil
		}
	}
	return nil
}

func (c *runCommand) text(stdin io.Reader) (string, error) {
	if (c.Statements == "") == (c.File == "") {
		return "", &UsageError{Reason: "give either statements or --file"}
	}
	if c.File == "" {
		return c.Statements, nil
	}
	var content []byte
	var err error
	if c.File == "-" {
		content, err = io.ReadAll(io.LimitReader(stdin, language.MaxTextBytes+1))
	} else {
		content, err = os.ReadFile(c.File)
	}
	if err != nil {
		return "", &UsageError{Reason: err.Error()}
	}
	return string(content), nil
}

// runStatement runs one statement, prints its report and returns its exit code.
func (s *session) runStatement(parsed *language.Statement) (statement.ExitCode, error) {
	result, err := s.runner.Run(s.ctx, parsed)
	if err != nil {
		return statement.ExitInternal, err
	}
	return statement.ExitCodeOf(result.Closing.Outcome), report.Write(s.Stdout, result, s.format)
}
