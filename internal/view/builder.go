package view

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Input is the control state that a View is built from.
type Input struct {
	Self          VM
	VMs           []VM
	Configuration *pb.Configuration
	ConfirmedAt   time.Time
	Paused        bool
	Stopping      bool
	Direct        bool
}

// Build returns the view of an input. Owners are found by rendezvous hashing
// over the VMs of each target's failure domain, so that a VM that joins or
// leaves moves only the targets that it gains or loses.
//
// Parts of previous are reused where the input did not change them; previous
// may be nil.
func Build(input Input, previous *View) *View {
	v := &View{
		Self:          input.Self,
		Configuration: input.Configuration,
		ConfirmedAt:   input.ConfirmedAt,
		Paused:        input.Paused,
		Stopping:      input.Stopping,
		Direct:        input.Direct,
	}
	v.indexMembers(input.VMs)
	if previous != nil && previous.Configuration == input.Configuration {
		v.fronts = previous.fronts
		v.targets = previous.targets
		v.domainState = previous.domainState
	} else {
		v.indexConfiguration()
	}
	v.assignOwners(previous)
	return v
}

func (v *View) indexMembers(vms []VM) {
	v.vms = make(map[string]VM, len(vms)+1)
	v.domainVMs = map[string][]VM{}
	for _, vm := range vms {
		v.vms[vm.ID] = vm
	}
	v.vms[v.Self.ID] = v.Self
	for _, vm := range v.vms {
		if vm.CanOwn() {
			v.domainVMs[vm.FailureDomain] = append(v.domainVMs[vm.FailureDomain], vm)
		}
	}
	for _, members := range v.domainVMs {
		sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	}
}

func (v *View) indexConfiguration() {
	v.fronts = map[string]*Front{}
	v.targets = map[string]Target{}
	v.domainState = map[string]pb.ServingState{}
	for _, domain := range v.Configuration.GetFailureDomains() {
		v.domainState[domain.Name] = domain.State
	}
	for _, front := range v.Configuration.GetFronts() {
		v.indexFront(front)
	}
}

func (v *View) indexFront(front *pb.Front) {
	indexed := &Front{Front: front, Services: make(map[string]*pb.Service, len(front.Services))}
	for _, service := range front.Services {
		indexed.Services[service.Name] = service
		for _, target := range service.Targets {
			v.targets[target.Id] = Target{Target: target, Front: front.Name, Service: service.Name}
		}
	}
	v.fronts[front.Name] = indexed
}

// assignOwners gives each target to a VM of its failure domain. Failure domains
// whose VMs and configuration did not change keep their owners.
func (v *View) assignOwners(previous *View) {
	v.owners = make(map[string]string, len(v.targets))
	hashes := make(map[string]*rendezvous.Rendezvous, len(v.domainVMs))
	for domain, members := range v.domainVMs {
		if previous.sameOwners(v, domain) {
			continue
		}
		hashes[domain] = rendezvous.New(names(members), xxhash.Sum64String)
	}
	for id, target := range v.targets {
		v.assignOwner(id, target.FailureDomain, hashes, previous)
	}
	sort.Strings(v.owned)
}

func (v *View) assignOwner(id, domain string, hashes map[string]*rendezvous.Rendezvous, previous *View) {
	owner := v.chooseOwner(id, domain, hashes, previous)
	if owner == "" {
		return
	}
	v.owners[id] = owner
	if owner == v.Self.ID {
		v.owned = append(v.owned, id)
	}
}

// chooseOwner returns the name of the owner, or nothing when there is none.
func (v *View) chooseOwner(id, domain string, hashes map[string]*rendezvous.Rendezvous, previous *View) string {
	if v.Direct {
		return v.Self.ID
	}
	if len(v.domainVMs[domain]) == 0 {
		return ""
	}
	if hash, ok := hashes[domain]; ok {
		return hash.Lookup(id)
	}
	return previous.owners[id]
}

// sameOwners reports whether the owners of a failure domain's targets can be
// taken over from an earlier view.
func (v *View) sameOwners(next *View, domain string) bool {
	if v == nil || v.Configuration != next.Configuration {
		return false
	}
	before, after := v.domainVMs[domain], next.domainVMs[domain]
	if len(before) != len(after) {
		return false
	}
	for i := range before {
		if before[i].ID != after[i].ID {
			return false
		}
	}
	return true
}

func names(members []VM) []string {
	ids := make([]string, len(members))
	for i, vm := range members {
		ids[i] = vm.ID
	}
	return ids
}
