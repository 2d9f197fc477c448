package statement

import (
	"fmt"
	"slices"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/language"
)

// Defaults for settings of a new front and its targets that a statement omits, and
// the values that every new front or target starts with.
const (
	defaultTimeLimitMs       = 140
	defaultRowLimit          = 50
	defaultExtraLoadPercent  = 5
	defaultSlots             = 2
	defaultConnections       = 25
	defaultConnectionSetupUs = 5000
	defaultColdLimit         = 1
	defaultSnapshotsKept     = 3
	microsPerMilli           = 1000
	firstSnapshotVersion     = 1
	inService                = pb.ServingState_SERVING_STATE_IN_SERVICE
)

// editConfiguration applies the statement to c in place and reports whether the
// statement carries FORCE. A non-nil error is a *RefusedError.
func editConfiguration(c *pb.Configuration, s *language.Statement) (force bool, err error) {
	switch {
	case s.CreateFront != nil:
		c.Comment = string(s.CreateFront.Comment)
		return s.CreateFront.Force, createFront(c, s.CreateFront)
	case s.AlterFront != nil:
		c.Comment = string(s.AlterFront.Comment)
		return s.AlterFront.Force, alterFront(c, s.AlterFront)
	case s.DropFront != nil:
		c.Comment = string(s.DropFront.Comment)
		return s.DropFront.Force, dropFront(c, string(s.DropFront.Front))
	case s.PublishSnapshot != nil:
		c.Comment = string(s.PublishSnapshot.Comment)
		return s.PublishSnapshot.Force, publishSnapshot(c, s.PublishSnapshot)
	default:
		return false, refuse("the statement changes no configuration")
	}
}

func refuse(format string, arguments ...any) error {
	return &RefusedError{Reason: fmt.Sprintf(format, arguments...)}
}

func findFront(c *pb.Configuration, name string) *pb.Front {
	for _, front := range c.GetFronts() {
		if front.Name == name {
			return front
		}
	}
	return nil
}

func findService(front *pb.Front, name string) *pb.Service {
	for _, service := range front.Services {
		if service.Name == name {
			return service
		}
	}
	return nil
}

func createFront(c *pb.Configuration, s *language.CreateFront) error {
	name := string(s.Front)
	if findFront(c, name) != nil {
		return refuse("front %s exists already", name)
	}
	front := &pb.Front{
		Name: name,
		Limits: &pb.FrontLimits{
			DefaultTimeLimitMs: valueOrDefault(uint32(s.TimeLimit), defaultTimeLimitMs),
			DefaultRowLimit:    valueOrDefault(uint32(s.RowLimit), defaultRowLimit),
			ExtraLoadPercent:   defaultExtraLoadPercent,
		},
	}
	if s.ExtraLoad != nil {
		front.Limits.ExtraLoadPercent = uint32(*s.ExtraLoad)
	}
	snapshot := &pb.Snapshot{Version: firstSnapshotVersion}
	for _, service := range s.Services {
		if err := addService(front, service); err != nil {
			return err
		}
		partitions := toStrings(service.Partitions)
		if len(partitions) == 0 {
			partitions = []string{string(service.Name)}
		}
		snapshot.Services = append(snapshot.Services,
			&pb.ServicePartitions{Service: string(service.Name), Partitions: partitions})
	}
	front.Snapshots = []*pb.Snapshot{snapshot}
	c.Fronts = append(c.Fronts, front)
	return nil
}

func valueOrDefault(value, fallback uint32) uint32 {
	if value == 0 {
		return fallback
	}
	return value
}

func toStrings(items []language.Text) []string {
	result := make([]string, 0, len(items))
	for _, item := range items {
		result = append(result, string(item))
	}
	return result
}

func addService(front *pb.Front, s *language.ServiceDefinition) error {
	name := string(s.Name)
	if findService(front, name) != nil {
		return refuse("service %s exists already in front %s", name, front.Name)
	}
	service := &pb.Service{Name: name}
	for _, target := range s.Targets {
		service.Targets = append(service.Targets, newTarget(target))
	}
	front.Services = append(front.Services, service)
	return nil
}

func newTarget(t *language.TargetDefinition) *pb.Target {
	return &pb.Target{
		Id:                string(t.ID),
		Address:           string(t.Address),
		FailureDomain:     string(t.FailureDomain),
		Slots:             valueOrDefault(t.Slots, defaultSlots),
		Connections:       valueOrDefault(t.Connections, defaultConnections),
		ConnectionSetupUs: valueOrDefault(uint32(t.Setup)*microsPerMilli, defaultConnectionSetupUs),
		ColdLimit:         valueOrDefault(t.ColdLimit, defaultColdLimit),
		State:             inService,
	}
}

