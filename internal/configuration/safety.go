package configuration

import (
	"fmt"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// SafetyViolations returns the reasons why a change from one configuration to
// another is refused unless forced: it takes out the last failure domain in
// service, or leaves a front without a serving target. Conditions that already
// hold in before are not reported, but a new front must have a serving target.
// Before may be nil.
func SafetyViolations(before, after *pb.Configuration) []string {
	var reasons []string
	if servingDomains(before) > 0 && servingDomains(after) == 0 {
		reasons = append(reasons, "no failure domain would be in service")
	}
	targetsBefore := servingTargets(before)
	targetsAfter := servingTargets(after)
	frontsBefore := frontsByName(before)
	for _, front := range after.GetFronts() {
		_, existed := frontsBefore[front.Name]
		if targetsAfter[front.Name] == 0 && (!existed || targetsBefore[front.Name] > 0) {
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

// servingTargets returns the number of serving targets of each front by name. A
// target serves if both it and its failure domain are in service.
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
