// Package testseed fixes the seed of the property tests, so that they draw the same
// cases in every run. Test packages import it for its side effects. The flag
// -rapid.seed on the command line overrides the seed.
package testseed

import (
	"flag"

	// Registers the flags that init sets.
	_ "pgregory.net/rapid"
)

// seed is the rapid seed of all property tests.
const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
}