func alterFront(c *pb.Configuration, s *language.AlterFront) error {
	front := findFront(c, string(s.Front))
	if front == nil {
		return refuse("%s", unknownFront(string(s.Front)))
	}
	for _, action := range s.Actions {
		if err := applyAlteration(front, action); err != nil {
			return err
		}
	}
	return nil
}

func applyAlteration(front *pb.Front, action *language.Alteration) error {
	switch {
	case action.Set != nil:
		setLimit(front, action.Set)
		return nil
	case action.Add != nil:
		return addToFront(front, action.Add)
	case action.Drop.Service != "":
		return dropService(front, string(action.Drop.Service))
	default:
		return dropTarget(front, string(action.Drop.Target))
	}
}

func setLimit(front *pb.Front, s *language.SetLimit) {
	if front.Limits == nil {
		front.Limits = &pb.FrontLimits{}
	}
	switch {
	case s.TimeLimit > 0:
		front.Limits.DefaultTimeLimitMs = uint32(s.TimeLimit)
	case s.RowLimit > 0:
		front.Limits.DefaultRowLimit = uint32(s.RowLimit)
	default:
		front.Limits.ExtraLoadPercent = uint32(*s.ExtraLoad)
	}
}

// addToFront adds a service or a target. Published snapshots are immutable, so
// the partitions of a new service are first listed in the next snapshot.
func addToFront(front *pb.Front, a *language.Addition) error {
	if a.Service != nil {
		if len(a.Service.Partitions) > 0 {
			return refuse("partitions of a new service are published with the next snapshot")
		}
		return addService(front, a.Service)
	}
	service := findService(front, string(a.ToService))
	if service == nil {
		return refuse("front %s has no service %s", front.Name, string(a.ToService))
	}
	service.Targets = append(service.Targets, newTarget(a.Target))
	return nil
}

func dropService(front *pb.Front, name string) error {
	before := len(front.Services)
	front.Services = slices.DeleteFunc(front.Services, func(s *pb.Service) bool { return s.Name == name })
	if len(front.Services) == before {
		return refuse("front %s has no service %s", front.Name, name)
	}
	return nil
}

func dropTarget(front *pb.Front, id string) error {
	for _, service := range front.Services {
		before := len(service.Targets)
		service.Targets = slices.DeleteFunc(service.Targets, func(t *pb.Target) bool { return t.Id == id })
		if len(service.Targets) < before {
			return nil
		}
	}
	return refuse("front %s has no target %s", front.Name, id)
}

func dropFront(c *pb.Configuration, name string) error {
	before := len(c.Fronts)
	c.Fronts = slices.DeleteFunc(c.Fronts, func(f *pb.Front) bool { return f.Name == name })
	if len(c.Fronts) == before {
		return refuse("%s", unknownFront(name))
	}
	return nil
}

// publishSnapshot appends a snapshot and drops the oldest ones beyond the number
// to keep.
func publishSnapshot(c *pb.Configuration, s *language.PublishSnapshot) error {
	front := findFront(c, string(s.Front))
	if front == nil {
		return refuse("%s", unknownFront(string(s.Front)))
	}
	var newest *pb.Snapshot
	if n := len(front.Snapshots); n > 0 {
		newest = front.Snapshots[n-1]
	}
	if s.Version <= newest.GetVersion() {
		return refuse("front %s has snapshot %d already; versions ascend", front.Name, newest.GetVersion())
	}
	snapshot := &pb.Snapshot{Version: s.Version}
	for _, service := range front.Services {
		partitions := partitionsOf(service.Name, s, newest)
		if len(partitions) == 0 {
			return refuse("service %s has no partitions yet: list them", service.Name)
		}
		snapshot.Services = append(snapshot.Services,
			&pb.ServicePartitions{Service: service.Name, Partitions: partitions})
	}
	for _, listed := range s.Services {
		if findService(front, string(listed.Service)) == nil {
			return refuse("front %s has no service %s", front.Name, string(listed.Service))
		}
	}
	front.Snapshots = append(front.Snapshots, snapshot)
	kept := int(valueOrDefault(s.Keep, defaultSnapshotsKept))
	front.Snapshots = front.Snapshots[max(len(front.Snapshots)-kept, 0):]
	return nil
}

// partitionsOf returns the partitions that the statement lists for a service. A
// service that the statement omits keeps its partitions of the newest snapshot.
func partitionsOf(service string, s *language.PublishSnapshot, newest *pb.Snapshot) []string {
	for _, listed := range s.Services {
		if string(listed.Service) == service {
			return toStrings(listed.Partitions)
		}
	}
	for _, previous := range newest.GetServices() {
		if previous.Service == service {
			return slices.Clone(previous.Partitions)
		}
	}
	return nil
}
