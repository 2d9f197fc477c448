// Command standin runs the review's cases: it starts the project's VMs as processes beside
// stand-ins of the store, the searchers and the consumers, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Case is one case. It returns what broke the rule, or an empty string.
type Case func(d *Deployment, trouble bool) (string, error)

var cases = map[string]Case{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.close()
	d, err := newDeployment(record)
	if err != nil {
		record.Say("%v", err)
		return 2
	}
	defer d.Close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		d.Close()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	record.Say("case %s, disruption: %t", name, trouble)
	broken, err := cases[name](d, trouble)
	switch {
	case err != nil:
		record.Say("could not run: %v", err)
		return 2
	case broken != "":
		record.Say("BROKEN: %s", broken)
		return 1
	default:
		record.Say("held")
		return 0
	}
}
