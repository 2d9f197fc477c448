package change

import (
	"context"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// recordsPerMessage is the maximum number of records in one handover message. It
// keeps messages well below the smallest default message size limit of peers.
const recordsPerMessage = 2000

// Split divides the records into parts that fit into one message each. It returns
// at least one part.
func (r IssuerRecords) Split() []IssuerRecords {
	var parts []IssuerRecords
	remaining := r.Records
	for len(remaining) > recordsPerMessage {
		parts = append(parts, IssuerRecords{Issuer: r.Issuer, Records: remaining[:recordsPerMessage]})
		remaining = remaining[recordsPerMessage:]
	}
	return append(parts, IssuerRecords{Issuer: r.Issuer, Records: remaining})
}

// drainPollInterval is the interval at which Drain checks for running changes.
const drainPollInterval = 10 * time.Millisecond

// Drain refuses new changes, waits until all running changes have finished or the
// context ends, and returns the records to hand over to successors. Changes that
// are still running at that point are handed over with an unknown outcome.
func (c *Runner) Drain(ctx context.Context) []IssuerRecords {
	c.mu.Lock()
	c.records.Stop()
	c.mu.Unlock()
	for c.runningCount() > 0 && ctx.Err() == nil {
		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.records.Export(time.Now())
}

func (c *Runner) runningCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.records.Running()
}

// Accept takes over an issuer's records from a VM that has stopped running
// changes. Once the last part is accepted, this VM serves the issuer's tokens.
// Accept reports false if this VM cannot take over the records.
func (c *Runner) Accept(issuer *pb.ChangeIssuer, records []*pb.ChangeRecord, last bool) bool {
	issuerRecords := IssuerRecords{
		Issuer:  Issuer{VM: issuer.Vm, FailureDomain: issuer.FailureDomain, Incarnation: issuer.Incarnation},
		Records: records,
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.records.Import(issuerRecords, last)
}
