package control

import (
	"cmp"
	"time"

	"github.com/pkg/errors"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/membership"
	"github.com/carawayreel/carawayreel/internal/settings"
	"github.com/carawayreel/carawayreel/internal/view"
)

const (
	// updatesPerMessage limits the number of member updates piggybacked on one heartbeat.
	updatesPerMessage = 8
	// chunkMembers limits the number of members in a chunk of the table, sent when digests differ.
	chunkMembers = 64
	// reapAfter is how long a dead VM is kept before it is removed from the table.
	reapAfter = 5 * time.Minute
	// neverConfirmed is the age of a configuration that was never confirmed.
	neverConfirmed = 24 * time.Hour
)

// ErrSettings is returned for settings that contradict one another.
var ErrSettings = errors.New("settings contradict one another")

// config holds the settings that the machine uses.
type config struct {
	heartbeatInterval time.Duration
	suspectAfter      time.Duration
	deadAfter         time.Duration
	// clockGap is the time between two ticks above which the process counts as having been frozen.
	clockGap time.Duration
	// guard is how long a VM waits before it sends work to a target that it took over, so that the work of
	// the previous owner has ended.
	guard        time.Duration
	listInterval time.Duration
	watchWait    time.Duration
	watchers     int
	// standbys is the number of VMs after the watchers that watch the store while no VM before them does.
	standbys int
	// operatorsWrite is true if operators write configurations to the platform themselves. VMs then don't
	// accept any, so that what other VMs know does not show that there is nothing newer.
	operatorsWrite bool
	seeds          []string
	monitored      int
	callTimeout    time.Duration
}

// checkSettings returns ErrSettings if one of two requirements is not met. A VM must detect the clock gap of
// every freeze that is long enough for other VMs to use its targets. A VM must not be suspected before it has
// been silent for two heartbeat intervals.
func checkSettings(c config) error {
	takeoverDelay := c.suspectAfter + c.deadAfter + c.guard
	if takeoverDelay <= c.clockGap {
		return errors.Wrapf(ErrSettings, "peers.suspect_after_ms + peers.dead_after_ms + limits.guard_ms is %v and must exceed limits.clock_gap_ms, %v", takeoverDelay, c.clockGap)
	}
	if c.suspectAfter < 2*c.heartbeatInterval {
		return errors.Wrapf(ErrSettings, "peers.suspect_after_ms, %v, must be at least twice peers.heartbeat_interval_ms, %v", c.suspectAfter, c.heartbeatInterval)
	}
	return nil
}

