package cli

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayreel/carawayreel/internal/auth"
	"github.com/carawayreel/carawayreel/internal/report"
)

type accessTokenCommand struct {
	Role     string        `help:"What the bearer may do: caller searches and changes records, operator also changes the configuration." enum:"caller,operator" default:"caller"`
	Subject  string        `required:"" help:"Who the access token is for; VMs log it with refusals."`
	ValidFor time.Duration `help:"Time until it expires." default:"720h"`
}

// Help implements kong.HelpProvider.
func (*accessTokenCommand) Help() string {
	return `Signs an access token with the operators' key, without calling a VM. Teams that
share a deployment are given access tokens instead of the key. An access token
cannot be withdrawn before it expires, other than by a new key.

Examples:
  carawayreel access-token --key-file shared.key --subject heir-finders > team.token
  carawayreel search zoekportaal --access-token-file team.token`
}

// Run prints the access token.
func (c *accessTokenCommand) Run(s *session) error {
	if s.flags.KeyFile == "" {
		return &UsageError{Reason: "an access token is signed with a key: give --key-file"}
	}
	if c.ValidFor <= 0 {
		return &UsageError{Reason: "--valid-for must be positive"}
	}
	key, err := auth.LoadKey(s.flags.KeyFile)
	if err != nil {
		return &UsageError{Reason: err.Error()}
	}
	now := s.Now()
	token, err := key.Sign(auth.Identity{Subject: c.Subject, Role: auth.Role(c.Role)}, now, c.ValidFor)
	if err != nil {
		return errors.Wrap(err, "sign access token")
	}
	if s.format == report.FormatReport {
		_, err = fmt.Fprintln(s.Stdout, token)
		return errors.Wrap(err, "write access token")
	}
	result := report.Success("ACCESS TOKEN", nil, nil, 0, now)
	result.Subject = []report.Line{
		{Label: "ACCESS TOKEN", Text: token}, {Label: "SUBJECT", Text: c.Subject},
		{Label: "ROLE", Text: c.Role}, {Label: "VALID FOR", Text: c.ValidFor.String()},
	}
	return s.print(result, nil)
}
