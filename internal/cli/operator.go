package cli

import (
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// servingScope selects the failure domain or target to take out or bring back.
type servingScope struct {
	FailureDomain string `help:"Name of the failure domain." xor:"place" required:""`
	Target        string `help:"Identifier of the target." xor:"place" required:""`
}

type takeOutCommand struct {
	servingScope

	Force bool `help:"Accept that a front is left without serving targets."`
}

// Help implements kong.HelpProvider.
func (*takeOutCommand) Help() string {
	return `New work ends within seconds; running work ends by itself.

Examples:
  carawayreel take-out --failure-domain nl-west-b
  carawayreel take-out --target names-2 --force`
}

// Run takes the failure domain or target out of service.
func (c *takeOutCommand) Run(s *session) error {
	return s.print(s.runner.SetServingState(s.ctx, &pb.SetServingStateRequest{
		FailureDomain: c.FailureDomain,
		Target:        c.Target,
		State:         pb.ServingState_SERVING_STATE_TAKEN_OUT,
		Force:         c.Force,
	}))
}

type bringBackCommand struct {
	servingScope
}

// Help implements kong.HelpProvider.
func (*bringBackCommand) Help() string {
	return `Targets return through their cold-start ramp.

Examples:
  carawayreel bring-back --failure-domain nl-west-b
  carawayreel bring-back --target names-2`
}

// Run returns the failure domain or target to service.
func (c *bringBackCommand) Run(s *session) error {
	return s.print(s.runner.SetServingState(s.ctx, &pb.SetServingStateRequest{
		FailureDomain: c.FailureDomain,
		Target:        c.Target,
		State:         pb.ServingState_SERVING_STATE_IN_SERVICE,
	}))
}

type statusCommand struct{}

// Help implements kong.HelpProvider.
func (*statusCommand) Help() string {
	return `Examples:
  carawayreel status
  carawayreel status --server 10.0.0.1:7100 --json`
}

// Run prints the status of the deployment.
func (*statusCommand) Run(s *session) error {
	return s.print(s.runner.Status(s.ctx))
}

type vmsCommand struct{}

// Help implements kong.HelpProvider.
func (*vmsCommand) Help() string {
	return `Examples:
  carawayreel vms
  carawayreel vms --format csv`
}

// Run lists the VMs.
func (*vmsCommand) Run(s *session) error {
	return s.print(s.runner.VMs(s.ctx))
}
