package control

import (
	"fmt"
	_ "github.com/carawayreel/carawayreel/internal/testseed"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carawayreel/carawayreel/internal/configuration"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

// dispatchTracker tracks which VMs may dispatch to which targets. An owner waits for the guard time after
// it becomes the owner of a target.
type dispatchTracker struct {
	s          *simulation
	views      map[string]*view.View
	ownedSince map[string]map[string]time.Duration
}

func trackDispatch(s *simulation) *dispatchTracker {
	d := &dispatchTracker{s: s, views: map[string]*view.View{}, ownedSince: map[string]map[string]time.Duration{}}
	for _, name := range s.names {
		d.track(s.vms[name])
	}
	return d
}

func (d *dispatchTracker) track(vm *simulatedVM) {
	d.ownedSince[vm.name] = map[string]time.Duration{}
	d.views[vm.name] = nil
	vm.onStep = func(_ *pb.ControlEvent, decisions []*pb.ControlDecision) {
		for _, decision := range decisions {
			if decision.GetPublish() != nil {
				d.update(vm)
			}
		}
	}
}

func (d *dispatchTracker) update(vm *simulatedVM) {
	m := vm.machine
	next := view.Build(m.viewInput(m.published.confirmedAt, false), d.views[vm.name])
	d.views[vm.name] = next
	owned := d.ownedSince[vm.name]
	for target := range owned {
		if !next.Owns(target) {
			delete(owned, target)
		}
	}
	for _, target := range next.OwnedTargets() {
		if _, ok := owned[target]; !ok {
			owned[target] = d.s.now
		}
	}
}

// check requires that at most one VM may dispatch to each target now.
func (d *dispatchTracker) check(t require.TestingT) {
	dispatcherOf := map[string]string{}
	for _, name := range d.s.names {
		vm := d.s.vms[name]
		if !vm.up || vm.frozen || vm.machine.published.paused || vm.machine.published.stopping {
			continue
		}
		for target, since := range d.ownedSince[name] {
			if d.s.now-since < vm.machine.config.guard {
				continue
			}
			require.Empty(t, dispatcherOf[target], "%s has two dispatchers at %v: the other is %s", target, d.s.now, name)
			dispatcherOf[target] = name
		}
	}
}

func (d *dispatchTracker) run(t require.TestingT, duration time.Duration) {
	const step = 50 * time.Millisecond
	for end := d.s.now + duration; d.s.now < end; {
		d.s.run(step)
		d.check(t)
	}
}

// injectFault injects or repairs a random fault.
func injectFault(t *rapid.T, s *simulation, d *dispatchTracker, domains int) {
	name := rapid.SampledFrom(s.names).Draw(t, "vm")
	vm := s.vms[name]
	switch rapid.SampledFrom([]string{"freeze", "wake", "kill", "restart", "leave", "cut", "heal", "store", "write"}).Draw(t, "fault") {
	case "freeze":
		s.freeze(name)
	case "wake":
		if vm.frozen {
			s.thaw(name)
		}
	case "kill":
		s.kill(name)
	case "restart":
		s.kill(name)
		d.track(s.startVM(name, vm.domain, uint64(s.sequence)))
	case "leave":
		s.deliver(vm, &pb.ControlEvent{Kind: &pb.ControlEvent_Leave{Leave: &pb.LeaveRequested{}}}, nil)
	case "cut":
		s.partitioned = isolate(fmt.Sprintf("domain-%d", rapid.IntRange(0, domains-1).Draw(t, "domain")))
	case "heal":
		s.partitioned = func(_, _ string) bool { return false }
	case "store":
		s.storeDown = !s.storeDown
	case "write":
		if !s.storeDown {
			s.write(testConfiguration(domains, fmt.Sprint(s.version)))
		}
	}
}

// Under random freezes, crashes, restarts, leaves, partitions and store outages, no target ever has two VMs
// that may dispatch to it, no VM reverts to an older revision, and all VMs agree once the faults are over.
func TestOwnershipAndRevisionsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 3).Draw(t, "domains")
		s := newDeployment(domains, rapid.IntRange(2, 4).Draw(t, "vms"))
		d := trackDispatch(s)
		s.write(testConfiguration(domains, "first"))
		d.run(t, 4*time.Second)
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			injectFault(t, s, d, domains)
			d.run(t, time.Duration(rapid.SampledFrom([]int{50, 300, 700, 1500, 2500, 6000}).Draw(t, "ms"))*time.Millisecond)
		}
		s.partitioned = func(_, _ string) bool { return false }
		s.storeDown = false
		for _, name := range s.names {
			if s.vms[name].frozen {
				s.thaw(name)
			}
		}
		d.run(t, 15*time.Second)
		digests := map[uint64]bool{}
		for _, name := range s.names {
			vm := s.vms[name]
			if vm.up {
				digests[vm.machine.table.Digest()] = true
			}
			require.False(t, vm.reverted, "%s reverted to an older revision", name)
			if vm.up {
				require.Equal(t, s.store.Revision, vm.machine.revision(), name)
				require.False(t, vm.machine.published.paused, name)
				require.Less(t, vm.machine.configurationAge(), 2*time.Second, name)
			}
		}
		require.LessOrEqual(t, len(digests), 1, "all VMs must have the same member digest")
	})
}

// Store reads, deltas, offers and pushes of any revisions arrive in any order, with any base and repeated.
// The revision in force must never decrease and must always be an accepted one.
func TestRevisionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chain := make([]*pb.Configuration, 9)
		for i := range chain[1:] {
			chain[i+1] = withNextRevision(chain[i], testConfiguration(rapid.IntRange(1, 3).Draw(t, "shape"), "x"))
		}
		m := newMachine(simulatedHeader("vm", "domain-0", 0, 1))
		for i := range rapid.IntRange(1, 40).Draw(t, "events") {
			before := m.revision()
			c := rapid.SampledFrom(chain[1:]).Draw(t, "revision")
			event := &pb.ControlEvent{OffsetUs: int64(i) * 1000}
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				event.Kind = &pb.ControlEvent_StoreRead{StoreRead: &pb.StoreRead{Version: c.Revision, Configuration: c}}
			case 1:
				event.Kind = &pb.ControlEvent_Accepted{Accepted: &pb.ConfigurationAccepted{Configuration: c}}
			default:
				base := rapid.Uint64Range(0, c.Revision).Draw(t, "base")
				event.Kind = &pb.ControlEvent_DeltaReceived{DeltaReceived: &pb.DeltaReceived{Delta: configuration.MakeDelta(c, base), Fetched: rapid.Bool().Draw(t, "fetched")}}
			}
			m.step(event)
			require.GreaterOrEqual(t, m.revision(), before)
			require.LessOrEqual(t, m.revision(), max(before, c.Revision))
			if m.revision() > 0 {
				require.Empty(t, configuration.Difference(chain[m.revision()], m.configuration))
			}
		}
	})
}
