package allowance

import (
	"math"
	"time"

	"github.com/carawayreel/carawayreel/internal/organisation"
)

// Basis is what a decision on a request is based on.
type Basis int

const (
	// Unlimited means that the organisation has no allowance.
	Unlimited Basis = iota
	// Free means that the accountant does not limit the organisation.
	Free
	// Granted means a rate that the accountant granted.
	Granted
	// Held means the last rate of this VM, while no answer of an accountant is valid.
	Held
	// EqualShare means an equal share of the rate among the known VMs, once no answer was valid
	// for a while.
	EqualShare
)

// String returns the name used in logs.
func (b Basis) String() string {
	return [...]string{"unlimited", "free", "granted", "held", "equal_share"}[b]
}

const (
	// freeTime is the time whose requests at the full rate a VM may admit between two answers
	// while the organisation is not limited: half a report interval.
	freeTime = reportInterval / 2
	// minFree is the minimum number of requests that a VM may admit between two answers.
	minFree = 2
	// heldHeadroom is the ratio of a held rate to the rate at which a VM admitted requests
	// while the organisation was not limited, so that usual variation fits in.
	heldHeadroom = 1.25
	// bucketTime is the time whose requests a VM's own bucket holds: two report intervals.
	bucketTime = 2 * reportInterval
	// heldBucketTime is the same for held rates, which no accountant adjusts.
	heldBucketTime = time.Second
	// minRetryAfter and maxRetryAfter bound what refused callers are told. An answer of the
	// accountant comes within the first, and after the second every window has passed.
	minRetryAfter = reportInterval / 2
	maxRetryAfter = window
	// retryJitter is the part by which the told time varies, so that callers that were refused
	// together do not return together.
	retryJitter = 0.25
	// rampTime is the time in which the share of a VM that has just started rises to the whole
	// one. Members are known after two seconds.
	rampTime = 3 * time.Second
	// usageRetention is how long the state of an organisation without requests is kept.
	usageRetention = time.Minute
)

// Decision is the decision on one request.
type Decision struct {
	Admitted bool
	// RetryAfter is, for a refused request, the time after which this VM expects to admit it.
	RetryAfter time.Duration
	Basis      Basis
	// Age is the time since the last valid answer for the organisation; zero if there was none.
	Age time.Duration
}

// Limiter admits and refuses the requests that reach one VM. It is not safe for concurrent use.
type Limiter struct {
	self        string
	incarnation uint64
	// random returns a number in [0, 1).
	random  func() float64
	tenures tenures
	known   int
	// startedAt is when this VM first saw the members, and answered whether an accountant has
	// granted anything since.
	startedAt time.Time
	answered  bool
	usages    map[string]*usage
	contacts  map[string]*contact
	sequence  uint64
	// lastRequest is when the last request of any limited organisation arrived.
	lastRequest time.Time
	expiredAt   time.Time
}

// usage is the state of one organisation at this VM.
type usage struct {
	accountant string
	since      time.Time
	pools      int

	// admitted and refused were not reported yet; the first of them is from reportFrom.
	admitted   int64
	refused    uint64
	reportFrom time.Time
	// freeUsed is the number of requests that were admitted freely since the last report that
	// was answered.
	freeUsed float64
	recent   decaying

	// limited, rate and answeredAt are the last valid answer of the accountant.
	limited    bool
	rate       float64
	answeredAt time.Time
	// adoptingUntil is set if the accountant has said since that it grants nothing yet.
	adoptingUntil time.Time
	// provisional is the rate that it named for VMs that have just started.
	provisional float64

	basis     Basis
	heldRate  float64
	heldUntil time.Time
	// heldFinal is the rate at the end of the hold, to which the held rate declines.
	heldFinal float64
	tokens    float64
	tokensAt  time.Time
	// promisedAt is the time of the last token that was promised to a refused caller.
	promisedAt  time.Time
	lastRequest time.Time
	// prompt asks for a report as soon as possible.
	prompt bool
}

// NewLimiter returns the Limiter of the VM with the ID self. The incarnation grows with each
// start of the VM.
func NewLimiter(self string, incarnation uint64, random func() float64) *Limiter {
	return &Limiter{
		self: self, incarnation: incarnation, random: random, known: 1,
		usages: map[string]*usage{}, contacts: map[string]*contact{},
	}
}

// SetMembers sets the VMs that may be accountants, and the number of VMs that share the rate
// while there is no accountant.
func (l *Limiter) SetMembers(candidates []string, known int, now time.Time) {
	l.known = max(known, 1)
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
	l.tenures.update(candidates, now)
}

