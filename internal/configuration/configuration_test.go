package configuration_test

import (
	"fmt"
	_ "github.com/carawayreel/carawayreel/internal/testseed"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/carawayreel/carawayreel/internal/configuration"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

const (
	inService = pb.ServingState_SERVING_STATE_IN_SERVICE
	takenOut  = pb.ServingState_SERVING_STATE_TAKEN_OUT
)

func target(id, domain string) *pb.Target {
	return &pb.Target{Id: id, Address: "127.0.0.1:" + id, FailureDomain: domain, Slots: 2, Connections: 25, ColdLimit: 1, State: inService}
}

func validConfiguration() *pb.Configuration {
	return &pb.Configuration{
		Author:         "anna",
		FailureDomains: []*pb.FailureDomain{{Name: "a", State: inService}, {Name: "b", State: inService}},
		Fronts: []*pb.Front{{
			Name:     "front",
			Services: []*pb.Service{{Name: "births", Targets: []*pb.Target{target("t-1", "a"), target("t-2", "b")}}},
			Snapshots: []*pb.Snapshot{
				{Version: 7, Services: []*pb.ServicePartitions{{Service: "births", Partitions: []string{"p0", "p1"}}}},
				{Version: 9, Services: []*pb.ServicePartitions{{Service: "births", Partitions: []string{"p0"}}}},
			},
			Limits: &pb.FrontLimits{DefaultTimeLimitMs: 140, DefaultRowLimit: 50, ExtraLoadPercent: 5},
		}},
	}
}

func TestCheckAcceptsAValidConfiguration(t *testing.T) {
	require.NoError(t, configuration.Check(validConfiguration()))
}

func TestCheckReportsEachProblem(t *testing.T) {
	cases := map[string]func(c *pb.Configuration){
		`front "front" is defined twice`:                  func(c *pb.Configuration) { c.Fronts = append(c.Fronts, c.Fronts[0]) },
		`failure domain "a" is defined twice`:             func(c *pb.Configuration) { c.FailureDomains[1].Name = "a" },
		`target "t-1" is defined twice`:                   func(c *pb.Configuration) { c.Fronts[0].Services[0].Targets[1].Id = "t-1" },
		`have the same address`:                           func(c *pb.Configuration) { c.Fronts[0].Services[0].Targets[1].Address = "127.0.0.1:t-1" },
		`unknown failure domain "x"`:                      func(c *pb.Configuration) { c.Fronts[0].Services[0].Targets[1].FailureDomain = "x" },
		`cold limit 3 exceeds its 2 slots`:                func(c *pb.Configuration) { c.Fronts[0].Services[0].Targets[0].ColdLimit = 3 },
		`version of snapshot 7 is not in ascending order`: func(c *pb.Configuration) { c.Fronts[0].Snapshots[1].Version = 7 },
		`snapshot 7 maps unknown service "x"`:             func(c *pb.Configuration) { c.Fronts[0].Snapshots[0].Services[0].Service = "x" },
		`snapshot 7 does not map service "new"`: func(c *pb.Configuration) {
			c.Fronts[0].Services = append(c.Fronts[0].Services, &pb.Service{Name: "new"})
		},
		`service "births" is defined twice`: func(c *pb.Configuration) {
			c.Fronts[0].Services = append(c.Fronts[0].Services, c.Fronts[0].Services[0])
		},
		`organisation "o" is defined twice`: func(c *pb.Configuration) {
			c.RouteTable = &pb.RouteTable{Organisations: []*pb.Organisation{{Name: "o"}, {Name: "o"}}}
		},
		`organisations "o" and "p" hold the same key`: func(c *pb.Configuration) {
			keys := [][]byte{make([]byte, 32)}
			c.RouteTable = &pb.RouteTable{Organisations: []*pb.Organisation{{Name: "o", KeyDigests: keys}, {Name: "p", KeyDigests: keys}}}
		},
		`fronts[0].limits`:                       func(c *pb.Configuration) { c.Fronts[0].Limits = nil },
		`fronts[0].services[0].targets[0].slots`: func(c *pb.Configuration) { c.Fronts[0].Services[0].Targets[0].Slots = 0 },
		`front "front" takes`:                    func(c *pb.Configuration) { enlarge(c.Fronts[0]) },
	}
	for problem, mutate := range cases {
		c := validConfiguration()
		mutate(c)
		err := configuration.Check(c)
		var invalid *configuration.InvalidError
		require.ErrorAs(t, err, &invalid, problem)
		require.Contains(t, err.Error(), problem)
	}
	require.Error(t, configuration.Check(nil))
}

// enlarge makes a front larger than MaxValueBytes.
func enlarge(front *pb.Front) {
	partitions := make([]string, 9000)
	for i := range partitions {
		partitions[i] = fmt.Sprintf("%0120d", i)
	}
	front.Snapshots[0].Services[0].Partitions = partitions
}

func TestDifferenceListsChangedLines(t *testing.T) {
	after := validConfiguration()
	after.FailureDomains[1].State = takenOut
	after.Fronts[0].Services[0].Targets = append(after.Fronts[0].Services[0].Targets, target("t-3", "a"))
	require.Equal(t, []string{
		"- failure domain b: region= state=in_service",
		"+ failure domain b: region= state=taken_out",
		"+ front front service births target t-3: address=127.0.0.1:t-3 failure_domain=a slots=2 connections=25 setup_us=0 cold_limit=1 state=in_service",
	}, configuration.Difference(validConfiguration(), after))
	require.Empty(t, configuration.Difference(validConfiguration(), validConfiguration()))
	require.NotEmpty(t, configuration.Difference(nil, validConfiguration()))
}

func TestSafetyViolationsAreReported(t *testing.T) {
	allOut := validConfiguration()
	allOut.FailureDomains[0].State, allOut.FailureDomains[1].State = takenOut, takenOut
	require.Len(t, configuration.SafetyViolations(validConfiguration(), allOut), 2)
	require.Empty(t, configuration.SafetyViolations(allOut, allOut), "a condition that already held is not reported")
	oneOut := validConfiguration()
	oneOut.FailureDomains[0].State = takenOut
	require.Empty(t, configuration.SafetyViolations(validConfiguration(), oneOut))
	noTargets := validConfiguration()
	noTargets.Fronts[0].Services[0].Targets = nil
	require.Equal(t, []string{`front "front" would have no serving target`}, configuration.SafetyViolations(validConfiguration(), noTargets))
	require.NotEmpty(t, configuration.SafetyViolations(nil, noTargets), "a new front must have a serving target")
	targetsOut := validConfiguration()
	targetsOut.Fronts[0].Services[0].Targets[0].State = takenOut
	require.Empty(t, configuration.SafetyViolations(validConfiguration(), targetsOut))
	require.Len(t, configuration.SafetyViolations(oneOut, func() *pb.Configuration {
		c := validConfiguration()
		c.FailureDomains[0].State = takenOut
		c.Fronts[0].Services[0].Targets[1].State = takenOut
		return c
	}()), 1)
}

// randomRevisions returns a random sequence of accepted revisions.
func randomRevisions(t *rapid.T) []*pb.Configuration {
	var revisions []*pb.Configuration
	var previous *pb.Configuration
	for revision := 1; revision <= rapid.IntRange(1, 12).Draw(t, "revisions"); revision++ {
		next := &pb.Configuration{FailureDomains: []*pb.FailureDomain{{Name: "a", State: inService}}}
		for f := range 4 {
			if rapid.Bool().Draw(t, "present") {
				limit := rapid.Uint32Range(1, 3).Draw(t, "limit")
				next.Fronts = append(next.Fronts, &pb.Front{Name: fmt.Sprintf("f%d", f), Limits: &pb.FrontLimits{DefaultTimeLimitMs: limit, DefaultRowLimit: 1}})
			}
		}
		previous = configuration.Stamp(previous, next, uint64(revision))
		revisions = append(revisions, previous)
	}
	return revisions
}

// Random deltas, in any order and with any base, must never move the current
// configuration to an older revision. It must always equal an accepted one, and a
// newer full configuration must always be applied.
func TestDeltasNeverApplyOlderRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		revisions := randomRevisions(t)
		var current *pb.Configuration
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			accepted := rapid.SampledFrom(revisions).Draw(t, "accepted")
			base := rapid.Uint64Range(0, accepted.Revision).Draw(t, "base")
			next, newer, err := configuration.ApplyDelta(current, configuration.MakeDelta(accepted, base))
			require.Equal(t, newer, next.GetRevision() > current.GetRevision())
			require.GreaterOrEqual(t, next.GetRevision(), current.GetRevision())
			switch {
			case accepted.Revision <= current.GetRevision():
				require.Same(t, current, next)
			case base <= current.GetRevision():
				require.NoError(t, err)
				require.True(t, proto.Equal(accepted, next), "%v != %v", accepted, next)
			default:
				require.ErrorIs(t, err, configuration.ErrBaseMismatch)
			}
			current = next
		}
	})
}

