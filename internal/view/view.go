// Package view defines the immutable snapshot of control state that
// request-handling goroutines read: the configuration in force, the members of
// the deployment and the owner of each target.
//
// The control goroutine builds a View with Build and publishes it. A published
// View is never modified, so reads need no locks.
package view

import (
	"net"
	"strconv"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// VM is a member of the deployment, reduced to the fields that routing needs.
type VM struct {
	// ID is the VM's name, unique in the deployment.
	ID string
	// FailureDomain is the name of the failure domain the VM runs in.
	FailureDomain string
	// PeerAddress is the IP address and port on which other VMs reach this VM.
	PeerAddress string
	// Incarnation is the Unix time of the process start, in nanoseconds.
	Incarnation uint64
	// State is the membership state of the VM as this process sees it.
	State pb.MemberState
	// GatherPort is the port, at the IP address of PeerAddress, on which the VM gathers
	// answers for other VMs; zero if it does not.
	GatherPort uint32
	// ProcessorMillicores is the VM's processor in thousandths of a core; zero if it is
	// not known.
	ProcessorMillicores uint32
}

// GatherAddress returns the address on which the VM gathers answers for other VMs, or an
// empty string if it does not.
func (vm VM) GatherAddress() string {
	host, _, err := net.SplitHostPort(vm.PeerAddress)
	if err != nil || vm.GatherPort == 0 {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(int(vm.GatherPort)))
}

// CanOwn reports whether the VM may own targets: it is alive or suspect.
func (vm VM) CanOwn() bool {
	return vm.State == pb.MemberState_MEMBER_STATE_ALIVE || vm.State == pb.MemberState_MEMBER_STATE_SUSPECT
}

// Target is a configured target together with its front and service.
type Target struct {
	*pb.Target
	// Front and Service are the names of the front and service of the target.
	Front   string
	Service string
}

// Front is a configured front with an index of its services.
type Front struct {
	*pb.Front
	// Services maps the name of each service to its configuration.
	Services map[string]*pb.Service
}

// Source provides the latest view. Implementations must be safe for concurrent
// use and never return nil.
type Source interface {
	Current() *View
}

// View is an immutable snapshot of control state.
type View struct {
	// Self is this VM.
	Self VM
	// Configuration is the configuration in force; nil until one is known.
	Configuration *pb.Configuration
	// ConfirmedAt is when the configuration was last confirmed to be current.
	ConfirmedAt time.Time
	// Paused is true after the start or a clock gap of this process, until its
	// members and configuration are confirmed. A paused VM dispatches nothing.
	Paused bool
	// Stopping is true once a planned shutdown has begun.
	Stopping bool
	// Direct is true when this VM treats itself as the owner of every target.
	// The experiment.direct_targets setting enables it, as the baseline for
	// measurements of target ownership.
	Direct bool

	// replaced holds the last revisions before the one in force, in ascending order.
	replaced    []Replaced
	vms         map[string]VM
	domainState map[string]pb.ServingState
	domainVMs   map[string][]VM
	fronts      map[string]*Front
	targets     map[string]Target
	owners      map[string]string
	owned       []string
}

// Revision returns the revision in force, or zero until a configuration is known.
func (v *View) Revision() uint64 {
	return v.Configuration.GetRevision()
}

// ConfigurationAge returns the time since the configuration was last confirmed,
// or zero if it never was.
func (v *View) ConfigurationAge(now time.Time) time.Duration {
	if v.ConfirmedAt.IsZero() {
		return 0
	}
	return max(now.Sub(v.ConfirmedAt), 0)
}

// Replaced is a revision that is no longer in force. What it does not hold any more changed
// after InForceAt.
type Replaced struct {
	Revision uint64
	// InForceAt is the latest time at which the revision was known to be in force.
	InForceAt time.Time
}

// LastInForce returns the latest time at which the given revision was known to be in
// force, or zero if that is not known.
func (v *View) LastInForce(revision uint64) time.Time {
	if revision == v.Revision() {
		return v.ConfirmedAt
	}
	return LastInForce(v.replaced, revision)
}

// LastInForce returns the latest time at which a replaced revision was known to be in
// force, or zero if it is not among them.
func LastInForce(replaced []Replaced, revision uint64) time.Time {
	for _, r := range replaced {
		if r.Revision == revision {
			return r.InForceAt
		}
	}
	return time.Time{}
}

// Front returns the front with the given name.
func (v *View) Front(name string) (*Front, bool) {
	front, ok := v.fronts[name]
	return front, ok
}

// VM returns the member with the given ID.
func (v *View) VM(id string) (VM, bool) {
	vm, ok := v.vms[id]
	return vm, ok
}

// VMs calls yield for each member, in no particular order, until yield returns false.
func (v *View) VMs(yield func(VM) bool) {
	for _, vm := range v.vms {
		if !yield(vm) {
			return
		}
	}
}

// DomainVMs returns the members of a failure domain that may own targets,
// sorted by ID. The caller must not modify the slice.
func (v *View) DomainVMs(failureDomain string) []VM {
	return v.domainVMs[failureDomain]
}

// Target returns the target with the given ID.
func (v *View) Target(id string) (Target, bool) {
	target, ok := v.targets[id]
	return target, ok
}

// FailureDomainOf returns the failure domain of a target, or an empty string if
// the target is unknown.
func (v *View) FailureDomainOf(target string) string {
	t, ok := v.targets[target]
	if !ok {
		return ""
	}
	return t.FailureDomain
}

// Owner returns the VM that owns a target. It reports false when the target is
// unknown or its failure domain has no VM that may own it.
func (v *View) Owner(target string) (VM, bool) {
	ownerID, ok := v.owners[target]
	if !ok {
		return VM{}, false
	}
	return v.VM(ownerID)
}

// Owns reports whether this VM owns the target.
func (v *View) Owns(target string) bool {
	ownerID, ok := v.owners[target]
	return ok && ownerID == v.Self.ID
}

// OwnedTargets returns the IDs of the targets that this VM owns, in ascending
// order. The caller must not modify the slice.
func (v *View) OwnedTargets() []string {
	return v.owned
}

// InService reports whether the target is in service: operators have taken out
// neither the target nor its failure domain.
func (v *View) InService(target string) bool {
	t, ok := v.targets[target]
	if !ok {
		return false
	}
	if t.State != pb.ServingState_SERVING_STATE_IN_SERVICE {
		return false
	}
	return v.domainState[t.FailureDomain] == pb.ServingState_SERVING_STATE_IN_SERVICE
}

// ActiveVMCount returns the number of VMs that deployment-wide limits are divided
// among: all alive and suspect members.
func (v *View) ActiveVMCount() int {
	count := 0
	for _, vm := range v.vms {
		if vm.CanOwn() {
			count++
		}
	}
	return count
}
