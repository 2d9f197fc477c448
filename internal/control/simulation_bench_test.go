package control

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawayreel/carawayreel/internal/configuration"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

const (
	settleTime  = 60 * time.Second
	measureTime = 15 * time.Second
	// changeInterval is the mean time between configuration changes at 12,000 changes a day.
	changeInterval = 24 * time.Hour / 12000
)

type trafficTotals struct {
	bytes, messages, calls int
}

func trafficOf(s *simulation) trafficTotals {
	sum := trafficTotals{calls: s.calls}
	for _, name := range s.names {
		sum.bytes += s.vms[name].bytes
		sum.messages += s.vms[name].messages
	}
	return sum
}

// measureTraffic runs the simulation for the duration, calling step before each change interval. It returns
// the mean bytes and messages per second and VM, sent and received, and the platform calls per second of
// the whole deployment. Transport headers are not counted.
func measureTraffic(s *simulation, duration time.Duration, step func()) (bytes, messages, calls float64) {
	before := trafficOf(s)
	for end := s.now + duration; s.now < end; {
		step()
		s.run(min(changeInterval, end-s.now))
	}
	after := trafficOf(s)
	vmSeconds := duration.Seconds() * float64(len(s.names))
	return float64(after.bytes-before.bytes) / vmSeconds, float64(after.messages-before.messages) / vmSeconds,
		float64(after.calls-before.calls) / duration.Seconds()
}

// BenchmarkTraffic reports control traffic in virtual time, both idle and with a new revision every 7.2 s,
// and the time until the slowest VM has adopted a revision. The time per operation covers the whole
// simulation.
func BenchmarkTraffic(b *testing.B) {
	for _, size := range []struct{ domains, perDomain int }{{3, 3}, {3, 10}, {9, 10}, {9, 37}} {
		b.Run(fmt.Sprintf("%dx%d", size.domains, size.perDomain), func(b *testing.B) {
			for b.Loop() {
				reportTraffic(b, size.domains, size.perDomain)
			}
		})
	}
}

func reportTraffic(b *testing.B, domains, perDomain int) {
	s := newDeployment(domains, perDomain)
	s.write(testConfiguration(domains, "first"))
	s.run(settleTime)
	began := time.Now()
	bytes, messages, calls := measureTraffic(s, measureTime, func() {})
	vmSeconds := measureTime.Seconds() * float64(len(s.names))
	b.ReportMetric(bytes, "idle-B/s/VM")
	b.ReportMetric(messages, "idle-messages/s/VM")
	b.ReportMetric(calls, "store-calls/s")
	b.ReportMetric(float64(time.Since(began).Microseconds())/vmSeconds, "cpu-us/s/VM")
	var slowest time.Duration
	written := map[uint64]time.Duration{}
	bytes, _, _ = measureTraffic(s, measureTime, func() {
		revision := s.write(testConfiguration(domains, fmt.Sprint("change ", s.version))).Revision
		written[revision] = s.now
	})
	s.run(changeInterval)
	for _, name := range s.names {
		for revision, at := range written {
			if adopted, ok := s.vms[name].adoptedAt[revision]; ok {
				slowest = max(slowest, adopted-at)
			}
		}
		if s.vms[name].machine.revision() != s.store.Revision {
			b.Fatalf("%s is at revision %d of %d", name, s.vms[name].machine.revision(), s.store.Revision)
		}
	}
	b.ReportMetric(bytes, "changing-B/s/VM")
	b.ReportMetric(float64(slowest.Milliseconds()), "in-force-ms")
}

