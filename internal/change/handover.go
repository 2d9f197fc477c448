package change

import (
	"context"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// drainPoll is the interval at which a planned stop looks for running changes.
const drainPoll = 10 * time.Millisecond

// Drain refuses new changes, waits until those running have ended or the
// context ends, and returns what successors need. Changes that still run then
// are handed over as unknown.
func (c *Changes) Drain(ctx context.Context) []Estate {
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

// Accept takes over an issuer and its records from a VM that has stopped running
// changes. It reports false when this VM cannot serve them.
func (c *Changes) Accept(issuer *pb.ChangeIssuer, records []*pb.ChangeRecord) bool {
	estate := Estate{
		Issuer:  Issuer{VM: issuer.Vm, FailureDomain: issuer.FailureDomain, Incarnation: issuer.Incarnation},
		Records: records,
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.records.Adopt(estate)
}
