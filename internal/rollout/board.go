package rollout

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Choice is which targets of a service a request may use.
type Choice struct {
	Use Use
	// Version is the ordered version.
	Version string
	// Share is the share in force, and Order the revision of the order.
	Share float64
	Order uint64
}

// Reply is the end of an attempt at a target.
type Reply struct {
	Service string
	Route   string
	Version string
	// Failed is true for a server failure of a request that ran, and for a lost reply.
	Failed bool
	// Took is the reply time, or the time after which the attempt was given up.
	Took time.Duration
	// Abandoned is true if the attempt was given up: it counts if it was slow by then.
	Abandoned bool
	// Cold is true if the reply time shows nothing, as the target is cold.
	Cold bool
	// Far is true if the target is in another failure domain.
	Far bool
}

// service is the state of a service with an order.
type service struct {
	gate    *Gate
	rollout *pb.Rollout
	seenAt  time.Time
	// own are this VM's counts, and others those of other VMs.
	own    map[Group]*report
	others map[Origin]map[Group]*report
	usual  usualTimes
}

// report is the counts of one VM, and when this one last learned of a change.
type report struct {
	Counts
	orderAge  time.Duration
	changedAt time.Time
}

// Board holds the orders in force at this VM with their gates, and the evidence of all VMs. A
// nil Board has no orders. It is safe for concurrent use.
type Board struct {
	self   Origin
	logger zerolog.Logger
	set    *metrics.Set
	// active is true while there is any order, so that requests without one take no lock.
	active      atomic.Bool
	confirmedAt atomic.Pointer[time.Time]

	mu       sync.Mutex
	services map[string]*service
	labels   map[string]bool
}

// NewBoard returns a Board without orders for a VM. Metrics by version are added to the set.
func NewBoard(self Origin, logger zerolog.Logger, set *metrics.Set) *Board {
	return &Board{self: self, logger: logger, set: set, services: map[string]*service{}, labels: map[string]bool{}}
}

// Confirm states when the configuration was last confirmed.
func (b *Board) Confirm(at time.Time) {
	if b != nil {
		b.confirmedAt.Store(&at)
	}
}

// age returns the time since the configuration was last confirmed.
func (b *Board) age(now time.Time) time.Duration {
	at := b.confirmedAt.Load()
	if at == nil || at.IsZero() {
		return sendWithin + time.Second
	}
	return now.Sub(*at)
}

// Apply takes the roll-outs of the newest configuration, whose requests vms VMs share.
func (b *Board) Apply(rollouts []*pb.Rollout, vms int, now time.Time) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	present := make(map[string]bool, len(rollouts))
	for _, r := range rollouts {
		present[r.Service] = true
		b.apply(r, vms, now)
	}
	for name := range b.services {
		if !present[name] {
			delete(b.services, name)
			b.logger.Info().Str("service", name).Msg("roll-out not ordered any more")
		}
	}
	b.active.Store(len(b.services) > 0)
}

func (b *Board) apply(r *pb.Rollout, vms int, now time.Time) {
	s := b.services[r.Service]
	switch {
	case s == nil:
		s = &service{gate: NewGate(r, vms), seenAt: now}
		b.services[r.Service] = s
		s.forget()
	case s.rollout.OrderRevision > r.OrderRevision || s.rollout.OrderRevision == r.OrderRevision && s.rollout.StatusRevision >= r.StatusRevision:
		return
	case s.rollout.OrderRevision != r.OrderRevision:
		s.seenAt = now
		s.forget()
	}
	before := s.rollout
	s.rollout = r
	s.gate.Update(r, b.age(now))
	if before != nil && before.OrderRevision == r.OrderRevision && before.State == r.State && before.Share == r.Share && before.Answer == r.Answer {
		return
	}
	b.logger.Info().Str("service", r.Service).Str("version", r.Version).Uint64("order", r.OrderRevision).
		Uint64("status", r.StatusRevision).Stringer("state", r.State).Float64("share", r.Share).
		Uint64("answer", r.Answer).Float64("share_before", before.GetShare()).Float64("share_here", s.gate.Share()).Dur("configuration_age", b.age(now)).
		Str("reason", r.Reason).Msg("roll-out step in force")
}

