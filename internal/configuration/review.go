package configuration

import (
	"fmt"
	"slices"
	"strings"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Severity is how serious a Finding is.
type Severity int

const (
	// Warning means that the route table works, but not as it seems to be meant.
	Warning Severity = iota
	// Error means that requests are refused, or that VMs leave the entry out.
	Error
)

// String returns the name used in reports.
func (s Severity) String() string { return [...]string{"WARNING", "ERROR"}[s] }

// Finding is a problem of a route table.
type Finding struct {
	Severity Severity
	// Place names the entry.
	Place string
	Text  string
}

// Review returns what is wrong with a route table: errors, entries that can never match a
// request, and limits that contradict each other. Errors come first.
func Review(table *pb.RouteTable) []Finding {
	r := &reviewer{names: map[string]bool{}, prefixes: map[string]string{}, used: map[string]bool{}}
	for _, route := range table.GetRoutes() {
		r.reviewRoute(route)
	}
	for _, service := range table.GetServices() {
		if !r.used[service.GetName()] {
			r.warn("service "+service.GetName(), "no route uses it")
		}
		if service.GetColdRequestsPerS() > 0 && service.GetWarmupMs() == 0 {
			r.warn("service "+service.GetName(), "the request rate of cold targets has no effect: there is no warm-up time")
		}
	}
	r.reviewOrganisations(table)
	slices.SortStableFunc(r.findings, func(a, b Finding) int { return int(b.Severity) - int(a.Severity) })
	return r.findings
}

type reviewer struct {
	names map[string]bool
	// prefixes maps each host and prefix to the name of the first route with them.
	prefixes map[string]string
	// used holds the services that routes use.
	used     map[string]bool
	findings []Finding
}

func (r *reviewer) fail(place, format string, arguments ...any) {
	r.findings = append(r.findings, Finding{Error, place, fmt.Sprintf(format, arguments...)})
}

func (r *reviewer) warn(place, format string, arguments ...any) {
	r.findings = append(r.findings, Finding{Warning, place, fmt.Sprintf(format, arguments...)})
}

func (r *reviewer) reviewRoute(route *pb.Route) {
	place := "route " + route.GetName()
	if r.names[route.GetName()] {
		r.fail(place, "defined twice")
	}
	r.names[route.GetName()] = true
	if prefix := route.GetPrefix(); !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") {
		r.fail(place, "the prefix %q does not begin and end with a slash", prefix)
	}
	key := route.GetHost() + route.GetPrefix()
	if first, taken := r.prefixes[key]; taken {
		r.fail(place, "never matches: route %s has the same host and prefix", first)
	} else {
		r.prefixes[key] = route.GetName()
	}
	r.reviewServices(place, route)
	goal, limit := route.GetLatencyGoalMs(), route.GetTimeLimitMs()
	if limit > 0 && goal > limit {
		r.warn(place, "the latency goal of %d ms is beyond the time limit of %d ms", goal, limit)
	}
}

func (r *reviewer) reviewServices(place string, route *pb.Route) {
	total := 0.0
	for _, weighted := range route.GetServices() {
		r.used[weighted.GetService()] = true
		total += weighted.GetWeight()
		if weighted.GetWeight() == 0 {
			r.warn(place, "service %s has weight 0 and gets no requests", weighted.GetService())
		}
	}
	seen := map[string]bool{}
	for _, shard := range route.GetShards() {
		r.used[shard] = true
		if seen[shard] {
			r.fail(place, "shard %s is listed twice", shard)
		}
		seen[shard] = true
	}
	gathers := len(route.GetShards()) > 0
	switch {
	case gathers && len(route.GetServices()) > 0:
		r.warn(place, "services have no effect: the route has shards")
	case !gathers && len(route.GetServices()) == 0:
		r.fail(place, "no service and no shards")
	case !gathers && total == 0:
		r.fail(place, "the weights of all services are 0")
	case !gathers && (route.GetLeastCoverage() > 0 || route.GetRowLimit() > 0):
		r.warn(place, "minimum coverage and row limit have no effect: the route has no shards")
	case gathers && route.GetRowLimit() == 0:
		r.warn(place, "the row limit is 0: every answer is empty")
	case gathers && !route.GetIdempotent():
		r.fail(place, "requests of a route with shards run on several targets, but it is not idempotent")
	}
}

func (r *reviewer) reviewOrganisations(table *pb.RouteTable) {
	if len(table.GetOrganisations()) == 0 {
		return
	}
	k := &checker{}
	k.checkOrganisations(table.GetOrganisations())
	for _, problem := range k.problems {
		r.fail("organisations", "%s", problem)
	}
	if !slices.ContainsFunc(table.GetRoutes(), func(route *pb.Route) bool { return !route.GetPublic() }) {
		r.warn("organisations", "no route needs a key: all are public")
	}
	for _, o := range table.GetOrganisations() {
		place := "organisation " + o.GetName()
		rate, burst := o.GetRequestsPerS(), o.GetBurst()
		switch {
		case len(o.GetKeyDigests()) == 0:
			r.warn(place, "never matches: it has no valid key")
		case rate == 0 && burst > 0:
			r.warn(place, "the burst of %g has no effect: there is no rate", burst)
		case rate > 0 && burst < 1:
			r.warn(place, "the burst of %g is less than a request, so that requests that are not evenly spaced are refused", burst)
		}
	}
}
