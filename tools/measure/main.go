// Command measure runs one experiment with real processes under load. Experiments
// that compare the product, which is the daemon with its default policies, with a
// baseline measure both in the same run. The last line of output holds the figures,
// the bound that they must meet, and "ok", or "short" if they miss it.
package main

import (
	"context"
	"fmt"
	"os"
	"sort"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
)

// experiment runs a measurement and returns its verdict.
type experiment func(ctx context.Context, h *harness) (verdict, error)

// verdict is the result of an experiment.
type verdict struct {
	figures string
	bound   string
	// ok reports whether the figures meet the bound.
	ok bool
}

func experiments() map[string]experiment {
	return map[string]experiment{
		"tail":       tail,
		"ownership":  ownership,
		"cold":       cold,
		"choice":     choice,
		"store":      store,
		"config":     config,
		"rolling":    rolling,
		"leaving":    leaving,
		"changes":    changes,
		"poison":     poison,
		"membership": membership,
	}
}

type arguments struct {
	Name     string        `arg:"" help:"Experiment: ${names}."`
	Seed     uint64        `help:"Seed of records, targets and arrivals." default:"1"`
	Duration time.Duration `help:"Length of each measured part." default:"12s"`
	Rate     float64       `help:"Searches a second." default:"100"`
	Profile  string        `help:"Deployment: stamboomhuis or casgen." default:"stamboomhuis"`
	VMs      []int         `name:"vms" help:"Numbers of VMs, for experiments that vary it." default:"9,30"`
}

const maxRunTime = 30 * time.Minute

func main() {
	var args arguments
	kong.Parse(&args, kong.Description("Run one experiment."), kong.Vars{"names": names()})
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func names() string {
	found := make([]string, 0, len(experiments()))
	for name := range experiments() {
		found = append(found, name)
	}
	sort.Strings(found)
	return fmt.Sprint(found)
}

func run(args arguments) error {
	selected, ok := experiments()[args.Name]
	if !ok {
		return errors.Errorf("unknown experiment %q; available are %s", args.Name, names())
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxRunTime)
	defer cancel()
	dir, err := os.MkdirTemp("", "carawayreel-measure-")
	if err != nil {
		return errors.Wrap(err, "create temporary directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	result, err := selected(ctx, &harness{arguments: args, dir: dir})
	if err != nil {
		return err
	}
	status := "short"
	if result.ok {
		status = "ok"
	}
	fmt.Printf("%s: %s; bound: %s; %s\n", args.Name, result.figures, result.bound, status)
	return nil
}
