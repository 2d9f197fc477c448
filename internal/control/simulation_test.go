package control

import (
	"container/heap"
	"fmt"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawayreel/carawayreel/internal/configuration"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

// simulation connects machines to one another, to a store and to a VM list in virtual time. It is
// deterministic.
type simulation struct {
	now       time.Duration
	queue     eventQueue
	sequence  int
	vms       map[string]*simulatedVM
	names     []string
	byAddress map[string]*simulatedVM
	// partitioned reports whether two failure domains cannot reach each other. The platform is the failure
	// domain "platform".
	partitioned func(a, b string) bool
	storeDown   bool
	// cutOff holds the VMs whose calls to the store get no answer.
	cutOff map[string]bool
	// dropHeartbeat reports whether the next heartbeat is lost.
	dropHeartbeat    func() bool
	store            *pb.Configuration
	version          uint64
	calls, listReads int
	vmList           []*pb.ListedVm
	pendingWatches   map[int]func()
	// adjust changes the settings of a VM before it starts; may be nil.
	adjust  func(*simulatedVM)
	latency time.Duration
	// deltaBytes bounds the deltas that VMs send one another; zero for no bound.
	deltaBytes int
}

type simulatedVM struct {
	name, domain string
	header       *pb.ControlTraceHeader
	machine      *machine
	up, frozen   bool
	startedAt    time.Duration
	backlog      []*pb.ControlEvent
	backlogDone  []func([]*pb.ControlDecision)
	bytes        int
	remoteBytes  int
	messages     int
	adoptedAt    map[uint64]time.Duration
	reverted     bool
	onStep       func(*pb.ControlEvent, []*pb.ControlDecision)
}

type scheduledEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

const (
	// simulatedTimeout is the time limit of a heartbeat, and simulatedCallTimeout that of a call to the store.
	simulatedTimeout     = 500 * time.Millisecond
	simulatedCallTimeout = time.Second
)

var simulationStart = time.UnixMicro(1_800_000_000_000_000)

func newSimulation() *simulation {
	return &simulation{
		vms:            map[string]*simulatedVM{},
		byAddress:      map[string]*simulatedVM{},
		partitioned:    func(_, _ string) bool { return false },
		dropHeartbeat:  func() bool { return false },
		pendingWatches: map[int]func(){},
		cutOff:         map[string]bool{},
		latency:        500 * time.Microsecond,
	}
}

func simulatedHeader(name, domain string, start time.Duration, seed uint64) *pb.ControlTraceHeader {
	return &pb.ControlTraceHeader{
		Self: &pb.Member{
			Vm: name, FailureDomain: domain, PeerAddress: "10.0.0.1:" + name,
			Incarnation: uint64(simulationStart.Add(start).UnixNano()),
			State:       pb.MemberState_MEMBER_STATE_ALIVE,
		},
		Platform: &pb.PlatformSettings{CallTimeoutMs: 1000, ListIntervalMs: 5000, WatchWaitMs: 30000, WatchersPerFailureDomain: 2},
		Peers:    &pb.PeerSettings{HeartbeatIntervalMs: 300, SuspectAfterMs: 1000, DeadAfterMs: 1000, MonitoredVms: 3},
		Limits:   &pb.LimitSettings{ClockGapMs: 500, GuardMs: 1000},
		Seed:     seed, StartUnixUs: simulationStart.Add(start).UnixMicro(),
	}
}

// newDeployment starts perDomain VMs in each of the given number of failure domains.
func newDeployment(domains, perDomain int) *simulation {
	s := newSimulation()
	s.addDomains(domains, perDomain)
	return s
}

func (s *simulation) addDomains(domains, perDomain int) {
	for d := range domains {
		for i := range perDomain {
			s.listVM(fmt.Sprintf("vm-%d-%03d", d, i), fmt.Sprintf("domain-%d", d))
		}
	}
	for i, vm := range s.vmList {
		s.startVM(vm.Vm, vm.FailureDomain, uint64(i+1))
	}
}

func (s *simulation) listVM(name, domain string) {
	s.vmList = append(s.vmList, &pb.ListedVm{Vm: name, FailureDomain: domain, PeerAddress: "10.0.0.1:" + name, State: pb.VmState_VM_STATE_LIVE})
}

func (s *simulation) startVM(name, domain string, seed uint64) *simulatedVM {
	// The seed staggers the ticks of the VMs.
	header := simulatedHeader(name, domain, s.now, seed)
	vm := &simulatedVM{name: name, domain: domain, header: header, up: true, startedAt: s.now, adoptedAt: map[uint64]time.Duration{}}
	if s.adjust != nil {
		s.adjust(vm)
	}
	vm.machine = newMachine(header)
	if s.vms[name] == nil {
		s.names = append(s.names, name)
	}
	s.vms[name] = vm
	s.byAddress[header.Self.PeerAddress] = vm
	s.schedule(time.Duration(seed%97)*time.Millisecond, func() { s.tick(vm) })
	return vm
}

func (s *simulation) tick(vm *simulatedVM) {
	if !vm.up {
		return
	}
	if !vm.frozen {
		s.deliver(vm, tickEvent(), nil)
	}
	s.schedule(100*time.Millisecond, func() { s.tick(vm) })
}

func (s *simulation) schedule(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.queue, scheduledEvent{at: s.now + d, sequence: s.sequence, run: run})
}

