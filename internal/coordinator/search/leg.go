package search

import (
	"slices"
	"time"

	"github.com/carawayreel/carawayreel/internal/coordinator/plan"
	"github.com/carawayreel/carawayreel/internal/coordinator/replica"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

const (
	// runningPerLeg bounds the attempts of one leg that run at once: the first,
	// its hedges and a probe.
	runningPerLeg = 2 + hedgesPerLeg
	// triedInline is the number of targets that a leg notes without allocating.
	triedInline = 3
)

// leg is the part of a search that one service answers.
type leg struct {
	index   int
	service *plan.Service
	group   *replica.Group
	// uncovered lists the partitions that no accepted reply covers yet. While
	// shared is set its memory also belongs to the plan or to a request.
	uncovered []string
	shared    bool

	tried       []string
	triedBuffer [triedInline]string
	// runningIDs holds the attempts that run, the first running of them.
	runningIDs [runningPerLeg]uint64
	running    int
	// failures counts targets that failed while they ran the content.
	failures int
	// reason is why the last attempt that ended brought nothing; lastDomain is
	// the failure domain it was sent to.
	reason     pb.MissingReason
	lastDomain string
	// unreached is set while the last attempt that ended certainly reached no
	// target, so that another replica may be asked without extra load.
	unreached bool

	hedgeAt time.Time
	// retryAt is when a retry that the budget did not allow is tried again;
	// giveUpAt is when it no longer is.
	retryAt  time.Time
	giveUpAt time.Time
	// held is set while the leg waits for the trial of the content.
	held bool
	// cut is set when attempts were running at the end of the search.
	cut    bool
	closed bool
}

func (l *leg) init(m *Machine, index int, service *plan.Service) {
	l.index = index
	l.service = service
	l.group = m.knowledge.Replicas.Group(replica.ServiceKey{Front: m.front.Name, Service: service.Name})
	l.uncovered = service.Partitions
	l.shared = true
	l.tried = l.triedBuffer[:0]
}

// started notes an attempt as running.
func (l *leg) started(id uint64) {
	l.runningIDs[l.running] = id
	l.running++
}

// ended notes that an attempt no longer runs.
func (l *leg) ended(id uint64) {
	for i, running := range l.runningIDs[:l.running] {
		if running == id {
			l.running--
			l.runningIDs[i] = l.runningIDs[l.running]
			return
		}
	}
}

// due returns the next time that the leg has something to do, or zero.
func (l *leg) due() time.Time {
	if l.closed && l.running == 0 {
		return time.Time{}
	}
	if l.closed || l.retryAt.IsZero() || !l.hedgeAt.IsZero() && l.hedgeAt.Before(l.retryAt) {
		return l.hedgeAt
	}
	return l.retryAt
}

// cover removes a partition from those that are not covered; it reports false
// when it was covered before.
func (l *leg) cover(partition string) bool {
	at := slices.Index(l.uncovered, partition)
	if at < 0 {
		return false
	}
	if l.shared {
		l.uncovered = slices.Clone(l.uncovered)
		l.shared = false
	}
	l.uncovered = slices.Delete(l.uncovered, at, at+1)
	return true
}

// attempt is one subrequest.
type attempt struct {
	id     uint64
	leg    int
	kind   Kind
	target string
	owner  string
	domain string
	asked  []string
	sentAt time.Time
	// caution is how carefully the content was treated at the send.
	caution Verdict
	// loaded is set when the target was loaded beyond its slots at the send.
	overloaded bool
	slow       bool
	closed     bool
}

// attemptOf returns an attempt by its identifier, or nil.
func (m *Machine) attemptOf(id uint64) *attempt {
	if id == 0 || id > uint64(len(m.attempts)) {
		return nil
	}
	return &m.attempts[id-1]
}
