package owner

import "time"

// JobID identifies one piece of work at one target's machine.
type JobID uint64

// EventKind names an input of a Machine.
type EventKind int

const (
	// EventSubmit asks to run a job.
	EventSubmit EventKind = iota + 1
	// EventWithdraw tells that the caller gave a job up. A queued job is
	// dropped; a running one keeps its slot until its EventFinish.
	EventWithdraw
	// EventFinish tells that a started job ended, and how.
	EventFinish
	// EventLost tells that the target closed an unused connection.
	EventLost
	// EventConfigure gives new limits and the configuration's serving state.
	EventConfigure
	// EventHandOver gives the knowledge of the previous owner.
	EventHandOver
	// EventHealth gives an answer of the target's health endpoint.
	EventHealth
	// EventTick lets time pass.
	EventTick
	// EventRelease ends the machine's ownership of the target.
	EventRelease
	// EventBreak tells that the connection of a started job broke. The job keeps
	// its slot until its EventFinish, because the target may still run it.
	EventBreak
	// EventResume tells that the VM may own the target again after a pause in
	// which another VM may have owned it.
	EventResume
)

// Result tells how a started job ended.
type Result int

const (
	// ResultOK means that the target ran the job and answered.
	ResultOK Result = iota + 1
	// ResultNotRun means that the target answered without running the job, for
	// a reason that says nothing of its load.
	ResultNotRun
	// ResultShed means that the target refused the job for load.
	ResultShed
	// ResultDraining means that the target refused the job because it leaves.
	ResultDraining
	// ResultInvalid means that an answer arrived but was discarded.
	ResultInvalid
	// ResultBroken means that the connection broke without an answer. Its
	// EventBreak came before.
	ResultBroken
	// ResultRefused means that no connection could be opened.
	ResultRefused
	// ResultWithheld means that nothing was sent, for a reason of the owner.
	ResultWithheld
	// ResultTimeout means that the deadline passed without an answer.
	ResultTimeout
	// ResultCancelled means that the caller gave the job up while it ran.
	ResultCancelled
)

// Event is an input of a Machine. Times count from the machine's start.
type Event struct {
	Kind EventKind
	At   time.Duration
	Job  JobID
	// Deadline is when a submitted job is of no use any more.
	Deadline time.Duration
	// Exclusive asks that the submitted job runs alone on the target.
	Exclusive bool
	// Result, Took and BootID describe a finished job; BootID is empty when no
	// answer arrived. BootID also belongs to hand-overs and health answers.
	Result Result
	Took   time.Duration
	BootID string
	// Limits belongs to EventConfigure.
	Limits Limits
	// Limit and Running belong to EventHandOver.
	Limit   int
	Running int
	// Draining belongs to EventHealth.
	Draining bool
	// Guard belongs to EventResume.
	Guard time.Duration
}

// Limits is what configuration and settings say of a target.
type Limits struct {
	// Slots is the number of jobs at once when warm.
	Slots int
	// Cold is the number of jobs at once in cold start.
	Cold int
	// ColdDuration is the least time that a cold start lasts.
	ColdDuration time.Duration
	// Queue is the number of jobs that may wait.
	Queue int
	// InService is the configuration's serving state.
	InService bool
}

// DecisionKind names an output of a Machine.
type DecisionKind int

const (
	// DecideStart sends the job to the target now.
	DecideStart DecisionKind = iota + 1
	// DecideRefuse refuses the job, which has not run and will not.
	DecideRefuse
	// DecidePhase tells that the phase or the limit changed.
	DecidePhase
)

// Reason tells why a job is refused.
type Reason int

const (
	// ReasonQueueFull means that too many jobs wait already.
	ReasonQueueFull Reason = iota + 1
	// ReasonTooLate means that the job would not finish before its deadline.
	ReasonTooLate
	// ReasonExpired means that the deadline passed while the job waited.
	ReasonExpired
	// ReasonGuard means that the target was taken over a moment ago.
	ReasonGuard
	// ReasonDown means that the target cannot be reached.
	ReasonDown
	// ReasonLeaving means that the target leaves or was taken out.
	ReasonLeaving
	// ReasonReleased means that the VM no longer owns the target.
	ReasonReleased
)

// String returns the reason's name for replies, logs and metrics.
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
	// Phase and Limit belong to DecidePhase.
	Phase Phase
	Limit int
}

// Phase is the belief about a target.
type Phase int

const (
	// PhaseGuard waits for the work of the previous owner to end.
	PhaseGuard Phase = iota + 1
	// PhaseCold sends no more than the cold limit.
	PhaseCold
	// PhaseRamp raises the limit with each round of successes.
	PhaseRamp
	// PhaseWarm sends up to the target's slots.
	PhaseWarm
	// PhaseLeaving sends nothing: taken out or draining.
	PhaseLeaving
	// PhaseDown sends single probes with back-off.
	PhaseDown
)

// String returns the phase's name for logs and metrics.
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
