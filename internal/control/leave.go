package control

import (
	"context"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Leave tells the other VMs that this one leaves, so that its targets move, and
// waits until one has answered or none is alive. It returns the context's error
// when that did not happen in time.
func (c *Control) Leave(ctx context.Context) error {
	if _, ok := c.post(ctx, &pb.ControlEvent{Kind: &pb.ControlEvent_Leave{Leave: &pb.LeaveRequested{}}}); !ok {
		return ctx.Err()
	}
	ticker := time.NewTicker(leavePolling)
	defer ticker.Stop()
	for !c.status.Load().leftTold {
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

// leavePolling is the time between two looks at whether a peer has answered.
const leavePolling = 5 * time.Millisecond
