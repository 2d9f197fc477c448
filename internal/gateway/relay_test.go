package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/carawayreel/carawayreel/internal/delegation"
	"github.com/carawayreel/carawayreel/internal/gateway"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/pause"
	"github.com/carawayreel/carawayreel/internal/standin/users"
	"github.com/carawayreel/carawayreel/internal/view"
)

// relayFixture is a VM that gathers in the failure domain a, and a relay in b. Half of the
// shards have their targets in a, the others in b.
type relayFixture struct {
	gatherer, relay *fixture
	targets         map[string]*users.Target
}

const shardsPerDomain = 8

func newRelayFixture(t *testing.T) *relayFixture {
	t.Helper()
	return newRelayFixtureWith(t, func(*gateway.Options) {})
}

// newRelayFixtureWith is newRelayFixture with options of the relay that the test modifies.
func newRelayFixtureWith(t *testing.T, modify func(*gateway.Options)) *relayFixture {
	t.Helper()
	f := &relayFixture{targets: map[string]*users.Target{}}
	client := newGatherClient()
	f.gatherer = newFixtureWith(t, func(o *gateway.Options) { o.Gatherers = client })
	f.relay = newFixtureWith(t, func(o *gateway.Options) {
		o.Gatherers = client
		modify(o)
	})
	configuration := &pb.Configuration{Revision: 2, RouteTable: &pb.RouteTable{Version: 4, Routes: []*pb.Route{{
		Name: "gather", Host: "h", Prefix: "/g/", Idempotent: true, TimeLimitMs: 800, LatencyGoalMs: 300, MaxTargets: 2,
		RowLimit: 3, LeastCoverage: 0.5,
	}}}}
	route := configuration.RouteTable.Routes[0]
	for i := range 2 * shardsPerDomain {
		domain := []string{"a", "b"}[i/shardsPerDomain]
		shard := fmt.Sprintf("s%d", i)
		target := users.NewTarget(shard, shard, domain, recordBody(byte(10*i+9)))
		t.Cleanup(target.Server.Close)
		f.targets[shard] = target
		route.Shards = append(route.Shards, shard)
		configuration.Registrations = append(configuration.Registrations, &pb.Registration{
			Id: shard, Service: shard, Address: target.Server.Listener.Addr().String(), FailureDomain: domain,
			Slots: 2, State: pb.RegistrationState_REGISTRATION_STATE_READY, StartedUnixMs: 1, Revision: 1,
		})
	}
	f.serve(t, configuration, f.relay.gateway.GatherHandler())
	return f
}

// serve makes the handler the relay, and the configuration that of both VMs.
func (f *relayFixture) serve(t *testing.T, configuration *pb.Configuration, handler http.Handler) {
	t.Helper()
	_, port := startGatherServer(t, handler)
	vm := func(id, domain string, millicores uint32) view.VM { return gatherVM(id, domain, millicores, port) }
	gatherer, relay := vm("vm", "a", 800), vm("relay", "b", 800)
	small := []view.VM{vm("small1", "a", 192), vm("small2", "b", 192), vm("small3", "a", 192)}
	f.gatherer.views.current.Store(view.Build(view.Input{Self: gatherer, VMs: append(small, relay), Configuration: configuration}, nil))
	f.relay.views.current.Store(view.Build(view.Input{Self: relay, VMs: append(small, gatherer), Configuration: configuration}, nil))
}

// replace makes the handler the relay.
func (f *relayFixture) replace(t *testing.T, handler http.HandlerFunc) {
	t.Helper()
	f.serve(t, f.gatherer.views.Current().Configuration, handler)
}

// gather sends a request and checks the records of the answer, of which the greatest are
// those of the last shard in b.
func (f *relayFixture) gather(t *testing.T) callerResponse {
	t.Helper()
	response, body := f.gatherer.do(t, "GET", "/g/x?q=1", "")
	require.Equal(t, 200, response.StatusCode)
	want := string(bytes.Repeat([]byte{159}, 16)) + string(bytes.Repeat([]byte{158}, 16)) + string(bytes.Repeat([]byte{149}, 16))
	require.Equal(t, want, body)
	require.Equal(t, "0", response.Header.Get("X-Missing-Parts"))
	return response
}

func (f *relayFixture) counter(vm *fixture, name string) string {
	var text bytes.Buffer
	vm.metrics.WritePrometheus(&text)
	for line := range strings.SplitSeq(text.String(), "\n") {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return value
		}
	}
	return ""
}

func TestAttemptsInAnotherDomainAreRelayed(t *testing.T) {
	f := newRelayFixture(t)
	response := f.gather(t)
	seals := strings.Split(response.Header.Get("X-Part-Seals"), ", ")
	require.Len(t, seals, 2*shardsPerDomain)
	require.Equal(t, "1", f.counter(f.relay, "carawayreel_delegation_batches_relayed_total"))
	for shard, target := range f.targets {
		require.Len(t, target.Runs(), 1, shard)
		run := target.Runs()[0]
		require.Equal(t, "/g/x?q=1", run.URI)
		require.Equal(t, "r1", run.ID)
		require.Equal(t, []string{shard}, run.Header["X-Target-Instance"])
		require.Len(t, run.Header["X-Deadline-Ms"], 1)
		for name := range run.Header {
			require.NotContains(t, name, "Carawayreel")
		}
	}
}

