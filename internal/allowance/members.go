package allowance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

const (
	// poolSize is the maximum number of accountants. Fewer ones receive more reports each,
	// more ones make each VM send more reports; docs/design/allowances.md computes the cost.
	poolSize = 8
	// lostTime is how long a lost VM counts as a part of the deployment. It may be cut off and
	// still serve callers.
	lostTime = 30 * time.Second
	// maxPools is the number of remembered changes of the pool. A change that is older than
	// adoptionTime is of no interest, and the members rarely change more often meanwhile.
	maxPools = 16
)

// Members are the VMs as one VM sees them.
type Members struct {
	// Candidates are the VMs that may be accountants, and Live all VMs that are alive or
	// suspect, both by ID.
	Candidates, Live []string
	// Left are the VMs that stop as planned.
	Left []string
}

// Roster remembers the VMs that were lost recently.
type Roster struct {
	lastSeen map[string]time.Time
	live     int
}

// NewRoster returns an empty Roster.
func NewRoster() *Roster { return &Roster{lastSeen: map[string]time.Time{}} }

// Update records the members at a time.
func (r *Roster) Update(m Members, now time.Time) {
	for _, vm := range m.Live {
		r.lastSeen[vm] = now
	}
	for _, vm := range m.Left {
		delete(r.lastSeen, vm)
	}
	for vm, seen := range r.lastSeen {
		if now.Sub(seen) > lostTime {
			delete(r.lastSeen, vm)
		}
	}
	r.live = len(m.Live)
}

// Known returns the number of VMs that are live or were lost within lostTime, at least 1.
func (r *Roster) Known() int { return max(len(r.lastSeen), r.live, 1) }

// LiveShare returns the live part of the known VMs, above 0 and at most 1.
func (r *Roster) LiveShare() float64 { return float64(max(r.live, 1)) / float64(r.Known()) }

// pool is the set of accountants from a time on.
type pool struct {
	vms    []string
	choice *rendezvous.Rendezvous
	since  time.Time
}

func newPool(vms []string, now time.Time) pool {
	return pool{vms: vms, choice: rendezvous.New(vms, xxhash.Sum64String), since: now}
}

// accountantOf returns the VM that accounts for the organisation, or an empty string.
func (p pool) accountantOf(organisation string) string {
	if len(p.vms) == 0 {
		return ""
	}
	return p.choice.Lookup(organisation)
}

// tenures tells which VM accounts for an organisation, and since when.
type tenures struct {
	pools []pool
	// changes is the number of changes of the accountants.
	changes int
}

// update sets the VMs that may be accountants and reports whether the accountants changed. The
// accountants are those candidates that rendezvous hashing ranks first, so that all VMs that see
// the same members choose the same, and one VM's loss changes only one of them.
func (t *tenures) update(candidates []string, now time.Time) bool {
	chosen := slices.Clone(candidates)
	slices.SortFunc(chosen, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(b), xxhash.Sum64String(a)), cmp.Compare(a, b))
	})
	chosen = chosen[:min(len(chosen), poolSize)]
	slices.Sort(chosen)
	if last := len(t.pools) - 1; last >= 0 && slices.Equal(t.pools[last].vms, chosen) {
		return false
	}
	t.pools = append(t.pools, newPool(chosen, now))
	t.changes++
	if len(t.pools) > maxPools {
		t.pools = t.pools[1:]
	}
	return true
}

// of returns the accountant of the organisation, or an empty string if there is none, and since
// when it accounts for it.
func (t *tenures) of(organisation string) (accountant string, since time.Time) {
	for i := len(t.pools) - 1; i >= 0; i-- {
		vm := t.pools[i].accountantOf(organisation)
		if i < len(t.pools)-1 && vm != accountant {
			break
		}
		accountant, since = vm, t.pools[i].since
	}
	return accountant, since
}

// has reports whether the VM is an accountant.
func (t *tenures) has(vm string) bool {
	return slices.Contains(t.current(), vm)
}

// current returns the accountants.
func (t *tenures) current() []string {
	if len(t.pools) == 0 {
		return nil
	}
	return t.pools[len(t.pools)-1].vms
}
