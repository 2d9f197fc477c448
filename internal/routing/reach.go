package routing

import "time"

// UnreachableRoute returns the name of a gathering route that this VM cannot serve
// because failure domains are unreachable from it, or "" if there is none. Other VMs
// may be able to reach the targets.
func (t *Table) UnreachableRoute(now time.Time) string {
	unreachable := t.unreachableServices(now)
	if len(unreachable) == 0 {
		return ""
	}
	for _, routes := range t.hosts {
		for _, route := range routes {
			if route.Gathers() && route.blockedBy(unreachable) {
				return route.Name
			}
		}
	}
	return ""
}

// unreachableServices returns the services that this VM can't reach because failure
// domains are cut off.
func (t *Table) unreachableServices(now time.Time) map[*Service]bool {
	var unreachable map[*Service]bool
	for _, service := range t.services {
		if !service.cutOff(now) {
			continue
		}
		if unreachable == nil {
			unreachable = map[*Service]bool{}
		}
		unreachable[service] = true
	}
	return unreachable
}

// cutOff reports whether some targets are in unreachable failure domains and no other one
// could be reached. A service whose targets have all crashed is not cut off: no other VM
// reaches it either.
func (s *Service) cutOff(now time.Time) bool {
	cut := false
	for _, target := range s.Targets {
		switch {
		case target.Health.DomainUnreachable(now):
			cut = true
		case !target.Health.Unreached():
			return false
		}
	}
	return cut
}

// blockedBy reports whether the route can't be served because the given services are
// unreachable, but has enough targets otherwise.
func (r *Route) blockedBy(unreachable map[*Service]bool) bool {
	reachable, available := 0, 0
	for _, shard := range r.Shards {
		if len(shard.Targets) == 0 {
			continue
		}
		available++
		if !unreachable[shard] {
			reachable++
		}
	}
	required := r.LeastCoverage * float64(len(r.Shards))
	return float64(available) >= required && (float64(reachable) < required || reachable == 0)
}
