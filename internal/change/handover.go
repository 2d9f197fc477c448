package change

import (
	"context"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// recordsPerMessage bounds a message of a hand-over well below the least size
// that peers accept by default.
const recordsPerMessage = 2000

// Parts returns the records in parts that fit into one message each; there is at
// least one part.
func (e Estate) Parts() []Estate {
	var parts []Estate
	left := e.Records
	for len(left) > recordsPerMessage {
		parts = append(parts, Estate{Issuer: e.Issuer, Records: left[:recordsPerMessage]})
		left = left[recordsPerMessage:]
	}
	return append(parts, Estate{Issuer: e.Issuer, Records: left})
}

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

// Accept takes over records of an issuer from a VM that has stopped running
// changes, and with the last of them the issuer. It reports false when this VM
// cannot serve them.
func (c *Changes) Accept(issuer *pb.ChangeIssuer, records []*pb.ChangeRecord, last bool) bool {
	estate := Estate{
		Issuer:  Issuer{VM: issuer.Vm, FailureDomain: issuer.FailureDomain, Incarnation: issuer.Incarnation},
		Records: records,
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.records.Adopt(estate, last)
}
