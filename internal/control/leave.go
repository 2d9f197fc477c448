package control

import (
	"context"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Leave announces to the other VMs that this one is leaving, so that its targets move, and waits until one
// of them acknowledges or none is alive. It returns the error of ctx if that does not happen in time.
func (c *Control) Leave(ctx context.Context) error {
	if _, ok := c.post(ctx, &pb.ControlEvent{Kind: &pb.ControlEvent_Leave{Leave: &pb.LeaveRequested{}}}); !ok {
		return ctx.Err()
	}
	ticker := time.NewTicker(leavePollInterval)
	defer ticker.Stop()
	for !c.status.Load().leaveAcknowledged {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.stopped:
			return context.Canceled
		case <-ticker.C:
		}
	}
	return nil
}

// leavePollInterval is the interval at which Leave checks for the acknowledgement.
const leavePollInterval = 5 * time.Millisecond
