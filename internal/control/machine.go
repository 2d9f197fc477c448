package control

import (
	"time"

	"github.com/pkg/errors"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/membership"
)

const (
	// newsPerMessage bounds the members that one heartbeat carries as news.
	newsPerMessage = 8
	// exchangeMembers bounds the part of the table sent on a differing digest.
	exchangeMembers = 64
	// forgetAfter is how long a dead VM is remembered.
	forgetAfter = 5 * time.Minute
	// neverConfirmed is the age of a configuration that nobody confirmed.
	neverConfirmed = 24 * time.Hour
)

// ErrSettings means that the settings contradict one another.
var ErrSettings = errors.New("settings contradict one another")

// config is what the machine takes from the settings.
type config struct {
	heartbeat      time.Duration
	suspectAfter   time.Duration
	deadAfter      time.Duration
	clockGap       time.Duration
	guard          time.Duration
	listInterval   time.Duration
	watchWait      time.Duration
	watchers       int
	seeds          []string
	monitored      int
	platformWindow time.Duration
}

// checkSettings returns ErrSettings unless a VM that did not run long enough for
// its targets to be taken over is certain to notice its clock gap.
func checkSettings(c config) error {
	takeOver := c.suspectAfter + c.deadAfter + c.guard
	if takeOver <= c.clockGap {
		return errors.Wrapf(ErrSettings, "peers.suspect_after_ms + peers.dead_after_ms + limits.guard_ms is %v and must exceed limits.clock_gap_ms, %v", takeOver, c.clockGap)
	}
	if c.suspectAfter < 2*c.heartbeat {
		return errors.Wrapf(ErrSettings, "peers.suspect_after_ms, %v, must be at least twice peers.heartbeat_interval_ms, %v", c.suspectAfter, c.heartbeat)
	}
	return nil
}

