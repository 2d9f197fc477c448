// Command standin runs fakes of the platform and of the targets of a deployment profile,
// and relays between VMs, for tests and demonstrations. It is not part of a release.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"github.com/carawayreel/carawayreel/internal/profile"
	"github.com/carawayreel/carawayreel/internal/standin"
)

type arguments struct {
	Listen        string        `help:"Address of the platform's key-value service and list of VMs." default:"127.0.0.1:7000"`
	Admin         string        `help:"Address of the administration of the stand-in." default:"127.0.0.1:7001"`
	Profile       string        `help:"Deployment to serve: ${enum}." enum:"demo,stamboomhuis,casgen" default:"demo"`
	Seed          uint64        `help:"Seed of the made-up records and of the targets' behaviour." default:"1"`
	BasePort      int           `help:"Port of the first target; the others follow." default:"21000"`
	Relay         []string      `help:"Relay to a VM, as domain=listen=peer; may be repeated." placeholder:"RELAY"`
	ServiceTime   time.Duration `help:"Mean time of a piece of work." default:"3ms"`
	SlowShare     float64       `help:"Share of the work that takes ten times as long." default:"0.01"`
	StartCold     bool          `help:"Start all targets cold."`
	WarmRequests  int           `help:"Pieces of work until a cold target is warm." default:"20"`
	WarmTime      time.Duration `help:"Least time until a cold target is warm." default:"500ms"`
	DownTime      time.Duration `help:"Time that a target is down after it fell over." default:"2s"`
	ReportLag     time.Duration `help:"Age that health and load answers may have." default:"1s"`
	ListLag       time.Duration `help:"Time that the list of VMs hides a change." default:"2s"`
	FaultInterval time.Duration `help:"Mean time between random faults; zero for none." default:"0s"`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Description("Fakes of the platform, targets and relays."))
	logger := zerolog.New(os.Stderr).With().Timestamp().Logger()
	if err := run(&args, logger); err != nil {
		logger.Error().Err(err).Msg("stand-in failed")
		os.Exit(1)
	}
}

func run(args *arguments, logger zerolog.Logger) error {
	options, err := args.options()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s := standin.New(options)
	if err := s.Start(ctx); err != nil {
		return err
	}
	logger.Info().
		Str("platform", args.Listen).
		Str("admin", args.Admin).
		Str("profile", args.Profile).
		Int("targets", options.Profile.TargetCount()).
		Msg("stand-in serving")
	s.Wait()
	return nil
}

// options converts the command-line arguments to the options of the stand-in.
func (a *arguments) options() (standin.Options, error) {
	p, err := profile.New(a.Profile, a.BasePort, a.Seed)
	if err != nil {
		return standin.Options{}, err
	}
	options := standin.DefaultOptions(p)
	options.PlatformAddress = a.Listen
	options.AdminAddress = a.Admin
	options.ServiceTime = a.ServiceTime
	options.SlowShare = a.SlowShare
	options.StartCold = a.StartCold
	options.WarmRequests = a.WarmRequests
	options.WarmTime = a.WarmTime
	options.DownTime = a.DownTime
	options.ReportLag = a.ReportLag
	options.ListLag = a.ListLag
	options.FaultInterval = a.FaultInterval
	for _, text := range a.Relay {
		relay, err := standin.ParseRelay(text)
		if err != nil {
			return standin.Options{}, err
		}
		options.Relays = append(options.Relays, relay)
	}
	return options, nil
}
