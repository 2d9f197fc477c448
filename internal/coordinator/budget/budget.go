// Package budget bounds the extra load of hedges, retries and probes to a share
// of the successful subrequests.
//
// The budget is a token bucket that successes fill and extra subrequests empty.
// A success adds nine tenths of the allowed share. The bucket starts full, so
// that a cold start can retry. In every window the extra subrequests are
// therefore at most 0.9*share*successes + Burst, which is at most
// share*successes in every window of WindowSuccesses or more.
package budget

import "sync"

// DefaultPercent is the share used when the configuration states none.
const DefaultPercent = 5

const (
	// smallestBurst is the least capacity of a bucket, in extra subrequests.
	smallestBurst = 20
	// servicesPerBurst is the number of services for each token of a larger
	// bucket: one search can hedge a tenth of its subrequests.
	servicesPerBurst = 10
	// fillShare is the part of the allowed share that successes add; the rest
	// pays for the burst.
	fillShare = 0.9
	percent   = 100
)

// Terms are what a front's budget depends on.
type Terms struct {
	// Percent is the allowed share of successful subrequests; zero selects
	// DefaultPercent.
	Percent uint32
	// Services is the number of services that a search asks.
	Services int
}

// Burst returns the capacity of the bucket, in extra subrequests.
func (t Terms) Burst() float64 {
	return float64(max(smallestBurst, t.Services/servicesPerBurst))
}

// WindowSuccesses returns the number of successful subrequests from which on a
// window keeps the allowed share exactly.
func (t Terms) WindowSuccesses() float64 {
	return t.Burst() / ((1 - fillShare) * t.share())
}

func (t Terms) share() float64 {
	if t.Percent == 0 {
		return float64(DefaultPercent) / percent
	}
	return float64(t.Percent) / percent
}

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
	hedgeReserve = 8
	probeReserve = 12
)

// Budget is the budget of one front on one VM. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	terms  Terms
	tokens float64
	spent  uint64
	filled uint64
}

// New returns a full budget.
func New(terms Terms) *Budget {
	return &Budget{terms: terms, tokens: terms.Burst()}
}

// setTerms changes the terms; tokens beyond a smaller burst are lost.
func (b *Budget) setTerms(terms Terms) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.terms = terms
	b.tokens = min(b.tokens, terms.Burst())
}

// Succeeded adds the share of one successful subrequest.
func (b *Budget) Succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.filled++
	b.tokens = min(b.tokens+fillShare*b.terms.share(), b.terms.Burst())
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

// Terms returns what the budget depends on.
func (b *Budget) Terms() Terms {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.terms
}

// Left returns the number of whole tokens in the bucket.
func (b *Budget) Left() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return uint64(b.tokens)
}

// Fullness returns how full the bucket is, from zero to one.
func (b *Budget) Fullness() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens / b.terms.Burst()
}

// Totals returns the extra subrequests and the successes since the start.
func (b *Budget) Totals() (extra, successes uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent, b.filled
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
func (t *Table) Front(name string, terms Terms) *Budget {
	t.mu.RLock()
	b, ok := t.budgets[name]
	t.mu.RUnlock()
	if !ok {
		b = t.create(name, terms)
	}
	if b.Terms() != terms {
		b.setTerms(terms)
	}
	return b
}

func (t *Table) create(name string, terms Terms) *Budget {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, ok := t.budgets[name]
	if !ok {
		b = New(terms)
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

// Left returns the tokens left in the fullest budget, or the smallest full bucket
// while no front was searched.
func (t *Table) Left() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if len(t.budgets) == 0 {
		return smallestBurst
	}
	var left uint64
	for _, b := range t.budgets {
		left = max(left, b.Left())
	}
	return left
}
