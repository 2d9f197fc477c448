package registry

import (
	"slices"
	"strings"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// keptRemovals bounds the removals that a configuration carries for deltas; a VM
// that is further behind takes the whole.
const keptRemovals = 1024

// fold is the state of the store at one revision.
type fold struct {
	logger zerolog.Logger
	// revision is the store's revision up to which all changes are in.
	revision uint64
	// changed is the revision of the newest change that is in.
	changed uint64

	table         *pb.RouteTable
	registrations map[string]registered
	takenOut      map[string]string
	removals      []*pb.Removal
	removalsSince uint64
}

// registered is a target under its key.
type registered struct {
	*pb.Registration
	sequence uint64
}

// newFold returns an empty state. The routes of the state before stay in force
// until readable ones are found.
func newFold(before *fold, logger zerolog.Logger) *fold {
	f := &fold{logger: logger, registrations: map[string]registered{}, takenOut: map[string]string{}}
	if before != nil {
		f.table = before.table
	}
	return f
}

// list takes the entries of a listing that began at the revision.
func (f *fold) list(entries []Entry, revision uint64) {
	for _, entry := range entries {
		f.take(entry)
	}
	f.revision = revision
}

// complete marks the end of a listing: what was removed before is not known.
func (f *fold) complete() {
	f.changed = max(f.changed, f.revision)
	f.removalsSince = f.changed
	f.removals = nil
}

// apply takes changes and reports whether the configuration differs.
func (f *fold) apply(changes Changes) bool {
	differs := false
	for _, entry := range changes.Entries {
		if f.take(entry) {
			differs = true
			f.changed = max(f.changed, entry.Revision)
		}
	}
	f.revision = max(f.revision, changes.Revision)
	return differs
}

// take folds one entry in and reports whether it changes the configuration.
func (f *fold) take(entry Entry) bool {
	switch {
	case entry.RouteTable != nil:
		return f.takeTable(entry)
	case entry.DomainTakenOut != "":
		known := f.takenOut[entry.Key] == entry.DomainTakenOut
		f.takenOut[entry.Key] = entry.DomainTakenOut
		return !known
	case entry.Registration != nil:
		return f.register(entry)
	default:
		return f.remove(entry)
	}
}

func (f *fold) takeTable(entry Entry) bool {
	if f.table != nil && f.table.Revision >= entry.Revision {
		return false
	}
	table, _ := proto.Clone(entry.RouteTable).(*pb.RouteTable)
	table.Revision = entry.Revision
	f.table = table
	return true
}

// register takes a target's report unless it is older than the one known: a
// report may arrive late, after the one of a newer start or state.
func (f *fold) register(entry Entry) bool {
	known, ok := f.registrations[entry.Key]
	if ok && late(entry, known) {
		f.logger.Info().Str("target", known.Id).Uint64("revision", entry.Revision).
			Uint64("sequence", entry.Sequence).Uint64("known_sequence", known.sequence).
			Int64("started", entry.Registration.StartedUnixMs).Int64("known_started", known.StartedUnixMs).
			Str("state", entry.Registration.State.String()).Msg("late report of a target ignored")
		return false
	}
	next, _ := proto.Clone(entry.Registration).(*pb.Registration)
	if ok {
		next.Revision = known.Revision
		if warming(next, known.Registration) {
			next.ColdForMs = known.ColdForMs
		}
		if proto.Equal(next, known.Registration) {
			f.registrations[entry.Key] = registered{Registration: known.Registration, sequence: entry.Sequence}
			return false
		}
	}
	next.Revision = entry.Revision
	f.registrations[entry.Key] = registered{Registration: next, sequence: entry.Sequence}
	return true
}

// warming reports whether the target is still in the cold start that is known,
// whose end does not move.
func warming(next, known *pb.Registration) bool {
	return next.ColdForMs > 0 && next.ColdForMs <= known.ColdForMs
}

func late(entry Entry, known registered) bool {
	started := entry.Registration.StartedUnixMs
	if started != known.StartedUnixMs {
		return started != 0 && started < known.StartedUnixMs
	}
	return entry.Sequence < known.sequence
}

// remove forgets what the key stood for. Routes stay in force: operators replace
// them and never delete them.
func (f *fold) remove(entry Entry) bool {
	if _, ok := f.takenOut[entry.Key]; ok {
		delete(f.takenOut, entry.Key)
		return true
	}
	known, ok := f.registrations[entry.Key]
	if !ok {
		return false
	}
	delete(f.registrations, entry.Key)
	f.removals = append(f.removals, &pb.Removal{Id: known.Id, Revision: entry.Revision})
	if extra := len(f.removals) - keptRemovals; extra > 0 {
		f.removalsSince = f.removals[extra-1].Revision
		f.removals = slices.Clone(f.removals[extra:])
	}
	return true
}

// configuration returns the state as a configuration; nil while no routes are
// known.
func (f *fold) configuration() *pb.Configuration {
	if f.table == nil {
		return nil
	}
	c := &pb.Configuration{
		Revision:      f.changed,
		RouteTable:    f.table,
		Registrations: make([]*pb.Registration, 0, len(f.registrations)),
		Removals:      slices.Clone(f.removals),
		RemovalsSince: f.removalsSince,
	}
	for _, registration := range f.registrations {
		c.Registrations = append(c.Registrations, registration.Registration)
	}
	slices.SortFunc(c.Registrations, func(a, b *pb.Registration) int { return strings.Compare(a.Id, b.Id) })
	domains := map[string]bool{}
	for _, domain := range f.takenOut {
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