func configOf(h *pb.ControlTraceHeader) config {
	ms := func(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
	return config{
		heartbeatInterval: ms(h.GetPeers().GetHeartbeatIntervalMs()),
		suspectAfter:      ms(h.GetPeers().GetSuspectAfterMs()),
		deadAfter:         ms(h.GetPeers().GetDeadAfterMs()),
		clockGap:          ms(h.GetLimits().GetClockGapMs()),
		guard:             ms(h.GetLimits().GetGuardMs()),
		listInterval:      ms(h.GetPlatform().GetListIntervalMs()),
		watchWait:         watchWaitOf(h),
		watchers:          int(h.GetPlatform().GetWatchersPerFailureDomain()),
		standbys:          int(h.GetPlatform().GetStandbysPerFailureDomain()),
		operatorsWrite:    h.GetPlatform().GetProtocol() == settings.ProtocolUsers,
		seeds:             splitAddresses(h.GetPeers().GetSeeds()),
		monitored:         int(h.GetPeers().GetMonitoredVms()),
		callTimeout:       ms(h.GetPlatform().GetCallTimeoutMs()),
	}
}

// watchShare is the share of the time to stop using a target that leaves which one watch may take. The rest is
// left for noticing that the watch gets no answer, for another VM to read the store, and for the way to all VMs.
const watchShare = 2.0 / 3

// watchWaitOf returns the longest wait of one watch. Traces recorded before a setting existed do not contain it.
func watchWaitOf(h *pb.ControlTraceHeader) time.Duration {
	ms := func(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
	wait := min(ms(h.GetPlatform().GetWatchWaitMs()), cmp.Or(ms(h.GetPlatform().GetConfirmIntervalMs()), confirmInterval))
	if drain := ms(h.GetRoutes().GetDrainMs()); drain > 0 {
		wait = min(wait, time.Duration(watchShare*float64(drain)))
	}
	return wait
}

// machine is the control state of one VM. It is a pure state machine: it takes timestamped events and
// returns decisions. It is not safe for concurrent use.
type machine struct {
	config config
	start  time.Time
	// vm and domain are the names of this VM and its failure domain.
	vm     string
	domain string
	table  *membership.Table

	configuration *pb.Configuration
	confirmedAt   time.Time
	// replaced holds the last revisions before the one in force.
	replaced     []view.Replaced
	storeVersion uint64
	// revisions is the last known revision of each other VM.
	revisions map[string]uint64
	// domainConfirmedAt is, by other failure domain, the send time of the last heartbeat whose response
	// named no newer revision.
	domainConfirmedAt map[string]time.Time

	lastTick  time.Time
	pause     pause
	tableSync tableSync
	stopping  bool
	// authDenied is true if another VM rejected this VM's authentication and none has responded since.
	authDenied        bool
	leaveAt           time.Time
	leaveAcknowledged bool
	round             int

	// order caches this VM's place among the VMs that watch the store.
	order   watchOrder
	standby standby

	watch platformCall
	list  platformCall
	// fetchingFrom is the VM from which a configuration is being fetched since fetchingSince, or empty.
	fetchingFrom  string
	fetchingSince time.Time
	// fetchFull is true after a fetched delta could not be applied: the next fetch requests the full
	// configuration.
	fetchFull bool
	// behindSince is when this VM first heard of a revision that is newer than the one in force; zero
	// if it knows of none.
	behindSince time.Time
	// listedSelf is true if the last VM list contains this VM.
	listedSelf bool
	storeError string

	published viewState
	stats     machineStats
	decisions []*pb.ControlDecision
	now       time.Time
}

// platformCall is the state of a periodic call to the platform.
type platformCall struct {
	running bool
	sentAt  time.Time
	nextAt  time.Time
	// succeededAt is the send time of the last successful call, and answeredAt the time of its answer.
	succeededAt time.Time
	answeredAt  time.Time
	// failedAt is when the last call failed.
	failedAt time.Time
}

func newMachine(h *pb.ControlTraceHeader) *machine {
	start := time.UnixMicro(h.StartUnixUs)
	c := configOf(h)
	m := &machine{
		config:            c,
		start:             start,
		vm:                h.Self.GetVm(),
		domain:            h.Self.GetFailureDomain(),
		confirmedAt:       start.Add(-neverConfirmed),
		revisions:         map[string]uint64{},
		domainConfirmedAt: map[string]time.Time{},
		lastTick:          start,
	}
	m.table = membership.New(membership.Settings{
		HeartbeatInterval: c.heartbeatInterval,
		SuspectAfter:      c.suspectAfter,
		DeadAfter:         c.deadAfter,
		ReapAfter:         reapAfter,
		Monitored:         c.monitored,
		UpdatesPerMessage: updatesPerMessage,
	}, h.Self, h.Seed, start)
	m.pause = pause{active: true, since: start}
	m.standby.since = start
	m.tableSync = tableSync{needsFullTable: true, differsSince: map[string]time.Time{}}
	return m
}

// step processes one event and returns the resulting decisions.
func (m *machine) step(event *pb.ControlEvent) []*pb.ControlDecision {
	m.now = m.start.Add(time.Duration(event.OffsetUs) * time.Microsecond)
	m.decisions = nil
	m.checkClock()
	switch kind := event.Kind.(type) {
	case *pb.ControlEvent_Tick:
		m.tick()
	case *pb.ControlEvent_HeartbeatReceived:
		m.handleHeartbeatReceived(kind.HeartbeatReceived)
	case *pb.ControlEvent_HeartbeatAnswered:
		m.handleHeartbeatAnswered(kind.HeartbeatAnswered)
	case *pb.ControlEvent_HeartbeatFailed:
		m.authDenied = m.authDenied || kind.HeartbeatFailed.Denied
		m.table.HeartbeatFailed(kind.HeartbeatFailed.Vm, m.now)
	case *pb.ControlEvent_ListRead:
		m.handleListRead(kind.ListRead)
	case *pb.ControlEvent_StoreRead:
		m.handleStoreRead(kind.StoreRead)
	case *pb.ControlEvent_DeltaReceived:
		m.handleDeltaReceived(kind.DeltaReceived)
	case *pb.ControlEvent_FetchFailed:
		m.handleFetchFailed(kind.FetchFailed)
	case *pb.ControlEvent_Accepted:
		m.adopt(kind.Accepted.Configuration, "", 0, time.Time{})
	case *pb.ControlEvent_Leave:
		m.leave()
	}
	m.publish()
	return m.decisions
}

func (m *machine) tick() {
	m.lastTick = m.now
	m.table.SetRemoteProbes(m.remoteProbes())
	m.sendHeartbeats(m.table.Tick(m.now))
	m.callPlatform()
	m.checkPause()
	m.checkLeave()
}

func (m *machine) decide(d *pb.ControlDecision) {
	m.decisions = append(m.decisions, d)
}

// timeAt converts the offset of an event to a time.
func (m *machine) timeAt(offsetUs int64) time.Time {
	return m.start.Add(time.Duration(offsetUs) * time.Microsecond)
}

func (m *machine) revision() uint64 { return m.configuration.GetRevision() }

// configurationAge returns the time since the configuration was last confirmed.
func (m *machine) configurationAge() time.Duration { return max(m.now.Sub(m.confirmedAt), 0) }

// confirm records that no newer revision had been accepted at that time.
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
	m.sendHeartbeats(m.table.StartRound(m.now))
	if hasPeer, _ := m.table.HasLivePeer(); !hasPeer {
		m.leaveAcknowledged = true
	}
}
