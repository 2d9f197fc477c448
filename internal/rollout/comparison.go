package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// window is the time whose replies are compared with each other. Faults that both
	// versions share come and go within seconds; reports of VMs arrive each 300 ms.
	window = 500 * time.Millisecond
	// worseBy is the part of replies that a bad version fails, or delays, beyond those of the
	// present one, in the hypothesis that is tested.
	worseBy = 0.15
	// minFailureRate and minSlowRate are the lowest rates that are assumed of the present
	// version: single failures and pauses of targets are usual.
	minFailureRate = 0.015
	minSlowRate    = 0.03
	// priorBad and priorReplies are what is added to the replies of the present version, so
	// that few replies prove no low rate. The rate that is assumed is a standard deviation
	// above the measured one, which varies from window to window.
	priorBad, priorReplies = 0.5, 12
	// badEvidence is the logarithm of the odds at which a version is bad: some five failures
	// among few replies where the present version has none.
	badEvidence = 10.0
	// suspectEvidence is that at which the share is not raised, and closingEvidence that at
	// which the version is rolled back when no time is left for more. With 4.5 for both, 9 of 120
	// simulated roll-outs with a fault of both versions were rolled back.
	suspectEvidence = 4.5
	closingEvidence = 7.5
	// windowEvidence bounds what one window adds, and maxEvidence the sum, so that good replies
	// soon outweigh those that one event lost, as the crash of a target. The counts of the VMs
	// arrive over a second, so that the evidence must last for provenAfter.
	windowEvidence = 7.0
	// windowRelief bounds what the good replies of one window take away: with thousands of
	// replies a second, a version that is bad under load only is good again as soon as some VMs
	// have stopped sending to it.
	windowRelief = 3.5
	maxEvidence  = 15.0
	provenAfter  = 1500 * time.Millisecond
)

// comparison tests whether the ordered version is worse than the others. For each route, and
// for all together, it sums the logarithms of the odds of the replies in each window, not
// below zero, so that a version that becomes bad later is found as fast (CUSUM).
type comparison struct {
	order     Order
	windowEnd time.Time
	// before holds the counts of the ordered version and of the others, by route, at the
	// start of the window.
	before map[string][2]Counts
	sums   map[Test]float64
	// rates are the rates of the other versions.
	rates map[Test]*rate
}

// Test is one test: of failures or of slow replies, on a route or on all (empty name).
type Test struct {
	Route string
	Slow  bool
}

// Finding is the result of a test: the logarithm of the odds that the ordered version is
// worse than the others.
type Finding struct {
	Test
	Sum float64
}

// findings returns the results above zero, the strongest first.
func (c *comparison) findings() []Finding {
	var found []Finding
	for t, sum := range c.sums {
		if sum > 0 {
			found = append(found, Finding{Test: t, Sum: sum})
		}
	}
	slices.SortFunc(found, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(b.Sum, a.Sum), cmp.Compare(a.Route, b.Route))
	})
	return found[:min(len(found), maxFindings)]
}

// maxFindings bounds the results that a status holds.
const maxFindings = 32

// restore takes over what the decider before this one had found.
func (c *comparison) restore(findings []Finding) {
	for _, f := range findings {
		c.sums[f.Test] = max(c.sums[f.Test], f.Sum)
	}
}

func newComparison(order Order) *comparison {
	return &comparison{order: order, before: map[string][2]Counts{}, sums: map[Test]float64{}, rates: map[Test]*rate{}}
}

// advance compares the replies of the window if it has ended.
func (c *comparison) advance(p *pool, now time.Time) {
	if now.Before(c.windowEnd) {
		return
	}
	c.windowEnd = now.Add(window)
	overall := map[bool]float64{}
	for _, route := range p.routes() {
		ordered, others := p.versions(route, c.order.Version)
		before := c.before[route]
		c.before[route] = [2]Counts{ordered, others}
		ordered, others = ordered.since(before[0]), others.since(before[1])
		for _, slow := range []bool{false, true} {
			gain := c.gain(Test{route, slow}, ordered, others)
			c.add(Test{route, slow}, gain)
			overall[slow] += gain
		}
	}
	for slow, gain := range overall {
		c.add(Test{"", slow}, gain)
	}
}

// skip leaves counts out of the comparison that are about to be added to the pool.
func (c *comparison) skip(group Group, counts Counts) {
	before := c.before[group.Route]
	if group.Version == c.order.Version {
		before[0].add(counts)
	} else {
		before[1].add(counts)
	}
	c.before[group.Route] = before
}

func (c *comparison) add(t Test, gain float64) {
	gain = min(max(gain, -windowRelief), windowEvidence)
	c.sums[t] = min(max(c.sums[t]+gain, 0), maxEvidence)
}

// gain returns the logarithm of the odds of a window's replies: that of the ordered version
// being worse than the others, against it being as they are.
func (c *comparison) gain(t Test, ordered, others Counts) float64 {
	bad, badOfOthers, lowest := ordered.Failures, others.Failures, minFailureRate
	if t.Slow {
		bad, badOfOthers, lowest = ordered.Slow(), others.Slow(), minSlowRate
	}
	r := c.rates[t]
	if r == nil {
		r = &rate{}
		c.rates[t] = r
	}
	r.advance(float64(badOfOthers), float64(others.Replies))
	if ordered.Replies == 0 || !r.known() {
		return 0
	}
	p0 := min(max(r.value, lowest), 1-worseBy)
	p1 := p0 + (1-p0)*worseBy
	good := ordered.Replies - min(bad, ordered.Replies)
	return float64(bad)*math.Log(p1/p0) + float64(good)*math.Log((1-p1)/(1-p0))
}

// rate estimates the part of bad replies of the other versions in the present window.
type rate struct {
	// bad and replies are sums over the last windows.
	bad, replies float64
	windows      int
	value        float64
}

// advance takes the replies of a window. The rate is that of the last windows, or of this one
// if it is higher, as in a fault of both versions; a standard deviation is added. It falls
// slowly, as replies that a shared fault delayed arrive after it.
func (r *rate) advance(bad, replies float64) {
	r.windows++
	r.bad, r.replies = r.bad*memory+bad, r.replies*memory+replies
	value := upper(r.bad+priorBad, r.replies+priorReplies)
	if replies >= minOthers {
		value = max(value, upper(bad, replies))
	}
	r.value = max(value, r.value*rateDecay)
}

func upper(bad, replies float64) float64 {
	part := min(bad/replies, 1)
	return part + math.Sqrt(part*(1-part)/replies)
}

func (r *rate) known() bool { return r.replies >= minOthers || r.windows >= maxUnknown }

const (
	// memory is the weight of the sums of replies after a further window: they cover some 3 s.
	memory = 0.85
	// rateDecay is what remains of the rate of the other versions after a window.
	rateDecay = 0.6
	// minOthers is the number of replies of the other versions from which their rate is known.
	// After maxUnknown windows without, it is assumed to be low.
	minOthers  = 5
	maxUnknown = 6
)

// strongest returns the greatest evidence against the ordered version, and where it is.
func (c *comparison) strongest() (float64, Test) {
	found := c.findings()
	if len(found) == 0 {
		return 0, Test{}
	}
	return found[0].Sum, found[0].Test
}
