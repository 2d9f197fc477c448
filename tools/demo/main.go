// Command demo builds the system, starts one stand-in and three VMs in three
// failure domains as separate processes, runs commands of the command-line tool
// against them, and stops all VMs gracefully.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/carawayreel/carawayreel/internal/profile"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

const (
	timeout  = 2 * time.Minute
	fileMode = 0o600
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
	fmt.Println("demo: every process stopped cleanly")
}

func run() error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "carawayreel-demo-")
	if err != nil {
		return errors.Wrap(err, "create temporary directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	fmt.Println("demo: building and starting one stand-in and three VMs")
	d, err := testkit.Start(ctx, testkit.Options{
		Dir: dir, Profile: "demo", Seed: 1, VMsPerDomain: 1, WithoutConfiguration: true,
	})
	if err != nil {
		d.Close()
		return err
	}
	defer d.Close()
	s := session{ctx: ctx, server: d.VMs[0].CallerAddress}
	if err := s.runCommands(d, dir); err != nil {
		return err
	}
	return stopVMs(ctx, d)
}

// session runs the command-line tool against one VM.
type session struct {
	ctx    context.Context
	server string
}

func (s session) runCommands(d *testkit.Deployment, dir string) error {
	file := filepath.Join(dir, "configuration.json")
	if err := writeConfiguration(d, file); err != nil {
		return err
	}
	if err := testkit.Poll(s.ctx, timeout, func() bool { return testkit.Reachable(s.server) }); err != nil {
		return errors.Wrap(err, "VM does not answer")
	}
	if err := s.runTool("config", "apply", file, "--comment", "first configuration"); err != nil {
		return err
	}
	if err := d.AwaitReady(s.ctx); err != nil {
		return err
	}
	record := profile.RecordID("archive-01", 1)
	cask := profile.RecordID("register", 1)
	steps := [][]string{
		{"status"},
		{"search", "archive", "name LIKE PREFIX 'V'", "--limit", "12", "--time-limit", "2s"},
		{"edit", "archive", record, "remark=checked against the parish register"},
		{"transfer", "register", cask, "--from", holder(d, cask), "--to", "Broker Two"},
	}
	for _, step := range steps {
		if err := s.runTool(step...); err != nil {
			return err
		}
	}
	return nil
}

func writeConfiguration(d *testkit.Deployment, file string) error {
	text, err := protojson.MarshalOptions{Multiline: true}.Marshal(d.Profile.Configuration())
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	return errors.Wrap(os.WriteFile(file, text, fileMode), "write configuration")
}

func holder(d *testkit.Deployment, cask string) string {
	row, ok := d.Profile.Record("register", cask, profile.NewestVersion)
	if !ok {
		return ""
	}
	value, _ := profile.FieldValue(row, "holder")
	return value
}

// runTool runs the command-line tool and prints the command with its output. A
// non-zero exit code is an error.
func (s session) runTool(arguments ...string) error {
	fmt.Printf("\n$ carawayreel %q\n", arguments)
	code, err := testkit.RunTool(s.ctx, os.Stdout, append(arguments, "--server", s.server)...)
	if err != nil {
		return err
	}
	if code != 0 {
		return errors.Errorf("%s ended with exit code %d", arguments[0], code)
	}
	return nil
}

// stopVMs stops the VMs gracefully, one after the other.
func stopVMs(ctx context.Context, d *testkit.Deployment) error {
	fmt.Println()
	for _, vm := range d.VMs {
		code, err := vm.Stop(ctx)
		if err != nil {
			return err
		}
		if code != 0 {
			return errors.Errorf("%s ended with exit code %d; its last log lines:\n%s", vm.ID, code, lastLines(d.LogPath(vm.ID)))
		}
		fmt.Printf("demo: %s stopped with exit code 0\n", vm.ID)
	}
	return nil
}

// logTailLines is the number of log lines printed for a VM that failed.
const logTailLines = 12

// lastLines returns the last logTailLines lines of a log file.
func lastLines(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(len(lines)-logTailLines, 0):], "\n")
}
