package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// spareIdle is how long an unused connection to a target that is not near stays open
// if the target allows fewer connections than there are VMs. Such connections serve
// hedges, which are seconds apart. If all VMs kept them, they would use up the
// target's limit; after a power loss of the VMs they would do so until the target
// notices it.
const spareIdle = time.Second

// Place is the location of this VM among the targets.
type Place struct {
	VM            string
	FailureDomain string
}

// setDistances sets the distance of a service's targets and the idle limit of
// connections to them.
func (p Place) setDistances(targets []*Target) {
	otherDistance := Equidistant
	for _, t := range targets {
		if t.FailureDomain == p.FailureDomain {
			otherDistance = Far
		}
	}
	preferred := p.preferred(targets)
	for _, t := range targets {
		near := t.FailureDomain == p.FailureDomain || otherDistance == Equidistant && t == preferred
		if near {
			t.Distance = Near
			continue
		}
		t.Distance = otherDistance
		if t.Connections == minConnections {
			t.IdleLimit = spareIdle
		}
	}
}

// preferred returns the target that this VM prefers if the service has no target in
// its failure domain: rendezvous hashing spreads the VMs over the targets.
func (p Place) preferred(targets []*Target) *Target {
	var best *Target
	var highest uint64
	for _, t := range targets {
		if hash := xxhash.Sum64String(p.VM + "\x00" + t.ID); best == nil || hash > highest {
			best, highest = t, hash
		}
	}
	return best
}
