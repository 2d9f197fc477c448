package routing

import "time"

// Unreachable returns the name of a gathering route that cannot be served from
// here because failure domains are cut off from this VM, and empty when there is
// none. Other VMs may reach its targets.
func (t *Table) Unreachable(now time.Time) string {
	cut := t.cutServices(now)
	if len(cut) == 0 {
		return ""
	}
	for _, routes := range t.hosts {
		for _, route := range routes {
			if route.Gathers() && route.lacks(cut) {
				return route.Name
			}
		}
	}
	return ""
}

// cutServices returns the services that have targets, all of which are cut off.
func (t *Table) cutServices(now time.Time) map[*Service]bool {
	var cut map[*Service]bool
	for _, service := range t.services {
		if len(service.Targets) == 0 || service.reached(now) {
			continue
		}
		if cut == nil {
			cut = map[*Service]bool{}
		}
		cut[service] = true
	}
	return cut
}

func (s *Service) reached(now time.Time) bool {
	for _, target := range s.Targets {
		if !target.Health.DomainUnreachable(now) {
			return true
		}
	}
	return false
}

// lacks reports whether the route could be served but for the cut services.
func (r *Route) lacks(cut map[*Service]bool) bool {
	reached, served := 0, 0
	for _, shard := range r.Shards {
		if len(shard.Targets) == 0 {
			continue
		}
		served++
		if !cut[shard] {
			reached++
		}
	}
	least := r.LeastCoverage * float64(len(r.Shards))
	return float64(served) >= least && (float64(reached) < least || reached == 0)
}
