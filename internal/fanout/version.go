package fanout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/health"
	"github.com/carawayreel/carawayreel/internal/rollout"
	"github.com/carawayreel/carawayreel/internal/routing"
)

// chooseVersion returns the cheapest target for a leg among those of the versions that a
// roll-out of its service allows the leg; without a roll-out, among all.
func (m *Machine) chooseVersion(l *leg) *routing.Target {
	name := l.service.Name
	if !l.drawn {
		l.drawn, l.choice = true, m.shared.rollouts.Draw(name, m.now)
	} else if l.sends > 0 {
		l.choice = m.shared.rollouts.Repeat(name, m.now)
	}
	if l.choice.Use == rollout.UseAll {
		return m.cheapest(l, l.service.Targets)
	}
	ordered, others := splitByVersion(l.service.Targets, l.choice.Version)
	switch l.choice.Use {
	case rollout.UseOrdered:
		if target := m.cheapest(l, m.inUse(ordered, l.choice)); target != nil {
			return target
		}
		m.shared.rollouts.Refund(name)
		l.choice.Use = rollout.UseOthers
	case rollout.UseOrderedFreely:
		if target := m.cheapest(l, ordered); target != nil {
			return target
		}
		return m.cheapest(l, others)
	}
	if target := m.cheapest(l, others); target != nil {
		return target
	}
	target := m.cheapest(l, m.inUse(ordered, l.choice))
	if target == nil || !m.shared.rollouts.Substitute(name, m.now) {
		return nil
	}
	return target
}

func splitByVersion(targets []*routing.Target, version string) (of, others []*routing.Target) {
	for _, target := range targets {
		if target.Version == version {
			of = append(of, target)
		} else {
			others = append(others, target)
		}
	}
	return of, others
}

// inUse returns the targets of the ordered version that get its share: a part of them as
// large as the share, the same at all VMs, so that each bears the load that it will have when
// all requests are moved. Targets that are slow or failing are replaced by others, as those of
// the other versions are; if all are, all are in use.
func (m *Machine) inUse(ordered []*routing.Target, choice rollout.Choice) []*routing.Target {
	var sound []*routing.Target
	for _, target := range ordered {
		ejected, down := target.Health.Ejected(m.now)
		if !ejected && !down && target.Usable(m.now) && !target.Lapsed() && !target.Health.Failing(m.now) &&
			target.Health.Speed(m.now) != health.Slow {
			sound = append(sound, target)
		}
	}
	if len(sound) == 0 {
		return ordered
	}
	slices.SortFunc(sound, func(a, b *routing.Target) int {
		return cmp.Compare(placeInUse(a, choice), placeInUse(b, choice))
	})
	n := int(math.Ceil(choice.Share * float64(len(ordered))))
	return sound[:min(max(n, 1), len(sound))]
}

// placeInUse orders the targets of a version. It differs between orders and between shares, so
// that a single slow target is not in use throughout.
func placeInUse(t *routing.Target, choice rollout.Choice) uint64 {
	return xxhash.Sum64String(t.ID) ^ (choice.Order*0x9e3779b97f4a7c15 + uint64(choice.Share*1000)*0xbf58476d1ce4e5b9)
}

// recordVersion counts the end of an attempt as evidence on the version of its target. A reply
// that shows nothing about the version is left out: a request that did not run, or a slow
// reply of a target that is cold.
func (m *Machine) recordVersion(a *attempt, reply *backend.Reply, outcome health.Outcome, took time.Duration) {
	if !m.shared.rollouts.Observes(a.target.Service) {
		return
	}
	r := m.versionReply(a, took)
	if reply != nil && reply.Took > 0 {
		// A relay near the target measured the time.
		r.Far = false
	}
	switch outcome {
	case health.Lost:
		// A failure domain that is cut off shows nothing about a version.
		if a.target.Health.DomainUnreachable(m.now) {
			return
		}
		r.Failed = true
	case health.Failed:
		r.Failed = reply.Status >= serverFailureStatus || reply.Spoiled()
	case health.Succeeded:
	default:
		return
	}
	m.shared.rollouts.Record(r, m.now)
}

// serverFailureStatus is the lowest HTTP status of a failure of the target.
const serverFailureStatus = 500

// recordAbandoned counts an attempt that was given up if it was slow by then, unless its
// target cannot be reached.
func (m *Machine) recordAbandoned(a *attempt, now time.Time) {
	if !m.shared.rollouts.Observes(a.target.Service) || now.Before(a.target.ColdUntil) ||
		a.target.Health.DomainUnreachable(now) || a.target.Health.Unreached() {
		return
	}
	r := m.versionReply(a, now.Sub(a.sentAt))
	r.Abandoned = true
	m.shared.rollouts.Record(r, now)
}

func (m *Machine) versionReply(a *attempt, took time.Duration) rollout.Reply {
	return rollout.Reply{
		Service: a.target.Service, Route: m.in.Route.Name, Version: a.target.Version, Took: took,
		Cold: m.now.Before(a.target.ColdUntil), Far: a.target.Distance == routing.Far,
	}
}
