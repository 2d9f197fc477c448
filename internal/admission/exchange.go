package admission

import (
	"cmp"
	"slices"
	"strings"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

const (
	// maxPerMessage bounds the services, of about 40 bytes each, in one message. If there are
	// more, those with the highest pressure are sent.
	maxPerMessage = 128
	// maxPeers bounds the VMs whose pressure of one service is kept. A sample of them suffices
	// for the mean.
	maxPeers = 64
)

// Updates returns the pressures for other VMs. Those without pressure are told for a while
// after one has ended, so that the mean of all VMs falls, too.
func (c *Controller) Updates(now time.Time) []*pb.ServicePressure {
	if !c.Enabled() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var updates []*pb.ServicePressure
	for name, s := range c.services {
		if now.Sub(s.observedAt) >= pressureTTL || s.pressure < minPressure && s.effective(now) < minPressure {
			continue
		}
		s.demand.decay(now)
		updates = append(updates, &pb.ServicePressure{
			Service: name, Pressure: s.pressure, Demand: s.demand.total, AgeMs: uint32(now.Sub(s.observedAt).Milliseconds()),
		})
	}
	slices.SortFunc(updates, func(a, b *pb.ServicePressure) int {
		return cmp.Or(cmp.Compare(b.Pressure, a.Pressure), strings.Compare(a.Service, b.Service))
	})
	return updates[:min(len(updates), maxPerMessage)]
}

// Merge records the pressures at another VM. Values out of range are left out.
func (c *Controller) Merge(from string, updates []*pb.ServicePressure, now time.Time) {
	if !c.Enabled() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range updates {
		// The comparisons are false for values that are no numbers.
		if !(u.GetPressure() >= 0 && u.GetPressure() <= maxPressure && u.GetDemand() >= 0 && u.GetDemand() <= maxDemand) {
			continue
		}
		s := c.service(u.GetService(), now)
		if s == nil {
			return
		}
		at := now.Add(-time.Duration(u.GetAgeMs()) * time.Millisecond)
		s.merge(peerPressure{vm: from, pressure: u.GetPressure(), demand: u.GetDemand(), at: at})
	}
}

// maxDemand bounds the demand that another VM may state, in milliseconds of work; it is more
// than the fastest VM can send.
const maxDemand = 1e7

// Retain drops the services and routes for which the functions return false, and the
// organisations without requests for ten usual times.
func (c *Controller) Retain(hasService, hasRoute func(string) bool, now time.Time) {
	if !c.Enabled() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.services {
		if !hasService(firstOf(name)) {
			delete(c.services, name)
		}
	}
	for name := range c.routes {
		if !hasRoute(name) {
			delete(c.routes, name)
		}
	}
	for name, o := range c.organisations {
		if now.Sub(o.at) > 10*usualTime {
			delete(c.organisations, name)
		}
	}
}

// Load is the load of a service as it is shown in metrics.
type Load struct {
	Pressure float64
	InFlight int
}

// Loads returns the load of each service that this VM sends to.
func (c *Controller) Loads(now time.Time) map[string]Load {
	if !c.Enabled() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	loads := make(map[string]Load, len(c.services))
	for name, s := range c.services {
		loads[name] = Load{Pressure: s.effective(now), InFlight: s.inFlight}
	}
	return loads
}
