package control

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/carawayreel/carawayreel/internal/configuration"
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

// Guards against heartbeats that other VMs refuse for their size, as a refused sender is taken for dead. The
// heartbeat has all lists at their bounds, with names of the greatest length, and the table of as many VMs as
// docs/CAPACITY.md plans for. Quarantine entries have a test of their own.
func TestHeartbeatsFitIntoMessages(t *testing.T) {
	const (
		messageBytes     = 1 << 20
		quarantineBytes  = 128 << 10
		listed, evidence = 128, 160
		targetID         = 200
		serviceName      = 128
	)
	name := func(length, i int) string { return fmt.Sprintf("%0*d", length, i) }
	for _, vms := range []int{3, 30, 100, 3000} {
		message := &pb.HeartbeatResponse{}
		for i := range vms {
			message.Members = append(message.Members, &pb.Member{
				Vm: name(40, i), FailureDomain: name(20, i), PeerAddress: "10.100.200.199:8224", Incarnation: 1 << 60,
				State: pb.MemberState_MEMBER_STATE_ALIVE, GatherPort: 7755, ProcessorMillicores: 800,
			})
		}
		table := proto.Size(message)
		for i := range listed {
			message.TargetReports = append(message.TargetReports, &pb.TargetReport{
				Target: name(targetID, i), FirstSlowMs: 1 << 31, LastSlowMs: 1 << 31, QuickMs: 1 << 31, FailedTenths: 1 << 31,
				AllTenths: 1 << 31, FailingMs: 1 << 31, RejectedTenths: 1 << 31,
			})
			message.TargetAdvice = append(message.TargetAdvice, &pb.TargetAdvice{
				Target: name(targetID, i), StartedUnixMs: 1 << 41, LeavingMs: 1 << 31, Limited: true, RequestsPerS: 1, LimitAgeMs: 1 << 31,
			})
			message.ServicePressures = append(message.ServicePressures, &pb.ServicePressure{
				Service: name(serviceName, i), Pressure: 1, Demand: 1, AgeMs: 1 << 31,
			})
		}
		for i := range evidence {
			message.VersionEvidence = append(message.VersionEvidence, &pb.VersionEvidence{
				Vm: name(40, i), Incarnation: 1 << 60, Service: name(serviceName, i), OrderRevision: 1 << 40, Route: name(serviceName, i),
				Version: name(serviceName, i), Replies: 1 << 40, Failures: 1 << 40, ReplyTimes: make([]uint64, 64),
			})
		}
		size := proto.Size(message) + quarantineBytes
		t.Logf("%d VMs: table %d bytes, heartbeat with all lists full %d of %d", vms, table, size, messageBytes)
		require.Less(t, size, messageBytes)
	}
}

// Guards against a default of peers.max_configuration_bytes that a value which the store takes, and the targets
// of a deployment as large as docs/CAPACITY.md plans for, exceed.
func TestLargestConfigurationsFitIntoMessages(t *testing.T) {
	const (
		configurationBytes = 32 << 20
		storeValueBytes    = 1 << 20
		shortKeyInStore    = len(`"abc",`)
		keysPerTenant      = 1024
		targets            = 30000
	)
	c := &pb.Configuration{Revision: 1, RouteTable: &pb.RouteTable{Revision: 1}}
	for keys := storeValueBytes / shortKeyInStore; keys > 0; keys -= keysPerTenant {
		organisation := &pb.Organisation{Name: fmt.Sprint(keys)}
		for range min(keys, keysPerTenant) {
			organisation.KeyDigests = append(organisation.KeyDigests, []byte(strings.Repeat("d", 32)))
		}
		c.RouteTable.Organisations = append(c.RouteTable.Organisations, organisation)
	}
	table := proto.Size(c)
	for i := range targets {
		c.Registrations = append(c.Registrations, &pb.Registration{
			Id: fmt.Sprintf("i-%08x", i), Service: "provenance-sweep-shard-0123", Address: "10.100.200.199:8224", FailureDomain: "cw-ystwyth",
			Slots: 7, State: pb.RegistrationState_REGISTRATION_STATE_READY, ColdForMs: 5000, StartedUnixMs: 1 << 40, Revision: 1 << 40, SoftwareVersion: "2026.12.07-1",
		})
	}
	size := proto.Size(configuration.MakeDelta(c, 0))
	t.Logf("route table %d bytes, whole configuration with %d targets %d of %d", table, targets, size, configurationBytes)
	require.Less(t, size, configurationBytes)
}
