// Package configuration implements the side-effect-free logic of configurations:
// validation, differences, deltas and safety rules.
//
// Configurations are immutable once accepted. The functions share unchanged
// fronts between revisions and do not modify their arguments.
package configuration

import (
	"fmt"
	"strings"

	"buf.build/go/protovalidate"
	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// MaxValueBytes is the maximum size of a value in the platform's store, in bytes.
const MaxValueBytes = 1000 * 1000

// InvalidError lists the problems that Check found in a configuration.
type InvalidError struct {
	Problems []string
}

// Error returns the problems on one line.
func (e *InvalidError) Error() string {
	return "invalid configuration: " + strings.Join(e.Problems, "; ")
}

// Check returns an *InvalidError unless the configuration follows its schema and
// its internal references and limits are consistent.
func Check(c *pb.Configuration) error {
	if c == nil {
		return &InvalidError{Problems: []string{"no configuration"}}
	}
	k := &checker{domains: map[string]bool{}, fronts: map[string]bool{}, targets: map[string]string{}, addresses: map[string]string{}}
	if err := protovalidate.Validate(c); err != nil {
		k.addProblem("%s", strings.ReplaceAll(err.Error(), "\n", " "))
	}
	k.checkFailureDomains(c.FailureDomains)
	for _, front := range c.Fronts {
		k.checkFront(front)
	}
	k.checkOrganisations(c.GetRouteTable().GetOrganisations())
	if size := proto.Size(Root(c, Keys{})); size > MaxValueBytes {
		k.addProblem("the configuration root takes %d bytes, limit %d", size, MaxValueBytes)
	}
	if len(k.problems) > 0 {
		return &InvalidError{Problems: k.problems}
	}
	return nil
}

type checker struct {
	domains map[string]bool
	fronts  map[string]bool
	// targets maps the ID of each target to the name of its front.
	targets map[string]string
	// addresses maps the address of each target to its ID.
	addresses map[string]string
	problems  []string
}

func (k *checker) addProblem(format string, arguments ...any) {
	k.problems = append(k.problems, fmt.Sprintf(format, arguments...))
}

func (k *checker) checkFailureDomains(domains []*pb.FailureDomain) {
	for _, domain := range domains {
		if k.domains[domain.GetName()] {
			k.addProblem("failure domain %q is defined twice", domain.GetName())
		}
		k.domains[domain.GetName()] = true
	}
}

func (k *checker) checkFront(front *pb.Front) {
	name := front.GetName()
	if k.fronts[name] {
		k.addProblem("front %q is defined twice", name)
	}
	k.fronts[name] = true
	services := map[string]bool{}
	for _, service := range front.GetServices() {
		if services[service.GetName()] {
			k.addProblem("front %q: service %q is defined twice", name, service.GetName())
		}
		services[service.GetName()] = true
		for _, target := range service.GetTargets() {
			k.checkTarget(name, target)
		}
	}
	k.checkSnapshots(front, services)
	if size := proto.Size(front); size > MaxValueBytes {
		k.addProblem("front %q takes %d bytes, limit %d", name, size, MaxValueBytes)
	}
}

func (k *checker) checkTarget(front string, target *pb.Target) {
	id := target.GetId()
	if other, ok := k.targets[id]; ok {
		k.addProblem("target %q is defined twice: in front %q and front %q", id, other, front)
	}
	k.targets[id] = front
	if other, ok := k.addresses[target.GetAddress()]; ok {
		k.addProblem("targets %q and %q have the same address %s", other, id, target.GetAddress())
	}
	k.addresses[target.GetAddress()] = id
	if !k.domains[target.GetFailureDomain()] {
		k.addProblem("target %q: unknown failure domain %q", id, target.GetFailureDomain())
	}
	if target.GetColdLimit() > target.GetSlots() {
		k.addProblem("target %q: cold limit %d exceeds its %d slots", id, target.GetColdLimit(), target.GetSlots())
	}
}

// checkSnapshots checks that versions ascend and that each snapshot has exactly one
// partition list for every service of the front, and none for other services.
func (k *checker) checkSnapshots(front *pb.Front, services map[string]bool) {
	previous := uint64(0)
	for _, snapshot := range front.GetSnapshots() {
		if snapshot.GetVersion() <= previous {
			k.addProblem("front %q: version of snapshot %d is not in ascending order", front.GetName(), snapshot.GetVersion())
		}
		previous = snapshot.GetVersion()
		k.checkPartitionMap(front, snapshot, services)
	}
}

func (k *checker) checkPartitionMap(front *pb.Front, snapshot *pb.Snapshot, services map[string]bool) {
	mapped := map[string]bool{}
	for _, entry := range snapshot.GetServices() {
		name := entry.GetService()
		if !services[name] {
			k.addProblem("front %q: snapshot %d maps unknown service %q", front.GetName(), snapshot.GetVersion(), name)
		}
		if mapped[name] {
			k.addProblem("front %q: snapshot %d maps service %q twice", front.GetName(), snapshot.GetVersion(), name)
		}
		mapped[name] = true
	}
	for _, service := range front.GetServices() {
		if !mapped[service.GetName()] {
			k.addProblem("front %q: snapshot %d does not map service %q", front.GetName(), snapshot.GetVersion(), service.GetName())
		}
	}
}