// Admit decides on a request of the organisation.
func (l *Limiter) Admit(o *organisation.Organisation, now time.Time) Decision {
	if o.RequestsPerSecond <= 0 {
		return Decision{Admitted: true}
	}
	u := l.usage(o, now)
	u.lastRequest, l.lastRequest = now, now
	l.setBasis(u, o, now)
	decision := Decision{Basis: u.basis}
	if !u.answeredAt.IsZero() {
		decision.Age = now.Sub(u.answeredAt)
	}
	if u.basis == Free {
		decision.Admitted = u.freeUsed < freeRequests(o)
		u.freeUsed++
	} else {
		rate, size := l.share(u, o, now)
		u.refill(rate, size, now)
		if decision.Admitted = u.tokens >= 1; decision.Admitted {
			u.tokens--
		}
	}
	if u.admitted == 0 && u.refused == 0 {
		u.reportFrom = now
	}
	if decision.Admitted {
		u.admitted++
		u.recent.add(1, demandTime, now)
		return decision
	}
	u.refused++
	decision.RetryAfter = l.retryAfter(u, o, now)
	return decision
}

// Refund gives a request back that no target ran.
func (l *Limiter) Refund(o *organisation.Organisation, now time.Time) {
	if o.RequestsPerSecond <= 0 {
		return
	}
	u := l.usage(o, now)
	if u.admitted == 0 && u.refused == 0 {
		u.reportFrom = now
	}
	u.admitted--
	u.freeUsed = math.Max(u.freeUsed-1, 0)
	u.tokens++
}

// Urgent reports whether a report should not wait for the report interval: there has just become
// no valid answer, or half of what may be admitted between two answers is used.
func (l *Limiter) Urgent(o *organisation.Organisation) bool {
	u := l.usages[o.Name]
	return u != nil && u.urgent(o)
}

func (u *usage) urgent(o *organisation.Organisation) bool {
	return u.basis == Free && u.freeUsed >= freeRequests(o)/2 || u.prompt
}

// usage returns the state of an organisation, with its current accountant.
func (l *Limiter) usage(o *organisation.Organisation, now time.Time) *usage {
	u := l.usages[o.Name]
	if u == nil {
		u = &usage{basis: Unlimited, tokensAt: now, lastRequest: now, recent: decaying{at: now}}
		l.usages[o.Name] = u
	}
	l.assign(u, o.Name)
	return u
}

// assign sets the organisation's current accountant.
func (l *Limiter) assign(u *usage, name string) {
	if latest := l.tenures.changes; u.pools != latest {
		u.pools = latest
		accountant, since := l.tenures.of(name)
		if accountant != u.accountant || since.After(u.since) {
			u.accountant, u.since = accountant, since
			u.limited, u.adoptingUntil, u.answeredAt = false, time.Time{}, time.Time{}
			u.provisional = 0
		}
	}
}

// freeRequests returns the number of requests that a VM may admit between two answers while the
// organisation is not limited.
func freeRequests(o *organisation.Organisation) float64 {
	return max(minFree, limitedShare*o.Burst, o.RequestsPerSecond*freeTime.Seconds())
}

// setBasis decides what the decision on the next request is based on.
func (l *Limiter) setBasis(u *usage, o *organisation.Organisation, now time.Time) {
	before, next := u.basis, l.basisOf(u, now)
	if next == Held && (before == Granted || before == Free) {
		u.hold(l.equalShare(o, now), now)
	}
	if next == Held && !now.Before(u.heldUntil) {
		next = EqualShare
	}
	if next == before {
		return
	}
	u.prompt = next == Held || next == EqualShare
	switch {
	case before == Free && next == Held:
		// Requests have been within the allowance, so that the next ones probably are, too.
		u.tokens = minFree
	case before == Unlimited && next == EqualShare && !l.starting(now):
		// The first request of an organisation at a VM that has run for a while.
		u.tokens = 1
	case before == Unlimited && l.random() < startTokens(o)/float64(max(l.known, minStartVMs)):
		u.tokens = 1
	case before == Free, before == Unlimited:
		// VMs that change together must not all admit a request at once.
		u.tokens = l.random()
	}
	u.basis, u.tokensAt = next, now
}

func (l *Limiter) basisOf(u *usage, now time.Time) Basis {
	switch contact := l.contacts[u.accountant]; {
	case u.limited && now.Sub(u.answeredAt) <= grantValidity:
		return Granted
	case u.limited:
		return Held
	case now.Before(u.adoptingUntil), contact == nil || now.Sub(contact.answeredAt) > contactValidity:
		return Held
	case u.answeredAt.IsZero() && now.Sub(u.since) < adoptionTime+contactValidity:
		// The accountant may be a new one, which grants nothing yet.
		return Held
	default:
		return Free
	}
}

