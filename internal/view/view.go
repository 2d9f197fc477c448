// Package view defines the immutable picture of control state that traffic
// goroutines read: the configuration in force, the members of the deployment
// and the owner of each target.
//
// The control goroutine builds a View with a Builder and publishes it; nothing
// changes a View after that, so that it is read without locks.
package view

import (
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// VM is a member of the deployment, as far as routing needs to know it.
type VM struct {
	// ID is the VM's name, unique in the deployment.
	ID string
	// FailureDomain is the name of the failure domain the VM runs in.
	FailureDomain string
	// PeerAddress is the IP address and port for other VMs.
	PeerAddress string
	// Incarnation is the Unix time of the process start, in nanoseconds.
	Incarnation uint64
	// State is the believed state of the VM.
	State pb.MemberState
}

// CanOwn reports whether the VM may be given targets.
func (vm VM) CanOwn() bool {
	return vm.State == pb.MemberState_MEMBER_STATE_ALIVE || vm.State == pb.MemberState_MEMBER_STATE_SUSPECT
}

// Target is a target with its place in the configuration.
type Target struct {
	*pb.Target
	// Front and Service name the place the target serves.
	Front   string
	Service string
}

// Front is a front with its indexes.
type Front struct {
	*pb.Front
	// Services maps the name of each service to its configuration.
	Services map[string]*pb.Service
}

// Source provides the newest view. Implementations are safe for concurrent use
// and never return nil.
type Source interface {
	Current() *View
}

// View is one published picture of control state.
type View struct {
	// Self is this VM.
	Self VM
	// Configuration is the revision in force; nil while none is known.
	Configuration *pb.Configuration
	// ConfirmedAt is when the configuration was last confirmed to be current.
	ConfirmedAt time.Time
	// Paused is true after a gap in this process's clock, until its membership
	// and configuration were confirmed again. A paused VM dispatches nothing.
	Paused bool
	// Stopping is true from the start of a planned stop.
	Stopping bool
	// Direct is true when this VM owns every target for itself: the baseline
	// that target ownership is measured against.
	Direct bool

	vms         map[string]VM
	domainState map[string]pb.ServingState
	domainVMs   map[string][]VM
	fronts      map[string]*Front
	targets     map[string]Target
	owners      map[string]string
	owned       []string
}

// Revision returns the revision in force, or zero while none is known.
func (v *View) Revision() uint64 {
	return v.Configuration.GetRevision()
}

// ConfigurationAge returns the time since the configuration was confirmed.
func (v *View) ConfigurationAge(now time.Time) time.Duration {
	if v.ConfirmedAt.IsZero() {
		return 0
	}
	return max(now.Sub(v.ConfirmedAt), 0)
}

// Front returns the front of that name.
func (v *View) Front(name string) (*Front, bool) {
	front, ok := v.fronts[name]
	return front, ok
}

// VM returns the member of that name.
func (v *View) VM(id string) (VM, bool) {
	vm, ok := v.vms[id]
	return vm, ok
}

// DomainVMs returns the members of a failure domain that may own targets, in
// the order of their names. The caller must not change the slice.
func (v *View) DomainVMs(failureDomain string) []VM {
	return v.domainVMs[failureDomain]
}

// Target returns the target of that identifier.
func (v *View) Target(id string) (Target, bool) {
	target, ok := v.targets[id]
	return target, ok
}

// FailureDomainOf returns the failure domain of a target; it is empty for an
// unknown one.
func (v *View) FailureDomainOf(target string) string {
	found, ok := v.targets[target]
	if !ok {
		return ""
	}
	return found.FailureDomain
}

// Owner returns the VM that owns a target. It reports false when the target is
// unknown or its failure domain has no VM that may own it.
func (v *View) Owner(target string) (VM, bool) {
	owner, ok := v.owners[target]
	if !ok {
		return VM{}, false
	}
	return v.VM(owner)
}

// Owns reports whether this VM owns the target.
func (v *View) Owns(target string) bool {
	owner, ok := v.owners[target]
	return ok && owner == v.Self.ID
}

// OwnedTargets returns the identifiers of the targets that this VM owns, in
// ascending order. The caller must not change the slice.
func (v *View) OwnedTargets() []string {
	return v.owned
}

// InService reports whether operators let the target serve: neither it nor its
// failure domain is taken out.
func (v *View) InService(target string) bool {
	found, ok := v.targets[target]
	if !ok {
		return false
	}
	if found.State != pb.ServingState_SERVING_STATE_IN_SERVICE {
		return false
	}
	return v.domainState[found.FailureDomain] == pb.ServingState_SERVING_STATE_IN_SERVICE
}

// Sharers returns the number of VMs that limits of the deployment are shared by:
// all that are not known to be dead or to have left.
func (v *View) Sharers() int {
	count := 0
	for _, vm := range v.vms {
		if vm.CanOwn() {
			count++
		}
	}
	return count
}
