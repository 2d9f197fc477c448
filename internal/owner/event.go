package owner

import "time"

// JobID identifies a job within the machine of one target. A job is a search subrequest or a change that was
// submitted to the machine.
type JobID uint64

// EventKind is the kind of an Event.
type EventKind int

const (
	// EventSubmit submits a job.
	EventSubmit EventKind = iota + 1
	// EventWithdraw reports that the caller cancelled a job. A queued job is dropped. A running job keeps its
	// slot until its EventFinish.
	EventWithdraw
	// EventFinish reports that a started job ended, and its result.
	EventFinish
	// EventIdleConnectionLost reports that the target closed an idle connection.
	EventIdleConnectionLost
	// EventConfigure sets new limits, including the configured serving state.
	EventConfigure
	// EventHandOver carries the state handed over by the previous owner.
	EventHandOver
	// EventHealth reports a response of the target's health endpoint.
	EventHealth
	// EventTick advances the time.
	EventTick
	// EventRelease ends the VM's ownership of the target.
	EventRelease
	// EventBreak reports that the connection of a started job broke. The job keeps its slot until its
	// EventFinish, because the target may still be running it.
	EventBreak
	// EventResume reports the end of a pause of this VM, during which another VM may have owned the target.
	EventResume
)

// Result is the result of a started job.
type Result int

const (
	// ResultOK means that the target ran the job and replied.
	ResultOK Result = iota + 1
	// ResultNotRun means that the target rejected the job without running it, for a reason unrelated to load.
	ResultNotRun
	// ResultShed means that the target shed the job because of load.
	ResultShed
	// ResultDraining means that the target refused the job because it is draining.
	ResultDraining
	// ResultInvalid means that a reply arrived but was invalid and discarded.
	ResultInvalid
	// ResultBroken means that the connection broke before a reply arrived. An EventBreak precedes it.
	ResultBroken
	// ResultConnectFailed means that no connection could be opened.
	ResultConnectFailed
	// ResultWithheld means that the owner sent nothing to the target.
	ResultWithheld
	// ResultTimeout means that the deadline passed without a reply.
	ResultTimeout
	// ResultCancelled means that the caller cancelled the job while it was running.
	ResultCancelled
)

// Event is an input of a Machine. Times are relative to the machine's creation.
type Event struct {
	Kind EventKind
	At   time.Duration
	Job  JobID
	// Deadline is the time by which a submitted job must finish.
	Deadline time.Duration
	// Exclusive requires the submitted job to run alone on the target.
	Exclusive bool
	// Result, Duration (of the call) and BootID describe a finished job. BootID is empty if no reply
	// arrived. EventHandOver and EventHealth also set BootID.
	Result   Result
	Duration time.Duration
	BootID   string
	// Limits is set for EventConfigure.
	Limits Limits
	// Limit and Running are set for EventHandOver: the previous owner's limit and number of running jobs.
	Limit   int
	Running int
	// Draining is set for EventHealth.
	Draining bool
	// Guard is the guard time, set for EventResume.
	Guard time.Duration
}

// Limits holds the configured limits and the serving state of a target.
type Limits struct {
	// Slots is the maximum number of concurrent jobs on a warm target.
	Slots int
	// ColdLimit is the maximum number of concurrent jobs during cold start.
	ColdLimit int
	// ColdDuration is the minimum duration of a cold start.
	ColdDuration time.Duration
	// QueueLength is the maximum number of queued jobs.
	QueueLength int
	// InService is true if the target is configured to be in service.
	InService bool
}

// DecisionKind is the kind of a Decision.
type DecisionKind int

const (
	// DecideStart sends the job to the target now.
	DecideStart DecisionKind = iota + 1
	// DecideRefuse refuses the job, which has not run and will not run.
	DecideRefuse
	// DecidePhase reports a change of the phase or the limit.
	DecidePhase
)

// Reason is the reason why a job is refused.
type Reason int

const (
	// ReasonQueueFull means that the queue is full.
	ReasonQueueFull Reason = iota + 1
	// ReasonTooLate means that the job is not expected to finish before its deadline.
	ReasonTooLate
	// ReasonExpired means that the deadline passed before the job started.
	ReasonExpired
	// ReasonGuard means that the guard time after gaining the target or after a pause has not passed.
	ReasonGuard
	// ReasonDown means that the target is down.
	ReasonDown
	// ReasonLeaving means that the target is draining or was taken out of service.
	ReasonLeaving
	// ReasonReleased means that the VM no longer owns the target.
	ReasonReleased
)

// String returns the name of the reason in replies, logs and metrics.
func (r Reason) String() string {
	switch r {
	case ReasonQueueFull:
		return "queue_full"
	case ReasonTooLate:
		return "too_late"
	case ReasonExpired:
		return "expired"
	case ReasonGuard:
		return "guard"
	case ReasonDown:
		return "down"
	case ReasonLeaving:
		return "leaving"
	case ReasonReleased:
		return "released"
	default:
		return "none"
	}
}

// Decision is an output of a Machine.
type Decision struct {
	Kind   DecisionKind
	Job    JobID
	Reason Reason
	// Phase and Limit are set for DecidePhase.
	Phase Phase
	Limit int
}

// Phase is the serving phase of a target, as its owner assesses it.
type Phase int

const (
	// PhaseGuard sends no jobs until the work of the previous owner has ended.
	PhaseGuard Phase = iota + 1
	// PhaseCold limits concurrent jobs to the cold limit.
	PhaseCold
	// PhaseRamp raises the limit after each round of successes.
	PhaseRamp
	// PhaseWarm allows as many concurrent jobs as the target has slots.
	PhaseWarm
	// PhaseLeaving sends no jobs: the target is draining or was taken out of service.
	PhaseLeaving
	// PhaseDown sends single jobs as probes, with exponential backoff.
	PhaseDown
)

// String returns the name of the phase in logs and metrics.
func (p Phase) String() string {
	switch p {
	case PhaseGuard:
		return "guard"
	case PhaseCold:
		return "cold"
	case PhaseRamp:
		return "ramp"
	case PhaseWarm:
		return "warm"
	case PhaseLeaving:
		return "leaving"
	case PhaseDown:
		return "down"
	default:
		return "none"
	}
}