func (s *simulation) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next := heap.Pop(&s.queue).(scheduledEvent)
		s.now = next.at
		next.run()
	}
	s.now = end
}

// deliver makes a VM process an event. A frozen VM processes it when it is thawed.
func (s *simulation) deliver(vm *simulatedVM, event *pb.ControlEvent, done func([]*pb.ControlDecision)) {
	if !vm.up {
		return
	}
	if vm.frozen {
		vm.backlog = append(vm.backlog, event)
		vm.backlogDone = append(vm.backlogDone, done)
		return
	}
	event.OffsetUs = (s.now - vm.startedAt).Microseconds()
	before := vm.machine.revision()
	decisions := vm.machine.step(event)
	if vm.machine.revision() < before {
		vm.reverted = true
	}
	if _, ok := vm.adoptedAt[vm.machine.revision()]; !ok {
		vm.adoptedAt[vm.machine.revision()] = s.now
	}
	if vm.onStep != nil {
		vm.onStep(event, decisions)
	}
	for _, decision := range decisions {
		s.execute(vm, decision)
	}
	if done != nil {
		done(decisions)
	}
}

func (s *simulation) freeze(name string) { s.vms[name].frozen = true }

func (s *simulation) thaw(name string) {
	vm := s.vms[name]
	vm.frozen = false
	events, done := vm.backlog, vm.backlogDone
	vm.backlog, vm.backlogDone = nil, nil
	for i := range events {
		s.deliver(vm, events[i], done[i])
	}
}

func (s *simulation) kill(name string) { s.vms[name].up = false }

func (s *simulation) lookup(vm *simulatedVM, address string) *simulatedVM {
	other := s.byAddress[address]
	if other == nil || !other.up || s.partitioned(vm.domain, other.domain) || s.partitioned(other.domain, vm.domain) {
		return nil
	}
	return other
}

func (s *simulation) offset(vm *simulatedVM) int64 { return (s.now - vm.startedAt).Microseconds() }

func (s *simulation) execute(vm *simulatedVM, decision *pb.ControlDecision) {
	switch kind := decision.Kind.(type) {
	case *pb.ControlDecision_SendHeartbeat:
		s.heartbeat(vm, kind.SendHeartbeat)
	case *pb.ControlDecision_ReadList:
		s.readList(vm)
	case *pb.ControlDecision_WatchStore:
		s.watch(vm, kind.WatchStore)
	case *pb.ControlDecision_Fetch:
		s.fetch(vm, kind.Fetch)
	case *pb.ControlDecision_Offer:
		s.offer(vm, kind.Offer)
	}
}

func (s *simulation) countMessage(a, b *simulatedVM, m proto.Message) {
	size := proto.Size(m)
	a.bytes += size
	b.bytes += size
	if a.domain != b.domain {
		a.remoteBytes += size
		b.remoteBytes += size
	}
	a.messages++
	b.messages++
}

