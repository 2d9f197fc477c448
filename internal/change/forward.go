package change

import (
	"context"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

const (
	reasonIssuerNotFound = "no VM that serves the token can be found; whether the change ran is not known here"

	// maxSuccessorsAsked is the maximum number of successors asked for an issuer's
	// records. A few are enough even while VMs join and leave, because all VMs
	// compute the same ranking.
	maxSuccessorsAsked = 3
)

// Successors returns the VMs that may take over an issuer's records, highest rank
// first: those of its failure domain, or of all failure domains if its own has no
// other VM. All VMs with the same view compute the same ranking, so the records
// can be located without a directory.
func Successors(current *view.View, issuer Issuer) []view.VM {
	ranked := excludeIssuer(current.DomainVMs(issuer.FailureDomain), issuer)
	if len(ranked) == 0 {
		for _, domain := range current.Configuration.GetFailureDomains() {
			ranked = append(ranked, excludeIssuer(current.DomainVMs(domain.Name), issuer)...)
		}
	}
	key := issuer.VM + strconv.FormatUint(issuer.Incarnation, 36)
	sort.Slice(ranked, func(i, j int) bool {
		return xxhash.Sum64String(key+ranked[i].ID) < xxhash.Sum64String(key+ranked[j].ID)
	})
	return ranked
}

func excludeIssuer(vms []view.VM, issuer Issuer) []view.VM {
	var others []view.VM
	for _, vm := range vms {
		if vm.ID != issuer.VM || vm.Incarnation != issuer.Incarnation {
			others = append(others, vm)
		}
	}
	return others
}

// candidates returns the remote VMs that may serve an issuer's tokens, the most
// likely first: the issuer itself, then its successors.
func (c *Runner) candidates(issuer Issuer) []view.VM {
	current := c.options.Views.Current()
	var ranked []view.VM
	if vm, ok := current.VM(issuer.VM); ok && vm.Incarnation == issuer.Incarnation {
		ranked = append(ranked, vm)
	}
	successors := Successors(current, issuer)
	ranked = append(ranked, successors[:min(maxSuccessorsAsked, len(successors))]...)
	var remote []view.VM
	for _, vm := range ranked {
		if vm.ID != c.self.VM {
			remote = append(remote, vm)
		}
	}
	return remote
}

const (
	// handoverWait bounds how long a request waits for a successor to take over the records
	// of a VM that stops. Handing over takes some milliseconds.
	handoverWait = time.Second
	// handoverPollInterval is the time between two rounds of asking for the VM that serves.
	handoverPollInterval = 10 * time.Millisecond
)

// forward passes a submission to the VM that serves the token's issuer. At most
// one VM does, so asking several does not run a change twice. Even if a call is
// known not to have been delivered, the outcome is unknown: an earlier submission
// under the token may have run.
func (c *Runner) forward(ctx context.Context, token Token, r *pb.SubmitChangeRequest) *pb.SubmitChangeResponse {
	local := func() *pb.SubmitChangeResponse { return c.submitLocally(ctx, token, r) }
	response, reason := askServing(ctx, c, token, local, func(vm view.VM) (*pb.SubmitChangeResponse, bool, error) {
		c.options.Decisions.Record(&pb.Decision{
			Kind:      pb.DecisionKind_DECISION_KIND_FORWARD,
			RequestId: r.Token,
			Owner:     vm.ID,
			Reason:    "may serve the token's issuer",
		})
		response, err := c.options.Forwarder.ForwardChange(ctx, vm, r)
		return response.GetResponse(), response.GetServed(), err
	})
	if response == nil {
		return c.respond(r.Token, unknownResult(reason))
	}
	return response
}

func (c *Runner) forwardOutcome(ctx context.Context, token Token) *pb.GetOutcomeResponse {
	request := &pb.GetOutcomeRequest{Token: token.String()}
	local := func() *pb.GetOutcomeResponse { return c.lookupOutcome(token) }
	response, reason := askServing(ctx, c, token, local, func(vm view.VM) (*pb.GetOutcomeResponse, bool, error) {
		response, err := c.options.Forwarder.ForwardOutcome(ctx, vm, request)
		return response.GetResponse(), response.GetServed(), err
	})
	if response == nil {
		return outcomeResponse(request.Token, unknownResult(reason))
	}
	return response
}

// askServing calls ask for the VMs that may serve the token's issuer until one does, and
// returns its response. While the issuer may be handing over its records, no VM serves for
// a moment: the VMs are then asked again, and local is called if it is this VM that has
// taken the records over. The reason tells why the response is nil.
func askServing[R any](
	ctx context.Context, c *Runner, token Token, local func() *R, ask func(view.VM) (*R, bool, error),
) (response *R, reason string) {
	until := time.Now().Add(handoverWait)
	for {
		reason = reasonIssuerNotFound
		for _, vm := range c.candidates(token.Issuer) {
			response, served, err := ask(vm)
			if err == nil && served {
				return response, ""
			}
			if err != nil {
				reason = vm.ID + " does not answer; whether the change ran is not known here"
			}
		}
		if !c.mayBeHandingOver(token.Issuer) || time.Now().After(until) || !sleep(ctx, handoverPollInterval) {
			return nil, reason
		}
		if c.servesNow(token.Issuer) {
			return local(), ""
		}
	}
}

// servesNow reports whether this VM serves the issuer's tokens and is not stopping.
func (c *Runner) servesNow(issuer Issuer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.records.Serves(issuer) && !c.records.Stopped()
}

// mayBeHandingOver reports whether the issuer is this process, or one that other VMs still
// know.
func (c *Runner) mayBeHandingOver(issuer Issuer) bool {
	if issuer == c.self {
		return true
	}
	vm, ok := c.options.Views.Current().VM(issuer.VM)
	return ok && vm.Incarnation == issuer.Incarnation
}

// sleep waits for the duration and reports false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
