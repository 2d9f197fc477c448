package cli

import (
	"strconv"

	"connectrpc.com/connect"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/report"
)

type configPushCommand struct {
	To   []string `required:"" help:"Addresses of the VMs that are given the revision, separated by commas." placeholder:"HOST:PORT"`
	File string   `help:"File with the accepted revision, as \"config get\" prints it; without, it is read from the platform's store through --server." placeholder:"FILE"`
}

// Help implements kong.HelpProvider.
func (*configPushCommand) Help() string {
	return `Reaches VMs that are cut off from the platform and from the others. Give --file only
where no VM reaches the store, and only a file that "config get" printed: a VM takes
a newer revision as it is given.

Examples:
  carawayreel config push --server 10.0.0.1:7100 --to 10.0.2.1:7100,10.0.2.2:7100
  carawayreel config push --file accepted.json --to 10.0.2.1:7100`
}

// Run pushes the revision to each of the given VMs.
func (c *configPushCommand) Run(s *session) error {
	start := s.Now()
	accepted, err := c.acceptedRevision(s)
	if err != nil {
		return err
	}
	receivers := newClient(c.To, s.httpClient, s.client.timeout)
	section := report.Section{
		Key: "pushed", Title: "PUSHED TO", Unit: "VMS",
		Columns: []report.Column{
			{Header: "server", Width: 32}, {Header: "in force", Width: 10, Right: true}, {Header: "fault", Width: 80},
		},
	}
	var lastErr error
	reached := 0
	for i, srv := range receivers.servers {
		request := connect.NewRequest(&pb.PushConfigurationRequest{Configuration: accepted})
		response, err := receivers.forServer(i).PushConfiguration(s.ctx, request)
		cells := []string{srv.address, "", ""}
		if err != nil {
			lastErr = err
			cells[2] = err.Error()
		} else {
			reached++
			cells[1] = strconv.FormatUint(response.Msg.Revision, 10)
		}
		section.Rows = append(section.Rows, report.Row{Cells: cells})
	}
	if reached == 0 {
		return lastErr
	}
	result := report.Success("PUSH OF REVISION "+strconv.FormatUint(accepted.Revision, 10),
		[]report.Section{section}, nil, s.Now().Sub(start), start)
	if lastErr != nil {
		result.Closing.Outcome = pb.Outcome_OUTCOME_PARTIAL
		result.Closing.Reason = "not every VM took the revision"
	}
	return s.print(result, nil)
}

// acceptedRevision returns the revision to push, from the file or from the platform's
// store.
func (c *configPushCommand) acceptedRevision(s *session) (*pb.Configuration, error) {
	if c.File != "" {
		return s.readConfiguration(c.File)
	}
	request := connect.NewRequest(&pb.GetConfigurationRequest{FromStore: true})
	response, err := s.client.GetConfiguration(s.ctx, request)
	if err != nil {
		return nil, err
	}
	return response.Msg.Configuration, nil
}
