// Command standin3 plays the cases of the review: it starts the project's machines beside stand-ins of the
// platform's store, of servers and of consumers, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases holds the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(rec *record, trouble bool) (bool, error){
	"drill":    playDrill,
	"era":      playEra,
	"crashing": playCrashing,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := cases[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("the rule was broken")
		return exitBroken
	default:
		rec.say("the rule held")
		return exitHeld
	}
}
