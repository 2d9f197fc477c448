package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"buf.build/go/protovalidate"
	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/report"
)

// configCommand groups the configuration commands.
type configCommand struct {
	Get      configGetCommand      `cmd:"" help:"Print a revision as JSON."`
	Diff     configDiffCommand     `cmd:"" help:"Compare a file with the configuration in force."`
	Validate configValidateCommand `cmd:"" help:"Check a file without applying it."`
	Review   configReviewCommand   `cmd:"" help:"Check the routes of a file: errors, entries that never match, contradictions, changes."`
	Apply    configApplyCommand    `cmd:"" help:"Apply a file by compare-and-swap on its revision."`
	History  configHistoryCommand  `cmd:"" help:"List accepted revisions."`
	Push     configPushCommand     `cmd:"" help:"Hand an accepted revision straight to VMs."`
	Profile  configProfileCommand  `cmd:"" help:"Print the configuration of a known deployment."`
}

// Help implements kong.HelpProvider.
func (*configCommand) Help() string {
	return `Configurations are JSON files in the schema carawayreel.v1.Configuration.

Examples:
  carawayreel config get > configuration.json
  carawayreel config apply configuration.json --comment "two more searchers"`
}

type configGetCommand struct {
	Revision  uint64 `help:"Revision; zero for the newest."`
	FromStore bool   `help:"Read from the platform's store instead of the VM's memory."`
}

// Help implements kong.HelpProvider.
func (*configGetCommand) Help() string {
	return `Examples:
  carawayreel config get > configuration.json
  carawayreel config get --from-store --revision 12`
}

// Run prints the configuration.
func (c *configGetCommand) Run(s *session) error {
	response, err := s.client.GetConfiguration(s.ctx, connect.NewRequest(&pb.GetConfigurationRequest{
		FromStore: c.FromStore,
		Revision:  c.Revision,
	}))
	if err != nil {
		return err
	}
	return writeConfiguration(s.Stdout, response.Msg.Configuration)
}

// writeConfiguration writes a configuration as indented JSON. It indents with
// encoding/json because the spacing of protojson output is not stable.
func writeConfiguration(w io.Writer, c *pb.Configuration) error {
	encoded, err := protojson.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, encoded, "", "  "); err != nil {
		return errors.Wrap(err, "indent configuration")
	}
	_, err = fmt.Fprintln(w, indented.String())
	return errors.Wrap(err, "write configuration")
}

// readConfiguration reads a configuration from a file, or from the standard input for
// "-". The error is a *UsageError.
func (s *session) readConfiguration(name string) (*pb.Configuration, error) {
	var content []byte
	var err error
	if name == "-" {
		content, err = io.ReadAll(s.Stdin)
	} else {
		content, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, &UsageError{Reason: err.Error()}
	}
	c := &pb.Configuration{}
	if err := protojson.Unmarshal(content, c); err != nil {
		return nil, &UsageError{Reason: fmt.Sprintf("%s is no configuration: %v", name, err)}
	}
	return c, nil
}

type configDiffCommand struct {
	File string `arg:"" help:"File with a configuration, or - for the standard input."`
}

// Help implements kong.HelpProvider.
func (*configDiffCommand) Help() string {
	return `Lines with - are in force and not in the file, lines with + the other way round.

Examples:
  carawayreel config diff configuration.json`
}

// Run prints the diff between the configuration in force and the file.
func (c *configDiffCommand) Run(s *session) error {
	start := s.Now()
	desired, err := s.readConfiguration(c.File)
	if err != nil {
		return err
	}
	response, err := s.client.GetConfiguration(s.ctx, connect.NewRequest(&pb.GetConfigurationRequest{}))
	if err != nil {
		return err
	}
	inForce := response.Msg.Configuration
	lines, err := diffConfigurations(inForce, desired)
	if err != nil {
		return err
	}
	sections := []report.Section{report.Difference(lines)}
	notes := report.ConfigurationNote(inForce, response.Msg.AgeMs)
	return s.print(report.Success("DIFFERENCE TO "+c.File, sections, notes, s.Now().Sub(start), start), nil)
}

type configValidateCommand struct {
	File    string `arg:"" help:"File with a configuration, or - for the standard input."`
	Offline bool   `help:"Check against the schema only, without asking a VM."`
	Force   bool   `help:"Accept fronts without serving targets."`
}

// Help implements kong.HelpProvider.
func (*configValidateCommand) Help() string {
	return `Examples:
  carawayreel config validate configuration.json
  carawayreel config validate configuration.json --offline`
}

// Run validates the file.
func (c *configValidateCommand) Run(s *session) error {
	desired, err := s.readConfiguration(c.File)
	if err != nil {
		return err
	}
	title := "VALIDATE " + c.File
	if err := protovalidate.Validate(desired); err != nil {
		invalid := &pb.ApplyConfigurationResponse{Status: pb.ApplyStatus_APPLY_STATUS_INVALID, Reason: err.Error()}
		return s.print(report.ApplyResult(title, invalid, 0, s.Now()), nil)
	}
	if c.Offline {
		return s.print(report.Success(title, nil, nil, 0, s.Now()), nil)
	}
	return s.print(s.runner.Apply(s.ctx, title, &pb.ApplyConfigurationRequest{
		Configuration:    desired,
		ExpectedRevision: desired.Revision,
		Force:            c.Force,
		DryRun:           true,
	}))
}

type configApplyCommand struct {
	File             string  `arg:"" help:"File with a configuration, or - for the standard input."`
	ExpectedRevision *uint64 `help:"Revision that must be in the store; by default the one in the file."`
	Comment          string  `help:"Why the configuration is changed."`
	Force            bool    `help:"Accept a configuration that leaves a front without serving targets."`
}

// Help implements kong.HelpProvider.
func (*configApplyCommand) Help() string {
	return `Another operator's revision is never overwritten: when one came first, the command
is refused and prints who made it and the difference.

Examples:
  carawayreel config apply configuration.json --comment "two more searchers"
  carawayreel config apply first.json --expected-revision 0`
}

// Run applies the file.
func (c *configApplyCommand) Run(s *session) error {
	desired, err := s.readConfiguration(c.File)
	if err != nil {
		return err
	}
	expected := desired.Revision
	if c.ExpectedRevision != nil {
		expected = *c.ExpectedRevision
	}
	desired.Comment = c.Comment
	return s.print(s.runner.Apply(s.ctx, "APPLY "+c.File, &pb.ApplyConfigurationRequest{
		Configuration:    desired,
		ExpectedRevision: expected,
		Force:            c.Force,
	}))
}

type configHistoryCommand struct {
	Limit uint32 `help:"Most revisions listed." default:"20"`
}

// Help implements kong.HelpProvider.
func (*configHistoryCommand) Help() string {
	return `Examples:
  carawayreel config history
  carawayreel config history --limit 5 --json`
}

// Run lists the accepted revisions.
func (c *configHistoryCommand) Run(s *session) error {
	return s.print(s.runner.History(s.ctx, c.Limit))
}