func configOf(h *pb.ControlTraceHeader) config {
	ms := func(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
	return config{
		heartbeat:      ms(h.GetPeers().GetHeartbeatIntervalMs()),
		suspectAfter:   ms(h.GetPeers().GetSuspectAfterMs()),
		deadAfter:      ms(h.GetPeers().GetDeadAfterMs()),
		clockGap:       ms(h.GetLimits().GetClockGapMs()),
		guard:          ms(h.GetLimits().GetGuardMs()),
		listInterval:   ms(h.GetPlatform().GetListIntervalMs()),
		watchWait:      min(ms(h.GetPlatform().GetWatchWaitMs()), confirmIntervalOf(h.GetPlatform())),
		watchers:       int(h.GetPlatform().GetWatchersPerFailureDomain()),
		seeds:          splitAddresses(h.GetPeers().GetSeeds()),
		monitored:      int(h.GetPeers().GetMonitoredVms()),
		platformWindow: ms(h.GetPlatform().GetCallTimeoutMs()),
	}
}

// confirmIntervalOf returns the longest wait of one watch; traces from before it
// was a setting have none.
func confirmIntervalOf(settings *pb.PlatformSettings) time.Duration {
	if settings.GetConfirmIntervalMs() == 0 {
		return confirmInterval
	}
	return time.Duration(settings.GetConfirmIntervalMs()) * time.Millisecond
}

// machine is the control state of one VM and the decisions on it. It is pure: an
// event and a time go in, decisions come out. It is not safe for concurrent use.
type machine struct {
	config config
	start  time.Time
	// vm and domain name this VM and its failure domain.
	vm     string
	domain string
	table  *membership.Table

	configuration *pb.Configuration
	confirmedAt   time.Time
	storeVersion  uint64
	// revisions holds the last known revision of other VMs.
	revisions map[string]uint64
	// domainHeard is when the last answered heartbeat was sent to each other
	// failure domain whose answer named no newer revision.
	domainHeard map[string]time.Time

	lastTick time.Time
	pause    pause
	exchange exchange
	stopping bool
	// denied is true while other VMs refuse this one's authentication and none
	// has answered since.
	denied   bool
	leaveAt  time.Time
	leftTold bool
	round    int

	// watcher tells whether this VM watches the store, for a version of the table.
	watcher        bool
	watcherKnownAt uint64

	watch    call
	list     call
	fetching string
	// fetchWhole is true after a fetched delta did not fit.
	fetchWhole bool
	// listNamesSelf is true when the newest list names this VM.
	listNamesSelf bool
	storeError    string

	published publication
	stats     machineStats
	decisions []*pb.ControlDecision
	now       time.Time
}

// call is the state of a repeated call to the platform.
type call struct {
	running bool
	sentAt  time.Time
	nextAt  time.Time
	// okAt is when the last successful call was sent.
	okAt time.Time
}

func newMachine(h *pb.ControlTraceHeader) *machine {
	start := time.UnixMicro(h.StartUnixUs)
	c := configOf(h)
	m := &machine{
		config:      c,
		start:       start,
		vm:          h.Self.GetVm(),
		domain:      h.Self.GetFailureDomain(),
		confirmedAt: start.Add(-neverConfirmed),
		revisions:   map[string]uint64{},
		domainHeard: map[string]time.Time{},
		lastTick:    start,
	}
	m.table = membership.New(membership.Settings{
		HeartbeatInterval: c.heartbeat,
		SuspectAfter:      c.suspectAfter,
		DeadAfter:         c.deadAfter,
		ForgetAfter:       forgetAfter,
		Monitored:         c.monitored,
		NewsPerMessage:    newsPerMessage,
	}, h.Self, h.Seed, start)
	m.pause = pause{active: true, since: start}
	m.exchange = exchange{wholeWanted: true, differsSince: map[string]time.Time{}}
	return m
}

// step takes one event and returns the decisions that follow from it.
func (m *machine) step(event *pb.ControlEvent) []*pb.ControlDecision {
	m.now = m.start.Add(time.Duration(event.OffsetUs) * time.Microsecond)
	m.decisions = nil
	m.checkClock()
	switch kind := event.Kind.(type) {
	case *pb.ControlEvent_Tick:
		m.tick()
	case *pb.ControlEvent_HeartbeatReceived:
		m.heartbeatReceived(kind.HeartbeatReceived)
	case *pb.ControlEvent_HeartbeatAnswered:
		m.heartbeatAnswered(kind.HeartbeatAnswered)
	case *pb.ControlEvent_HeartbeatFailed:
		m.denied = m.denied || kind.HeartbeatFailed.Denied
		m.table.Failed(kind.HeartbeatFailed.Vm, m.now)
	case *pb.ControlEvent_ListRead:
		m.listRead(kind.ListRead)
	case *pb.ControlEvent_StoreRead:
		m.storeRead(kind.StoreRead)
	case *pb.ControlEvent_DeltaReceived:
		m.deltaReceived(kind.DeltaReceived)
	case *pb.ControlEvent_FetchFailed:
		m.fetching = ""
	case *pb.ControlEvent_Accepted:
		m.adopt(kind.Accepted.Configuration, "", 0)
	case *pb.ControlEvent_Leave:
		m.leave()
	}
	m.publish()
	return m.decisions
}

func (m *machine) tick() {
	m.lastTick = m.now
	m.table.ProbeRemote(m.remoteProbes())
	m.sendHeartbeats(m.table.Tick(m.now))
	m.callPlatform()
	m.checkPause()
	m.checkLeave()
}

func (m *machine) decide(d *pb.ControlDecision) {
	m.decisions = append(m.decisions, d)
}

// at returns the time of an offset in an event.
func (m *machine) at(offsetUs int64) time.Time {
	return m.start.Add(time.Duration(offsetUs) * time.Microsecond)
}

func (m *machine) revision() uint64 { return m.configuration.GetRevision() }

// age returns the time since the configuration was confirmed.
func (m *machine) age() time.Duration { return max(m.now.Sub(m.confirmedAt), 0) }

// confirm notes that no newer revision had been accepted at that time.
func (m *machine) confirm(at time.Time) {
	if at.After(m.confirmedAt) && !at.After(m.now) {
		m.confirmedAt = at
	}
}

func (m *machine) leave() {
	if m.stopping {
		return
	}
	m.stopping = true
	m.leaveAt = m.now
	m.table.Leave(m.now)
	m.sendHeartbeats(m.table.Round(m.now))
	if anywhere, _ := m.table.HasLivePeer(); !anywhere {
		m.leftTold = true
	}
}
