package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// distantIdleLimit is how long an idle connection to a target that is not near stays
// open if this VM may open only minConnections. Such connections serve hedges, which
// are seconds apart. If all VMs kept them open, they would exhaust the target's
// connection limit; after a power loss of the VMs, they would do so until the target
// notices that they are dead.
const distantIdleLimit = time.Second

// Location identifies this VM and its failure domain, which decide the distances of
// targets.
type Location struct {
	VM            string
	FailureDomain string
}

// setDistances sets the distance of a service's targets and the idle limit of
// connections to them.
func (l Location) setDistances(targets []*Target) {
	otherDistance := Equidistant
	for _, t := range targets {
		if t.FailureDomain == l.FailureDomain {
			otherDistance = Far
		}
	}
	preferred := l.preferred(targets)
	for _, t := range targets {
		near := t.FailureDomain == l.FailureDomain || otherDistance == Equidistant && t == preferred
		if near {
			t.Distance = Near
			continue
		}
		t.Distance = otherDistance
		if t.Connections == minConnections {
			t.IdleLimit = distantIdleLimit
		}
	}
}

// preferred returns the target that this VM prefers if the service has no target in
// its failure domain: rendezvous hashing spreads the VMs over the targets.
func (l Location) preferred(targets []*Target) *Target {
	var best *Target
	var highest uint64
	for _, t := range targets {
		if hash := xxhash.Sum64String(l.VM + "\x00" + t.ID); best == nil || hash > highest {
			best, highest = t, hash
		}
	}
	return best
}
