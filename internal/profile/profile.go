// Package profile builds the configurations of the known deployments and the
// made-up records that their targets serve.
//
// Everything here is a pure function of its arguments: stand-ins serve the
// records, and tests derive from the same functions what an answer must hold.
package profile

import (
	"fmt"
	"net"
	"strconv"

	"github.com/pkg/errors"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Host is the address that all targets of a profile listen on.
const Host = "127.0.0.1"

// Versions of the snapshots in a profile.
const (
	// FirstVersion is the oldest snapshot of a new configuration.
	FirstVersion uint64 = 1
	// NewestVersion is the newest snapshot of a new configuration.
	NewestVersion uint64 = 3
	// SplitVersion is the first snapshot in which the even partitions of each
	// service are split in two.
	SplitVersion uint64 = 5
	// HeldVersions is the number of newest snapshots that a target holds.
	HeldVersions = 3
)

const (
	partitionsPerService = 2
	searcherSetupUs      = 5000
	changeSetupUs        = 1000
	sourceHostBase       = 10
)

// ErrUnknown is returned for a profile name that does not exist.
var ErrUnknown = errors.New("unknown profile")

// Kind is the kind of records that a front holds.
type Kind int

// Kinds of records.
const (
	// Genealogy records describe persons.
	Genealogy Kind = iota
	// Casks records describe bonded casks.
	Casks
)

// Domains returns the names of the failure domains, which all profiles share.
func Domains() []string {
	return []string{"a", "b", "c"}
}

// SourceAddress returns the local IP address that a VM in the failure domain
// binds its outgoing connections to: 127.0.0.10 for the first domain,
// 127.0.0.11 for the second and so on. It is empty for an unknown domain.
func SourceAddress(failureDomain string) string {
	for i, name := range Domains() {
		if name == failureDomain {
			return fmt.Sprintf("127.0.0.%d", sourceHostBase+i)
		}
	}
	return ""
}

// DomainOfSource returns the failure domain that a source address stands for.
// It reports false for other addresses.
func DomainOfSource(address net.IP) (string, bool) {
	for _, name := range Domains() {
		if address.Equal(net.ParseIP(SourceAddress(name))) {
			return name, true
		}
	}
	return "", false
}

// frontSize describes the targets of one front.
type frontSize struct {
	name        string
	kind        Kind
	services    int
	searchers   int
	slots       uint32
	connections uint32
	setupUs     uint32
	coldLimit   uint32
}

type deployment struct {
	region string
	fronts []frontSize
}

// deployments returns the known deployments by name. The cold limits are about
// half of the slots, rounded down.
func deployments() map[string]deployment {
	return map[string]deployment{
		"demo": {region: "demo", fronts: []frontSize{
			{"archive", Genealogy, 4, 3, 2, 25, searcherSetupUs, 1},
			{"register", Casks, 1, 3, 3, 40, changeSetupUs, 1},
		}},
		"stamboomhuis": {region: "nl-west", fronts: []frontSize{
			{"zoekportaal", Genealogy, 10, 3, 2, 25, searcherSetupUs, 1},
			{"archiefimport", Genealogy, 15, 3, 2, 25, searcherSetupUs, 1},
			{"boombeheer", Genealogy, 1, 10, 3, 100, changeSetupUs, 1},
			{"erfgenaam", Genealogy, 1, 4, 3, 100, changeSetupUs, 1},
		}},
		"casgen": {region: "cymru-west", fronts: []frontSize{
			{"bond-gate", Casks, 10, 3, 3, 30, searcherSetupUs, 1},
			{"duty-ledger", Casks, 15, 3, 3, 30, searcherSetupUs, 1},
			{"broker-desk", Casks, 1, 20, 3, 40, changeSetupUs, 1},
			{"fill-log", Casks, 1, 10, 3, 40, changeSetupUs, 1},
		}},
	}
}

// Names returns the names of the profiles in ascending order.
func Names() []string {
	return []string{"casgen", "demo", "stamboomhuis"}
}

// Profile is a deployment whose targets listen on consecutive ports.
type Profile struct {
	// Name is the profile's name.
	Name string
	// Seed selects the made-up records.
	Seed uint64

	basePort   int
	deployment deployment
}

// New returns the profile of that name with its first target at basePort. It
// returns ErrUnknown for a name that is not among Names.
func New(name string, basePort int, seed uint64) (*Profile, error) {
	found, ok := deployments()[name]
	if !ok {
		return nil, errors.Wrap(ErrUnknown, name)
	}
	return &Profile{Name: name, Seed: seed, basePort: basePort, deployment: found}, nil
}

// Configuration returns the profile's configuration at revision 0, with every
// failure domain and target in service.
func (p *Profile) Configuration() *pb.Configuration {
	c := &pb.Configuration{Author: "profile", Comment: p.Name}
	for _, name := range Domains() {
		c.FailureDomains = append(c.FailureDomains, &pb.FailureDomain{
			Name:   name,
			Region: p.deployment.region,
			State:  pb.ServingState_SERVING_STATE_IN_SERVICE,
		})
	}
	port := p.basePort
	for _, size := range p.deployment.fronts {
		c.Fronts = append(c.Fronts, p.front(size, port))
		port += size.services * size.searchers
	}
	return c
}

// TargetCount returns the number of targets, and so of ports, of the profile.
func (p *Profile) TargetCount() int {
	count := 0
	for _, size := range p.deployment.fronts {
		count += size.services * size.searchers
	}
	return count
}

// Kind returns the kind of records that the front holds. It reports false for
// an unknown front.
func (p *Profile) Kind(front string) (Kind, bool) {
	size, ok := p.size(front)
	return size.kind, ok
}

func (p *Profile) size(front string) (frontSize, bool) {
	for _, size := range p.deployment.fronts {
		if size.name == front {
			return size, true
		}
	}
	return frontSize{}, false
}

func (p *Profile) front(size frontSize, port int) *pb.Front {
	front := &pb.Front{
		Name: size.name,
		Limits: &pb.FrontLimits{
			DefaultTimeLimitMs: 1000,
			DefaultRowLimit:    1000,
			ExtraLoadPercent:   5,
		},
	}
	for i := range size.services {
		front.Services = append(front.Services, newService(size, i, port+i*size.searchers))
	}
	for version := FirstVersion; version <= NewestVersion; version++ {
		front.Snapshots = append(front.Snapshots, p.Snapshot(size.name, version))
	}
	return front
}

// newService returns the service with its targets spread over the failure
// domains in turn. The first target's domain moves on with each service, so
// that domains of fronts with uneven services get even shares.
func newService(size frontSize, index, port int) *pb.Service {
	service := &pb.Service{Name: serviceName(size, index)}
	domains := Domains()
	for i := range size.searchers {
		service.Targets = append(service.Targets, &pb.Target{
			Id:                fmt.Sprintf("%s-%d", service.Name, i+1),
			Address:           net.JoinHostPort(Host, strconv.Itoa(port+i)),
			FailureDomain:     domains[(index+i)%len(domains)],
			Slots:             size.slots,
			Connections:       size.connections,
			ConnectionSetupUs: size.setupUs,
			ColdLimit:         size.coldLimit,
			State:             pb.ServingState_SERVING_STATE_IN_SERVICE,
		})
	}
	return service
}

// serviceName is the front's own name when it has a single service.
func serviceName(size frontSize, index int) string {
	if size.services == 1 {
		return size.name
	}
	return fmt.Sprintf("%s-%02d", size.name, index+1)
}

// Snapshot returns the partition map of a snapshot version of the front, or
// nil for an unknown front.
func (p *Profile) Snapshot(front string, version uint64) *pb.Snapshot {
	size, ok := p.size(front)
	if !ok {
		return nil
	}
	snapshot := &pb.Snapshot{Version: version}
	for i := range size.services {
		snapshot.Services = append(snapshot.Services, &pb.ServicePartitions{
			Service:    serviceName(size, i),
			Partitions: partitionNames(version),
		})
	}
	return snapshot
}
