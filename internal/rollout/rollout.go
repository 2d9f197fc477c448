// Package rollout moves the requests of a service to targets of another software version
// step by step, and back if that version is worse than the present one.
//
// A Decider is the state machine that decides on one order: it takes the order, the stored
// status, the numbers of targets and the evidence of all VMs, and returns the status to
// write. A Gate is the state machine that applies the share at one VM. Neither does any I/O
// or reads a clock. Board holds the gates and the evidence of one VM for its requests.
package rollout

import (
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Order is an operator's order to move a service to a version.
type Order struct {
	Service string
	Version string
	// Ramp is the time in which the requests are to be moved.
	Ramp time.Duration
	// Revision is the store revision of the order, which identifies it.
	Revision uint64
}

// Status is the state of an order as it is stored.
type Status struct {
	OrderRevision uint64
	Version       string
	State         pb.RolloutState
	// Share is the share of the requests that the ordered version gets, 0 to 1.
	Share float64
	// Elapsed is the time from the order to the write of the status. VMs' clocks may differ,
	// so that no time of day is stored.
	Elapsed time.Duration
	// Answer increases when the decider has taken bad replies into account and goes on, so
	// that VMs that stopped sending resume.
	Answer uint64
	// Refused are the versions of earlier orders that were rolled back.
	Refused []string
	// Base are the other versions that had targets while the order ran.
	Base []string
	// Evidence is what the decider knew at the write.
	Evidence []Finding
	// Reason says why the status was written.
	Reason string
	// Revision is the store revision of the status; zero if it is not stored.
	Revision uint64
}

// final reports whether the state is the last one of its order.
func final(state pb.RolloutState) bool {
	return state == pb.RolloutState_ROLLOUT_STATE_COMPLETED || state == pb.RolloutState_ROLLOUT_STATE_ROLLED_BACK
}

// equal reports whether two statuses ask the same of all VMs.
func (s Status) equal(other Status) bool {
	return s.OrderRevision == other.OrderRevision && s.State == other.State && s.Share == other.Share && s.Answer == other.Answer
}

const (
	// exposureShare is the part of a service's requests that a version that turns out bad may
	// get between the order and the end of its ramp. The users' platform sets it.
	exposureShare = 0.1
	// guardShare is the part that a VM sends to the version at most before the requests are
	// moved. The difference to exposureShare is for requests that VMs and targets count
	// differently, as retries and those that are under way.
	guardShare = 0.09
	// exposureSlack is the number of requests that a version that turns out bad may get in
	// addition, and guardSlack the number that all VMs together send at most.
	exposureSlack = 50
	guardSlack    = 25
	// firstShare and secondShare are the shares of the first two steps.
	firstShare  = 0.03
	secondShare = 0.06
	// maxLoadShare bounds the share of the third step, in which the targets in use get the
	// load that they will have. The guard share at each VM bounds the sum.
	maxLoadShare = 0.3
	// secondStepAt and loadStepAt are when the second and third step begin, as parts of the
	// time until the requests are moved.
	secondStepAt = 0.2
	loadStepAt   = 0.55
	// moveReserve and completeReserve are how long before the end of the ramp all requests
	// are moved, and the completion is written. The old targets stop when it is written, so
	// that all VMs must have moved by then: a change reaches all VMs in about a second. The
	// rest is for a store that answers late.
	moveReserve     = 3200 * time.Millisecond
	completeReserve = 2300 * time.Millisecond
	// minRampShare bounds the reserves of short ramps: the decision is not taken before this
	// part of the ramp, and the move takes half of the rest.
	minRampShare = 0.5
	// minWriteInterval is the minimum time between two writes of a running order.
	minWriteInterval = 500 * time.Millisecond
	// refreshInterval is the time after which the status of a running order is written again,
	// so that a VM that has just started and becomes the decider knows the time since the
	// order. It is below completeReserve.
	refreshInterval = 2 * time.Second
	// takeoverDelay is how long each further candidate waits until it writes what those
	// before it should have written: a write and its distribution take less.
	takeoverDelay = 500 * time.Millisecond
	// maxCandidates bounds the VMs that write the status of an order.
	maxCandidates = 8
	// handicapRanks is by how many places a candidate that started after the order stands
	// back for handicapTime, in which it gathers evidence.
	handicapRanks = 1
	handicapTime  = 3 * time.Second
	// maxVersions bounds the versions that a status names as refused, or as in use.
	maxVersions = 8
	// goneAfter is how long the ordered version must have had no target before the order is
	// rolled back: a target that is replaced is missing for a moment.
	goneAfter = 1500 * time.Millisecond
)

// moveAt and completeAt return when all requests are moved and the completion is written,
// from the time of the order.
func (o Order) moveAt() time.Duration {
	return max(o.Ramp-moveReserve, time.Duration(minRampShare*float64(o.Ramp)))
}

func (o Order) completeAt() time.Duration {
	move := o.moveAt()
	return max(o.Ramp-completeReserve, move+(o.Ramp-move)/2)
}