// hold keeps the VM's last rate for a while.
func (u *usage) hold(equalShare float64, now time.Time) {
	u.heldUntil = now.Add(holdTime)
	u.heldRate, u.heldFinal = u.rate, math.Min(u.rate, equalShare)
	if u.basis == Free {
		u.heldRate = math.Max(heldHeadroom*u.recent.perSecond(demandTime, now), equalShare/2)
		u.heldFinal = u.heldRate
	}
}

// held returns the rate in force during a hold. In its second half, a granted rate declines to an
// equal share at most: VMs whose holds have ended already use equal shares.
func (u *usage) held(now time.Time) float64 {
	left := u.heldUntil.Sub(now).Seconds() / (holdTime - adoptionTime).Seconds()
	return u.heldFinal + (u.heldRate-u.heldFinal)*min(max(left, 0), 1)
}

// equalShare returns this VM's part of the rate if all known VMs have the same, at least its part
// of the floor. A VM that no accountant has granted anything since its start has less at first: when all
// VMs start at once, each knows only some of the others.
func (l *Limiter) equalShare(o *organisation.Organisation, now time.Time) float64 {
	rate := math.Max(o.RequestsPerSecond, floorPerSecond)
	if l.startedAt.IsZero() {
		// No other VM is known yet. Without this, each VM admitted the whole rate and burst for
		// half a second, and a restart of all VMs in a rush exceeded the bound by a tenth.
		return rate / minStartVMs
	}
	share := rate / float64(l.known)
	if l.starting(now) {
		return share * min(max(now.Sub(l.startedAt).Seconds(), 0)/rampTime.Seconds(), 1)
	}
	return share
}

// starting reports whether this VM has just started and no accountant has granted anything.
func (l *Limiter) starting(now time.Time) bool {
	return !l.answered && (l.startedAt.IsZero() || now.Sub(l.startedAt) < holdTime)
}

// share returns the rate and the size of this VM's own bucket.
func (l *Limiter) share(u *usage, o *organisation.Organisation, now time.Time) (rate, size float64) {
	switch u.basis {
	case Granted:
		rate = math.Min(u.rate, o.RequestsPerSecond)
		return rate, math.Max(rate*bucketTime.Seconds(), 1)
	case Held:
		rate = math.Max(math.Min(u.held(now), o.RequestsPerSecond), floorPerSecond/float64(l.known))
		return rate, math.Max(rate*heldBucketTime.Seconds(), minFree)
	default:
		rate = l.equalShare(o, now)
		if !l.answered && now.Sub(l.startedAt) < startTime {
			rate = math.Max(rate, math.Min(u.provisional, o.RequestsPerSecond))
		}
		return rate, math.Max(o.Burst/float64(l.known), 1)
	}
}

func (u *usage) refill(rate, size float64, now time.Time) {
	if elapsed := now.Sub(u.tokensAt); elapsed > 0 {
		u.tokens += rate * elapsed.Seconds()
		u.tokensAt = now
	}
	u.tokens = math.Min(u.tokens, size)
}

// retryAfter returns the time until this VM has a token that is not promised to another caller.
func (l *Limiter) retryAfter(u *usage, o *organisation.Organisation, now time.Time) time.Duration {
	rate := math.Max(l.equalShare(o, now), u.rate)
	if u.basis != Free && u.basis != Granted {
		rate, _ = l.share(u, o, now)
	}
	if u.promisedAt.Before(now) {
		u.promisedAt = now
	}
	wait := u.promisedAt.Sub(now) + time.Duration(float64(time.Second)*math.Max(1-u.tokens, 0)/rate)
	if u.promisedAt.After(now) {
		wait = u.promisedAt.Sub(now) + time.Duration(float64(time.Second)/rate)
	}
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	u.promisedAt = now.Add(wait)
	return wait + time.Duration(float64(wait)*retryJitter*l.random())
}

// expire drops the states of organisations without requests.
func (l *Limiter) expire(now time.Time) {
	if now.Sub(l.expiredAt) < activeTime {
		return
	}
	l.expiredAt = now
	for name, u := range l.usages {
		if now.Sub(u.lastRequest) > usageRetention && u.admitted == 0 && u.refused == 0 {
			delete(l.usages, name)
		}
	}
}
