package search

import (
	"slices"
	"time"

	"github.com/carawayreel/carawayreel/internal/coordinator/plan"
	"github.com/carawayreel/carawayreel/internal/coordinator/replica"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

const (
	// maxInFlightPerLeg is the maximum number of concurrent attempts of one leg:
	// the first, its hedges and a probe.
	maxInFlightPerLeg = 2 + maxHedgesPerLeg
	// inlineTried is the number of tried targets that a leg stores without an
	// allocation.
	inlineTried = 3
)

// leg is the branch of a search's fan-out that goes to one service.
type leg struct {
	index   int
	service *plan.Service
	group   *replica.Group
	// uncovered lists the partitions that no accepted reply covers yet. While
	// aliased is set, the plan or a request refers to the same memory, which must
	// then be copied before a change.
	uncovered []string
	aliased   bool

	tried       []string
	triedBuffer [inlineTried]string
	// inFlightIDs holds the identifiers of the in-flight attempts in its first
	// inFlight elements.
	inFlightIDs [maxInFlightPerLeg]uint64
	inFlight    int
	// failures counts the targets that failed while they executed the content.
	failures int
	// reason is why the last attempt that ended left partitions uncovered;
	// lastDomain is the failure domain that it was sent to.
	reason     pb.MissingReason
	lastDomain string
	// unreached is set while the last attempt that ended is known to have reached
	// no target, so that another attempt is no extra load.
	unreached bool

	// slowCheckAt is when the in-flight attempts are next checked for slowness. An open
	// leg may then be hedged; in a closed leg only probes are still in flight.
	slowCheckAt time.Time
	// retryAt is when the leg next asks for a retry token that the budget denied;
	// giveUpAt is when it stops asking.
	retryAt  time.Time
	giveUpAt time.Time
	// held is set while the leg waits for the outcome of the content's trial.
	held bool
	// interrupted is set when attempts were in flight at the end of the search.
	interrupted bool
	closed      bool
}

func (l *leg) init(m *Machine, index int, service *plan.Service) {
	l.index = index
	l.service = service
	l.group = m.shared.Replicas.Group(replica.ServiceKey{Front: m.front.Name, Service: service.Name})
	l.uncovered = service.Partitions
	l.aliased = true
	l.tried = l.triedBuffer[:0]
}

// attemptStarted adds an attempt to those in flight.
func (l *leg) attemptStarted(id uint64) {
	l.inFlightIDs[l.inFlight] = id
	l.inFlight++
}

// attemptEnded removes an attempt from those in flight.
func (l *leg) attemptEnded(id uint64) {
	for i, inFlightID := range l.inFlightIDs[:l.inFlight] {
		if inFlightID == id {
			l.inFlight--
			l.inFlightIDs[i] = l.inFlightIDs[l.inFlight]
			return
		}
	}
}

// nextDue returns when the leg next has to act, or the zero time.
func (l *leg) nextDue() time.Time {
	if l.closed && l.inFlight == 0 {
		return time.Time{}
	}
	if l.closed || l.retryAt.IsZero() || !l.slowCheckAt.IsZero() && l.slowCheckAt.Before(l.retryAt) {
		return l.slowCheckAt
	}
	return l.retryAt
}

// cover marks a partition as covered. It returns false when the partition was covered
// before.
func (l *leg) cover(partition string) bool {
	at := slices.Index(l.uncovered, partition)
	if at < 0 {
		return false
	}
	if l.aliased {
		l.uncovered = slices.Clone(l.uncovered)
		l.aliased = false
	}
	l.uncovered = slices.Delete(l.uncovered, at, at+1)
	return true
}

// attempt is one subrequest.
type attempt struct {
	id         uint64
	leg        int
	kind       SendKind
	target     string
	owner      string
	domain     string
	partitions []string
	sentAt     time.Time
	// verdict is the effective verdict on the content at the send.
	verdict Verdict
	// overloaded is set when the target was loaded beyond its slots at the send.
	overloaded bool
	slow       bool
	closed     bool
}

// attemptByID returns the attempt with the identifier, or nil.
func (m *Machine) attemptByID(id uint64) *attempt {
	if id == 0 || id > uint64(len(m.attempts)) {
		return nil
	}
	return &m.attempts[id-1]
}
