package target

import (
	"context"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

var (
	// openConnections is the number of connections to all targets that are open, being opened or not yet
	// closed by the target.
	openConnections = metrics.NewGauge("carawayreel_target_connections", nil)
	// openedConnections counts connection setups, including failed ones.
	openedConnections = metrics.NewCounter("carawayreel_target_connections_opened_total")
)

// connBudget limits the number of connections to one target. The limit may change. It is safe for concurrent
// use.
type connBudget struct {
	mu    sync.Mutex
	limit int
	used  int
	// released is closed and replaced whenever a connection may have become available.
	released chan struct{}
}

func newConnBudget(limit int) *connBudget {
	return &connBudget{limit: max(limit, 1), released: make(chan struct{})}
}

// acquire waits until it can reserve a connection. It returns the error of ctx if ctx is done first.
func (b *connBudget) acquire(ctx context.Context) error {
	for {
		acquired, released := b.tryAcquire()
		if acquired {
			return nil
		}
		select {
		case <-released:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tryAcquire reserves a connection if the limit allows. Otherwise it returns a channel that is closed when a
// connection may have become available.
func (b *connBudget) tryAcquire() (bool, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used < b.limit {
		b.used++
		openConnections.Inc()
		openedConnections.Inc()
		return true, nil
	}
	return false, b.released
}

// release returns a reserved connection to the budget.
func (b *connBudget) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used--
	openConnections.Dec()
	b.notify()
}

// resize changes the limit. Connections above a lower limit stay reserved until they are released.
func (b *connBudget) resize(limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = max(limit, 1)
	b.notify()
}

// notify wakes all waiting acquire calls. The caller must hold b.mu.
func (b *connBudget) notify() {
	close(b.released)
	b.released = make(chan struct{})
}

// usage returns the number of reserved connections and whether it exceeds the limit.
func (b *connBudget) usage() (used int, exceeded bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.used > b.limit
}
