// Package budget limits the extra load of hedges, retries and probes to a share
// of the successful subrequests.
//
// The budget is a token bucket: a successful subrequest adds 0.9 times the
// allowed share of a token, and an extra subrequest takes one token. The bucket
// starts full, so that retries work right after a start. In every window the
// number of extra subrequests is therefore at most 0.9*share*successes + Burst,
// and at most share*successes in windows of at least WindowSuccesses successes.
package budget

import "sync"

// DefaultPercent is the share used when the configuration sets none.
const DefaultPercent = 5

const (
	// minBurst is the minimum bucket capacity, in extra subrequests.
	minBurst = 20
	// servicesPerBurstToken sizes the bucket of a front with many services, so
	// that one search can hedge a tenth of its subrequests.
	servicesPerBurstToken = 10
	// refillFactor is the part of the allowed share that successes refill; the
	// rest pays for the burst.
	refillFactor = 0.9
	percent      = 100
)

// Config holds the parameters of a front's budget.
type Config struct {
	// SharePercent is the allowed share of successful subrequests; zero selects
	// DefaultPercent.
	SharePercent uint32
	// Services is the number of services that a search queries.
	Services int
}

// Burst returns the capacity of the bucket, in extra subrequests.
func (c Config) Burst() float64 {
	return float64(max(minBurst, c.Services/servicesPerBurstToken))
}

// WindowSuccesses returns the smallest number of successful subrequests for which
// the extra load of a window, including the burst, is always within the allowed
// share.
func (c Config) WindowSuccesses() float64 {
	return c.Burst() / ((1 - refillFactor) * c.shareRatio())
}

func (c Config) shareRatio() float64 {
	if c.SharePercent == 0 {
		return float64(DefaultPercent) / percent
	}
	return float64(c.SharePercent) / percent
}

// Purpose is what a token is spent on. Purposes of lower priority leave a larger
// reserve in the bucket, so that retries still work after many hedges.
type Purpose int

// Purposes in descending order of priority.
const (
	Retry Purpose = iota
	Hedge
	Probe
)

// Tokens that each purpose leaves in the bucket; retries leave none.
const (
	hedgeReserve = 8
	probeReserve = 12
)

// Budget is the budget of one front on one VM. It is safe for concurrent use.
type Budget struct {
	mu        sync.Mutex
	config    Config
	tokens    float64
	extra     uint64
	successes uint64
}

// New returns a full budget.
func New(config Config) *Budget {
	return &Budget{config: config, tokens: config.Burst()}
}

// setConfig replaces the configuration and drops tokens that exceed the new burst.
func (b *Budget) setConfig(config Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config = config
	b.tokens = min(b.tokens, config.Burst())
}

// RecordSuccess refills the bucket for one successful subrequest.
func (b *Budget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.successes++
	b.tokens = min(b.tokens+refillFactor*b.config.shareRatio(), b.config.Burst())
}

// Spend takes one token for an extra subrequest. It takes nothing and returns
// false when the bucket would fall below the reserve for the purpose.
func (b *Budget) Spend(purpose Purpose) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1+reservedTokens(purpose) {
		return false
	}
	b.tokens--
	b.extra++
	return true
}

// Config returns the current configuration of the budget.
func (b *Budget) Config() Config {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.config
}

// Remaining returns the number of whole tokens in the bucket.
func (b *Budget) Remaining() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return uint64(b.tokens)
}

// FillRatio returns the tokens in the bucket as a fraction of its capacity.
func (b *Budget) FillRatio() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens / b.config.Burst()
}

// Totals returns the numbers of extra and of successful subrequests since the
// budget was created.
func (b *Budget) Totals() (extra, successes uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.extra, b.successes
}

func reservedTokens(purpose Purpose) float64 {
	switch purpose {
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

// Front returns the budget of a front, creating it on first use and updating its
// configuration.
func (t *Table) Front(name string, config Config) *Budget {
	t.mu.RLock()
	b, ok := t.budgets[name]
	t.mu.RUnlock()
	if !ok {
		b = t.create(name, config)
	}
	if b.Config() != config {
		b.setConfig(config)
	}
	return b
}

func (t *Table) create(name string, config Config) *Budget {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, ok := t.budgets[name]
	if !ok {
		b = New(config)
		t.budgets[name] = b
	}
	return b
}

// Retain removes the budgets of fronts for which keep returns false.
func (t *Table) Retain(keep func(front string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.budgets {
		if !keep(name) {
			delete(t.budgets, name)
		}
	}
}

// Remaining returns the whole tokens left in the budget that has the most, or the
// minimum burst when no front has been searched yet.
func (t *Table) Remaining() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if len(t.budgets) == 0 {
		return minBurst
	}
	var remaining uint64
	for _, b := range t.budgets {
		remaining = max(remaining, b.Remaining())
	}
	return remaining
}