func TestDeltaCarriesOnlyChangedFronts(t *testing.T) {
	first := validConfiguration()
	for f := range 100 {
		first.Fronts = append(first.Fronts, &pb.Front{Name: fmt.Sprintf("f%d", f), Limits: first.Fronts[0].Limits})
	}
	first = configuration.Stamp(nil, first, 1)
	second, _ := proto.Clone(first).(*pb.Configuration)
	second.Fronts[50].Limits.DefaultRowLimit = 7
	second = configuration.Stamp(first, second, 2)
	require.Len(t, configuration.MakeDelta(second, 1).Fronts, 1)
	require.Len(t, configuration.MakeDelta(second, 0).Fronts, 101)
}

func TestMalformedDeltasChangeNothing(t *testing.T) {
	first := configuration.Stamp(nil, validConfiguration(), 1)
	fullDelta := func() *pb.ConfigurationDelta {
		c, _ := proto.Clone(configuration.MakeDelta(configuration.Stamp(first, validConfiguration(), 2), 0)).(*pb.ConfigurationDelta)
		return c
	}
	mutations := map[string]func(d *pb.ConfigurationDelta){
		"no root":          func(d *pb.ConfigurationDelta) { d.Root = nil },
		"other revision":   func(d *pb.ConfigurationDelta) { d.Root.Revision = 9 },
		"base above":       func(d *pb.ConfigurationDelta) { d.BaseRevision = 9 },
		"front from later": func(d *pb.ConfigurationDelta) { d.Fronts[0].Revision = 9 },
		"front missing":    func(d *pb.ConfigurationDelta) { d.Root.Fronts[0].Name = "other" },
	}
	for name, mutate := range mutations {
		delta := fullDelta()
		mutate(delta)
		next, newer, err := configuration.ApplyDelta(first, delta)
		require.Error(t, err, name)
		require.False(t, newer)
		require.Same(t, first, next)
	}
	bad := fullDelta()
	bad.Fronts[0].Name = strings.Repeat("x", 100)
	require.Error(t, configuration.CheckDelta(bad))
	require.NoError(t, configuration.CheckDelta(fullDelta()))
	require.NoError(t, configuration.CheckDelta(nil))
}

func FuzzApplyDelta(f *testing.F) {
	seed, err := proto.Marshal(configuration.MakeDelta(configuration.Stamp(nil, validConfiguration(), 2), 0))
	require.NoError(f, err)
	f.Add(seed)
	f.Add([]byte{})
	first := configuration.Stamp(nil, validConfiguration(), 1)
	f.Fuzz(func(t *testing.T, value []byte) {
		delta := &pb.ConfigurationDelta{}
		if proto.Unmarshal(value, delta) != nil || configuration.CheckDelta(delta) != nil {
			return
		}
		next, newer, err := configuration.ApplyDelta(first, delta)
		if err != nil || !newer {
			require.Same(t, first, next)
		}
		require.GreaterOrEqual(t, next.Revision, first.Revision)
	})
}
