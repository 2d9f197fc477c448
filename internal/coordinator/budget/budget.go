// Package budget bounds the extra load of hedges, retries and probes to a share
// of the successful subrequests.
//
// The budget is a token bucket that successes fill and extra subrequests empty.
// A success adds nine tenths of the allowed share; the bucket holds at most
// Burst tokens and starts full, so that a cold start can retry. In every window
// the extra subrequests are therefore at most 0.9*share*successes + Burst, which
// is below share*successes in every window of at least WindowSuccesses.
package budget

import "sync"

// Burst is the capacity of the bucket, in extra subrequests.
const Burst = 10

// DefaultPercent is the share used when the configuration states none.
const DefaultPercent = 5

// fillShare is the part of the allowed share that successes add; the rest pays
// for the burst.
const fillShare = 0.9

const percent = 100

// Use is what a token is spent on. Uses of less worth leave more tokens behind,
// so that a failed attempt can still be retried when hedges were many.
type Use int

// Uses in descending order of worth.
const (
	Retry Use = iota
	Hedge
	Probe
)

// Tokens that each use leaves in the bucket.
const (
	hedgeReserve = 3
	probeReserve = 5
)

// Budget is the budget of one front on one VM. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	share  float64
	tokens float64
	spent  uint64
	filled uint64
}

// New returns a full budget of the given percentage of successful subrequests.
// Zero selects DefaultPercent.
func New(percentage uint32) *Budget {
	b := &Budget{tokens: Burst}
	b.SetPercent(percentage)
	return b
}

// SetPercent changes the percentage. Zero selects DefaultPercent.
func (b *Budget) SetPercent(percentage uint32) {
	if percentage == 0 {
		percentage = DefaultPercent
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = float64(percentage) / percent
}

// Succeeded adds the share of one successful subrequest.
func (b *Budget) Succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.filled++
	b.tokens = min(b.tokens+fillShare*b.share, Burst)
}

// Spend takes one token for an extra subrequest. It reports false, and takes
// nothing, when the bucket would fall below the reserve of that use.
func (b *Budget) Spend(use Use) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1+reserve(use) {
		return false
	}
	b.tokens--
	b.spent++
	return true
}

// Left returns the number of whole tokens in the bucket.
func (b *Budget) Left() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return uint64(b.tokens)
}

// Totals returns the extra subrequests and the successes since the start.
func (b *Budget) Totals() (extra, successes uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent, b.filled
}

// WindowSuccesses returns the number of successful subrequests from which on a
// window keeps the given percentage exactly.
func WindowSuccesses(percentage uint32) uint64 {
	if percentage == 0 {
		percentage = DefaultPercent
	}
	const perTenth = 10
	return uint64(Burst) * percent * perTenth / uint64(percentage)
}

func reserve(use Use) float64 {
	switch use {
	case Hedge:
		return hedgeReserve
	case Probe:
		return probeReserve
	default:
		return 0
	}
}

// Table holds the budgets of all fronts. It is safe for concurrent use.
type Table struct {
	mu      sync.RWMutex
	budgets map[string]*Budget
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{budgets: map[string]*Budget{}}
}

// Front returns the budget of a front and creates it at first use.
func (t *Table) Front(name string, percentage uint32) *Budget {
	t.mu.RLock()
	b, ok := t.budgets[name]
	t.mu.RUnlock()
	if ok {
		return b
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if b, ok = t.budgets[name]; !ok {
		b = New(percentage)
		t.budgets[name] = b
	}
	return b
}

// Retain forgets the fronts that are not kept.
func (t *Table) Retain(kept func(front string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.budgets {
		if !kept(name) {
			delete(t.budgets, name)
		}
	}
}

// Left returns the tokens left in the fullest budget, or a full bucket while no
// front was searched.
func (t *Table) Left() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if len(t.budgets) == 0 {
		return Burst
	}
	var left uint64
	for _, b := range t.budgets {
		left = max(left, b.Left())
	}
	return left
}
