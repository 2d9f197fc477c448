package configuration

import (
	"buf.build/go/protovalidate"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Errors of ApplyDelta.
var (
	// ErrBaseMismatch means that the delta builds on fronts that are not known
	// locally; the receiver must request the full configuration from the sender.
	ErrBaseMismatch = errors.New("delta builds on another revision")
	// ErrMalformed means that the delta is inconsistent or violates its schema.
	ErrMalformed = errors.New("malformed delta")
)

// Keys maps each front's name to its key in the platform's store.
type Keys map[string]string

// Stamp returns a copy of next with the given revision. Unchanged fronts keep the
// revision in which they last changed; changed and new fronts get the given one.
// Previous may be nil.
func Stamp(previous, next *pb.Configuration, revision uint64) *pb.Configuration {
	before := frontsByName(previous)
	stamped := withoutFronts(next)
	stamped.Revision = revision
	stampRoutingData(previous, stamped)
	for _, front := range next.GetFronts() {
		stamped.Fronts = append(stamped.Fronts, stampFront(before[front.GetName()], front, revision))
	}
	return stamped
}

func stampFront(previous, front *pb.Front, revision uint64) *pb.Front {
	stamped, _ := proto.Clone(front).(*pb.Front)
	if previous != nil {
		stamped.Revision = previous.Revision
		if proto.Equal(previous, stamped) {
			return previous
		}
	}
	stamped.Revision = revision
	return stamped
}

// Root returns the root of a configuration: everything except its fronts, which
// it references by the given store keys.
func Root(c *pb.Configuration, keys Keys) *pb.ConfigurationRoot {
	root := &pb.ConfigurationRoot{
		Revision:       c.GetRevision(),
		FailureDomains: c.GetFailureDomains(),
		Author:         c.GetAuthor(),
		Comment:        c.GetComment(),
		AcceptedUnixMs: c.GetAcceptedUnixMs(),
		WriteId:        c.GetWriteId(),
		RouteTable:     c.GetRouteTable(),
		Registrations:  c.GetRegistrations(),
		RemovalsSince:  c.GetRemovalsSince(),
		Rollouts:       c.GetRollouts(),
	}
	for _, front := range c.GetFronts() {
		reference := &pb.FrontReference{Name: front.Name, Revision: front.Revision, Key: keys[front.Name]}
		root.Fronts = append(root.Fronts, reference)
	}
	return root
}

// Assemble builds a configuration from a root and its fronts, which must be in
// the order of the root's references.
func Assemble(root *pb.ConfigurationRoot, fronts []*pb.Front) *pb.Configuration {
	return &pb.Configuration{
		Revision:       root.GetRevision(),
		FailureDomains: root.GetFailureDomains(),
		Fronts:         fronts,
		Author:         root.GetAuthor(),
		Comment:        root.GetComment(),
		AcceptedUnixMs: root.GetAcceptedUnixMs(),
		WriteId:        root.GetWriteId(),
		RouteTable:     root.GetRouteTable(),
		Registrations:  root.GetRegistrations(),
		RemovalsSince:  root.GetRemovalsSince(),
		Rollouts:       root.GetRollouts(),
	}
}

// MakeDelta returns a delta that updates a configuration of revision base or later
// to c. If base is zero, or c no longer has all removals since base, the delta
// holds the full configuration. MakeDelta returns nil if c is nil.
func MakeDelta(c *pb.Configuration, base uint64) *pb.ConfigurationDelta {
	if c == nil {
		return nil
	}
	if base < c.RemovalsSince {
		base = 0
	}
	delta := &pb.ConfigurationDelta{BaseRevision: base, Revision: c.Revision, Root: Root(c, Keys{})}
	addRoutingData(delta, c)
	for _, front := range c.Fronts {
		if front.Revision > base {
			delta.Fronts = append(delta.Fronts, front)
		}
	}
	return delta
}

// ApplyDelta returns the configuration that results from applying the delta, and
// whether it is newer than current. If it is not, or on error, ApplyDelta returns
// current unchanged. The error is ErrMalformed or ErrBaseMismatch. Current may be
// nil.
func ApplyDelta(current *pb.Configuration, delta *pb.ConfigurationDelta) (*pb.Configuration, bool, error) {
	if err := checkDeltaRevisions(delta); err != nil {
		return current, false, err
	}
	if delta.Revision <= current.GetRevision() {
		return current, false, nil
	}
	if delta.BaseRevision > current.GetRevision() {
		return current, false, ErrBaseMismatch
	}
	fronts, err := mergeFronts(current, delta)
	if err != nil {
		return current, false, err
	}
	next := Assemble(delta.Root, fronts)
	mergeRoutingData(next, current, delta)
	return next, true, nil
}

// CheckDelta returns an error that wraps ErrMalformed unless the delta is
// consistent and follows its schema. A nil delta is valid.
func CheckDelta(delta *pb.ConfigurationDelta) error {
	if delta == nil {
		return nil
	}
	if err := checkDeltaRevisions(delta); err != nil {
		return err
	}
	if err := protovalidate.Validate(delta); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

// checkDeltaRevisions returns ErrMalformed unless the delta's revisions are consistent.
func checkDeltaRevisions(delta *pb.ConfigurationDelta) error {
	if delta.GetRoot() == nil || delta.Revision == 0 || delta.Root.Revision != delta.Revision {
		return ErrMalformed
	}
	if delta.BaseRevision > delta.Revision {
		return ErrMalformed
	}
	for _, front := range delta.Fronts {
		if front.GetRevision() > delta.Revision || front.GetRevision() == 0 {
			return ErrMalformed
		}
	}
	return nil
}

func mergeFronts(current *pb.Configuration, delta *pb.ConfigurationDelta) ([]*pb.Front, error) {
	known := frontsByName(current)
	for _, front := range delta.Fronts {
		known[front.Name] = front
	}
	fronts := make([]*pb.Front, 0, len(delta.Root.Fronts))
	for _, reference := range delta.Root.Fronts {
		front := known[reference.GetName()]
		if front == nil || front.Revision != reference.GetRevision() {
			return nil, ErrBaseMismatch
		}
		fronts = append(fronts, front)
	}
	return fronts, nil
}

func frontsByName(c *pb.Configuration) map[string]*pb.Front {
	fronts := make(map[string]*pb.Front, len(c.GetFronts()))
	for _, front := range c.GetFronts() {
		fronts[front.GetName()] = front
	}
	return fronts
}

// withoutFronts returns a copy of a configuration without its fronts.
func withoutFronts(c *pb.Configuration) *pb.Configuration {
	copied := Assemble(Root(c, Keys{}), nil)
	copied.FailureDomains = make([]*pb.FailureDomain, 0, len(c.GetFailureDomains()))
	for _, domain := range c.GetFailureDomains() {
		clone, _ := proto.Clone(domain).(*pb.FailureDomain)
		copied.FailureDomains = append(copied.FailureDomains, clone)
	}
	return copied
}
