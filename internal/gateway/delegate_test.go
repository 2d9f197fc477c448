package gateway_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/delegation"
	"github.com/carawayreel/carawayreel/internal/gateway"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/standin/users"
	"github.com/carawayreel/carawayreel/internal/view"
	"github.com/carawayreel/carawayreel/platform"
)

// delegationFixture is a small VM and a gatherer, each with targets of its own, so that
// the targets show which VM gathered.
type delegationFixture struct {
	small, gatherer *fixture
	gatherServer    *httptest.Server
}

func newDelegationFixture(t *testing.T) *delegationFixture {
	t.Helper()
	client := newGatherClient()
	f := &delegationFixture{
		small:    newFixtureWith(t, func(o *gateway.Options) { o.Gatherers = client }),
		gatherer: newFixture(t),
	}
	f.serve(t, f.gatherer.gateway.GatherHandler())
	return f
}

// serve makes the handler the gatherer that the small VM knows.
func (f *delegationFixture) serve(t *testing.T, handler http.Handler) {
	t.Helper()
	var port uint32
	f.gatherServer, port = startGatherServer(t, handler)
	vm := func(id string, millicores uint32) view.VM { return gatherVM(id, "a", millicores, port) }
	f.small.views.current.Store(view.Build(view.Input{
		Self: vm("vm", 192), VMs: []view.VM{vm("vm2", 192), vm("vm3", 192), vm("large", 800)},
		Configuration: f.small.views.Current().Configuration,
	}, nil))
}

// newGatherClient returns a client of gatherers.
func newGatherClient() *backend.Client {
	return backend.NewClient(delegation.Dialect{Dialect: platform.Headers{}}, "", metrics.NewSet(), delegation.MetricPrefix)
}

// startGatherServer serves the handler until the test ends, and returns the server's port.
func startGatherServer(t *testing.T, handler http.Handler) (*httptest.Server, uint32) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	_, port, err := net.SplitHostPort(server.Listener.Addr().String())
	require.NoError(t, err)
	number, err := strconv.Atoi(port)
	require.NoError(t, err)
	return server, uint32(number)
}

// gatherVM returns a live VM that offers to gather on the port. Each port is another
// incarnation.
func gatherVM(id, domain string, millicores, port uint32) view.VM {
	return view.VM{
		ID: id, FailureDomain: domain, PeerAddress: "127.0.0.1:1", GatherPort: port, Incarnation: uint64(port),
		ProcessorMillicores: millicores, State: pb.MemberState_MEMBER_STATE_ALIVE,
	}
}

func runs(f *fixture) int {
	n := 0
	for _, target := range f.targets {
		n += len(target.Runs())
	}
	return n
}

func TestGatheringIsDelegated(t *testing.T) {
	f := newDelegationFixture(t)
	response, body := f.small.do(t, "GET", "/g/x?q=1", "")
	require.Equal(t, 200, response.StatusCode)
	require.Len(t, body, 3*16)
	require.NotEmpty(t, response.Header.Get("X-Part-Seals"))
	require.Equal(t, "0", response.Header.Get("X-Missing-Parts"))
	require.Zero(t, runs(f.small))
	require.Equal(t, 2, runs(f.gatherer))
	for _, target := range f.gatherer.targets {
		for _, run := range target.Runs() {
			require.Equal(t, "/g/x?q=1", run.URI)
			require.Equal(t, "r1", run.ID)
			require.Equal(t, "kept", run.Header.Get("X-Own"))
			require.Len(t, run.Header["X-Deadline-Ms"], 1)
			require.Len(t, run.Header["X-Target-Instance"], 1)
			for name := range run.Header {
				require.NotContains(t, name, "Carawayreel")
			}
		}
	}
	for name := range response.Header {
		require.NotContains(t, name, "Carawayreel")
	}
	f.small.do(t, "GET", "/f/x", "")
	require.Equal(t, 1, runs(f.small), "other routes are served directly")
}

// The headers that a delegated request carries in addition don't count towards the limit
// of callers.
func TestDelegationAddsNothingToTheCallersHeaders(t *testing.T) {
	f := newDelegationFixture(t)
	status := 200
	for size := 3700; status != 431; size += 10 {
		f.small.extraHeader = strings.Repeat("x", size)
		response, _ := f.small.do(t, "GET", "/g/x", "")
		status = response.StatusCode
		require.Contains(t, []int{200, 431}, status)
		require.Zero(t, runs(f.small), "%d bytes", size)
	}
}

// After a start or a pause of the process, it knows only some members.
func TestVMGathersUntilTheMembersAreConfirmed(t *testing.T) {
	f := newDelegationFixture(t)
	confirmed := f.small.views.Current()
	unconfirmed := *confirmed
	unconfirmed.Paused = true
	f.small.views.current.Store(&unconfirmed)
	response, _ := f.small.do(t, "GET", "/g/x", "")
	require.Equal(t, 200, response.StatusCode)
	require.Zero(t, runs(f.gatherer))
	f.small.views.current.Store(confirmed)
	f.small.do(t, "GET", "/g/x", "")
	require.Equal(t, 2, runs(f.gatherer))
}

