package routing_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/health"
	"github.com/carawayreel/carawayreel/internal/routing"
)

var sixDomains = []string{"d0", "d1", "d2", "d3", "d4", "d5"}

// shardedConfiguration returns shards with targets in three of six failure domains each,
// which differ from shard to shard.
func shardedConfiguration(shards int) *pb.Configuration {
	route := &pb.Route{Name: "g", Host: "h", Prefix: "/", Idempotent: true}
	c := &pb.Configuration{Revision: 1, RouteTable: &pb.RouteTable{Version: 1, Routes: []*pb.Route{route}}}
	for i := range shards {
		shard := fmt.Sprintf("s%d", i)
		route.Shards = append(route.Shards, shard)
		for n := range 3 {
			id := fmt.Sprintf("%s-%d", shard, n)
			domain := sixDomains[(i+n*(1+i/6%2))%len(sixDomains)]
			c.Registrations = append(c.Registrations, &pb.Registration{
				Id: id, Service: shard, Address: "10.0.0.1:80", FailureDomain: domain, Slots: 2, State: ready, StartedUnixMs: 1,
			})
		}
	}
	return c
}

// preferredTargets returns the targets that a gatherer prefers, one of each shard.
func preferredTargets(c *pb.Configuration, vm, domain string) []*routing.Target {
	compiler := routing.NewCompiler(health.NewTracker(), routing.Location{VM: vm, FailureDomain: domain}, 0)
	compiler.SetGatherers(len(sixDomains))
	var found []*routing.Target
	for _, shard := range compiler.Compile(c, 12, start, start).Match("h", "/").Shards {
		for _, target := range shard.Targets {
			if target.Distance == routing.Near {
				found = append(found, target)
			}
		}
	}
	return found
}

// The fewer failure domains a gatherer prefers, the fewer batches it has relayed. The
// gatherers together still use all targets evenly.
func TestGatherersPreferFewOtherDomains(t *testing.T) {
	const shards, perDomain = 96, 8
	c := shardedConfiguration(shards)
	total := map[string]int{}
	for _, domain := range sixDomains {
		for i := range perDomain {
			preferred := preferredTargets(c, fmt.Sprintf("vm-%s-%d", domain, i), domain)
			domains := map[string]bool{}
			for _, target := range preferred {
				domains[target.FailureDomain] = true
				total[target.ID]++
			}
			require.Len(t, preferred, shards)
			require.LessOrEqual(t, len(domains), 4, "its own domain and those that hold the targets of all other shards")
		}
	}
	const average = perDomain * 6 / 3
	for id, n := range total {
		require.Less(t, n, 2*average, id)
		require.Greater(t, n, average/2, id)
	}
}
