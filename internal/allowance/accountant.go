package allowance

import (
	"cmp"
	"math"
	"slices"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/organisation"
)

const (
	// maxUnaskedGrants bounds the grants for limited organisations that an answer holds beyond
	// the reported ones.
	maxUnaskedGrants = 32
	// accountRetention is how long an account without reports is kept. A bucket is full again
	// by then, unless its burst is more than a minute's requests.
	accountRetention = time.Minute
	// anticipatedShare is the part of the tolerated excess that a rush may be expected to use
	// before the organisation is limited although its bucket is not low.
	anticipatedShare = 0.25
	// silentTime is the time without a report after which a limited VM counts as silent. A late
	// report corrects the charge, so that half a report interval of patience is enough.
	silentTime = reportInterval + reportInterval/2
	// startTime is the time after a start in which the members are still becoming known.
	startTime = 10 * time.Second
)

// Lookup returns the organisation with a name, or nil if there is none.
type Lookup func(name string) *organisation.Organisation

// Transition is a change of an organisation between limited and not limited.
type Transition struct {
	Organisation string
	Limited      bool
	// Level is the number of requests left in the bucket; negative if more were admitted.
	Level float64
	// Demand and Rate are in requests per second, over all VMs that report to this one.
	Demand, Rate float64
	// LiveShare is the part of the allowance that this accountant grants.
	LiveShare float64
}

// Accountant keeps the buckets of the organisations that a VM accounts for. It is not safe for
// concurrent use.
type Accountant struct {
	self      string
	tenures   tenures
	live      map[string]bool
	liveShare float64
	// startedAt is when this VM first saw the members. While it has just started, it may have
	// seen only some of them, and each change of the accountants begins its adoption anew.
	startedAt, adoptedAt time.Time
	accounts             map[string]*account
	senders              map[string]*sender
	expiredAt            time.Time
}

// account is the bucket of an organisation with the demand for it.
type account struct {
	name string
	// adoptedUntil is the time until which the account only counts.
	adoptedUntil time.Time
	level        float64
	at           time.Time
	limited      bool
	// silentAt is when silent VMs were last charged for.
	silentAt time.Time
	// reporters holds the VMs that reported requests. total is their demand, and rush the same
	// with a shorter memory.
	reporters   map[string]*reporter
	total, rush decaying
}

// reporter is a VM that reported requests of an organisation.
type reporter struct {
	// demand counts admitted and refused requests.
	demand decaying
	// at is when the VM last reported the organisation, and granted the rate that it was told.
	at      time.Time
	granted float64
	// assumed is what the bucket was charged since, because the VM is silent.
	assumed float64
}

// sender is what is known of a VM that reports.
type sender struct {
	incarnation, sequence uint64
	at                    time.Time
}

// NewAccountant returns an Accountant of the VM with the ID self that accounts for nothing yet.
func NewAccountant(self string) *Accountant {
	return &Accountant{self: self, liveShare: 1, accounts: map[string]*account{}, senders: map[string]*sender{}}
}

// SetMembers sets the members and the live part of the known VMs.
func (a *Accountant) SetMembers(m Members, liveShare float64, now time.Time) {
	a.liveShare = liveShare
	a.live = make(map[string]bool, len(m.Live))
	for _, vm := range m.Live {
		a.live[vm] = true
	}
	if a.startedAt.IsZero() {
		a.startedAt = now
	}
	if !a.tenures.update(m.Candidates, now) {
		return
	}
	if now.Sub(a.startedAt) < startTime {
		a.adoptedAt = now
	}
	for name := range a.accounts {
		if vm, _ := a.tenures.of(name); vm != a.self {
			delete(a.accounts, name)
		}
	}
}

