// Package delegation decides which VMs gather answers for others, and defines how a VM
// passes a request on to one of them.
//
// A gathered answer takes one exchange with each shard. A VM with little processor needs
// long for that, and a VM whose failure domain has none of the targets has every exchange
// cross domains. Both instead pass the caller's request on to a gatherer: a VM with more
// processor, next to the targets, which sees each target often enough to know its health
// and to keep its connections in use. A VM that gathers has a gatherer in another failure
// domain relay its exchanges with the targets there, in one message.
package delegation

import (
	"slices"
	"strings"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/routing"
	"github.com/carawayreel/carawayreel/internal/view"
)

const (
	// minProcessorRatio is the minimum ratio of a gatherer's processor to that of the
	// median VM. A fleet of equal VMs has no gatherers.
	minProcessorRatio = 2
	// minShardRatio is the minimum ratio of the shards with a target in a failure domain to
	// those of the domain that has most, for its VMs to gather for others.
	minShardRatio = 0.75
)

// Gatherers returns the VMs that gather answers for others, sorted by ID: the live ones
// that offer it and have enough processor.
func Gatherers(v *view.View) []view.VM {
	threshold := minProcessorRatio * medianProcessor(v)
	if threshold == 0 {
		return nil
	}
	var gatherers []view.VM
	for vm := range v.VMs {
		offers := vm.State == pb.MemberState_MEMBER_STATE_ALIVE && vm.GatherPort != 0
		if offers && vm.ProcessorMillicores >= threshold {
			gatherers = append(gatherers, vm)
		}
	}
	slices.SortFunc(gatherers, func(a, b view.VM) int { return strings.Compare(a.ID, b.ID) })
	return gatherers
}

// medianProcessor returns the processor of the median VM in thousandths of a core, or
// zero if too few VMs state theirs.
func medianProcessor(v *view.View) uint32 {
	var processors []uint32
	for vm := range v.VMs {
		if vm.CanOwn() {
			processors = append(processors, vm.ProcessorMillicores)
		}
	}
	if len(processors) == 0 {
		return 0
	}
	slices.Sort(processors)
	return processors[len(processors)/2]
}

// NextTo returns the gatherers in the failure domains that have targets of the most shards
// of the route.
func NextTo(route *routing.Route, gatherers []view.VM) []view.VM {
	shardsIn := map[string]int{}
	for _, shard := range route.Shards {
		domains := map[string]bool{}
		for _, target := range shard.Targets {
			domains[target.FailureDomain] = true
		}
		for domain := range domains {
			shardsIn[domain]++
		}
	}
	most := 0
	for _, shards := range shardsIn {
		most = max(most, shards)
	}
	var next []view.VM
	for _, vm := range gatherers {
		if shards := shardsIn[vm.FailureDomain]; shards > 0 && float64(shards) >= minShardRatio*float64(most) {
			next = append(next, vm)
		}
	}
	return next
}
