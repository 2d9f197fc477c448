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
	Replaced      []Replaced
	Paused        bool
	Stopping      bool
	Direct        bool
}

// Build returns the view of an input. Owners are assigned by rendezvous hashing
// over the VMs of each target's failure domain, so a VM that joins or leaves
// moves only the targets that it gains or loses.
//
// Build reuses the parts of previous that the input leaves unchanged; previous
// may be nil.
func Build(input Input, previous *View) *View {
	v := &View{
		Self:          input.Self,
		Configuration: input.Configuration,
		ConfirmedAt:   input.ConfirmedAt,
		replaced:      input.Replaced,
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

// assignOwners assigns each target to a VM of its failure domain. Owners are
// carried over in failure domains whose VMs and configuration are unchanged.
func (v *View) assignOwners(previous *View) {
	v.owners = make(map[string]string, len(v.targets))
	rendezvousByDomain := make(map[string]*rendezvous.Rendezvous, len(v.domainVMs))
	for domain, members := range v.domainVMs {
		if previous.canReuseOwners(v, domain) {
			continue
		}
		rendezvousByDomain[domain] = rendezvous.New(vmIDs(members), xxhash.Sum64String)
	}
	for id, target := range v.targets {
		v.assignOwner(id, target.FailureDomain, rendezvousByDomain, previous)
	}
	sort.Strings(v.owned)
}

func (v *View) assignOwner(id, domain string, rendezvousByDomain map[string]*rendezvous.Rendezvous, previous *View) {
	ownerID := v.chooseOwner(id, domain, rendezvousByDomain, previous)
	if ownerID == "" {
		return
	}
	v.owners[id] = ownerID
	if ownerID == v.Self.ID {
		v.owned = append(v.owned, id)
	}
}

// chooseOwner returns the ID of the owning VM, or an empty string if no VM may
// own the target.
func (v *View) chooseOwner(id, domain string, rendezvousByDomain map[string]*rendezvous.Rendezvous, previous *View) string {
	if v.Direct {
		return v.Self.ID
	}
	if len(v.domainVMs[domain]) == 0 {
		return ""
	}
	if hash, ok := rendezvousByDomain[domain]; ok {
		return hash.Lookup(id)
	}
	return previous.owners[id]
}

// canReuseOwners reports whether next can reuse v's owners of a failure domain's
// targets because neither its VMs nor the configuration changed.
func (v *View) canReuseOwners(next *View, domain string) bool {
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

func vmIDs(vms []VM) []string {
	ids := make([]string, len(vms))
	for i, vm := range vms {
		ids[i] = vm.ID
	}
	return ids
}