// Report charges a VM's usage to the buckets and returns what the VM may admit. An organisation
// without a grant in the answer was not charged, because another VM accounts for it. A grant
// that is valid for 0 ms says that the usage was charged and that the VM goes on as before. Its
// rate, if there is one, is for VMs that have just started.
func (a *Accountant) Report(r *pb.ReportUsageRequest, lookup Lookup, now time.Time) (*pb.ReportUsageResponse, []Transition) {
	a.expire(now)
	response := &pb.ReportUsageResponse{Accepted: a.tenures.has(a.self)}
	repeated, outdated := a.receive(r, now)
	if outdated || !response.Accepted {
		response.Accepted = false
		return response, nil
	}
	var transitions []Transition
	reported := make(map[string]bool, len(r.Usage))
	for _, usage := range r.Usage {
		o := lookup(usage.Organisation)
		vm, since := a.tenures.of(usage.Organisation)
		if o == nil || vm != a.self {
			continue
		}
		reported[o.Name] = true
		account := a.account(o, since)
		account.refill(o, a.liveShare, now)
		account.chargeSilent(o, a.live, a.liveShare, now)
		if !repeated {
			account.charge(r.Vm, usage, now)
		}
		if transition, changed := account.decide(o, a.liveShare, now); changed {
			transitions = append(transitions, transition)
		}
		response.Grants = append(response.Grants, a.grant(account, o, r.Vm, now))
	}
	response.Grants = append(response.Grants, a.unaskedGrants(r.Vm, reported, lookup, now)...)
	return response, transitions
}

// receive records that a VM reported. It tells whether the report was counted before, and
// whether it comes from an earlier incarnation of the VM.
func (a *Accountant) receive(r *pb.ReportUsageRequest, now time.Time) (repeated, outdated bool) {
	known := a.senders[r.Vm]
	switch {
	case known == nil || known.incarnation < r.Incarnation:
		a.senders[r.Vm] = &sender{incarnation: r.Incarnation, sequence: r.Sequence, at: now}
		return false, false
	case known.incarnation > r.Incarnation:
		return false, true
	}
	known.at = now
	if r.Sequence <= known.sequence {
		return true, false
	}
	known.sequence = r.Sequence
	return false, false
}

// account returns the account of an organisation. A new bucket holds what has come in since this
// VM accounts for the organisation: nothing after a start.
func (a *Accountant) account(o *organisation.Organisation, since time.Time) *account {
	known := a.accounts[o.Name]
	if known == nil {
		known = &account{name: o.Name, at: since, reporters: map[string]*reporter{}}
		a.accounts[o.Name] = known
	}
	known.adoptedUntil = since.Add(adoptionTime)
	if !a.adoptedAt.IsZero() && !since.After(a.adoptedAt) {
		known.adoptedUntil = a.adoptedAt.Add(startAdoptionTime)
	}
	return known
}

