package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Guards against VMs that keep an old configuration while they know that there is a newer one, and
// reach the store, because it is too large for a message or no VM delivers it. The bounds are
// config_apply_ms of the users' sites of such sizes.
func TestRevisionThatNoVMDeliversIsReadFromTheStore(t *testing.T) {
	for perDomain, applyWithin := range map[int]time.Duration{3: 3 * time.Second, 30: 5 * time.Second, 100: 6 * time.Second} {
		t.Run(fmt.Sprintf("%d VMs", perDomain), func(t *testing.T) {
			s := newUsersDeployment(3, perDomain)
			s.write(testConfiguration(3, "first"))
			s.run(20 * time.Second)
			s.deltaBytes = 1
			calls, writtenAt := s.calls, s.now
			revision := s.write(testConfiguration(3, "second")).Revision
			s.run(applyWithin)
			last := time.Duration(0)
			for _, name := range s.names {
				at, ok := s.vms[name].adoptedAt[revision]
				require.True(t, ok, "%s has revision %d", name, s.vms[name].machine.revision())
				last = max(last, at-writtenAt)
			}
			t.Logf("in force everywhere after %v, with %d calls to the platform", last, s.calls-calls)
			s.run(10 * time.Second)
			for _, name := range s.names {
				require.LessOrEqual(t, s.vms[name].machine.stats.overdueReads, uint64(1), "%s has caught up and reads the store no more", name)
			}
		})
	}
}

// Guards against reads of the store by VMs that get their configuration from others in time.
func TestDeliveredRevisionIsNotReadFromTheStore(t *testing.T) {
	s := newUsersDeployment(3, 30)
	for i := range 10 {
		s.write(testConfiguration(3, fmt.Sprint(i)))
		s.run(3 * time.Second)
	}
	for _, name := range s.names {
		require.Zero(t, s.vms[name].machine.stats.overdueReads, name)
	}
}

// Guards against a VM that reads a store without an answer over and over.
func TestOverdueReadsAreSpaced(t *testing.T) {
	m := newMachine(simulatedHeader("vm-0", "domain-0", 0, 1))
	m.table.Receive(simulatedHeader("vm-1", "domain-0", 0, 2).Self, nil, m.start)
	m.table.Receive(simulatedHeader("vm-2", "domain-0", 0, 3).Self, nil, m.start)
	m.config.watchers, m.configuration, m.confirmedAt = 0, &pb.Configuration{Revision: 1}, m.start
	m.watch.nextAt = m.start.Add(time.Hour)
	reads := 0
	const end = 9 * time.Second
	for at := time.Duration(0); at < end; at += 100 * time.Millisecond {
		m.confirmedAt = m.start.Add(at)
		event := tickEvent()
		event.OffsetUs = at.Microseconds()
		for _, decision := range m.step(event) {
			if decision.GetWatchStore() != nil {
				reads++
				failed := &pb.StoreRead{SentOffsetUs: at.Microseconds(), Failed: true}
				m.step(&pb.ControlEvent{OffsetUs: at.Microseconds(), Kind: &pb.ControlEvent_StoreRead{StoreRead: failed}})
			}
		}
		m.recordRevision("vm-1", 2)
	}
	require.Positive(t, reads)
	require.LessOrEqual(t, reads, int(end/overdueReadInterval)+1)
}
