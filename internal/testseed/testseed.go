// Package testseed makes property tests draw the same cases in every run. A test
// package imports it for its effect; -rapid.seed on the command line still
// chooses other cases.
package testseed

import (
	"flag"

	// Defines the flags that are set here.
	_ "pgregory.net/rapid"
)

// seed is the seed of all property tests.
const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
}
