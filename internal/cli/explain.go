package cli

import (
	"cmp"
	"fmt"
	"slices"

	"connectrpc.com/connect"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/report"
)

type explainCommand struct {
	RequestID string `arg:"" help:"Identifier of the request, as its report states it."`
}

// Help implements kong.HelpProvider.
func (*explainCommand) Help() string {
	return `Each VM remembers the decisions that it took itself, so give the addresses of all
VMs to see those of the owners, too.

Examples:
  carawayreel explain r-5f20 --server 10.0.0.1:7100,10.0.1.1:7100,10.0.2.1:7100
  carawayreel explain r-5f20 --format csv`
}

// Run fetches the decisions from all servers and prints them in order of time.
func (c *explainCommand) Run(s *session) error {
	start := s.Now()
	var decisions []*pb.Decision
	var failed []string
	var lastErr error
	for i, srv := range s.client.servers {
		request := connect.NewRequest(&pb.ListDecisionsRequest{RequestId: c.RequestID})
		response, err := s.client.forServer(i).ListDecisions(s.ctx, request)
		if err != nil {
			lastErr = err
			failed = append(failed, srv.address)
			continue
		}
		decisions = append(decisions, response.Msg.Decisions...)
	}
	if len(failed) == len(s.client.servers) {
		return lastErr
	}
	slices.SortStableFunc(decisions, func(a, b *pb.Decision) int { return cmp.Compare(a.OffsetUs, b.OffsetUs) })
	result := report.Success("DECISIONS FOR REQUEST "+c.RequestID,
		[]report.Section{report.Decisions(decisions)}, nil, s.Now().Sub(start), start)
	result.Closing.Notes = []report.Line{{
		Label: "ASKED",
		Text:  fmt.Sprintf("%d VMS, OF WHICH %d DID NOT ANSWER", len(s.client.servers), len(failed)),
	}}
	if lastErr != nil {
		result.Closing.Outcome = pb.Outcome_OUTCOME_PARTIAL
		result.Closing.Reason = "no answer from every server: " + lastErr.Error()
	}
	return s.print(result, nil)
}
