package gateway_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/standin/users"
)

// unknownStatuses are statuses that HTTP does not define a class for.
var unknownStatuses = []string{"000", "001", "099", "+20", "600", "999"}

// sendUnknownStatus makes the targets reply with the status, and state that they did not run the
// request, which such a reply must not prove.
func sendUnknownStatus(targets map[string]*users.Target, status string) {
	for _, target := range targets {
		target.SetBehavior(users.Behavior{RawStatus: status, Header: http.Header{"X-Not-Executed": {"1"}}})
	}
}

// requireBadGateway checks that a request is answered with 502, without anything of the targets.
func requireBadGateway(t *testing.T, f *fixture, method, uri string) {
	t.Helper()
	response, body, err := f.request(t, context.Background(), method, uri, "")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Empty(t, body)
	require.Empty(t, response.Header["X-Server-Seal"])
	require.Empty(t, response.Header["X-Part-Seals"])
}

// Guards against a reply with a status that HTTP does not know reaching a caller as an answer, ending
// its connection without an answer, or proving that a request did not run.
func TestUnknownStatusIsABadGateway(t *testing.T) {
	for _, status := range unknownStatuses {
		t.Run(status, func(t *testing.T) {
			f := newFixture(t)
			sendUnknownStatus(f.targets, status)
			requireBadGateway(t, f, "POST", "/e/x")
			require.Equal(t, 1, runs(f), "a request that may have run is not sent again")
			requireBadGateway(t, f, "GET", "/f/x")
			requireBadGateway(t, f, "GET", "/g/x")
		})
	}
}

// Guards against a retry that is not made because a reply with an unknown status counts as one.
func TestUnknownStatusIsRetried(t *testing.T) {
	f := newFixture(t)
	for _, id := range []string{"ua", "g0a"} {
		f.targets[id].SetBehavior(users.Behavior{RawStatus: "000"})
	}
	for range 10 {
		response, _ := f.do(t, "GET", "/f/x", "")
		require.Equal(t, http.StatusOK, response.StatusCode)
		response, _ = f.do(t, "GET", "/g/x", "")
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, "0", response.Header.Get("X-Missing-Parts"))
	}
}

// Guards against the same on requests that another VM gathers.
func TestUnknownStatusIsABadGatewayWhenDelegated(t *testing.T) {
	for _, status := range unknownStatuses {
		t.Run(status, func(t *testing.T) {
			f := newDelegationFixture(t)
			sendUnknownStatus(f.gatherer.targets, status)
			requireBadGateway(t, f.small, "GET", "/g/x")
			require.Positive(t, runs(f.gatherer))
			require.Zero(t, runs(f.small))
		})
	}
}

// Guards against the same on attempts that another VM relays.
func TestUnknownStatusIsABadGatewayWhenRelayed(t *testing.T) {
	for _, status := range unknownStatuses {
		t.Run(status, func(t *testing.T) {
			f := newRelayFixture(t)
			sendUnknownStatus(f.targets, status)
			requireBadGateway(t, f.gatherer, "GET", "/g/x")
			require.NotEqual(t, "0", f.counter(f.relay, "carawayreel_delegation_batches_relayed_total"))
		})
	}
}
