// Package configuration holds the pure logic of configurations: checks,
// differences, deltas and safety rules.
//
// Configurations are immutable once accepted; the functions share unchanged
// fronts between revisions and never write into their arguments.
package configuration

import (
	"fmt"
	"strings"

	"buf.build/go/protovalidate"
	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// MaxValueBytes is the largest value that is written to the platform's store.
const MaxValueBytes = 1000 * 1000

// InvalidError lists what a configuration's check found.
type InvalidError struct {
	Problems []string
}

// Error returns the problems in one line.
func (e *InvalidError) Error() string {
	return "invalid configuration: " + strings.Join(e.Problems, "; ")
}

// Check returns an *InvalidError unless the configuration follows its schema
// and its parts refer to one another correctly.
func Check(c *pb.Configuration) error {
	if c == nil {
		return &InvalidError{Problems: []string{"no configuration"}}
	}
	check := &checker{domains: map[string]bool{}, fronts: map[string]bool{}, targets: map[string]string{}, addresses: map[string]string{}}
	if err := protovalidate.Validate(c); err != nil {
		check.problem("%s", strings.ReplaceAll(err.Error(), "\n", " "))
	}
	check.failureDomains(c.FailureDomains)
	for _, front := range c.Fronts {
		check.front(front)
	}
	if size := proto.Size(Root(c, Keys{})); size > MaxValueBytes {
		check.problem("the list of fronts takes %d bytes, above %d", size, MaxValueBytes)
	}
	if len(check.problems) > 0 {
		return &InvalidError{Problems: check.problems}
	}
	return nil
}

type checker struct {
	domains   map[string]bool
	fronts    map[string]bool
	targets   map[string]string
	addresses map[string]string
	problems  []string
}

func (k *checker) problem(format string, arguments ...any) {
	k.problems = append(k.problems, fmt.Sprintf(format, arguments...))
}

func (k *checker) failureDomains(domains []*pb.FailureDomain) {
	for _, domain := range domains {
		if k.domains[domain.GetName()] {
			k.problem("failure domain %q stands twice", domain.GetName())
		}
		k.domains[domain.GetName()] = true
	}
}

func (k *checker) front(front *pb.Front) {
	name := front.GetName()
	if k.fronts[name] {
		k.problem("front %q stands twice", name)
	}
	k.fronts[name] = true
	services := map[string]bool{}
	for _, service := range front.GetServices() {
		if services[service.GetName()] {
			k.problem("front %q: service %q stands twice", name, service.GetName())
		}
		services[service.GetName()] = true
		for _, target := range service.GetTargets() {
			k.target(name, target)
		}
	}
	k.snapshots(front, services)
	if size := proto.Size(front); size > MaxValueBytes {
		k.problem("front %q takes %d bytes, above %d", name, size, MaxValueBytes)
	}
}

func (k *checker) target(front string, target *pb.Target) {
	id := target.GetId()
	if other, ok := k.targets[id]; ok {
		k.problem("target %q stands twice: in front %q and front %q", id, other, front)
	}
	k.targets[id] = front
	if other, ok := k.addresses[target.GetAddress()]; ok {
		k.problem("targets %q and %q have the same address %s", other, id, target.GetAddress())
	}
	k.addresses[target.GetAddress()] = id
	if !k.domains[target.GetFailureDomain()] {
		k.problem("target %q: unknown failure domain %q", id, target.GetFailureDomain())
	}
	if target.GetColdLimit() > target.GetSlots() {
		k.problem("target %q: cold limit %d is above its %d slots", id, target.GetColdLimit(), target.GetSlots())
	}
}

// snapshots checks that versions ascend and that each snapshot's map names
// every service of the front, and no other, once.
func (k *checker) snapshots(front *pb.Front, services map[string]bool) {
	previous := uint64(0)
	for _, snapshot := range front.GetSnapshots() {
		if snapshot.GetVersion() <= previous {
			k.problem("front %q: snapshot %d does not ascend", front.GetName(), snapshot.GetVersion())
		}
		previous = snapshot.GetVersion()
		k.partitionMap(front, snapshot, services)
	}
}

func (k *checker) partitionMap(front *pb.Front, snapshot *pb.Snapshot, services map[string]bool) {
	mapped := map[string]bool{}
	for _, entry := range snapshot.GetServices() {
		name := entry.GetService()
		if !services[name] {
			k.problem("front %q: snapshot %d maps unknown service %q", front.GetName(), snapshot.GetVersion(), name)
		}
		if mapped[name] {
			k.problem("front %q: snapshot %d maps service %q twice", front.GetName(), snapshot.GetVersion(), name)
		}
		mapped[name] = true
	}
	for _, service := range front.GetServices() {
		if !mapped[service.GetName()] {
			k.problem("front %q: snapshot %d does not map service %q", front.GetName(), snapshot.GetVersion(), service.GetName())
		}
	}
}