// A relay with another version of the routes, or one that does not know a target, does not
// send to it. The VM does so itself.
func TestAttemptsAreSentDirectlyIfTheRelayDoesNotSend(t *testing.T) {
	for name, change := range map[string]func(c *pb.Configuration){
		"other version": func(c *pb.Configuration) { c.RouteTable.Version = 5 },
		"unknown target": func(c *pb.Configuration) {
			c.Registrations = c.Registrations[:len(c.Registrations)-1]
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRelayFixture(t)
			old := f.relay.views.Current()
			c := proto.CloneOf(old.Configuration)
			c.Revision++
			change(c)
			f.relay.views.current.Store(view.Build(view.Input{Self: old.Self, Configuration: c}, nil))
			f.gather(t)
			for shard, target := range f.targets {
				require.Len(t, target.Runs(), 1, shard)
			}
		})
	}
}

// slowBody is a body that takes a while to read.
type slowBody struct{ delay time.Duration }

func (b slowBody) Read([]byte) (int, error) {
	time.Sleep(b.delay)
	return 0, io.EOF
}

// A relay whose process was paused since it received a batch may have an old
// configuration.
func TestRelayThatWasPausedSendsNothing(t *testing.T) {
	const threshold = 100 * time.Millisecond
	pauses := pause.NewDetector(threshold)
	pauses.Start(time.Now())
	f := newRelayFixtureWith(t, func(o *gateway.Options) { o.Pauses = pauses })
	r := httptest.NewRequest(http.MethodGet, "/g/x", slowBody{delay: 2 * threshold})
	r.Host = "h"
	r.Header.Set("X-Attempt-Id", "r1")
	delegation.Request{RouteVersion: 4, Targets: []string{"s8"}, StragglerDelay: time.Second}.SetHeaders(r.Header)
	w := httptest.NewRecorder()
	f.relay.gateway.GatherHandler().ServeHTTP(w, r)
	require.Equal(t, 503, w.Code)
	require.Empty(t, f.targets["s8"].Runs())
}

// A relay that is lost, paused or returns half an answer costs no answer: each shard has a
// second target or, as here, gets the request once more.
func TestLossOfTheRelayCostsNoAnswer(t *testing.T) {
	answerTo := func(w http.ResponseWriter, r *http.Request) {
		_, _ = delegation.TakeRequest(r.Header)
		delegation.SetAnswerHeaders(w.Header(), "r1")
	}
	for name, handler := range map[string]http.HandlerFunc{
		"no answer": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"half an answer": func(w http.ResponseWriter, r *http.Request) {
			answerTo(w, r)
			w.Header().Set("Content-Length", "48")
			_, _ = w.Write(make([]byte, 16))
			panic(http.ErrAbortHandler)
		},
		"no message": func(w http.ResponseWriter, r *http.Request) {
			answerTo(w, r)
			_, _ = w.Write(bytes.Repeat([]byte{0xff}, 48))
		},
		"too few replies": func(w http.ResponseWriter, r *http.Request) {
			answerTo(w, r)
			_, _ = w.Write(nil)
		},
		"reply without a receipt": func(w http.ResponseWriter, r *http.Request) {
			answerTo(w, r)
			message := &pb.RelayedReplies{}
			for range shardsPerDomain {
				message.Replies = append(message.Replies, &pb.RelayedReply{Result: pb.RelayedResult_RELAYED_RESULT_SUCCEEDED})
			}
			body, _ := proto.Marshal(message)
			_, _ = w.Write(body)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRelayFixture(t)
			f.replace(t, handler)
			f.gather(t)
		})
	}
}

func TestStragglerOfABatchIsRetriedDirectly(t *testing.T) {
	f := newRelayFixture(t)
	for range 3 {
		f.gather(t)
	}
	f.targets["s15"].SetBehavior(users.Behavior{Delay: 400 * time.Millisecond})
	began := time.Now()
	response, _ := f.gatherer.do(t, "GET", "/g/x", "")
	require.Equal(t, 200, response.StatusCode)
	require.Equal(t, "1", response.Header.Get("X-Missing-Parts"))
	require.Less(t, time.Since(began), 300*time.Millisecond, "the other replies of the batch are in time")
	require.Eventually(t, func() bool { return len(f.targets["s15"].Runs()) >= 4 }, time.Second, time.Millisecond)
}

// The caller's departure ends the work at the relay's targets.
func TestCallerThatLeavesEndsTheRelaying(t *testing.T) {
	f := newRelayFixture(t)
	for _, target := range f.targets {
		target.SetBehavior(users.Behavior{Delay: 300 * time.Millisecond})
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, _, err := f.gatherer.request(t, ctx, "GET", "/g/x", "")
	require.Error(t, err)
	require.Eventually(t, func() bool {
		abandoned := 0
		for _, target := range f.targets {
			abandoned += target.Abandoned()
		}
		return abandoned >= 2*shardsPerDomain
	}, 2*time.Second, time.Millisecond)
}
