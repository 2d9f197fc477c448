// Command carawayreeld is the query tier daemon. It runs on each VM of the tier.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/carawayreel/carawayreel/internal/daemon"
	"github.com/carawayreel/carawayreel/internal/settings"
)

// Exit codes. exitSettings means that the settings file is invalid.
const (
	exitFailure  = 1
	exitSettings = 2
)

// logBufferLines is the number of log lines buffered for a slow reader of standard
// output. Further lines are dropped, so that logging never blocks.
const logBufferLines = 4096

type arguments struct {
	Run      runCommand      `cmd:"" help:"Run the daemon until SIGTERM or SIGINT, then stop without cutting requests."`
	Check    checkCommand    `cmd:"" help:"Check a settings file. Exit code 2 when it is faulty."`
	Defaults defaultsCommand `cmd:"" help:"Print a commented settings file with every default."`
}

type runCommand struct {
	File string `arg:"" env:"CARAWAYREEL_CONFIG" help:"Settings file."`
}

type checkCommand struct {
	File string `arg:"" help:"Settings file."`
}

type defaultsCommand struct{}

func main() {
	var args arguments
	parsed := kong.Parse(&args, kong.Description("Daemon of the carawayreel query tier."))
	parsed.FatalIfErrorf(parsed.Run())
}

// Run runs the daemon until SIGTERM or SIGINT. SIGHUP reloads the settings file.
func (c *runCommand) Run() error {
	loaded, err := settings.Load(c.File)
	if err != nil {
		exit(exitSettings, err)
	}
	level, err := zerolog.ParseLevel(loaded.Log.Level)
	if err != nil {
		exit(exitSettings, err)
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMicro
	output := diode.NewWriter(os.Stdout, logBufferLines, 0, nil)
	defer func() { _ = output.Close() }()
	logger := zerolog.New(output).Level(level).With().Timestamp().Str("vm", loaded.Vm.Id).Logger()
	stop, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer release()
	d, err := daemon.New(loaded, logger)
	if err != nil {
		exit(exitFailure, err)
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	if err := d.Run(stop, daemon.NewReloader(d, c.File, settings.Load, reload)); err != nil {
		exit(exitFailure, err)
	}
	return nil
}

// Run validates a settings file.
func (c *checkCommand) Run() error {
	if _, err := settings.Load(c.File); err != nil {
		exit(exitSettings, err)
	}
	_, err := fmt.Println("ok")
	return err
}

// Run prints the commented default settings.
func (defaultsCommand) Run() error {
	_, err := fmt.Print(settings.Defaults())
	return err
}

// exit prints the error to standard error and exits with the code.
func exit(code int, err error) {
	fmt.Fprintln(os.Stderr, "carawayreeld:", err)
	os.Exit(code)
}
