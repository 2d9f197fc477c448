package configuration_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/configuration"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/organisation"
)

func reviewedRoute(name, prefix string) *pb.Route {
	return &pb.Route{Name: name, Host: "h", Prefix: prefix, Services: []*pb.WeightedService{{Service: "s", Weight: 1}}}
}

func keyDigests(key string) [][]byte {
	digest := organisation.DigestOf(key)
	return [][]byte{digest[:]}
}

// Guards against a check that passes tables in which entries never match or limits contradict
// each other, and against findings about a sound table.
func TestReviewFindsWhatCannotBeMeant(t *testing.T) {
	sound := &pb.RouteTable{
		Routes:        []*pb.Route{reviewedRoute("a", "/a/")},
		Services:      []*pb.RouteService{{Name: "s", WarmupMs: 1000, ColdRequestsPerS: 2}},
		Organisations: []*pb.Organisation{{Name: "o", KeyDigests: keyDigests("k"), RequestsPerS: 2, Burst: 4}},
	}
	require.Empty(t, configuration.Review(sound))

	gathering := reviewedRoute("g", "/g/")
	gathering.Shards, gathering.Idempotent, gathering.RowLimit = []string{"s", "s"}, true, 5
	late := reviewedRoute("late", "/late/")
	late.LatencyGoalMs, late.TimeLimitMs, late.LeastCoverage = 200, 100, 0.5
	idle := reviewedRoute("idle", "/idle")
	idle.Services[0].Weight = 0
	unsound := &pb.RouteTable{
		Routes:   []*pb.Route{reviewedRoute("a", "/a/"), reviewedRoute("b", "/a/"), gathering, late, idle},
		Services: []*pb.RouteService{{Name: "unused"}, {Name: "s", ColdRequestsPerS: 2}},
		Organisations: []*pb.Organisation{
			{Name: "o", KeyDigests: keyDigests("k"), Burst: 4},
			{Name: "p", KeyDigests: keyDigests("k"), RequestsPerS: 2},
			{Name: "q"},
		},
	}
	places := make([]string, 0, 16)
	for _, finding := range configuration.Review(unsound) {
		places = append(places, finding.Severity.String()+" "+finding.Place+": "+finding.Text)
	}
	require.Equal(t, []string{
		"ERROR route b: never matches: route a has the same host and prefix",
		"ERROR route g: shard s is listed twice",
		`ERROR route idle: the prefix "/idle" does not begin and end with a slash`,
		"ERROR route idle: the weights of all services are 0",
		`ERROR organisations: organisations "o" and "p" hold the same key`,
		"WARNING route g: services have no effect: the route has shards",
		"WARNING route late: minimum coverage and row limit have no effect: the route has no shards",
		"WARNING route late: the latency goal of 200 ms is beyond the time limit of 100 ms",
		"WARNING route idle: service s has weight 0 and gets no requests",
		"WARNING service unused: no route uses it",
		"WARNING service s: the request rate of cold targets has no effect: there is no warm-up time",
		"WARNING organisation o: the burst of 4 has no effect: there is no rate",
		"WARNING organisation p: the burst of 0 is less than a request, so that requests that are not evenly spaced are refused",
		"WARNING organisation q: never matches: it has no valid key",
	}, places)
}
