package change

import (
	"context"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

// drainPoll is the interval at which a planned stop looks for running changes.
const drainPoll = 10 * time.Millisecond

// Drain refuses new changes, waits until those running have ended or the
// context ends, and returns what a successor needs. Changes that still run then
// are handed over as unknown.
func (c *Changes) Drain(ctx context.Context) ([]*pb.ChangeIssuer, []*pb.ChangeRecord) {
	c.mu.Lock()
	c.records.Stop()
	c.mu.Unlock()
	for c.running() > 0 && ctx.Err() == nil {
		select {
		case <-time.After(drainPoll):
		case <-ctx.Done():
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.records.Export(time.Now())
}

func (c *Changes) running() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.records.Running()
}

// HandedTo names the VM that has accepted this VM's records. Submissions that
// still arrive here are forwarded to it.
func (c *Changes) HandedTo(successor view.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.successor = &successor
}

// Accept takes over the issuers and records of a VM that has stopped running
// changes. It reports false when it cannot serve them.
func (c *Changes) Accept(issuers []*pb.ChangeIssuer, records []*pb.ChangeRecord) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.records.Adopt(issuers, records)
}
