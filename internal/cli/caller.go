package cli

import (
	"fmt"
	"strings"

	"buf.build/go/protovalidate"
	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/language"
	"github.com/carawayreel/carawayreel/internal/statement"
)

type searchCommand struct {
	Front      string   `arg:"" help:"Front to search."`
	Conditions []string `arg:"" optional:"" help:"Conditions as the language has them; all must hold."`
	Coverage   uint32   `help:"Least share of partitions wanted, in percent; with less no rows are returned."`
	Limit      uint32   `help:"Most rows returned; zero takes the front's."`
	Explain    bool     `help:"Print the decisions taken for the search."`
}

// Help implements kong.HelpProvider.
func (*searchCommand) Help() string {
	return `Examples:
  carawayreel search zoekportaal "name LIKE PREFIX 'Jans'" "parish = 'Utrecht'"
  carawayreel search bond-gate "cask = 'c-1042'" --time-limit 140ms --coverage 90
  carawayreel search zoekportaal "date < 1850-01-01" --limit 20 --explain --json`
}

// Run runs the search and prints its report.
func (c *searchCommand) Run(s *session) error {
	request := &pb.SearchRequest{
		Front:                  c.Front,
		TimeLimitMs:            uint32(s.flags.TimeLimit.Milliseconds()),
		MinimumCoveragePercent: c.Coverage,
		RowLimit:               c.Limit,
		Explain:                c.Explain,
	}
	for _, text := range c.Conditions {
		parsed, err := language.ParseConditions(text)
		if err != nil {
			return &UsageError{Reason: fmt.Sprintf("condition %q: %v", text, err)}
		}
		request.Conditions = append(request.Conditions, statement.Conditions(parsed)...)
	}
	if err := validateRequest(request); err != nil {
		return err
	}
	return s.print(s.runner.Search(s.ctx, request))
}

// validateRequest checks a request against the schema before it is sent.
func validateRequest(request proto.Message) error {
	if err := protovalidate.Validate(request); err != nil {
		return &UsageError{Reason: err.Error()}
	}
	return nil
}

// changeIdentity holds the flags that identify a change, so that resubmitting it does
// not run it twice.
type changeIdentity struct {
	Token string `help:"Token of the change; one is fetched and printed when neither it nor a key is given." xor:"identity"`
	Key   string `help:"Key of the change, chosen by the caller." xor:"identity"`
}

type editCommand struct {
	changeIdentity

	Front  string   `arg:"" help:"Front that the record belongs to."`
	Record string   `arg:"" help:"Identifier of the record."`
	Fields []string `arg:"" help:"New values, each as FIELD=VALUE."`
}

// Help implements kong.HelpProvider.
func (*editCommand) Help() string {
	return `The change runs at most once under its token or key. After "outcome unknown", send
the same command again with the same token, or ask with "carawayreel outcome".

Examples:
  carawayreel edit boombeheer trees:118 parish=Utrecht "name=Jan Jansen"
  carawayreel edit boombeheer trees:118 parish=Utrecht --token "$TOKEN"`
}

// Run submits the edit.
func (c *editCommand) Run(s *session) error {
	edit := &pb.RecordEdit{RecordId: c.Record}
	for _, assignment := range c.Fields {
		name, value, ok := strings.Cut(assignment, "=")
		if !ok || name == "" {
			return &UsageError{Reason: fmt.Sprintf("%q is not FIELD=VALUE", assignment)}
		}
		edit.Fields = append(edit.Fields, &pb.Field{Name: name, Value: value})
	}
	return s.submit(c.changeIdentity, &pb.Change{Front: c.Front, Kind: &pb.Change_Edit{Edit: edit}})
}

type transferCommand struct {
	changeIdentity

	Front string `arg:"" help:"Front that the cask belongs to."`
	Cask  string `arg:"" help:"Identifier of the cask's record."`
	From  string `required:"" help:"Present holder."`
	To    string `required:"" help:"New holder."`
}

// Help implements kong.HelpProvider.
func (*transferCommand) Help() string {
	return `The change runs at most once under its token or key. After "outcome unknown", send
the same command again with the same token, or ask with "carawayreel outcome".

Examples:
  carawayreel transfer broker-desk titles:42 --from "Penderyn" --to "Morgan & Co"
  carawayreel transfer broker-desk titles:42 --from a --to b --key order-7731`
}

// Run submits the transfer.
func (c *transferCommand) Run(s *session) error {
	transfer := &pb.TitleTransfer{CaskId: c.Cask, FromHolder: c.From, ToHolder: c.To}
	return s.submit(c.changeIdentity, &pb.Change{Front: c.Front, Kind: &pb.Change_Transfer{Transfer: transfer}})
}

// submit sends a change at most once. Without a token or key it first fetches a token
// and prints it, so that the outcome can be queried whatever happens next.
func (s *session) submit(id changeIdentity, change *pb.Change) error {
	if err := validateRequest(change); err != nil {
		return err
	}
	if id.Token == "" && id.Key == "" {
		response, err := s.client.IssueToken(s.ctx, connect.NewRequest(&pb.IssueTokenRequest{}))
		if err != nil {
			return errors.Wrap(err, "the change was not sent, for want of a token")
		}
		id.Token = response.Msg.Token
		_, _ = fmt.Fprintln(s.Stderr, "token:", id.Token)
	}
	return s.print(s.runner.Submit(s.ctx, &pb.SubmitChangeRequest{
		Token:       id.Token,
		CallerKey:   id.Key,
		Change:      change,
		TimeLimitMs: uint32(s.flags.TimeLimit.Milliseconds()),
	}))
}

type tokenCommand struct{}

// Help implements kong.HelpProvider.
func (*tokenCommand) Help() string {
	return `Examples:
  carawayreel token
  TOKEN=$(carawayreel token --json | jq -r '.subject[0].text')`
}

// Run fetches a token.
func (*tokenCommand) Run(s *session) error {
	return s.print(s.runner.IssueToken(s.ctx))
}

type outcomeCommand struct {
	Token string `arg:"" optional:"" help:"Token of the change."`
	Key   string `help:"Key of the change."`
}

// Help implements kong.HelpProvider.
func (*outcomeCommand) Help() string {
	return `Examples:
  carawayreel outcome "$TOKEN"
  carawayreel outcome --key order-7731 --json`
}

// Run queries the outcome.
func (c *outcomeCommand) Run(s *session) error {
	if (c.Token == "") == (c.Key == "") {
		return &UsageError{Reason: "give either a token or --key"}
	}
	return s.print(s.runner.Outcome(s.ctx, &pb.GetOutcomeRequest{Token: c.Token, CallerKey: c.Key}))
}
