package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// spareIdle is how long an unused connection to a target that is not near stays
// open where a target takes fewer connections than there are VMs. Such
// connections serve hedges, which are seconds apart; kept by all VMs they would
// use up the target's limit, also after the VMs lost power, until it notices.
const spareIdle = time.Second

// Place is where a VM stands among the targets.
type Place struct {
	VM            string
	FailureDomain string
}

// measure sets how far the targets of a service are, and how long connections to
// them stay.
func (p Place) measure(targets []*Target) {
	far := Beside
	for _, t := range targets {
		if t.FailureDomain == p.FailureDomain {
			far = Far
		}
	}
	kept := p.keepsTo(targets)
	for _, t := range targets {
		near := t.FailureDomain == p.FailureDomain || far == Beside && t == kept
		if near {
			t.Distance = Near
			continue
		}
		t.Distance = far
		if t.Connections == leastConnections {
			t.IdleLimit = spareIdle
		}
	}
}

// keepsTo returns the target that this VM prefers of a service without targets in
// its failure domain: rendezvous hashing spreads the VMs over them.
func (p Place) keepsTo(targets []*Target) *Target {
	var kept *Target
	var highest uint64
	for _, t := range targets {
		if hash := xxhash.Sum64String(p.VM + "\x00" + t.ID); kept == nil || hash > highest {
			kept, highest = t, hash
		}
	}
	return kept
}
