package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/settings"
	"github.com/carawayreel/carawayreel/internal/view"
)

// newUsersDeployment starts a deployment with the settings of deploy/vm.ini.tmpl, in which operators write the
// configuration to the store themselves.
func newUsersDeployment(domains, perDomain int) *simulation {
	s := newSimulation()
	s.adjust = func(vm *simulatedVM) {
		platform := vm.header.Platform
		platform.Protocol = settings.ProtocolUsers
		platform.ConfirmIntervalMs, platform.ListIntervalMs = 2000, 30000
		platform.StandbysPerFailureDomain = 3
		vm.header.Routes = &pb.RouteSettings{DrainMs: 3000}
		vm.header.Peers.HeartbeatIntervalMs = 500
	}
	s.addDomains(domains, perDomain)
	s.makeAllKnown()
	return s
}

// domainVMs returns the VMs of a failure domain that watch the store, and the others.
func (s *simulation) domainVMs(domain string) (watching, others []string) {
	for _, name := range s.names {
		switch vm := s.vms[name]; {
		case vm.domain != domain:
		case vm.machine.isWatcher():
			watching = append(watching, name)
		default:
			others = append(others, name)
		}
	}
	return watching, others
}

// Guards against VMs that keep an old configuration although they reach the store: the watchers of their failure
// domain don't bring the news, and no other failure domain does.
func TestRevisionArrivesWithoutTheWatchers(t *testing.T) {
	const applyWithin = 3 * time.Second
	faults := map[string]func(s *simulation, vm string){
		"alive, but cut off from the store": func(s *simulation, vm string) { s.cutOff[vm] = true },
		"killed":                            (*simulation).kill,
		"frozen":                            (*simulation).freeze,
	}
	// Phases of the watches, and fewer of them in large domains.
	for perDomain, phases := range map[int]int{3: 12, 30: 4, 100: 1} {
		for fault, apply := range faults {
			for phase := range phases {
				t.Run(fmt.Sprintf("%d VMs, watchers %s, phase %d", perDomain, fault, phase), func(t *testing.T) {
					s := newUsersDeployment(2, perDomain)
					s.write(testConfiguration(2, "first"))
					s.run(12*time.Second + time.Duration(phase)*170*time.Millisecond)
					watching, others := s.domainVMs("domain-0")
					require.Len(t, watching, 2)
					for _, name := range watching {
						apply(s, name)
					}
					for _, name := range s.names {
						if s.vms[name].domain != "domain-0" {
							s.kill(name)
						}
					}
					for revision := uint64(2); revision <= 4; revision++ {
						written := s.now
						s.write(testConfiguration(2, fmt.Sprint(revision)))
						s.run(applyWithin)
						for _, name := range others {
							adopted, ok := s.vms[name].adoptedAt[revision]
							require.True(t, ok, "%s has revision %d, want %d", name, s.vms[name].machine.revision(), revision)
							require.Less(t, adopted-written, applyWithin, name)
							require.LessOrEqual(t, s.lastInForce(name, revision-1), written, name)
						}
					}
				})
			}
		}
	}
}

// Guards against VMs of several failure domains that confirm an old configuration to one another while none of
// them reads the store.
func TestVMsDoNotConfirmWhatOperatorsWrite(t *testing.T) {
	s := newUsersDeployment(3, 3)
	s.write(testConfiguration(3, "first"))
	s.run(12 * time.Second)
	for d := range 3 {
		watching, _ := s.domainVMs(fmt.Sprintf("domain-%d", d))
		for _, name := range watching {
			s.cutOff[name] = true
		}
	}
	written := s.now
	s.write(testConfiguration(3, "second"))
	s.run(3 * time.Second)
	for _, name := range s.names {
		require.Contains(t, s.vms[name].adoptedAt, uint64(2), name)
		require.Less(t, s.vms[name].adoptedAt[2]-written, 3*time.Second, name)
	}
	s.storeDown = true
	s.run(10 * time.Second)
	for _, name := range s.names {
		require.Greater(t, s.vms[name].machine.configurationAge(), 9*time.Second, name)
	}
}

// Guards against standbys that watch although the watchers do, which would cost calls to the store on quiet days.
func TestStandbysDoNotCallTheStoreOnQuietDays(t *testing.T) {
	for _, perDomain := range []int{3, 30, 100} {
		s := newUsersDeployment(3, perDomain)
		s.write(testConfiguration(3, "first"))
		s.run(12 * time.Second)
		s.calls = 0
		const minute = 60 * time.Second
		s.run(minute)
		const watchers, wait = 3 * 2, 2 * time.Second
		require.LessOrEqual(t, s.calls-s.listReads, int(watchers*minute/wait), "%d VMs", perDomain)
	}
}