func (s *simulation) heartbeat(vm *simulatedVM, send *pb.SendHeartbeat) {
	sent := s.offset(vm)
	answered := false
	other := s.lookup(vm, send.Address)
	s.schedule(simulatedTimeout, func() {
		if !answered {
			answered = true
			s.deliver(vm, &pb.ControlEvent{Kind: &pb.ControlEvent_HeartbeatFailed{HeartbeatFailed: &pb.HeartbeatFailed{Vm: send.Vm, SentOffsetUs: sent}}}, nil)
		}
	})
	if other == nil || s.dropHeartbeat() {
		return
	}
	s.countMessage(vm, other, send.Request)
	s.schedule(s.latency, func() {
		s.deliver(other, &pb.ControlEvent{Kind: &pb.ControlEvent_HeartbeatReceived{HeartbeatReceived: proto.Clone(send.Request).(*pb.HeartbeatRequest)}}, func(decisions []*pb.ControlDecision) {
			response := responseIn(decisions)
			if answered || s.lookup(other, vm.header.Self.PeerAddress) != vm {
				return
			}
			s.countMessage(other, vm, response)
			s.schedule(s.latency, func() {
				if answered {
					return
				}
				answered = true
				s.deliver(vm, &pb.ControlEvent{Kind: &pb.ControlEvent_HeartbeatAnswered{HeartbeatAnswered: &pb.HeartbeatAnswered{
					Vm: send.Vm, Response: proto.Clone(response).(*pb.HeartbeatResponse), SentOffsetUs: sent,
				}}}, nil)
			})
		})
	})
}

func responseIn(decisions []*pb.ControlDecision) *pb.HeartbeatResponse {
	for _, decision := range decisions {
		if response := decision.GetRespond(); response != nil {
			return response
		}
	}
	return &pb.HeartbeatResponse{}
}

func (s *simulation) readList(vm *simulatedVM) {
	s.calls++
	s.listReads++
	read := &pb.VmListRead{Failed: s.platformDown(vm)}
	if !read.Failed {
		read.Vms = append(read.Vms, s.vmList...)
	}
	s.schedule(s.latency*2, func() {
		s.deliver(vm, &pb.ControlEvent{Kind: &pb.ControlEvent_ListRead{ListRead: read}}, nil)
	})
}

func (s *simulation) platformDown(vm *simulatedVM) bool {
	return s.storeDown || s.partitioned(vm.domain, "platform")
}

func (s *simulation) watch(vm *simulatedVM, watch *pb.WatchStore) {
	s.calls++
	sent := s.offset(vm)
	ended := false
	id := s.sequence
	fail := func() {
		if !ended {
			ended = true
			delete(s.pendingWatches, id)
			s.deliver(vm, &pb.ControlEvent{Kind: &pb.ControlEvent_StoreRead{StoreRead: &pb.StoreRead{SentOffsetUs: sent, Failed: true, Error: "timeout"}}}, nil)
		}
	}
	s.schedule(time.Duration(watch.WaitMs)*time.Millisecond+simulatedCallTimeout, fail)
	end := func() {
		if ended || s.cutOff[vm.name] {
			return
		}
		ended = true
		delete(s.pendingWatches, id)
		read := &pb.StoreRead{SentOffsetUs: sent, Version: watch.AfterVersion}
		switch {
		case s.platformDown(vm):
			read.Failed, read.Error = true, "down"
		case s.version > watch.AfterVersion:
			read.Version, read.Configuration = s.version, s.store
		case watch.WaitMs > 0:
			read.ConfirmedOffsetUs = sent + int64(watch.WaitMs)*time.Millisecond.Microseconds()
		}
		s.schedule(s.latency, func() { s.deliver(vm, &pb.ControlEvent{Kind: &pb.ControlEvent_StoreRead{StoreRead: read}}, nil) })
	}
	if s.platformDown(vm) || s.version > watch.AfterVersion {
		s.schedule(s.latency, end)
		return
	}
	s.pendingWatches[id] = end
	s.schedule(time.Duration(watch.WaitMs)*time.Millisecond, end)
}

// write stores the next revision and completes the pending watches.
func (s *simulation) write(c *pb.Configuration) *pb.Configuration {
	s.put(withNextRevision(s.store, c))
	return s.store
}

