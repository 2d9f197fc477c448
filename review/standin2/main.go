// Command standin2 plays the cases of the review of 6 December against the programs of the deploy
// file. The store, the searchers and the consumers are stand-ins that follow the users' pages.
//
//	standin2 CASE    from the environment: ROOT, the repository; RECORD, the record to write; TROUBLE
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

var (
	start    = time.Now()
	recordMu sync.Mutex
	record   *os.File
	current  *deployment
)

func main() {
	cases := map[string]func(trouble bool) int{"bodies": caseBodies, "uploads": caseUploads, "keys": caseKeys}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		must(errors.New("the argument names no case"))
	}
	play := cases[os.Args[1]]
	var err error
	record, err = os.Create(os.Getenv("RECORD"))
	must(err)
	trouble := os.Getenv("TROUBLE") != "0"
	note("case %s, trouble %v", os.Args[1], trouble)
	result := play(trouble)
	note("result %d: %s", result, map[int]string{held: "the rule held", broken: "THE RULE WAS BROKEN", cannotRun: "the case could not run"}[result])
	exit(result)
}

// note writes a line of the record, with the time since the start.
func note(format string, arguments ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(start).Seconds(), fmt.Sprintf(format, arguments...))
	if record != nil {
		_, _ = record.WriteString(line)
	}
	_, _ = os.Stdout.WriteString(line)
}

func exit(code int) {
	if current != nil {
		current.close()
	}
	os.Exit(code)
}

// must ends a case that cannot run.
func must(err error) {
	if err != nil {
		note("cannot run: %v", err)
		exit(cannotRun)
	}
}

// retryAfter returns how long the answer asks its consumer to wait.
func retryAfter(a answer) time.Duration {
	seconds, _ := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	return time.Duration(seconds * float64(time.Second))
}
