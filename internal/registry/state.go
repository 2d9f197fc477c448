package registry

import (
	"slices"
	"strings"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/carawayreel/carawayreel/internal/configuration"
	"github.com/carawayreel/carawayreel/internal/era"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// maxRemovals is the maximum number of removals that a configuration carries for
// deltas. A VM that is further behind loads the full configuration.
const maxRemovals = 1024

// storeState accumulates listings and changes into the state of the store at one
// revision.
type storeState struct {
	logger zerolog.Logger
	// revision is the store revision up to which all changes are included.
	revision uint64
	// changedRevision is the revision of the latest change that altered the
	// configuration.
	changedRevision uint64

	table *pb.RouteTable
	// registrations maps the key of each target's entry to its registration.
	registrations map[string]sequencedRegistration
	// takenOut holds the names of the failure domains taken out of service, by the keys
	// of their entries.
	takenOut map[string]string
	rollouts rollouts
	// removals holds all removals after the revision removalsSince.
	removals      []*pb.Removal
	removalsSince uint64
	absent        absentTargets
	// earlier holds the last reports of an earlier era of the store by the keys of their
	// entries. Entries in the copy that the store came back from may be older. Only reports
	// that state when the target started are compared: others may be those of a restart.
	earlier map[string]sequencedRegistration
}

// sequencedRegistration is a target's registration with the sequence number of its
// latest report.
type sequencedRegistration struct {
	*pb.Registration
	sequence uint64
	// left is true if the target's entry was removed after that report.
	left bool
}

// newStoreState returns an empty state for a listing whose oldest page has the given
// revision. It keeps the route table of the previous state, which remains active until a newer
// readable one is found, and what that state knows of targets.
func newStoreState(previous *storeState, revision uint64, logger zerolog.Logger) *storeState {
	s := &storeState{
		logger: logger, revision: revision, registrations: map[string]sequencedRegistration{}, takenOut: map[string]string{},
		rollouts: newRollouts(), absent: newAbsentTargets(),
	}
	if previous == nil {
		return s
	}
	s.table, s.absent, s.earlier = previous.table, previous.absent, previous.earlier
	if era.Of(previous.revision) != era.Of(revision) {
		s.earlier = previous.lastReports()
	}
	return s
}

// applyListing applies the entries of a listing.
func (s *storeState) applyListing(entries []Entry) {
	for _, entry := range entries {
		s.applyEntry(entry)
	}
}

// finishListing marks the end of a listing. Removals before it are unknown, so
// deltas cannot start from an earlier revision.
func (s *storeState) finishListing() {
	for key, report := range s.earlier {
		if _, ok := s.registrations[key]; !ok {
			s.absent.add(key, report)
		}
	}
	s.changedRevision = max(s.changedRevision, s.revision)
	s.removalsSince = s.changedRevision
	s.removals = nil
}

// applyChanges applies changes and reports whether the configuration changed.
func (s *storeState) applyChanges(changes Changes) bool {
	changed := false
	for _, entry := range changes.Entries {
		if s.applyEntry(entry) {
			changed = true
			s.changedRevision = max(s.changedRevision, entry.Revision)
		}
	}
	s.revision = max(s.revision, changes.Revision)
	return changed
}

// applyEntry applies one entry and reports whether it changes the configuration.
func (s *storeState) applyEntry(entry Entry) bool {
	switch {
	case entry.RouteTable != nil:
		return s.applyRouteTable(entry)
	case entry.DomainTakenOut != "":
		known := s.takenOut[entry.Key] == entry.DomainTakenOut
		s.takenOut[entry.Key] = entry.DomainTakenOut
		return !known
	case entry.Registration != nil:
		return s.applyRegistration(entry)
	case entry.Rollout != nil, entry.RolloutStatus != nil:
		return s.rollouts.apply(entry)
	default:
		return s.applyRemoval(entry)
	}
}

func (s *storeState) applyRouteTable(entry Entry) bool {
	table, _ := proto.Clone(entry.RouteTable).(*pb.RouteTable)
	table.Revision = entry.Revision
	if !configuration.NewerRouteTable(s.table, table) {
		if era.Of(s.table.Revision) != era.Of(table.Revision) {
			s.logger.Warn().Uint64("copy_version", table.Version).Uint64("copy_revision", table.Revision).
				Uint64("known_version", s.table.Version).Uint64("known_revision", s.table.Revision).
				Msg("older routes in the store's copy ignored")
		}
		return false
	}
	s.table = table
	return true
}

// applyRegistration applies a target's report unless it is older than the known one.
// Reports can be stored out of order: one from before a restart or a change of state
// can follow a newer one.
func (s *storeState) applyRegistration(entry Entry) bool {
	known, ok := s.registrations[entry.Key]
	if ok && isOutdated(entry, known) {
		s.logOutdated(entry, known)
		return false
	}
	if earlier, found := s.earlier[entry.Key]; found && earlier.StartedUnixMs != 0 && isOutdated(entry, earlier) {
		s.logOutdated(entry, earlier)
		return s.keepEarlier(entry, earlier)
	}
	next, _ := proto.Clone(entry.Registration).(*pb.Registration)
	if ok {
		next.Revision = known.Revision
		if sameColdStart(next, known.Registration) {
			next.ColdForMs = known.ColdForMs
		}
		if proto.Equal(next, known.Registration) {
			s.registrations[entry.Key] = sequencedRegistration{Registration: known.Registration, sequence: entry.Sequence}
			return false
		}
	}
	next.Revision = entry.Revision
	s.registrations[entry.Key] = sequencedRegistration{Registration: next, sequence: entry.Sequence}
	return true
}

// keepEarlier registers a target by its last report of an earlier era, as the entry in the
// store's copy is older. A target that had left by then is not registered. It reports whether
// the configuration changes.
func (s *storeState) keepEarlier(entry Entry, earlier sequencedRegistration) bool {
	if earlier.left {
		return false
	}
	kept, _ := proto.Clone(earlier.Registration).(*pb.Registration)
	kept.Revision = entry.Revision
	s.registrations[entry.Key] = sequencedRegistration{Registration: kept, sequence: earlier.sequence}
	return true
}

func (s *storeState) logOutdated(entry Entry, known sequencedRegistration) {
	s.logger.Info().Str("target", known.Id).Uint64("revision", entry.Revision).
		Uint64("sequence", entry.Sequence).Uint64("known_sequence", known.sequence).
		Int64("started", entry.Registration.StartedUnixMs).Int64("known_started", known.StartedUnixMs).
		Str("state", entry.Registration.State.String()).Bool("left", known.left).Msg("late report of a target ignored")
}

// sameColdStart reports whether both registrations belong to the same cold start. Then
// ColdForMs, the remaining time, only counts down, which is not treated as a change.
func sameColdStart(next, known *pb.Registration) bool {
	return next.ColdForMs > 0 && next.ColdForMs <= known.ColdForMs
}

func isOutdated(entry Entry, known sequencedRegistration) bool {
	started := entry.Registration.StartedUnixMs
	switch {
	case started != known.StartedUnixMs:
		return started != 0 && started < known.StartedUnixMs
	case known.left:
		return entry.Sequence <= known.sequence
	default:
		return entry.Sequence < known.sequence
	}
}

// applyRemoval deletes the failure domain or target stored under the key. The route
// table stays active, since operators replace it but never delete it.
func (s *storeState) applyRemoval(entry Entry) bool {
	// What comes after a removal in this era is no copy.
	delete(s.earlier, entry.Key)
	if s.rollouts.remove(entry) {
		return true
	}
	if _, ok := s.takenOut[entry.Key]; ok {
		delete(s.takenOut, entry.Key)
		return true
	}
	known, ok := s.registrations[entry.Key]
	if !ok {
		return false
	}
	delete(s.registrations, entry.Key)
	s.absent.add(entry.Key, sequencedRegistration{Registration: known.Registration, sequence: known.sequence, left: true})
	s.removals = append(s.removals, &pb.Removal{Id: known.Id, Revision: entry.Revision})
	if excess := len(s.removals) - maxRemovals; excess > 0 {
		s.removalsSince = s.removals[excess-1].Revision
		s.removals = slices.Clone(s.removals[excess:])
	}
	return true
}

// configuration returns the state as a configuration, or nil while no route table
// is known.
func (s *storeState) configuration() *pb.Configuration {
	if s.table == nil {
		return nil
	}
	c := &pb.Configuration{
		Revision:      s.changedRevision,
		RouteTable:    s.table,
		Registrations: make([]*pb.Registration, 0, len(s.registrations)),
		Removals:      slices.Clone(s.removals),
		RemovalsSince: s.removalsSince,
		Rollouts:      s.rollouts.configuration(s.onlyVersion),
	}
	for _, registration := range s.registrations {
		c.Registrations = append(c.Registrations, registration.Registration)
	}
	slices.SortFunc(c.Registrations, func(a, b *pb.Registration) int { return strings.Compare(a.Id, b.Id) })
	domains := map[string]bool{}
	for _, domain := range s.takenOut {
		domains[domain] = true
	}
	for domain := range domains {
		c.FailureDomains = append(c.FailureDomains, &pb.FailureDomain{
			Name: domain, State: pb.ServingState_SERVING_STATE_TAKEN_OUT,
		})
	}
	slices.SortFunc(c.FailureDomains, func(a, b *pb.FailureDomain) int { return strings.Compare(a.Name, b.Name) })
	return c
}

// onlyVersion reports whether all targets of a service have the given version and were
// registered before a revision.
func (s *storeState) onlyVersion(service, version string, before uint64) bool {
	found := false
	for _, r := range s.registrations {
		if r.Service != service {
			continue
		}
		if r.SoftwareVersion != version || r.Revision >= before {
			return false
		}
		found = true
	}
	return found
}
