package cli

import (
	"encoding/hex"
	"fmt"
	"io"
	"os"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/carawayreel/carawayreel/internal/configuration"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/report"
	"github.com/carawayreel/carawayreel/platform"
)

// configReviewCommand checks a route table before it is sent.
type configReviewCommand struct {
	File     string `arg:"" help:"File with a configuration, or - for the standard input."`
	Platform bool   `help:"The file holds routes as the users' platform stores them, not a configuration of this product."`
	Offline  bool   `help:"Do not compare with the routes in force at a VM."`
}

// Help implements kong.HelpProvider.
func (*configReviewCommand) Help() string {
	return `Checks the routes of a file before it is sent: errors, entries that can never match, limits
that contradict each other, and what differs from the routes in force. Nothing is applied. Keys
are shown by the first bytes of their digests.

Examples:
  carawayreel config review configuration.json
  carawayreel config review --platform routes.json --offline`
}

// Run prints the findings and the difference.
func (c *configReviewCommand) Run(s *session) error {
	start := s.Now()
	desired, findings, err := c.read(s)
	if err != nil {
		return err
	}
	findings = append(findings, configuration.Review(desired)...)
	sections := []report.Section{findingsSection(findings)}
	var notes []report.Line
	if !c.Offline {
		response, err := s.client.GetConfiguration(s.ctx, connect.NewRequest(&pb.GetConfigurationRequest{}))
		if err != nil {
			return err
		}
		inForce := response.Msg.Configuration
		lines, err := diffRouteTables(inForce.GetRouteTable(), desired)
		if err != nil {
			return err
		}
		sections = append(sections, report.Difference(lines))
		notes = report.ConfigurationNote(inForce, response.Msg.AgeMs)
	}
	r := report.Success("REVIEW "+c.File, sections, notes, s.Now().Sub(start), start)
	for _, finding := range findings {
		if finding.Severity == configuration.Error {
			r.Closing.Outcome = pb.Outcome_OUTCOME_NOT_RUN
			r.Closing.Reason = finding.Place + ": " + finding.Text
			break
		}
	}
	return s.print(r, nil)
}

// read returns the route table of the file, and what could not be read of it.
func (c *configReviewCommand) read(s *session) (*pb.RouteTable, []configuration.Finding, error) {
	if !c.Platform {
		read, err := s.readConfiguration(c.File)
		return read.GetRouteTable(), nil, err
	}
	var content []byte
	var err error
	if c.File == "-" {
		content, err = io.ReadAll(s.Stdin)
	} else {
		content, err = os.ReadFile(c.File)
	}
	if err != nil {
		return nil, nil, &UsageError{Reason: err.Error()}
	}
	table, omitted, err := platform.DecodeConfiguration(content)
	if err != nil {
		return nil, nil, &UsageError{Reason: fmt.Sprintf("%s holds no routes: %v", c.File, err)}
	}
	var findings []configuration.Finding
	for _, text := range omitted {
		findings = append(findings, configuration.Finding{Severity: configuration.Error, Place: "organisations", Text: text})
	}
	return table, findings, nil
}

func findingsSection(findings []configuration.Finding) report.Section {
	section := report.Section{
		Key: "findings", Title: "FINDINGS", Unit: "FINDINGS",
		Columns: []report.Column{{Header: "severity", Width: 8}, {Header: "place", Width: 30}, {Header: "finding", Width: 90}},
	}
	for _, finding := range findings {
		section.Rows = append(section.Rows, report.Row{Cells: []string{finding.Severity.String(), finding.Place, finding.Text}})
	}
	return section
}

// diffRouteTables returns the diff of two route tables, as diffConfigurations does for fronts.
func diffRouteTables(before, after *pb.RouteTable) ([]string, error) {
	return diffMessages(comparableTable(before), comparableTable(after))
}

// comparableTable returns a copy without what VMs add, in which the digests of keys are
// shortened.
func comparableTable(table *pb.RouteTable) *pb.RouteTable {
	if table == nil {
		return &pb.RouteTable{}
	}
	const digestBytes = 4
	table = proto.CloneOf(table)
	table.Revision = 0
	for _, organisation := range table.Organisations {
		for i, digest := range organisation.KeyDigests {
			short := hex.EncodeToString(digest[:min(len(digest), digestBytes)])
			// The JSON form of bytes is base64, which this text survives unchanged.
			organisation.KeyDigests[i] = []byte(short)
		}
	}
	return table
}
