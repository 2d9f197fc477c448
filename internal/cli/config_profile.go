package cli

import (
	"github.com/carawayreel/carawayreel/internal/profile"
)

type configProfileCommand struct {
	Name     string `arg:"" help:"Profile: casgen, demo or stamboomhuis."`
	BasePort int    `help:"Port of the first target; the others follow." default:"9000"`
}

// Help implements kong.HelpProvider.
func (*configProfileCommand) Help() string {
	return `Prints the configuration of a known deployment, with its sizes, for targets that
listen on consecutive ports of this machine.

Examples:
  carawayreel config profile stamboomhuis > stamboomhuis.json
  carawayreel config profile casgen --base-port 12000 | carawayreel config apply -`
}

// Run prints the profile's configuration.
func (c *configProfileCommand) Run(s *session) error {
	found, err := profile.New(c.Name, c.BasePort, 0)
	if err != nil {
		return &UsageError{Reason: err.Error()}
	}
	return writeConfiguration(s.Stdout, found.Configuration())
}
