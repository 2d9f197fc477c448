package admission

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// stepInterval is the least time between two changes of a pressure. It is about the time in
	// which a queue of a target drains, so that a change shows before the next one.
	stepInterval = 100 * time.Millisecond
	// minResults is the number of results that a change needs. Fewer are noise.
	minResults = 8
	// groupResults is the number of results that a change of the pressure of a group needs for
	// each of its services. The results of one request are alike, so that this counts requests.
	groupResults = 3
	// maxStep is the time after which results are too old for a change. A VM with few requests
	// goes by what other VMs tell.
	maxStep = time.Second
	// badShare is the share of results that were queued or rejected from which the pressure
	// rises. A slow or rejecting target in three stays below it: others take its requests.
	badShare = 0.3
	// minEvidence is the sum of shares beyond badShare, over consecutive steps, from which a
	// pressure begins: three steps with long waits only, or more with some. Without it, the
	// short queues of ordinary load delayed requests in calm. Full queues are no ordinary load,
	// so that the share of rejections counts rejectionEvidence times in addition.
	minEvidence       = 2.0
	rejectionEvidence = 2.0
	// maxShed is the part of the admitted work that one step sheds if all results are bad.
	maxShed = 0.12
	// recovery is the pressure that a stepInterval takes off while the service is not overloaded.
	recovery = 0.015
	// fastRecovery is how many times more the pressure falls if no result is bad.
	fastRecovery = 10
	// maxPressure keeps enough requests going to learn when a service recovers.
	maxPressure = 0.9
	// minPressure is the pressure below which all requests are admitted.
	minPressure = 0.1
	// consensus is the part of the difference to the pressure of all VMs that a VM takes over
	// in one step, so that VMs with unequal callers shed alike.
	consensus = 0.1
	// silence is the time without replies after which a pressure ages, and pressureTTL the time
	// until it has ended from then on. A pressure that another VM told ages from its receipt.
	silence     = time.Second
	pressureTTL = 3 * time.Second
)

// service is what is known of the load of one service.
type service struct {
	name   string
	demand demand
	// credit holds, by rank, the shares of requests that were due and not admitted yet.
	credit [ranks]float64
	// results, bad and rejected count the results since steppedAt, those that were queued or
	// rejected, and those that were rejected.
	results, bad, rejected float64
	// needed is the number of results that a step needs.
	needed     float64
	steppedAt  time.Time
	observedAt time.Time
	pressure   float64
	// evidence is the sum of the bad shares of the last steps beyond badShare.
	evidence float64
	inFlight int
	// peers are sorted by VM, so that sums over them do not depend on the order of arrival.
	peers []peerPressure
}

// peerPressure is the pressure of a service at another VM.
type peerPressure struct {
	vm               string
	pressure, demand float64
	at               time.Time
}

// service returns the state of a service, or nil if there are too many. c.mu must be held.
func (c *Controller) service(name string, now time.Time) *service {
	s, ok := c.services[name]
	if !ok {
		if len(c.services) >= maxServices {
			return nil
		}
		s = &service{name: name, needed: minResults, steppedAt: now, observedAt: now}
		if first := firstOf(name); first != name {
			others, _ := strconv.Atoi(name[len(first)+len(groupMark):])
			s.needed = max(minResults, groupResults*float64(others+1))
		}
		c.services[name] = s
	}
	return s
}

// decisive returns the service with the highest pressure that the answer cannot lack, and its
// pressure, or nil if no service is known. c.mu must be held.
func (c *Controller) decisive(r Request, rt *route, now time.Time) (*service, float64) {
	type pressed struct {
		service  *service
		pressure float64
	}
	all := make([]pressed, 0, len(r.Services))
	for _, name := range r.Services {
		if s := c.service(name, now); s != nil {
			all = append(all, pressed{service: s, pressure: s.effective(now)})
		}
	}
	if len(all) == 0 {
		return nil, 0
	}
	slices.SortStableFunc(all, func(a, b pressed) int { return cmp.Compare(b.pressure, a.pressure) })
	decisive := all[min(r.Spare, len(all)-1)]
	if rt.group = groupName(r.Services); rt.group != "" {
		if g := c.service(rt.group, now); g != nil && g.effective(now) > decisive.pressure {
			return g, g.effective(now)
		}
	}
	return decisive.service, decisive.pressure
}

// groupMark separates, in the name of a group, its first service from the number of others.
const groupMark = "+"

// groupName returns the name of the services of a gathered request as a group; empty for a
// single service. The group has a pressure of its own: a VM among many has too few results of
// each service to see an overload in time, but enough of all of them.
func groupName(services []string) string {
	if len(services) < 2 {
		return ""
	}
	return services[0] + groupMark + strconv.Itoa(len(services)-1)
}

// firstOf returns the first service of a group, or the name of a service itself.
func firstOf(name string) string {
	if i := strings.LastIndex(name, groupMark); i >= 0 {
		return name[:i]
	}
	return name
}

// Began records that an attempt was sent to a target of a service.
func (c *Controller) Began(name string, now time.Time) {
	if !c.Enabled() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.service(name, now); s != nil {
		s.inFlight++
	}
}

// Result states how an attempt ended.
type Result int

const (
	// Other results show nothing about the load of the service.
	Other Result = iota
	// Replied means that the target ran the request.
	Replied
	// Rejected means that the target replied that it did not run the request.
	Rejected
	// Unanswered means that the attempt was given up while it may still have been queued.
	Unanswered
)

