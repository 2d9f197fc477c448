package target

import (
	"context"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

var (
	// openConnections is the number of connections to all targets that are open,
	// being opened or not yet closed by the target.
	openConnections = metrics.NewGauge("carawayreel_target_connections", nil)
	// openedConnections counts the connections set up, successfully or not.
	openedConnections = metrics.NewCounter("carawayreel_target_connections_opened_total")
)

// budget counts the connections of one target against a limit that may change.
// It is safe for concurrent use.
type budget struct {
	mu    sync.Mutex
	limit int
	used  int
	// freed is closed and replaced whenever a place may have become free.
	freed chan struct{}
}

func newBudget(limit int) *budget {
	return &budget{limit: max(limit, 1), freed: make(chan struct{})}
}

// acquire takes a place, or fails when ctx ends first.
func (b *budget) acquire(ctx context.Context) error {
	for {
		taken, freed := b.try()
		if taken {
			return nil
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (b *budget) try() (bool, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used < b.limit {
		b.used++
		openConnections.Inc()
		openedConnections.Inc()
		return true, nil
	}
	return false, b.freed
}

func (b *budget) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used--
	openConnections.Dec()
	b.wake()
}

// resize changes the limit. Places taken beyond it stay taken until released.
func (b *budget) resize(limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = max(limit, 1)
	b.wake()
}

func (b *budget) wake() {
	close(b.freed)
	b.freed = make(chan struct{})
}

func (b *budget) taken() (used int, exceeded bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.used > b.limit
}
