package change

import (
	"context"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

const (
	reasonGone = "the VM that issued the token is gone; whether the change ran is not known here"

	// longestSuccession bounds the chain of hand-overs that is followed.
	longestSuccession = 64
)

// home returns the VM that serves an issuer's tokens: the issuer while it runs,
// else the one at the end of its chain of planned stops.
func (c *Changes) home(issuer Issuer) (view.VM, bool) {
	current := c.options.Views.Current()
	id := issuer.VM
	for step := range longestSuccession {
		vm, ok := current.VM(id)
		if !ok {
			return view.VM{}, false
		}
		if step == 0 && vm.Incarnation != issuer.Incarnation {
			return view.VM{}, false
		}
		if vm.Successor == "" {
			return vm, vm.State != pb.MemberState_MEMBER_STATE_DEAD
		}
		id = vm.Successor
	}
	return view.VM{}, false
}

func (c *Changes) forward(ctx context.Context, token Token, r *pb.SubmitChangeRequest) *pb.SubmitChangeResponse {
	vm, ok := c.home(token.Issuer)
	if !ok || vm.ID == c.self.VM {
		return c.respond(r.Token, unknown(reasonGone))
	}
	return c.forwardTo(ctx, vm, r)
}

// forwardTo submits at another VM. Even a call that was certainly not delivered
// leaves the outcome unknown: an earlier submission under the token may have
// run.
func (c *Changes) forwardTo(ctx context.Context, vm view.VM, r *pb.SubmitChangeRequest) *pb.SubmitChangeResponse {
	c.options.Decisions.Record(&pb.Decision{
		Kind:      pb.DecisionKind_DECISION_KIND_FORWARD,
		RequestId: r.Token,
		Owner:     vm.ID,
		Reason:    "issuer of the token",
	})
	response, err := c.options.Forwarder.ForwardChange(ctx, vm, r)
	if err != nil {
		return c.respond(r.Token, unknown("the VM that issued the token does not answer: "+err.Error()))
	}
	return response
}
