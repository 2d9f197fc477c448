package change

import (
	"context"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

const (
	reasonGone = "no VM that serves the token can be found; whether the change ran is not known here"

	// successorsAsked bounds the VMs that are asked whether they took over an
	// issuer's records. A few are enough although VMs join and leave, because
	// every VM ranks them alike.
	successorsAsked = 3
)

// Successors ranks the VMs that may take over an issuer's records: those of its
// failure domain, or of all when it has no other VM. All VMs with the same view
// rank alike, so that the records are found without a directory.
func Successors(current *view.View, issuer Issuer) []view.VM {
	ranked := others(current.DomainVMs(issuer.FailureDomain), issuer)
	if len(ranked) == 0 {
		for _, domain := range current.Configuration.GetFailureDomains() {
			ranked = append(ranked, others(current.DomainVMs(domain.Name), issuer)...)
		}
	}
	key := issuer.VM + strconv.FormatUint(issuer.Incarnation, 36)
	sort.Slice(ranked, func(i, j int) bool {
		return xxhash.Sum64String(key+ranked[i].ID) < xxhash.Sum64String(key+ranked[j].ID)
	})
	return ranked
}

func others(vms []view.VM, issuer Issuer) []view.VM {
	var found []view.VM
	for _, vm := range vms {
		if vm.ID != issuer.VM || vm.Incarnation != issuer.Incarnation {
			found = append(found, vm)
		}
	}
	return found
}

// candidates returns the VMs that may serve an issuer's tokens, the likeliest
// first: the issuer itself, then its successors. This VM is left out.
func (c *Changes) candidates(issuer Issuer) []view.VM {
	current := c.options.Views.Current()
	var found []view.VM
	if vm, ok := current.VM(issuer.VM); ok && vm.Incarnation == issuer.Incarnation {
		found = append(found, vm)
	}
	successors := Successors(current, issuer)
	found = append(found, successors[:min(successorsAsked, len(successors))]...)
	var remote []view.VM
	for _, vm := range found {
		if vm.ID != c.self.VM {
			remote = append(remote, vm)
		}
	}
	return remote
}

// forward submits at the VM that serves the token's issuer. At most one VM does,
// so that asking several runs nothing twice. Even a call that was certainly not
// delivered leaves the outcome unknown: an earlier submission under the token
// may have run.
func (c *Changes) forward(ctx context.Context, token Token, r *pb.SubmitChangeRequest) *pb.SubmitChangeResponse {
	reason := reasonGone
	for _, vm := range c.candidates(token.Issuer) {
		c.options.Decisions.Record(&pb.Decision{
			Kind:      pb.DecisionKind_DECISION_KIND_FORWARD,
			RequestId: r.Token,
			Owner:     vm.ID,
			Reason:    "may serve the token's issuer",
		})
		response, err := c.options.Forwarder.ForwardChange(ctx, vm, r)
		if err == nil && response.Served {
			return response.Response
		}
		if err != nil {
			reason = vm.ID + " does not answer; whether the change ran is not known here"
		}
	}
	return c.respond(r.Token, unknown(reason))
}

func (c *Changes) forwardOutcome(ctx context.Context, token Token) *pb.GetOutcomeResponse {
	reason := reasonGone
	request := &pb.GetOutcomeRequest{Token: token.String()}
	for _, vm := range c.candidates(token.Issuer) {
		response, err := c.options.Forwarder.ForwardOutcome(ctx, vm, request)
		if err == nil && response.Served {
			return response.Response
		}
		if err != nil {
			reason = vm.ID + " does not answer"
		}
	}
	return outcome(request.Token, unknown(reason))
}
