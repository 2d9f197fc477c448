// Package profile builds the configurations of the known deployments and the
// synthetic records that their targets serve.
//
// All results are pure functions of the arguments: stand-ins serve the records,
// and tests use the same functions to compute the expected responses.
package profile

import (
	"fmt"
	"net"
	"strconv"

	"github.com/pkg/errors"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Host is the IP address that all targets of a profile listen on.
const Host = "127.0.0.1"

// Snapshot versions of a profile.
const (
	// FirstVersion is the oldest snapshot version of a new configuration.
	FirstVersion uint64 = 1
	// NewestVersion is the newest snapshot version of a new configuration.
	NewestVersion uint64 = 3
	// SplitVersion is the first snapshot version in which the even-numbered
	// partitions of each service are split in two.
	SplitVersion uint64 = 5
	// HeldVersions is the number of newest snapshot versions that a target holds.
	HeldVersions = 3
)

const (
	partitionsPerService    = 2
	searchConnectionSetupUs = 5000
	changeConnectionSetupUs = 1000
	firstSourceOctet        = 10
)

// ErrUnknownProfile is returned for a profile name that does not exist.
var ErrUnknownProfile = errors.New("unknown profile")

// Kind is the kind of records that a front holds.
type Kind int

// Record kinds.
const (
	// Genealogy records describe persons.
	Genealogy Kind = iota
	// Casks records describe bonded casks.
	Casks
)

// Domains returns the names of the failure domains. They are the same in all
// profiles.
func Domains() []string {
	return []string{"a", "b", "c"}
}

// SourceAddress returns the local IP address that a VM in the failure domain
// binds its outgoing connections to: 127.0.0.10 for the first domain,
// 127.0.0.11 for the second and so on. It is empty for an unknown domain.
func SourceAddress(failureDomain string) string {
	for i, name := range Domains() {
		if name == failureDomain {
			return fmt.Sprintf("127.0.0.%d", firstSourceOctet+i)
		}
	}
	return ""
}

// DomainOfSource returns the failure domain that a source address belongs to, as
// assigned by SourceAddress. It returns false for other addresses.
func DomainOfSource(address net.IP) (string, bool) {
	for _, name := range Domains() {
		if address.Equal(net.ParseIP(SourceAddress(name))) {
			return name, true
		}
	}
	return "", false
}

// frontSpec describes the services of one front and the limits of their targets.
type frontSpec struct {
	name              string
	kind              Kind
	services          int
	targetsPerService int
	slots             uint32
	connections       uint32
	connectionSetupUs uint32
	coldLimit         uint32
}

type deploymentSpec struct {
	region string
	fronts []frontSpec
}

// deployments returns the known deployments by name. The cold limits are half of
// the slots, rounded down.
func deployments() map[string]deploymentSpec {
	return map[string]deploymentSpec{
		"demo": {region: "demo", fronts: []frontSpec{
			{"archive", Genealogy, 4, 3, 2, 25, searchConnectionSetupUs, 1},
			{"register", Casks, 1, 3, 3, 40, changeConnectionSetupUs, 1},
		}},
		"stamboomhuis": {region: "nl-west", fronts: []frontSpec{
			{"zoekportaal", Genealogy, 10, 3, 2, 25, searchConnectionSetupUs, 1},
			{"archiefimport", Genealogy, 15, 3, 2, 25, searchConnectionSetupUs, 1},
			{"boombeheer", Genealogy, 1, 10, 3, 100, changeConnectionSetupUs, 1},
			{"erfgenaam", Genealogy, 1, 4, 3, 100, changeConnectionSetupUs, 1},
		}},
		"casgen": {region: "cymru-west", fronts: []frontSpec{
			{"bond-gate", Casks, 10, 3, 3, 30, searchConnectionSetupUs, 1},
			{"duty-ledger", Casks, 15, 3, 3, 30, searchConnectionSetupUs, 1},
			{"broker-desk", Casks, 1, 20, 3, 40, changeConnectionSetupUs, 1},
			{"fill-log", Casks, 1, 10, 3, 40, changeConnectionSetupUs, 1},
		}},
	}
}

// Names returns the names of all profiles in ascending order.
func Names() []string {
	return []string{"casgen", "demo", "stamboomhuis"}
}

// Profile is a deployment whose targets listen on consecutive ports.
type Profile struct {
	// Name is one of Names.
	Name string
	// Seed determines the synthetic records.
	Seed uint64

	basePort   int
	deployment deploymentSpec
}

// New returns the profile of that name, whose targets listen on consecutive ports
// from basePort. It returns ErrUnknownProfile for a name that is not among Names.
func New(name string, basePort int, seed uint64) (*Profile, error) {
	found, ok := deployments()[name]
	if !ok {
		return nil, errors.Wrap(ErrUnknownProfile, name)
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
	for _, spec := range p.deployment.fronts {
		c.Fronts = append(c.Fronts, p.front(spec, port))
		port += spec.services * spec.targetsPerService
	}
	return c
}

// TargetCount returns the number of targets of the profile, which is also the
// number of its ports.
func (p *Profile) TargetCount() int {
	count := 0
	for _, spec := range p.deployment.fronts {
		count += spec.services * spec.targetsPerService
	}
	return count
}

// Kind returns the kind of records that the front holds. It returns false for an
// unknown front.
func (p *Profile) Kind(front string) (Kind, bool) {
	spec, ok := p.frontSpec(front)
	return spec.kind, ok
}

func (p *Profile) frontSpec(front string) (frontSpec, bool) {
	for _, spec := range p.deployment.fronts {
		if spec.name == front {
			return spec, true
		}
	}
	return frontSpec{}, false
}

func (p *Profile) front(spec frontSpec, port int) *pb.Front {
	front := &pb.Front{
		Name: spec.name,
		Limits: &pb.FrontLimits{
			DefaultTimeLimitMs: 1000,
			DefaultRowLimit:    1000,
			ExtraLoadPercent:   5,
		},
	}
	for i := range spec.services {
		front.Services = append(front.Services, newService(spec, i, port+i*spec.targetsPerService))
	}
	for version := FirstVersion; version <= NewestVersion; version++ {
		front.Snapshots = append(front.Snapshots, p.Snapshot(spec.name, version))
	}
	return front
}

// newService returns a service whose targets are assigned to the failure domains
// round-robin. The starting domain rotates with the service index, so that all
// domains get an even share even if the number of targets per service is not a
// multiple of the number of domains.
func newService(spec frontSpec, index, port int) *pb.Service {
	service := &pb.Service{Name: serviceName(spec, index)}
	domains := Domains()
	for i := range spec.targetsPerService {
		service.Targets = append(service.Targets, &pb.Target{
			Id:                fmt.Sprintf("%s-%d", service.Name, i+1),
			Address:           net.JoinHostPort(Host, strconv.Itoa(port+i)),
			FailureDomain:     domains[(index+i)%len(domains)],
			Slots:             spec.slots,
			Connections:       spec.connections,
			ConnectionSetupUs: spec.connectionSetupUs,
			ColdLimit:         spec.coldLimit,
			State:             pb.ServingState_SERVING_STATE_IN_SERVICE,
		})
	}
	return service
}

// serviceName returns the name of a front's service: the name of the front if it
// has a single service, otherwise that name and a two-digit number from 01.
func serviceName(spec frontSpec, index int) string {
	if spec.services == 1 {
		return spec.name
	}
	return fmt.Sprintf("%s-%02d", spec.name, index+1)
}

// Snapshot returns the partition map of the front in a snapshot version, or nil
// for an unknown front.
func (p *Profile) Snapshot(front string, version uint64) *pb.Snapshot {
	spec, ok := p.frontSpec(front)
	if !ok {
		return nil
	}
	snapshot := &pb.Snapshot{Version: version}
	for i := range spec.services {
		snapshot.Services = append(snapshot.Services, &pb.ServicePartitions{
			Service:    serviceName(spec, i),
			Partitions: partitionNames(version),
		})
	}
	return snapshot
}
