package cli

// rolloutCommand groups the commands for roll-outs.
type rolloutCommand struct {
	Status rolloutStatusCommand `cmd:"" help:"Show state, share and evidence of roll-outs."`
}

type rolloutStatusCommand struct {
	Service string `arg:"" optional:"" help:"Name of the service; all if it is left out."`
}

// Help implements kong.HelpProvider.
func (*rolloutStatusCommand) Help() string {
	return `Shows the roll-outs as the asked VM knows them: what the order is, why the last step
was taken, and the replies of both versions by route.

Examples:
  carawayreel rollout status
  carawayreel rollout status huvo11a --server 10.0.0.1:7100 --json`
}

// Run prints the roll-outs.
func (c *rolloutStatusCommand) Run(s *session) error {
	return s.print(s.runner.Rollouts(s.ctx, c.Service))
}