// BenchmarkRestart reports the additional bytes that the restart of one VM costs all VMs together, by
// deployment size.
func BenchmarkRestart(b *testing.B) {
	for _, perDomain := range []int{3, 10, 30, 111} {
		b.Run(fmt.Sprintf("3x%d", perDomain), func(b *testing.B) {
			for b.Loop() {
				s := newDeployment(3, perDomain)
				s.write(testConfiguration(3, "first"))
				s.run(settleTime)
				name := s.names[len(s.names)-1]
				idle, _, _ := measureTraffic(s, measureTime, func() {})
				s.kill(name)
				s.run(time.Second)
				// The counters of the replaced VM are discarded with it.
				s.startVM(name, s.vms[name].domain, uint64(s.sequence))
				before := trafficOf(s)
				s.run(measureTime)
				extra := float64(trafficOf(s).bytes-before.bytes) - idle*measureTime.Seconds()*float64(len(s.names))
				b.ReportMetric(extra, "extra-B")
				b.ReportMetric(extra/float64(len(s.names)), "extra-B/VM")
			}
		})
	}
}

// BenchmarkTable reports the heap size of one VM's control state by the number of members.
func BenchmarkTable(b *testing.B) {
	for _, vms := range []int{9, 90, 333, 3000} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				m := newMachine(simulatedHeader("vm-0", "domain-0", 0, 1))
				read := &pb.VmListRead{}
				for i := range vms {
					name := fmt.Sprintf("vm-%04d", i)
					read.Vms = append(read.Vms, &pb.ListedVm{
						Vm: name, FailureDomain: fmt.Sprintf("domain-%d", i%9), PeerAddress: "10.0.0.1:" + name, State: pb.VmState_VM_STATE_LIVE,
					})
				}
				m.step(&pb.ControlEvent{Kind: &pb.ControlEvent_ListRead{ListRead: read}})
				b.ReportMetric(heapBytes()-before, "heap-B")
				runtime.KeepAlive(m)
			}
		})
	}
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkTick measures one tick of the state machine, including the heartbeats it decides on, by the
// number of members.
func BenchmarkTick(b *testing.B) {
	for _, perDomain := range []int{3, 30, 333} {
		b.Run(fmt.Sprintf("1x%d", perDomain), func(b *testing.B) {
			s := newDeployment(1, perDomain)
			s.write(testConfiguration(1, "first"))
			s.run(settleTime)
			vm := s.vms[s.names[0]]
			b.ReportAllocs()
			for b.Loop() {
				s.now += time.Millisecond
				event := tickEvent()
				event.OffsetUs = s.offset(vm)
				vm.machine.step(event)
			}
		})
	}
}

// BenchmarkDelta reports the size of the delta for a change to one front, by the number of fronts that
// 14,000 targets are divided into.
func BenchmarkDelta(b *testing.B) {
	const targets, domains = 14000, 9
	for _, fronts := range []int{1, 20, 100, 680} {
		b.Run(fmt.Sprintf("%d fronts", fronts), func(b *testing.B) {
			before := withNextRevision(nil, configurationOf(fronts, targets/fronts, domains))
			changed := proto.CloneOf(before)
			changed.Fronts[0].Limits.DefaultRowLimit++
			after := withNextRevision(before, changed)
			for b.Loop() {
				delta := configuration.MakeDelta(after, before.Revision)
				b.ReportMetric(float64(proto.Size(delta)), "delta-B")
			}
			b.ReportMetric(float64(proto.Size(after)), "whole-B")
		})
	}
}

func configurationOf(fronts, targetsEach, domains int) *pb.Configuration {
	c := testConfiguration(domains, "size")
	c.Fronts = nil
	for f := range fronts {
		service := &pb.Service{Name: fmt.Sprintf("service-%03d", f)}
		for i := range targetsEach {
			service.Targets = append(service.Targets, &pb.Target{
				Id: fmt.Sprintf("%s-%d", service.Name, i), Address: fmt.Sprintf("10.1.%d.%d:7300", i/250, i%250),
				FailureDomain: fmt.Sprintf("domain-%d", i%domains), Slots: 2, Connections: 25, ConnectionSetupUs: 5000,
				ColdLimit: 1, State: pb.ServingState_SERVING_STATE_IN_SERVICE,
			})
		}
		c.Fronts = append(c.Fronts, &pb.Front{
			Name: fmt.Sprintf("front-%03d", f), Services: []*pb.Service{service},
			Limits: &pb.FrontLimits{DefaultTimeLimitMs: 100, DefaultRowLimit: 50, ExtraLoadPercent: 5},
		})
	}
	return c
}
