package control

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

// machineWithMembers returns a machine that knows 9 failure domains of perDomain VMs each, and the other
// members. No member updates are pending.
func machineWithMembers(perDomain int) (*machine, []*pb.Member) {
	m := newMachine(simulatedHeader("vm-0-000", "domain-0", 0, 1))
	var others []*pb.Member
	for d := range 9 {
		for i := range perDomain {
			if d+i > 0 {
				others = append(others, simulatedHeader(fmt.Sprintf("vm-%d-%03d", d, i), fmt.Sprintf("domain-%d", d), 0, 1).Self)
			}
		}
	}
	for _, other := range others {
		m.table.Receive(other, nil, simulationStart)
	}
	for len(m.table.Updates("")) > 0 {
		continue
	}
	return m, others
}

// runSecond runs a machine through one second without any change: 10 ticks, a response to each of its
// heartbeats, and as many heartbeats received.
func runSecond(m *machine, others []*pb.Member, start time.Duration) {
	for tick := range 10 {
		now := start + time.Duration(tick)*100*time.Millisecond
		event := tickEvent()
		event.OffsetUs = now.Microseconds()
		for i, decision := range m.step(event) {
			send := decision.GetSendHeartbeat()
			if send == nil {
				continue
			}
			responder := others[i%len(others)]
			m.step(&pb.ControlEvent{OffsetUs: now.Microseconds() + 1000, Kind: &pb.ControlEvent_HeartbeatAnswered{HeartbeatAnswered: &pb.HeartbeatAnswered{
				Vm: send.Vm, SentOffsetUs: now.Microseconds(),
				Response: &pb.HeartbeatResponse{Responder: responder, MembersDigest: m.table.Digest(), ConfigurationRevision: m.revision()},
			}}})
			m.step(&pb.ControlEvent{OffsetUs: now.Microseconds() + 1000, Kind: &pb.ControlEvent_HeartbeatReceived{HeartbeatReceived: &pb.HeartbeatRequest{
				Sender: responder, MembersDigest: m.table.Digest(), ConfigurationRevision: m.revision(),
			}}})
		}
	}
}

// BenchmarkSecondOfControl reports the CPU time that the machine needs for one second of operation, without
// transport, and the heap size of its state.
func BenchmarkSecondOfControl(b *testing.B) {
	for _, perDomain := range []int{1, 10, 37, 111, 333} {
		b.Run(fmt.Sprintf("VMs=%d", 9*perDomain), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			m, others := machineWithMembers(perDomain)
			runtime.GC()
			runtime.ReadMemStats(&after)
			start := time.Second
			for b.Loop() {
				runSecond(m, others, start)
				start += time.Second
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "state-bytes")
			runtime.KeepAlive(others)
		})
	}
}

// BenchmarkView measures building a view from its predecessor, as after a change of members.
func BenchmarkView(b *testing.B) {
	for _, targets := range []int{140, 1400, 14000} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			m, _ := machineWithMembers(333)
			m.configuration = manyTargets(targets)
			m.publish()
			previous := view.Build(m.viewInput(simulationStart, false), nil)
			for b.Loop() {
				previous = view.Build(m.viewInput(simulationStart, false), previous)
			}
		})
	}
}

func manyTargets(targets int) *pb.Configuration {
	c := testConfiguration(9, "many")
	template := c.Fronts[0].Services[0].Targets[0]
	for i := range targets {
		target, _ := proto.Clone(template).(*pb.Target)
		target.Id = fmt.Sprintf("target-%d", i)
		target.FailureDomain = fmt.Sprintf("domain-%d", i%9)
		c.Fronts[0].Services[0].Targets = append(c.Fronts[0].Services[0].Targets, target)
	}
	return c
}

// FuzzHeartbeat feeds arbitrary heartbeat requests to the machine. It must respond under its own name and
// must not adopt a configuration.
func FuzzHeartbeat(f *testing.F) {
	m, others := machineWithMembers(2)
	seed, err := proto.Marshal(&pb.HeartbeatRequest{Sender: others[0], Members: others, Full: true, ConfigurationRevision: 1})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{})
	now := int64(0)
	f.Fuzz(func(t *testing.T, value []byte) {
		request := &pb.HeartbeatRequest{}
		if proto.Unmarshal(value, request) != nil {
			return
		}
		now += 1000
		decisions := m.step(&pb.ControlEvent{OffsetUs: now, Kind: &pb.ControlEvent_HeartbeatReceived{HeartbeatReceived: request}})
		response := responseIn(decisions)
		if response.GetResponder().GetVm() != "vm-0-000" || m.configuration != nil {
			t.Fatalf("answered %v", response)
		}
	})
}