// Ended records the end of an attempt that a request of the route, with the given goal, sent
// to a service.
func (c *Controller) Ended(routeName, name string, result Result, took, goal time.Duration, now time.Time) {
	if !c.Enabled() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s, rt := c.service(name, now), c.route(routeName)
	if s == nil || rt == nil {
		return
	}
	s.inFlight = max(s.inFlight-1, 0)
	bad := result == Rejected || rt.queued(took, goal)
	if result == Other || result == Unanswered && !bad {
		return
	}
	s.observe(bad, result == Rejected, now)
	calm := s.effective(now) < minPressure
	if g, ok := c.services[rt.group]; ok {
		g.observe(bad, result == Rejected, now)
		calm = calm && g.effective(now) < minPressure
	}
	if result == Replied {
		rt.add(took, goal, calm, now)
	}
}

// Overloaded reports whether the service, or the group of services of the route, is under
// pressure, so that it gets no optional requests.
func (c *Controller) Overloaded(routeName, name string, now time.Time) bool {
	if !c.Enabled() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if rt, ok := c.routes[routeName]; ok {
		if g, ok := c.services[rt.group]; ok && g.effective(now) >= minPressure {
			return true
		}
	}
	s, ok := c.services[name]
	return ok && s.effective(now) >= minPressure
}

func (s *service) observe(bad, rejected bool, now time.Time) {
	s.observedAt = now
	s.results++
	if bad {
		s.bad++
	}
	if rejected {
		s.rejected++
	}
	passed := now.Sub(s.steppedAt)
	switch {
	case passed >= stepInterval && s.results >= s.needed:
		s.step(now)
	case passed >= maxStep:
		s.evidence = 0
		s.ease(0, now)
	}
}

// step changes the pressure by the results since the last step.
func (s *service) step(now time.Time) {
	bad := s.bad / s.results
	s.evidence = max(s.evidence+bad-badShare+rejectionEvidence*s.rejected/s.results, 0)
	switch {
	case s.pressure == 0 && s.evidence < minEvidence:
		// This may be a burst.
	case bad > badShare:
		shed := maxShed * (bad - badShare) / (1 - badShare)
		s.pressure = min(1-(1-s.pressure)*(1-shed), maxPressure)
	default:
		calm := 1 - bad/badShare
		s.ease(fastRecovery*calm*calm, now)
	}
	s.pressure += consensus * (s.effective(now) - s.pressure)
	s.results, s.bad, s.rejected, s.steppedAt = 0, 0, 0, now
}

// ease lets the pressure fall for the time since the last step, faster by the given factor, and
// begins a new step.
func (s *service) ease(faster float64, now time.Time) {
	steps := float64(now.Sub(s.steppedAt)) / float64(stepInterval)
	s.pressure = max(s.pressure-recovery*steps*(1+faster), 0)
	s.results, s.bad, s.rejected, s.steppedAt = 0, 0, 0, now
}

// own returns this VM's own pressure, which ages while there are no replies.
func (s *service) own(now time.Time) float64 {
	return s.pressure * freshness(now.Sub(s.observedAt)-silence)
}

// effective returns the pressure that applies: the mean of this VM's and of what other VMs
// told lately, by the work that they offer.
func (s *service) effective(now time.Time) float64 {
	own := s.own(now)
	if len(s.peers) == 0 {
		return own
	}
	s.demand.decay(now)
	sum, weight := own*s.demand.total, s.demand.total
	s.peers = slices.DeleteFunc(s.peers, func(p peerPressure) bool { return freshness(now.Sub(p.at)) == 0 })
	for _, p := range s.peers {
		fresh := freshness(now.Sub(p.at))
		sum += p.pressure * p.demand * fresh
		weight += p.demand * fresh
	}
	if weight <= 0 {
		return own
	}
	return sum / weight
}

// merge records the pressure at another VM.
func (s *service) merge(p peerPressure) {
	i, known := slices.BinarySearchFunc(s.peers, p.vm, func(known peerPressure, vm string) int { return strings.Compare(known.vm, vm) })
	switch {
	case known:
		s.peers[i] = p
	case len(s.peers) < maxPeers:
		s.peers = slices.Insert(s.peers, i, p)
	}
}

// age returns the time since anything contributed to the pressure.
func (s *service) age(now time.Time) time.Duration {
	at := s.observedAt
	for _, p := range s.peers {
		at = later(at, p.at)
	}
	return max(now.Sub(at), 0)
}

// freshness returns the weight of a pressure of the given age.
func freshness(age time.Duration) float64 {
	return min(max(1-float64(age)/float64(pressureTTL), 0), 1)
}

// admits reports whether a request of the rank is admitted under the pressure. It spreads the
// admitted requests evenly: each request adds the share that is due, and an admitted one takes 1.
func (s *service) admits(k rank, pressure float64, first bool, now time.Time) bool {
	s.demand.decay(now)
	share := s.demand.share(k, pressure)
	if share >= certain {
		return true
	}
	if first {
		s.credit[k] += share
	}
	if s.credit[k] < 1 {
		return false
	}
	s.credit[k]--
	return true
}

// admittedIn returns when half of the requests of the rank are expected to be admitted.
func (s *service) admittedIn(k rank, pressure float64, now time.Time) time.Duration {
	s.demand.decay(now)
	steps := math.Ceil((pressure - s.demand.pressureFor(k)) / recovery)
	return time.Duration(max(steps, 1) * float64(stepInterval))
}
