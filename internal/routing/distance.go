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
// connections to them. If it is relayed, messages to other failure domains are fewer when
// the VM prefers the same ones for all services.
func (l Location) setDistances(targets []*Target, relayed bool) {
	otherDistance := Equidistant
	for _, t := range targets {
		if t.FailureDomain == l.FailureDomain {
			otherDistance = Far
		}
	}
	preferred := l.preferred(targets, relayed)
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
// its failure domain: rendezvous hashing spreads the VMs over the targets, or if it is
// relayed over the failure domains.
func (l Location) preferred(targets []*Target, relayed bool) *Target {
	var best *Target
	var highest preference
	for _, t := range targets {
		p := preference{target: xxhash.Sum64String(l.VM + "\x00" + t.ID)}
		if relayed {
			p.domain = xxhash.Sum64String(l.VM + "\x00" + t.FailureDomain)
		}
		if best == nil || p.exceeds(highest) {
			best, highest = t, p
		}
	}
	return best
}

// preference orders targets by their failure domain first.
type preference struct{ domain, target uint64 }

func (p preference) exceeds(other preference) bool {
	return p.domain > other.domain || p.domain == other.domain && p.target > other.target
}
