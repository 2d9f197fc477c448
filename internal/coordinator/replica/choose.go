package replica

import "time"

// Query is what a choice is made for.
type Query struct {
	// OwnDomain is the failure domain of this VM.
	OwnDomain string
	Snapshot  uint64
	// Salt breaks ties, so that VMs do not all pick the same replica.
	Salt uint64
	// Skip reports candidates that must not be chosen.
	Skip func(index int) bool
	// AvoidDomain is a failure domain to choose only if there is no other.
	AvoidDomain string
}

// rank orders candidates; lower is better in each field, the first counts most.
type rank struct {
	lacksSnapshot bool
	avoided       bool
	setAside      bool
	load          float64
	foreign       bool
	tie           uint64
}

func (a rank) less(b rank) bool {
	switch {
	case a.lacksSnapshot != b.lacksSnapshot:
		return b.lacksSnapshot
	case a.setAside != b.setAside:
		return b.setAside
	case a.avoided != b.avoided:
		return b.avoided
	case a.load != b.load:
		return a.load < b.load
	case a.foreign != b.foreign:
		return b.foreign
	default:
		return a.tie < b.tie
	}
}

// Reasons of choices, as they are logged.
const (
	reasonLeastLoad  = "least in-flight work per slot"
	reasonOnly       = "only replica left"
	reasonSetAside   = "all replicas left are set aside"
	reasonRandom     = "random"
	reasonReport     = "least reported load"
	reasonNoneRemain = "no replica left"
)

// exhaustive is the number of replicas up to which all are compared; of larger
// groups two are drawn.
const exhaustive = 8

// Choose picks the candidate with the least load per slot that is not set
// aside, and the own failure domain where loads are equal. Of large groups it
// compares two that are drawn by the salt.
func (g *Group) Choose(candidates []Candidate, q Query, now time.Time) Choice {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(candidates) > exhaustive {
		if choice, ok := g.chooseOfTwo(candidates, q, now); ok {
			return choice
		}
	}
	best, left := None, 0
	var bestRank rank
	for i := range candidates {
		if q.Skip != nil && q.Skip(i) {
			continue
		}
		left++
		rank := g.rank(candidates[i], i, q, now)
		if best == None || rank.less(bestRank) {
			best, bestRank = i, rank
		}
	}
	return g.chosen(best, left, bestRank)
}

// chooseOfTwo compares two drawn candidates; it reports false when neither is
// in order, so that all have to be compared.
func (g *Group) chooseOfTwo(candidates []Candidate, q Query, now time.Time) (Choice, bool) {
	n := uint64(len(candidates))
	first := int(Mix(q.Salt) % n)
	second := int((uint64(first) + 1 + Mix(q.Salt+1)%(n-1)) % n)
	best := None
	var bestRank rank
	for _, i := range [...]int{first, second} {
		if q.Skip != nil && q.Skip(i) {
			continue
		}
		rank := g.rank(candidates[i], i, q, now)
		if rank.setAside || rank.lacksSnapshot || rank.avoided {
			continue
		}
		if best == None || rank.less(bestRank) {
			best, bestRank = i, rank
		}
	}
	return Choice{Index: best, Reason: reasonLeastLoad}, best != None
}

func (g *Group) rank(c Candidate, index int, q Query, now time.Time) rank {
	result := rank{
		foreign: c.FailureDomain != q.OwnDomain,
		avoided: q.AvoidDomain != "" && c.FailureDomain == q.AvoidDomain,
		tie:     Mix(q.Salt + uint64(index)),
	}
	if g.owners != nil {
		result.setAside = g.owners.Avoided(c.Owner, now)
	}
	r := g.find(c.Target)
	if r == nil {
		return result
	}
	result.lacksSnapshot = r.lacks(q.Snapshot, now)
	if r.setAside && !r.overdue(now) {
		result.setAside = true
	}
	result.load = r.load(c.Slots, now)
	return result
}

func (g *Group) chosen(index, left int, r rank) Choice {
	switch {
	case index == None:
		return Choice{Index: None, Reason: reasonNoneRemain}
	case r.setAside:
		return Choice{Index: index, Reason: reasonSetAside, SetAside: true}
	case left == 1:
		return Choice{Index: index, Reason: reasonOnly}
	default:
		return Choice{Index: index, Reason: reasonLeastLoad}
	}
}

// Probe picks a candidate that is set aside and due to be probed, and claims
// the probe for the caller. The attempt's Observation, or Abandon, ends it.
func (g *Group) Probe(candidates []Candidate, q Query, now time.Time) Choice {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range candidates {
		if q.Skip != nil && q.Skip(i) {
			continue
		}
		r := g.find(candidates[i].Target)
		if r == nil || !r.probeDue(now) || r.lacks(q.Snapshot, now) {
			continue
		}
		r.probing = true
		return Choice{Index: i, Reason: "probe of a replica that is set aside"}
	}
	return Choice{Index: None}
}

// Abandon gives back a probe that could not be sent.
func (g *Group) Abandon(target string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replica(target).probing = false
}

// ChooseAtRandom picks any candidate by the salt: a baseline for measurements.
func ChooseAtRandom(candidates []Candidate, q Query) Choice {
	return chooseLeast(candidates, q, reasonRandom, func(Candidate) uint32 { return 0 })
}

// ChooseByReport picks the candidate with the least reported load: a baseline
// for measurements.
func ChooseByReport(candidates []Candidate, q Query, report func(target string) uint32) Choice {
	return chooseLeast(candidates, q, reasonReport, func(c Candidate) uint32 { return report(c.Target) })
}

func chooseLeast(candidates []Candidate, q Query, reason string, load func(Candidate) uint32) Choice {
	best := Choice{Index: None, Reason: reasonNoneRemain}
	var bestLoad uint32
	var bestTie uint64
	for i, c := range candidates {
		if q.Skip != nil && q.Skip(i) {
			continue
		}
		l, tie := load(c), Mix(q.Salt+uint64(i))
		if best.Index == None || l < bestLoad || l == bestLoad && tie < bestTie {
			best, bestLoad, bestTie = Choice{Index: i, Reason: reason}, l, tie
		}
	}
	return best
}

// Mix returns a well distributed value of x (the finalizer of SplitMix64).
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