// unaskedGrants returns grants for limited organisations that the VM did not report, so that it
// does not admit their first requests freely.
func (a *Accountant) unaskedGrants(vm string, reported map[string]bool, lookup Lookup, now time.Time) []*pb.OrganisationGrant {
	var grants []*pb.OrganisationGrant
	for name, account := range a.accounts {
		o := lookup(name)
		if reported[name] || !account.limited || o == nil || len(grants) == maxUnaskedGrants {
			continue
		}
		account.refill(o, a.liveShare, now)
		grants = append(grants, a.grant(account, o, vm, now))
	}
	slices.SortFunc(grants, func(a, b *pb.OrganisationGrant) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return grants
}

// expire drops accounts and VMs without reports.
func (a *Accountant) expire(now time.Time) {
	if now.Sub(a.expiredAt) < activeTime {
		return
	}
	a.expiredAt = now
	for name, account := range a.accounts {
		for vm, reporter := range account.reporters {
			if now.Sub(reporter.at) > activeTime {
				delete(account.reporters, vm)
			}
		}
		if now.Sub(account.total.at) > accountRetention {
			delete(a.accounts, name)
		}
	}
	for vm, sender := range a.senders {
		if now.Sub(sender.at) > accountRetention {
			delete(a.senders, vm)
		}
	}
}

func (c *account) refill(o *organisation.Organisation, liveShare float64, now time.Time) {
	if elapsed := now.Sub(c.at); elapsed > 0 {
		c.level += o.RequestsPerSecond * liveShare * elapsed.Seconds()
		c.at = now
	}
	size := bucketSize(o)
	if now.Before(c.adoptedUntil) {
		// What VMs admitted before may fill the window, so that there is no burst yet.
		size = 0
	}
	c.level = math.Min(c.level, size*liveShare)
}

func (c *account) charge(vm string, usage *pb.OrganisationUsage, now time.Time) {
	c.level -= float64(usage.Admitted)
	requests := math.Max(float64(usage.Admitted), 0) + float64(usage.Refused)
	r := c.reporters[vm]
	if r == nil {
		r = &reporter{}
		c.reporters[vm] = r
	}
	c.level += r.assumed
	r.assumed, r.at = 0, now
	r.demand.add(requests, demandTime, now)
	c.total.add(requests, demandTime, now)
	c.rush.add(requests, rushTime, now)
}

// chargeSilent charges the bucket for VMs that were told a rate and have not reported since. They
// may be cut off, and go on at that rate for holdTime. Once the members lack them, the live share
// accounts for them, and the bucket is charged for what they had beyond that.
func (c *account) chargeSilent(o *organisation.Organisation, live map[string]bool, liveShare float64, now time.Time) {
	elapsed := min(now.Sub(c.silentAt), 2*reportInterval)
	if !c.limited || elapsed < reportInterval {
		return
	}
	c.silentAt = now
	lost := 0.0
	for vm, r := range c.reporters {
		silent := now.Sub(r.at)
		if r.granted == 0 || silent < silentTime || silent > holdTime {
			continue
		}
		if !live[vm] {
			lost += r.granted
			continue
		}
		owed := r.granted * silent.Seconds()
		c.level -= owed - r.assumed
		r.assumed = owed
	}
	c.level -= math.Max(lost-o.RequestsPerSecond*(1-liveShare), 0) * elapsed.Seconds()
}

// decide limits the organisation or sets it free.
func (c *account) decide(o *organisation.Organisation, liveShare float64, now time.Time) (Transition, bool) {
	rate := o.RequestsPerSecond * liveShare
	// What was admitted beyond a window's allowance is forgiven: it left every window long
	// before it would be paid back.
	c.level = math.Max(c.level, -(rate*window.Seconds() + o.Burst))
	demand := c.rush.perSecond(rushTime, now)
	expected := c.level - (demand-rate)*feedbackTime.Seconds()
	limited := o.RequestsPerSecond > 0 &&
		(c.level < limitedShare*o.Burst*liveShare || expected < -anticipatedShare*tolerated(o)*liveShare)
	if limited == c.limited {
		return Transition{}, false
	}
	c.limited = limited
	return Transition{
		Organisation: c.name, Limited: limited, Level: c.level, Demand: demand, Rate: rate, LiveShare: liveShare,
	}, true
}

// grant returns what the VM may admit: of the rate, and of what the bucket holds or lacks, a part
// in proportion to its part of the demand.
func (a *Accountant) grant(c *account, o *organisation.Organisation, vm string, now time.Time) *pb.OrganisationGrant {
	grant := &pb.OrganisationGrant{Organisation: c.name}
	rate := o.RequestsPerSecond * a.liveShare
	if now.Before(c.adoptedUntil) {
		if age := now.Sub(a.startedAt); age < startTime {
			part := provisionalShare + (provisionalEnd-provisionalShare)*min(age.Seconds()/provisionalTime.Seconds(), 1)
			grant.RequestsPerS = part * rate * c.demandShare(vm, now)
		}
		return grant
	}
	grant.ValidMs = uint32(grantValidity.Milliseconds())
	if !c.limited {
		if r := c.reporters[vm]; r != nil {
			r.granted = 0
		}
		return grant
	}
	grant.Limited = true
	grant.RequestsPerS = math.Max(rate+c.level/levelTime.Seconds(), 0) * c.demandShare(vm, now)
	if r := c.reporters[vm]; r != nil {
		r.granted = grant.RequestsPerS
	}
	return grant
}

// demandShare returns the VM's part of the demand.
func (c *account) demandShare(vm string, now time.Time) float64 {
	r, total := c.reporters[vm], c.total.perSecond(demandTime, now)
	if r == nil || total <= 0 {
		return 0
	}
	return math.Min(r.demand.perSecond(demandTime, now)/total, 1)
}

// Accounts reports whether this VM accounts for the organisation.
func (a *Accountant) Accounts(organisation string) bool {
	vm, _ := a.tenures.of(organisation)
	return vm == a.self
}
