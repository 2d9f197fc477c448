// Package cli implements the command-line tool for callers and operators. Each command
// calls the services of a running deployment and prints a report; the exit code
// states the outcome.
package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"github.com/carawayreel/carawayreel/internal/language"
	"github.com/carawayreel/carawayreel/internal/report"
	"github.com/carawayreel/carawayreel/internal/statement"
)

// defaultTimeout bounds a call for which no time limit is given.
const defaultTimeout = 30 * time.Second

// timeoutMargin is added to a request's time limit to get the timeout of the call.
const timeoutMargin = 2 * time.Second

const description = `Search fronts, submit changes and operate a carawayreel deployment.

Exit codes: 0 success; 1 internal fault; 2 wrong usage or statement, nothing was
sent; 3 partial: some partitions are not covered; 4 refused: not run; 5 outcome
unknown: a change may or may not have run; 6 no server could be reached.`

// Environment holds the standard streams and the clock of the tool.
type Environment struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Now returns the current time, for run dates and elapsed times.
	Now func() time.Time
}

// StandardEnvironment returns the environment of this process.
func StandardEnvironment() Environment {
	return Environment{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Now: time.Now}
}

// globals holds the flags that all commands share.
type globals struct {
	Server          []string      `help:"Addresses of VMs, separated by commas; the next one is asked when one cannot be reached." default:"127.0.0.1:7100" env:"CARAWAYREEL_SERVER" placeholder:"HOST:PORT"`
	KeyFile         string        `help:"File with the operators' key." env:"CARAWAYREEL_KEY_FILE" placeholder:"FILE"`
	AccessTokenFile string        `help:"File with a ready access token, used instead of a key." env:"CARAWAYREEL_ACCESS_TOKEN_FILE" placeholder:"FILE"`
	Format          string        `help:"Layout of results: report, json or csv." enum:"report,json,csv" default:"report"`
	JSON            bool          `help:"Print results as JSON, the same as --format=json." name:"json"`
	TimeLimit       time.Duration `help:"Time limit of a search or change, such as 140ms; zero takes the front's." default:"0s"`
	Author          string        `help:"Name recorded with configuration changes." env:"CARAWAYREEL_AUTHOR" default:"${user}"`
}

// root is the command-line grammar for kong.
type root struct {
	globals

	Search      searchCommand      `cmd:"" help:"Search a front."`
	Edit        editCommand        `cmd:"" help:"Edit a record, at most once."`
	Transfer    transferCommand    `cmd:"" help:"Transfer the title of a cask, at most once."`
	Token       tokenCommand       `cmd:"" help:"Fetch a token for one change."`
	Outcome     outcomeCommand     `cmd:"" help:"Ask what became of a change."`
	Run         runCommand         `cmd:"" help:"Run statements of the query and command language."`
	Config      configCommand      `cmd:"" help:"Show, check and change the configuration."`
	TakeOut     takeOutCommand     `cmd:"" help:"Take a failure domain or target out of service."`
	BringBack   bringBackCommand   `cmd:"" help:"Bring a failure domain or target back into service."`
	Status      statusCommand      `cmd:"" help:"Show VMs, owners, ramps, budgets and the configuration's age."`
	Rollout     rolloutCommand     `cmd:"" help:"Show the roll-outs of services to other versions."`
	VMs         vmsCommand         `cmd:"" name:"vms" help:"List the VMs of the deployment."`
	Explain     explainCommand     `cmd:"" help:"Show the decisions taken for a request, with their reasons."`
	Prompt      promptCommand      `cmd:"" help:"Read statements interactively."`
	Completion  completionCommand  `cmd:"" help:"Print a shell completion script."`
	AccessToken accessTokenCommand `cmd:"" help:"Sign an access token for a team that shares the deployment."`
	Load        loadCommand        `cmd:"" help:"Load a front with searches and measure latency, coverage and extra load."`
	LoadCompare loadCompareCommand `cmd:"" help:"Compare the results of two load runs."`
	LoadPlot    loadPlotCommand    `cmd:"" help:"Draw the result of a load run."`
}

// session holds the state of one invocation of the tool.
type session struct {
	Environment

	ctx    context.Context
	flags  globals
	format report.Format
	// httpClient is shared by client and by clients for other addresses.
	httpClient *http.Client
	client     *client
	runner     *statement.Runner
	// exitCode is the exit code of the tool if no error occurs.
	exitCode statement.ExitCode
}

