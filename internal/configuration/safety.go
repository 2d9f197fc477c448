package configuration

import (
	"fmt"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Unsafe returns the reasons for which the step from one configuration to the
// next is refused unless it is forced: it takes out the last serving failure
// domain, or leaves a front without a serving target. What was so before is no
// reason. Before may be nil.
func Unsafe(before, after *pb.Configuration) []string {
	var reasons []string
	if servingDomains(before) > 0 && servingDomains(after) == 0 {
		reasons = append(reasons, "no failure domain would be in service")
	}
	served := servingTargets(before)
	serving := servingTargets(after)
	known := frontsByName(before)
	for _, front := range after.GetFronts() {
		_, existed := known[front.Name]
		if serving[front.Name] == 0 && (!existed || served[front.Name] > 0) {
			reasons = append(reasons, fmt.Sprintf("front %q would have no serving target", front.Name))
		}
	}
	return reasons
}

func servingDomains(c *pb.Configuration) int {
	count := 0
	for _, domain := range c.GetFailureDomains() {
		if domain.State == pb.ServingState_SERVING_STATE_IN_SERVICE {
			count++
		}
	}
	return count
}

// servingTargets counts the serving targets of each front.
func servingTargets(c *pb.Configuration) map[string]int {
	domains := map[string]bool{}
	for _, domain := range c.GetFailureDomains() {
		domains[domain.Name] = domain.State == pb.ServingState_SERVING_STATE_IN_SERVICE
	}
	counts := map[string]int{}
	for _, front := range c.GetFronts() {
		for _, service := range front.Services {
			for _, target := range service.Targets {
				if domains[target.FailureDomain] && target.State == pb.ServingState_SERVING_STATE_IN_SERVICE {
					counts[front.Name]++
				}
			}
		}
	}
	return counts
}
