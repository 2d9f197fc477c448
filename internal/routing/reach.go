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

// unreachableServices returns the services that have targets, all of them in
// unreachable failure domains.
func (t *Table) unreachableServices(now time.Time) map[*Service]bool {
	var unreachable map[*Service]bool
	for _, service := range t.services {
		if len(service.Targets) == 0 || service.reachable(now) {
			continue
		}
		if unreachable == nil {
			unreachable = map[*Service]bool{}
		}
		unreachable[service] = true
	}
	return unreachable
}

func (s *Service) reachable(now time.Time) bool {
	for _, target := range s.Targets {
		if !target.Health.DomainUnreachable(now) {
			return true
		}
	}
	return false
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