// put makes the store hold a configuration and completes the pending watches.
func (s *simulation) put(c *pb.Configuration) {
	s.store = c
	s.version++
	for id := 0; id <= s.sequence && len(s.pendingWatches) > 0; id++ {
		if end, ok := s.pendingWatches[id]; ok {
			end()
		}
	}
}

func withNextRevision(previous, c *pb.Configuration) *pb.Configuration {
	next := configuration.Stamp(previous, c, previous.GetRevision()+1)
	next.WriteId = strconv.FormatUint(next.Revision, 10)
	return next
}

func (s *simulation) fetch(vm *simulatedVM, from *pb.FetchFrom) {
	other := s.lookup(vm, from.Address)
	sent := s.offset(vm)
	s.schedule(s.latency*2, func() {
		if other == nil || other.frozen || !other.up {
			s.deliver(vm, &pb.ControlEvent{Kind: &pb.ControlEvent_FetchFailed{FetchFailed: &pb.FetchFailed{Vm: from.Vm}}}, nil)
			return
		}
		delta := s.makeDelta(other, from.SinceRevision)
		if s.tooLarge(delta) {
			s.deliver(vm, &pb.ControlEvent{Kind: &pb.ControlEvent_FetchFailed{FetchFailed: &pb.FetchFailed{Vm: from.Vm, TooLarge: true}}}, nil)
			return
		}
		s.countMessage(vm, other, delta)
		s.deliver(vm, &pb.ControlEvent{Kind: &pb.ControlEvent_DeltaReceived{DeltaReceived: &pb.DeltaReceived{
			From: from.Vm, Delta: delta, Fetched: true, HopsLeft: maxHops, ReplacedOffsetUs: replacedOffset(delta, sent),
		}}}, nil)
	})
}

func (s *simulation) offer(vm *simulatedVM, to *pb.OfferTo) {
	other := s.lookup(vm, to.Address)
	if other == nil {
		return
	}
	delta := s.makeDelta(vm, to.BaseRevision)
	if s.tooLarge(delta) {
		return
	}
	s.countMessage(vm, other, delta)
	s.schedule(s.latency, func() {
		s.deliver(other, &pb.ControlEvent{Kind: &pb.ControlEvent_DeltaReceived{DeltaReceived: &pb.DeltaReceived{
			From: vm.name, Delta: delta, HopsLeft: to.HopsLeft, ReplacedOffsetUs: replacedOffset(delta, s.offset(other)),
		}}}, nil)
	})
}

func (s *simulation) tooLarge(delta *pb.ConfigurationDelta) bool {
	return s.deltaBytes > 0 && proto.Size(delta) > s.deltaBytes
}

// makeDelta returns the delta that a VM sends to one with the given revision.
func (s *simulation) makeDelta(vm *simulatedVM, revision uint64) *pb.ConfigurationDelta {
	m := vm.machine
	delta := configuration.MakeDelta(m.configuration, revision)
	if at := view.LastInForce(m.replaced, revision); !at.IsZero() {
		stateReplaced(delta, revision, m.start.Add(s.now-vm.startedAt).Sub(at))
	}
	return delta
}

// testConfiguration returns a configuration with eight targets in each of the given number of failure
// domains.
func testConfiguration(domains int, comment string) *pb.Configuration {
	c := &pb.Configuration{Comment: comment, Author: "test"}
	service := &pb.Service{Name: "births"}
	for d := range domains {
		name := fmt.Sprintf("domain-%d", d)
		c.FailureDomains = append(c.FailureDomains, &pb.FailureDomain{Name: name, State: pb.ServingState_SERVING_STATE_IN_SERVICE})
		for i := range 8 {
			id := fmt.Sprintf("t-%d-%d", d, i)
			service.Targets = append(service.Targets, &pb.Target{
				Id: id, Address: "127.0.0.1:" + id, FailureDomain: name, Slots: 2, Connections: 25, ColdLimit: 1,
				State: pb.ServingState_SERVING_STATE_IN_SERVICE,
			})
		}
	}
	c.Fronts = []*pb.Front{{
		Name: "front", Services: []*pb.Service{service},
		Limits: &pb.FrontLimits{DefaultTimeLimitMs: 100, DefaultRowLimit: 50, ExtraLoadPercent: 5},
	}}
	return c
}