// While a configuration propagates, the gatherer may have another version of the routes:
// the VM would see an answer of a version that it does not use itself.
func TestVMGathersWhileTheGathererHasAnotherVersion(t *testing.T) {
	f := newDelegationFixture(t)
	c := f.gatherer.views.Current().Configuration
	f.gatherer.views.set(&pb.Configuration{
		Revision: 2, Registrations: c.Registrations,
		RouteTable: &pb.RouteTable{Version: 4, Routes: c.RouteTable.Routes, Limits: c.RouteTable.Limits},
	})
	response, _ := f.small.do(t, "GET", "/g/x", "")
	require.Equal(t, 200, response.StatusCode)
	require.Zero(t, runs(f.gatherer))
	require.Equal(t, 2, runs(f.small))
}

func TestVMGathersWhenTheGathererIsGone(t *testing.T) {
	f := newDelegationFixture(t)
	f.gatherServer.Close()
	response, _ := f.small.do(t, "GET", "/g/x", "")
	require.Equal(t, 200, response.StatusCode)
	require.Equal(t, 2, runs(f.small))
}

// A gatherer that is lost in the middle may have run the request, so it is not run again.
// Half an answer is no success.
func TestLossOfTheGathererIsNoSuccessAndRunsNothingAgain(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"no answer": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"half an answer": func(w http.ResponseWriter, r *http.Request) {
			delegation.SetAnswerHeaders(w.Header(), r.Header.Get("X-Attempt-Id"))
			w.Header().Set("Content-Length", "48")
			_, _ = w.Write(make([]byte, 16))
			panic(http.ErrAbortHandler)
		},
		"answer to another request": func(w http.ResponseWriter, _ *http.Request) {
			delegation.SetAnswerHeaders(w.Header(), "other")
			_, _ = w.Write(make([]byte, 16))
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newDelegationFixture(t)
			f.serve(t, handler)
			response, _ := f.small.do(t, "GET", "/g/x", "")
			require.Equal(t, 502, response.StatusCode)
			require.Zero(t, runs(f.small))
		})
	}
}

// A gatherer that is paused leaves the caller half of the time for another VM.
func TestSilentGathererIsGivenUpHalfway(t *testing.T) {
	f := newDelegationFixture(t)
	release := make(chan struct{})
	f.serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(func() { close(release) })
	began := time.Now()
	response, _ := f.small.do(t, "GET", "/g/x", "")
	require.Equal(t, 504, response.StatusCode)
	require.Less(t, time.Since(began), 700*time.Millisecond*3/4)
}

func TestCallerThatLeavesEndsTheGathering(t *testing.T) {
	f := newDelegationFixture(t)
	for _, target := range f.gatherer.targets {
		target.SetBehavior(users.Behavior{Delay: 300 * time.Millisecond})
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, _, err := f.small.request(t, ctx, "GET", "/g/x", "")
	require.Error(t, err)
	require.Eventually(t, func() bool {
		abandoned := 0
		for _, target := range f.gatherer.targets {
			abandoned += target.Abandoned()
		}
		return abandoned >= 2
	}, 2*time.Second, time.Millisecond)
}

// Other VMs keep their connections to a gatherer open in a planned stop.
func TestStoppingGathererAnswersAndClosesConnections(t *testing.T) {
	f := newDelegationFixture(t)
	f.gatherer.gateway.Stop(time.Now().Add(time.Second))
	for range 3 {
		response, _ := f.small.do(t, "GET", "/g/x", "")
		require.Equal(t, 200, response.StatusCode)
	}
	require.Zero(t, runs(f.small))
}

func TestRequestsOfCallersAreNotDelegatedOnes(t *testing.T) {
	f := newDelegationFixture(t)
	response, err := http.Get(f.gatherServer.URL + "/g/x")
	require.NoError(t, err)
	_ = response.Body.Close()
	require.Equal(t, 400, response.StatusCode)
}

// Guards against a VM that sends a request to targets itself because the gatherer refuses it:
// its content has crashed targets there.
func TestContentThatAGathererRefusesIsNotSent(t *testing.T) {
	f := newDelegationFixture(t)
	for _, target := range f.gatherer.targets {
		target.SetBehavior(users.Behavior{CrashOn: "poison", Down: 100 * time.Millisecond})
	}
	response, _ := f.small.do(t, "GET", "/g/poison", "")
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	crashed := runs(f.gatherer)
	time.Sleep(200 * time.Millisecond)
	for range 3 {
		response, _ = f.small.do(t, "GET", "/g/poison", "")
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.NotEmpty(t, response.Header.Get("Retry-After"))
		require.Empty(t, response.Header.Get("Carawayreel-Content-Refused-Us"))
	}
	require.Zero(t, runs(f.small))
	require.Equal(t, crashed, runs(f.gatherer))
	response, _ = f.small.do(t, "GET", "/g/clean", "")
	require.Equal(t, http.StatusOK, response.StatusCode)
}
