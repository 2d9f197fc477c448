package rollout

import (
	"maps"
	"slices"
	"time"
)

// classBounds are the upper bounds of the classes of reply times, as multiples of the usual
// reply time of the route; the last class has none. Replies of the classes from SlowClass
// on are slow: several times the usual time, beyond what a pause of a target adds often.
var classBounds = [...]float64{1.5, 2.5, 5, 10}

const (
	// Classes is the number of classes of reply times.
	Classes = len(classBounds) + 1
	// SlowClass is the first class of slow replies.
	SlowClass = 2
)

// ClassOf returns the class of a reply time on a route with the given usual reply time.
func ClassOf(took, usual time.Duration) int {
	for class, bound := range classBounds {
		if float64(took) <= bound*float64(usual) {
			return class
		}
	}
	return len(classBounds)
}

// Counts are the replies of one version on one route.
type Counts struct {
	Replies uint64
	// Failures are server failures of requests that ran, and lost replies.
	Failures uint64
	// Times are the numbers of the other replies in each class.
	Times [Classes]uint64
}

// Slow returns the number of slow replies.
func (c Counts) Slow() uint64 {
	slow := uint64(0)
	for _, n := range c.Times[SlowClass:] {
		slow += n
	}
	return slow
}

// Bad returns the number of failures and slow replies.
func (c Counts) Bad() uint64 { return c.Failures + c.Slow() }

func (c *Counts) add(other Counts) {
	c.Replies += other.Replies
	c.Failures += other.Failures
	for i, n := range other.Times {
		c.Times[i] += n
	}
}

// since returns what was counted after an earlier state of the same counts.
func (c Counts) since(earlier Counts) Counts {
	c.Replies -= min(earlier.Replies, c.Replies)
	c.Failures -= min(earlier.Failures, c.Failures)
	for i, n := range earlier.Times {
		c.Times[i] -= min(n, c.Times[i])
	}
	return c
}

// Origin identifies the process that counted.
type Origin struct {
	VM          string
	Incarnation uint64
}

// Group is the version and route that counts belong to.
type Group struct {
	Route   string
	Version string
}

// pool sums the cumulative counts of all VMs for one order.
type pool struct {
	latest map[Origin]map[Group]Counts
	totals map[Group]Counts
}

func newPool() *pool {
	return &pool{latest: map[Origin]map[Group]Counts{}, totals: map[Group]Counts{}}
}

// merge replaces the counts of an origin by later ones. Counts only grow, so those with the
// most replies are the latest.
func (p *pool) merge(from Origin, group Group, counts Counts) {
	groups := p.latest[from]
	if groups == nil {
		groups = map[Group]Counts{}
		p.latest[from] = groups
	}
	known := groups[group]
	if counts.Replies <= known.Replies {
		return
	}
	total := p.totals[group]
	total.add(counts.since(known))
	p.totals[group] = total
	groups[group] = counts
}

func (p *pool) knows(from Origin, group Group) bool {
	_, ok := p.latest[from][group]
	return ok
}

// routes returns the names of the routes with counts, in ascending order.
func (p *pool) routes() []string {
	names := map[string]bool{}
	for group := range p.totals {
		names[group.Route] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// versions returns the counts of the ordered version and of all others on a route.
func (p *pool) versions(route, ordered string) (of, others Counts) {
	for group, counts := range p.totals {
		switch {
		case group.Route != route:
		case group.Version == ordered:
			of.add(counts)
		default:
			others.add(counts)
		}
	}
	return of, others
}

// badRate returns the part of bad replies, estimated so that few replies prove nothing.
func (c Counts) badRate() float64 {
	return (float64(c.Bad()) + priorBad) / (float64(c.Replies) + priorReplies)
}