// UsageError reports invalid arguments or input.
type UsageError struct {
	Reason string
}

// Error returns the reason.
func (e *UsageError) Error() string {
	return e.Reason
}

// exitPanic is the panic value that ends a parse when kong exits, for example after
// printing help.
type exitPanic struct {
	code int
}

// Run runs one command and returns the exit code.
func Run(arguments []string, environment Environment) (code int) {
	defer func() {
		if exited, ok := recover().(exitPanic); ok {
			code = exited.code
		}
	}()
	var commands root
	parser, err := newParser(&commands, environment)
	if err != nil {
		return printError(environment, false, err)
	}
	parsed, err := parser.Parse(arguments)
	if err != nil {
		asJSON := commands.JSON || slices.Contains(arguments, "--json")
		return printError(environment, asJSON, &UsageError{Reason: err.Error()})
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s, err := newSession(ctx, commands.globals, environment)
	if err == nil {
		err = parsed.Run(s)
	}
	if err != nil {
		return printError(environment, commands.JSON, err)
	}
	return int(s.exitCode)
}

func newParser(commands *root, environment Environment) (*kong.Kong, error) {
	user := os.Getenv("USER")
	if user == "" {
		user = "operator"
	}
	parser, err := kong.New(commands,
		kong.Name("carawayreel"),
		kong.Description(description),
		kong.Vars{"user": user, "history": historyFile()},
		kong.Writers(environment.Stdout, environment.Stderr),
		kong.Exit(func(code int) { panic(exitPanic{code: code}) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, NoExpandSubcommands: true}),
	)
	return parser, errors.Wrap(err, "build command line")
}

func newSession(ctx context.Context, flags globals, environment Environment) (*session, error) {
	if flags.TimeLimit < 0 || flags.TimeLimit > time.Minute {
		return nil, &UsageError{Reason: "--time-limit must be from 0s to 1m"}
	}
	httpClient, err := newHTTPClient(flags)
	if err != nil {
		return nil, &UsageError{Reason: err.Error()}
	}
	timeout := defaultTimeout
	if flags.TimeLimit > 0 {
		timeout = flags.TimeLimit + timeoutMargin
	}
	format := report.Format(flags.Format)
	if flags.JSON {
		format = report.FormatJSON
	}
	c := newClient(flags.Server, httpClient, timeout)
	options := statement.Options{
		Caller: c, Admin: c, Author: flags.Author, Now: environment.Now, TimeLimit: flags.TimeLimit,
	}
	return &session{
		Environment: environment,
		ctx:         ctx,
		flags:       flags,
		format:      format,
		httpClient:  httpClient,
		client:      c,
		runner:      statement.New(options),
	}, nil
}

// print writes a report and sets the exit code from its outcome. It returns err
// unchanged if err is not nil.
func (s *session) print(r *report.Report, err error) error {
	if err != nil {
		return err
	}
	s.exitCode = statement.ExitCodeOf(r.Closing.Outcome)
	return report.Write(s.Stdout, r, s.format)
}

// failure is the JSON form of an error.
type failure struct {
	Error    string `json:"error"`
	ExitCode int    `json:"exitCode"`
}

// printError prints an error, as JSON to the standard output or as text to the
// standard error, and returns its exit code.
func printError(environment Environment, asJSON bool, err error) int {
	code := int(exitCodeOfError(err))
	if asJSON {
		if encoded, encodeError := json.Marshal(failure{Error: err.Error(), ExitCode: code}); encodeError == nil {
			_, _ = fmt.Fprintln(environment.Stdout, string(encoded))
			return code
		}
	}
	_, _ = fmt.Fprintln(environment.Stderr, "carawayreel:", err)
	return code
}

func exitCodeOfError(err error) statement.ExitCode {
	var usage *UsageError
	var syntax *language.SyntaxError
	var unreachable *UnreachableError
	switch {
	case errors.As(err, &usage), errors.As(err, &syntax):
		return statement.ExitUsage
	case errors.As(err, &unreachable):
		return statement.ExitUnreachable
	case isRefusal(err):
		return statement.ExitNotRun
	default:
		return statement.ExitInternal
	}
}