// Guards against a VM that becomes a watcher and keeps the schedule of a VM on which nothing depends.
func TestVMThatBecomesAWatcherReadsTheStoreAtOnce(t *testing.T) {
	s := newUsersDeployment(1, 6)
	s.write(testConfiguration(1, "first"))
	s.run(12 * time.Second)
	watching, others := s.domainVMs("domain-0")
	for _, name := range others {
		m := s.vms[name].machine
		m.config.standbys = 0
		m.watch.nextAt = m.now.Add(staleAfter)
	}
	for _, name := range watching {
		s.kill(name)
	}
	s.run(3 * time.Second)
	for _, name := range others {
		m := s.vms[name].machine
		require.Equal(t, m.isWatcher(), m.watch.running, name)
	}
}

// Standbys stop watching once a watcher gets answers again.
func TestStandbyStopsWatchingWhenAWatcherReturns(t *testing.T) {
	s := newUsersDeployment(1, 4)
	s.write(testConfiguration(1, "first"))
	s.run(12 * time.Second)
	watching, others := s.domainVMs("domain-0")
	for _, name := range watching {
		s.cutOff[name] = true
	}
	acting := func() (n int) {
		for _, name := range others {
			if s.vms[name].machine.standby.acting {
				n++
			}
		}
		return n
	}
	s.run(6 * time.Second)
	require.Equal(t, 1, acting(), "the second standby relies on the first")
	delete(s.cutOff, watching[0])
	s.run(6 * time.Second)
	require.Zero(t, acting())
}

// lastInForce returns when a VM last knew a replaced revision to be in force.
func (s *simulation) lastInForce(name string, revision uint64) time.Duration {
	vm := s.vms[name]
	return view.LastInForce(vm.machine.replaced, revision).Sub(vm.machine.start) + vm.startedAt
}

// Guards against a time that makes the grace period of targets without a registration useless: on quiet days a VM
// must have known the replaced revision to be in force not long before the change.
func TestReplacedRevisionWasKnownToBeInForceShortlyBefore(t *testing.T) {
	const watchWait, propagation = 2 * time.Second, 700 * time.Millisecond
	for _, perDomain := range []int{2, 3, 30} {
		s := newUsersDeployment(3, perDomain)
		s.write(testConfiguration(3, "first"))
		s.run(12 * time.Second)
		for revision := uint64(2); revision < 30; revision++ {
			written := s.now
			s.write(testConfiguration(3, fmt.Sprint(revision)))
			s.run(3310 * time.Millisecond)
			for _, name := range s.names {
				at := s.lastInForce(name, revision-1)
				require.LessOrEqual(t, at, written, name)
				require.Greater(t, at, written-watchWait-propagation, "%s of %d", name, perDomain)
			}
		}
	}
}

// What a store dropped while it was down counts from its return, at all VMs: the targets register again soon.
func TestReplacedRevisionIsInForceUntilTheStoreReturns(t *testing.T) {
	s := newUsersDeployment(3, 6)
	s.write(testConfiguration(3, "first"))
	s.run(12 * time.Second)
	s.storeDown = true
	s.run(8 * time.Second)
	s.storeDown = false
	returned := s.now
	s.write(testConfiguration(3, "second"))
	s.run(3 * time.Second)
	for _, name := range s.names {
		require.Greater(t, s.lastInForce(name, 1), returned-platformRetryDelay-100*time.Millisecond, name)
	}
}

// Guards against news that wait for a VM which was asked for them and has been frozen or cut off since.
func TestRevisionIsFetchedFromAnotherVMWhileAFetchHangs(t *testing.T) {
	m := newMachine(simulatedHeader("vm-0", "domain-0", 0, 1))
	answer := func(vm string, at time.Duration) []*pb.ControlDecision {
		responder := simulatedHeader(vm, "domain-0", 0, 1).Self
		answered := &pb.HeartbeatAnswered{
			Vm: vm, Response: &pb.HeartbeatResponse{Responder: responder, ConfigurationRevision: 2}, SentOffsetUs: at.Microseconds(),
		}
		return m.step(&pb.ControlEvent{OffsetUs: at.Microseconds(), Kind: &pb.ControlEvent_HeartbeatAnswered{HeartbeatAnswered: answered}})
	}
	fetchedFrom := func(decisions []*pb.ControlDecision) string {
		for _, decision := range decisions {
			if fetch := decision.GetFetch(); fetch != nil {
				return fetch.Vm
			}
		}
		return ""
	}
	require.Equal(t, "vm-1", fetchedFrom(answer("vm-1", 100*time.Millisecond)))
	require.Empty(t, fetchedFrom(answer("vm-2", 300*time.Millisecond)))
	require.Equal(t, "vm-2", fetchedFrom(answer("vm-2", 700*time.Millisecond)))
}
