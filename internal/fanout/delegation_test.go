package fanout_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/fanout"
	"github.com/carawayreel/carawayreel/internal/routing"
)

// delegatedRoute returns the route on which a VM delegates to one gatherer in each of the
// given failure domains.
func delegatedRoute(vm string, domains ...string) *routing.Route {
	gatherers := make([]*routing.Target, len(domains))
	for i, domain := range domains {
		gatherers[i] = target("gatherer", domain)
	}
	return gatheringRoute(services(4)).Delegated(routing.Location{VM: vm, FailureDomain: "x"}, gatherers)
}

// A gatherer that was killed refuses connections until the membership drops it. Requests
// go to another one at once, and return to it after its restart.
func TestDelegatedRequestsAvoidALostGatherer(t *testing.T) {
	lost := func(s *simulation) bool {
		since := s.now.Sub(start)
		return since > time.Second && since < 3*time.Second
	}
	served := map[string]int{}
	s := newSimulation(1, func(s *simulation, target *routing.Target) (time.Duration, *backend.Reply, error) {
		if target.FailureDomain == "a" && lost(s) {
			return time.Millisecond, nil, errNotSent
		}
		if s.now.Sub(start) > 16*time.Second {
			served[target.FailureDomain]++
		}
		return 20 * time.Millisecond, goodReply("r"), nil
	})
	for vm := range 12 {
		shared, route := newSharedState(), delegatedRoute(string(rune('A'+vm)), "a", "b", "c")
		for i := range 100 {
			s.after(time.Duration(i)*200*time.Millisecond, func() { s.request(shared, route) })
		}
	}
	s.runEvents()
	for _, a := range s.answers {
		require.Equal(t, fanout.Complete, a.answer.Outcome)
		require.Less(t, a.took, 25*time.Millisecond)
	}
	for _, domain := range []string{"a", "b", "c"} {
		require.Positive(t, served[domain], "the VMs spread over the gatherers, also after the return of one")
	}
}

// The listening socket of a process that is killed accepts connections until the kernel
// has closed all sockets, and then resets them. Each caller, which sends its next request
// as soon as one has failed, loses one request at most: the others are gathered by the VM
// itself.
func TestEndingGathererIsNotTriedAgain(t *testing.T) {
	const callers, resets = 8, 20 * time.Millisecond
	s := newSimulation(1, func(s *simulation, _ *routing.Target) (time.Duration, *backend.Reply, error) {
		if s.now.Sub(start) < resets {
			return time.Millisecond, nil, errLost
		}
		return time.Millisecond, nil, errNotSent
	})
	shared, route := newSharedState(), delegatedRoute("vm", "a")
	for range callers {
		for i := range 100 {
			s.after(time.Duration(i)*2*time.Millisecond, func() { s.request(shared, route) })
		}
	}
	s.runEvents()
	lost := 0
	for _, a := range s.answers {
		if a.answer.Outcome == fanout.Failed {
			lost++
		} else {
			require.Equal(t, fanout.NotRun, a.answer.Outcome)
		}
	}
	require.LessOrEqual(t, lost, callers)
}

// A gatherer may have run a request before it was lost. The request is not sent to
// another one, since both could together exceed the bound on targets, and the caller is
// never told that it has not run.
func TestDelegatedRequestRunsOnOneGatherer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.IntRange(0, 5)
		mayHaveRun := 0
		s := newSimulation(1, func(_ *simulation, _ *routing.Target) (time.Duration, *backend.Reply, error) {
			took := time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
			switch kind.Draw(t, "kind") {
			case 0:
				return took, nil, errNotSent
			case 1:
				return took, notRunReply(), nil
			case 2:
				return took, nil, backend.ErrBusy
			case 3:
				mayHaveRun++
				return took, nil, errLost
			case 4:
				mayHaveRun++
				return took, failedReply(), nil
			default:
				mayHaveRun++
				return took, goodReply("r"), nil
			}
		})
		s.request(newSharedState(), delegatedRoute("vm", "a", "b", "c", "d"))
		s.runEvents()
		require.Len(t, s.answers, 1)
		require.LessOrEqual(t, mayHaveRun, 1)
		if mayHaveRun > 0 {
			require.NotEqual(t, fanout.NotRun, s.answers[0].answer.Outcome)
		}
	})
}
