package rollout

import (
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

const (
	// raiseWithin is the greatest age of the confirmation of a configuration that raises a
	// share at a VM, and sendWithin that of one by which the VM sends to an ordered version
	// that is not completed. The users' platform allows 5 s until a roll-back must be in
	// force.
	raiseWithin = 3 * time.Second
	sendWithin  = 5 * time.Second
	// localStopAfter is the number of bad replies after which a VM stops sending to the
	// ordered version until the decider has answered.
	localStopAfter = 5
	// localStopFactor is how many times the bad replies that the other versions lead to
	// expect must be exceeded for that.
	localStopFactor = 2
	// maxCredit bounds the requests to the ordered version that a VM saves up.
	maxCredit = 1e6
)

// Use is which versions a request of a service may use.
type Use int

const (
	// UseAll means that there is no running order: the table holds the allowed targets only.
	UseAll Use = iota
	// UseOthers means the versions other than the ordered one.
	UseOthers
	// UseOrdered means the ordered version.
	UseOrdered
	// UseOrderedFreely means the ordered version, whose share is not bounded any more. The
	// other versions serve requests that it cannot.
	UseOrderedFreely
)

// Gate applies the share of one order at one VM. It is not safe for concurrent use.
type Gate struct {
	rollout *pb.Rollout
	// share is the share in force at this VM.
	share float64
	// credit is the number of requests that the VM may send to the ordered version before the
	// requests are moved: the guard share of the service's requests since the order, less
	// those sent.
	credit float64
	// slack is the credit that an order begins with.
	slack float64
	// bad and expected count the ordered version's replies since the last answer:
	// expected is the number of bad ones that the other versions lead to expect.
	bad      int
	expected float64
	stopped  bool
}

// NewGate returns the gate of an order that sends nothing to the ordered version yet.
// The given number of VMs serve requests.
func NewGate(rollout *pb.Rollout, vms int) *Gate {
	slack := guardSlack / float64(max(vms, 1))
	return &Gate{rollout: rollout, slack: slack, credit: slack}
}

// Update takes the newest state of the order, or a newer order, and the age of the
// configuration that holds it.
func (g *Gate) Update(next *pb.Rollout, age time.Duration) {
	before := g.rollout
	g.rollout = next
	if next.OrderRevision != before.OrderRevision {
		// What an earlier order left over must not be spent under this one.
		g.credit, g.share = min(g.credit, g.slack), 0
	}
	if next.OrderRevision != before.OrderRevision || next.Answer != before.Answer {
		g.bad, g.expected, g.stopped = 0, 0, false
	}
	g.confirm(age)
}

// confirm brings the share into force that the configuration states, as far as its age
// allows.
func (g *Gate) confirm(age time.Duration) {
	if age <= raiseWithin || g.rollout.Share < g.share {
		g.share = g.rollout.Share
	}
}

// Draw counts a request and returns which versions it may use. The configuration was
// confirmed as long ago as age states; drawn is a random number from 0 to 1.
func (g *Gate) Draw(age time.Duration, drawn float64) Use {
	if g.rollout.State != pb.RolloutState_ROLLOUT_STATE_RUNNING {
		return UseAll
	}
	g.credit = min(g.credit+guardShare, maxCredit)
	g.confirm(age)
	switch {
	case !g.open(age):
		return UseOthers
	case g.share >= 1:
		return UseOrderedFreely
	case drawn < g.share && g.credit >= 1:
		g.credit--
		return UseOrdered
	default:
		return UseOthers
	}
}

// Repeat returns which versions a retry or hedge may use: after the ordered version, the
// others are tried.
func (g *Gate) Repeat(age time.Duration) Use {
	switch {
	case g.rollout.State != pb.RolloutState_ROLLOUT_STATE_RUNNING:
		return UseAll
	case g.open(age) && g.share >= 1:
		return UseOrderedFreely
	default:
		return UseOthers
	}
}

// Substitute reports whether the ordered version may serve a request that no other version
// can serve, and counts it if so.
func (g *Gate) Substitute(age time.Duration) bool {
	if !g.open(age) || g.share == 0 || g.share < 1 && g.credit < 1 {
		return false
	}
	if g.share < 1 {
		g.credit--
	}
	return true
}

// Refund takes back a request that was drawn for the ordered version and went to another.
func (g *Gate) Refund() { g.credit++ }

// open reports whether this VM may send to the ordered version at all.
func (g *Gate) open(age time.Duration) bool { return !g.stopped && age <= sendWithin }

// Reply counts a reply of the ordered version. usual is the part of bad replies of the other
// versions on the same route. It returns true if this VM stops sending to the version.
func (g *Gate) Reply(bad bool, usual float64) bool {
	g.expected += usual
	if bad {
		g.bad++
	}
	stop := g.bad >= localStopAfter && float64(g.bad) > localStopFactor*g.expected
	stops := stop && !g.stopped
	g.stopped = g.stopped || stop
	return stops
}

// Share returns the share in force at this VM.
func (g *Gate) Share() float64 { return g.share }

// Stopped reports whether this VM has stopped sending to the ordered version by itself.
func (g *Gate) Stopped() bool { return g.stopped }
