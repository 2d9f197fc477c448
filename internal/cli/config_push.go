package cli

import (
	"strconv"

	"connectrpc.com/connect"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/report"
)

type configPushCommand struct {
	File string `arg:"" help:"File with an accepted revision as \"config get\" prints it, or - for the standard input."`
}

// Help has the examples.
func (*configPushCommand) Help() string {
	return `Reaches VMs that are cut off from the platform and from the others. The revision
must have been accepted before; every address of --server is given it.

Examples:
  carawayreel config get --from-store > accepted.json
  carawayreel config push accepted.json --server 10.0.2.1:7100,10.0.2.2:7100`
}

// Run pushes the revision to every server.
func (c *configPushCommand) Run(s *session) error {
	start := s.Now()
	accepted, err := s.readConfiguration(c.File)
	if err != nil {
		return err
	}
	section := report.Section{
		Key: "pushed", Title: "PUSHED TO", Unit: "VMS",
		Columns: []report.Column{
			{Head: "server", Width: 32}, {Head: "in force", Width: 10, Right: true}, {Head: "fault", Width: 80},
		},
	}
	var failed error
	reached := 0
	for i, target := range s.client.servers {
		request := connect.NewRequest(&pb.PushConfigurationRequest{Configuration: accepted})
		response, err := s.client.only(i).PushConfiguration(s.ctx, request)
		cells := []string{target.address, "", ""}
		if err != nil {
			failed = err
			cells[2] = err.Error()
		} else {
			reached++
			cells[1] = strconv.FormatUint(response.Msg.Revision, 10)
		}
		section.Rows = append(section.Rows, report.Row{Cells: cells})
	}
	if reached == 0 {
		return failed
	}
	result := report.State("PUSH OF REVISION "+strconv.FormatUint(accepted.Revision, 10),
		[]report.Section{section}, nil, s.Now().Sub(start), start)
	if failed != nil {
		result.Closing.Outcome = pb.Outcome_OUTCOME_PARTIAL
		result.Closing.Reason = "not every server took the revision"
	}
	return s.print(result, nil)
}