func (s *service) forget() {
	s.own, s.others, s.usual = map[Group]*report{}, map[Origin]map[Group]*report{}, usualTimes{}
}

// running returns the state of a service with a running order, or nil. b.mu must be held.
func (b *Board) running(name string) *service {
	s := b.services[name]
	if s == nil || s.rollout.State != pb.RolloutState_ROLLOUT_STATE_RUNNING {
		return nil
	}
	return s
}

// idle reports whether there are no orders.
func (b *Board) idle() bool { return b == nil || !b.active.Load() }

// Draw counts a request of a service and returns which targets it may use first.
func (b *Board) Draw(name string, now time.Time) Choice {
	return b.choose(name, func(g *Gate) Use { return g.Draw(b.age(now), rand.Float64()) })
}

// Repeat returns which targets a retry or hedge may use.
func (b *Board) Repeat(name string, now time.Time) Choice {
	return b.choose(name, func(g *Gate) Use { return g.Repeat(b.age(now)) })
}

func (b *Board) choose(name string, use func(*Gate) Use) Choice {
	if b.idle() {
		return Choice{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.running(name)
	if s == nil {
		return Choice{}
	}
	return Choice{Use: use(s.gate), Version: s.rollout.Version, Share: s.gate.Share(), Order: s.rollout.OrderRevision}
}

// Substitute reports whether the ordered version may serve a request that no other version
// can serve, and counts it if so.
func (b *Board) Substitute(name string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.running(name)
	return s == nil || s.gate.Substitute(b.age(now))
}

// Refund takes back a request that was drawn for the ordered version and went to another.
func (b *Board) Refund(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.running(name); s != nil {
		s.gate.Refund()
	}
}

// Observes reports whether replies of the service are counted.
func (b *Board) Observes(name string) bool {
	if b.idle() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running(name) != nil
}

// Record counts a reply.
func (b *Board) Record(r Reply, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.running(r.Service)
	if s == nil {
		return
	}
	class := s.usual.classOf(r, r.Version == s.rollout.Version)
	if r.Abandoned && class < SlowClass {
		return
	}
	group := Group{Route: r.Route, Version: r.Version}
	own := s.own[group]
	if own == nil {
		own = &report{}
		s.own[group] = own
	}
	own.Replies++
	bad := r.Failed || class >= SlowClass
	if r.Failed {
		own.Failures++
	} else {
		own.Times[class]++
	}
	own.changedAt = now
	b.countMetric(r, bad)
	if r.Version == s.rollout.Version && s.gate.Reply(bad, s.usualBadRate(r.Route)) {
		b.logger.Warn().Str("service", r.Service).Str("version", r.Version).Str("route", r.Route).
			Uint64("order", s.rollout.OrderRevision).Uint64("replies", own.Replies).Uint64("failures", own.Failures).
			Uint64("slow", own.Slow()).Msg("this VM stops sending to the ordered version until the decider has answered")
	}
}

// usualBadRate returns the part of bad replies of the other versions at this VM.
func (s *service) usualBadRate(route string) float64 {
	var others Counts
	for group, counts := range s.own {
		if group.Route == route && group.Version != s.rollout.Version {
			others.add(counts.Counts)
		}
	}
	return others.badRate()
}

// labelValue returns a name, which other writers of the store choose, as the value of a label.
func labelValue(name string) string {
	const maxLength = 64
	safe := strings.Map(func(c rune) rune {
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.ContainsRune("._-", c) {
			return c
		}
		return '_'
	}, name)
	return safe[:min(len(safe), maxLength)]
}

// maxLabels bounds the pairs of service and version with metrics of their own.
const maxLabels = 64

func (b *Board) countMetric(r Reply, bad bool) {
	if b.set == nil {
		return
	}
	label := fmt.Sprintf("service=%q,version=%q", labelValue(r.Service), labelValue(r.Version))
	if !b.labels[label] && len(b.labels) >= maxLabels {
		label = `service="other",version="other"`
	}
	b.labels[label] = true
	b.set.GetOrCreateCounter("carawayreel_rollout_replies_total{" + label + "}").Inc()
	if bad {
		b.set.GetOrCreateCounter("carawayreel_rollout_bad_replies_total{" + label + "}").Inc()
	}
}
