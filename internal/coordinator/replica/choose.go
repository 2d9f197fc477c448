package replica

import "time"

// Query holds the parameters of a choice.
type Query struct {
	// OwnDomain is the failure domain of this VM.
	OwnDomain string
	Snapshot  uint64
	// Salt breaks ties pseudorandomly, so that VMs do not all pick the same replica.
	Salt uint64
	// Skip reports whether the candidate at index must not be chosen; nil skips none.
	Skip func(index int) bool
	// AvoidDomain is a failure domain whose candidates rank after all others, except
	// those that are ejected or lack the snapshot.
	AvoidDomain string
}

// rank orders candidates; lower is better in each field. See less for the order in
// which the fields are compared.
type rank struct {
	lacksSnapshot   bool
	inAvoidedDomain bool
	ejected         bool
	load            float64
	otherDomain     bool
	tieBreak        uint64
}

func (a rank) less(b rank) bool {
	switch {
	case a.lacksSnapshot != b.lacksSnapshot:
		return b.lacksSnapshot
	case a.ejected != b.ejected:
		return b.ejected
	case a.inAvoidedDomain != b.inAvoidedDomain:
		return b.inAvoidedDomain
	case a.load != b.load:
		return a.load < b.load
	case a.otherDomain != b.otherDomain:
		return b.otherDomain
	default:
		return a.tieBreak < b.tieBreak
	}
}

// Reasons for choices, as recorded in decisions. An ejected replica is called "set
// aside" there.
const (
	reasonLeastLoad  = "least in-flight work per slot"
	reasonOnly       = "only replica left"
	reasonEjected    = "all replicas left are set aside"
	reasonRandom     = "random"
	reasonLoadReport = "least reported load"
	reasonNoneRemain = "no replica left"
)

// maxExhaustive is the largest number of candidates that are all compared; larger
// groups use the power of two choices.
const maxExhaustive = 8

// Choose picks the candidate with the least load per slot that is not ejected and whose
// owner is not in backoff, and prefers this VM's own failure domain among equal loads.
// In groups larger than maxExhaustive it compares two candidates that are drawn by the
// salt.
func (g *Group) Choose(candidates []Candidate, q Query, now time.Time) Choice {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(candidates) > maxExhaustive {
		if choice, ok := g.powerOfTwoChoice(candidates, q, now); ok {
			return choice
		}
	}
	best, remaining := None, 0
	var bestRank rank
	for i := range candidates {
		if q.Skip != nil && q.Skip(i) {
			continue
		}
		remaining++
		rank := g.rank(candidates[i], i, q, now)
		if best == None || rank.less(bestRank) {
			best, bestRank = i, rank
		}
	}
	return g.newChoice(best, remaining, bestRank)
}

// powerOfTwoChoice compares two candidates that are drawn by the salt. It returns
// false when neither is eligible, in which case all candidates must be compared.
func (g *Group) powerOfTwoChoice(candidates []Candidate, q Query, now time.Time) (Choice, bool) {
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
		if rank.ejected || rank.lacksSnapshot || rank.inAvoidedDomain {
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
		otherDomain:     c.FailureDomain != q.OwnDomain,
		inAvoidedDomain: q.AvoidDomain != "" && c.FailureDomain == q.AvoidDomain,
		tieBreak:        Mix(q.Salt + uint64(index)),
	}
	if g.owners != nil {
		result.ejected = g.owners.InBackoff(c.Owner, now)
	}
	r := g.find(c.Target)
	if r == nil {
		return result
	}
	result.lacksSnapshot = r.lacks(q.Snapshot, now)
	if r.ejected && !r.probeOverdue(now) {
		result.ejected = true
	}
	result.load = r.load(c.Slots, now)
	return result
}

func (g *Group) newChoice(index, remaining int, r rank) Choice {
	switch {
	case index == None:
		return Choice{Index: None, Reason: reasonNoneRemain}
	case r.ejected:
		return Choice{Index: index, Reason: reasonEjected, Ejected: true}
	case remaining == 1:
		return Choice{Index: index, Reason: reasonOnly}
	default:
		return Choice{Index: index, Reason: reasonLeastLoad}
	}
}

// ClaimProbe picks an ejected candidate whose probe is due and claims the probe, so
// that no other search sends one. RecordResult or ReleaseProbe ends the claim.
func (g *Group) ClaimProbe(candidates []Candidate, q Query, now time.Time) Choice {
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
		r.probeInFlight = true
		return Choice{Index: i, Reason: "probe of a replica that is set aside"}
	}
	return Choice{Index: None}
}

// ReleaseProbe releases a claimed probe that was not sent.
func (g *Group) ReleaseProbe(target string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replica(target).probeInFlight = false
}

// ChooseAtRandom picks a pseudorandom candidate by the salt. It is a baseline for
// benchmarks.
func ChooseAtRandom(candidates []Candidate, q Query) Choice {
	return chooseLeastLoaded(candidates, q, reasonRandom, func(Candidate) uint32 { return 0 })
}

// ChooseByLoadReport picks the candidate with the least reported load. It is a baseline
// for benchmarks.
func ChooseByLoadReport(candidates []Candidate, q Query, report func(target string) uint32) Choice {
	return chooseLeastLoaded(candidates, q, reasonLoadReport, func(c Candidate) uint32 { return report(c.Target) })
}

func chooseLeastLoaded(candidates []Candidate, q Query, reason string, load func(Candidate) uint32) Choice {
	best := Choice{Index: None, Reason: reasonNoneRemain}
	var bestLoad uint32
	var bestTie uint64
	for i, c := range candidates {
		if q.Skip != nil && q.Skip(i) {
			continue
		}
		candidateLoad, tie := load(c), Mix(q.Salt+uint64(i))
		if best.Index == None || candidateLoad < bestLoad || candidateLoad == bestLoad && tie < bestTie {
			best, bestLoad, bestTie = Choice{Index: i, Reason: reason}, candidateLoad, tie
		}
	}
	return best
}

// Mix hashes x with the finalizer of SplitMix64.
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
