package target_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1/carawayreelv1connect"
	"github.com/carawayreel/carawayreel/internal/target"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

// cancellationDelay is how long the fake target keeps running a call after its cancellation.
const cancellationDelay = 20 * time.Millisecond

// fakeTarget is a target that counts applied changes and open connections.
type fakeTarget struct {
	carawayreelv1connect.UnimplementedTargetServiceHandler
	*httptest.Server
	applied atomic.Int64
	// dropReplies closes the connection after applying a change, without a reply.
	dropReplies atomic.Bool
	// block keeps searches running until they are cancelled.
	block   atomic.Bool
	running atomic.Int64

	// acceptEncoding holds the Accept-Encoding header of the last search.
	acceptEncoding atomic.Value

	mu      sync.Mutex
	open    int
	maxOpen int
}

// countingListener counts the open connections of the fake target, each until just before it is closed.
type countingListener struct {
	net.Listener
	fake *fakeTarget
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.fake.addOpen(1)
	return &countedConn{Conn: c, fake: l.fake}, nil
}

type countedConn struct {
	net.Conn
	fake *fakeTarget
	once sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.fake.addOpen(-1) })
	return c.Conn.Close()
}

func (f *fakeTarget) addOpen(delta int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open += delta
	f.maxOpen = max(f.maxOpen, f.open)
}

func newFakeTarget(t *testing.T) *fakeTarget {
	f := &fakeTarget{}
	mux := http.NewServeMux()
	mux.Handle(carawayreelv1connect.NewTargetServiceHandler(f))
	f.Server = httptest.NewUnstartedServer(mux)
	f.Listener = &countingListener{Listener: f.Listener, fake: f}
	f.Start()
	t.Cleanup(f.Close)
	return f
}

func (f *fakeTarget) Apply(_ context.Context, r *connect.Request[pb.TargetApplyRequest]) (*connect.Response[pb.TargetApplyResponse], error) {
	f.applied.Add(1)
	if f.dropReplies.Load() {
		panic(http.ErrAbortHandler)
	}
	return connect.NewResponse(&pb.TargetApplyResponse{Token: r.Msg.Token, Status: pb.TargetStatus_TARGET_STATUS_OK}), nil
}

func (f *fakeTarget) Search(ctx context.Context, r *connect.Request[pb.TargetSearchRequest]) (*connect.Response[pb.TargetSearchResponse], error) {
	f.running.Add(1)
	defer f.running.Add(-1)
	f.acceptEncoding.Store(r.Header().Get("Accept-Encoding"))
	if f.block.Load() {
		<-ctx.Done()
		time.Sleep(cancellationDelay)
		return nil, ctx.Err()
	}
	return connect.NewResponse(&pb.TargetSearchResponse{
		RequestId: r.Msg.RequestId, Attempt: r.Msg.Attempt, Status: pb.TargetStatus_TARGET_STATUS_OK, Snapshot: r.Msg.Snapshot,
	}), nil
}

func (f *fakeTarget) client(connections int) *target.Client {
	return target.New(target.Options{
		Address: f.Listener.Addr().String(), Connections: connections, Setup: 100 * time.Microsecond,
	})
}

func requireKind(t *testing.T, want target.FailureKind, err error) *target.Error {
	t.Helper()
	var failure *target.Error
	require.True(t, errors.As(err, &failure), "%v", err)
	require.Equal(t, want, failure.Kind, err)
	return failure
}

var applyRequest = &pb.TargetApplyRequest{Token: "t"}

// A change whose connection breaks after it was applied must run only once, even over a reused connection,
// for which net/http retries replayable requests.
func TestNetHTTPDoesNotRetryChanges(t *testing.T) {
	f := newFakeTarget(t)
	c := f.client(1)
	_, err := c.Apply(t.Context(), applyRequest, nil)
	require.NoError(t, err)
	f.dropReplies.Store(true)
	_, err = c.Apply(t.Context(), applyRequest, nil)
	_ = requireKind(t, target.Broken, err)
	require.EqualValues(t, 2, f.applied.Load())
}

// Without noRetryClient, net/http retries a request with an idempotency key after a broken connection.
func TestNetHTTPRetriesWithoutNoRetryClient(t *testing.T) {
	f := newFakeTarget(t)
	send := func() {
		url := f.URL + carawayreelv1connect.TargetServiceApplyProcedure
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader([]byte(`{"token":"t"}`)))
		require.NoError(t, err)
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set("Idempotency-Key", "t")
		response, err := f.Client().Do(request)
		if err == nil {
			var body bytes.Buffer
			_, _ = body.ReadFrom(response.Body)
			_ = response.Body.Close()
		}
	}
	send()
	f.dropReplies.Store(true)
	send()
	require.Greater(t, f.applied.Load(), int64(2))
}

func TestRedirectIsNotFollowed(t *testing.T) {
	f := newFakeTarget(t)
	redirect := httptest.NewServer(http.RedirectHandler(f.URL+carawayreelv1connect.TargetServiceApplyProcedure, http.StatusTemporaryRedirect))
	t.Cleanup(redirect.Close)
	c := target.New(target.Options{Address: redirect.Listener.Addr().String(), Connections: 1})
	_, err := c.Apply(t.Context(), applyRequest, nil)
	_ = requireKind(t, target.Invalid, err)
	require.Zero(t, f.applied.Load())
}

func TestFailedCheckWritesNothing(t *testing.T) {
	f := newFakeTarget(t)
	c := f.client(2)
	errCheck := errors.New("paused")
	_, err := c.Apply(t.Context(), applyRequest, func() error { return errCheck })
	failure := requireKind(t, target.Withheld, err)
	require.False(t, failure.Sent())
	require.ErrorIs(t, err, errCheck)
	require.Zero(t, f.applied.Load())
}

// A check that fails between two writes of a request, as when the target is handed over in between, is neither a
// break of the connection nor a request that may have run.
func TestCheckThatFailsHalfwayIsNotABreak(t *testing.T) {
	f := newFakeTarget(t)
	c := f.client(2)
	_, err := c.Apply(t.Context(), applyRequest, nil)
	require.NoError(t, err)
	errCheck := errors.New("paused")
	checks := 0
	long := &pb.TargetApplyRequest{Token: strings.Repeat("t", 64<<10)}
	_, err = c.Apply(t.Context(), long, func() error {
		if checks++; checks > 1 {
			return errCheck
		}
		return nil
	})
	failure := requireKind(t, target.Withheld, err)
	require.False(t, failure.Sent())
	require.ErrorIs(t, err, errCheck)
	require.Eventually(t, func() bool { return c.Connections() == 0 }, 2*time.Second, time.Millisecond)
	require.EqualValues(t, 1, f.applied.Load())
}

func TestShortRequestIsOneWrite(t *testing.T) {
	f := newFakeTarget(t)
	checks := 0
	_, err := f.client(1).Apply(t.Context(), applyRequest, func() error {
		checks++
		return nil
	})
	require.NoError(t, err)
	require.Equal(t, 1, checks)
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	f := newFakeTarget(t)
	f.Close()
	_, err := f.client(1).Apply(t.Context(), applyRequest, nil)
	require.False(t, requireKind(t, target.ConnectFailed, err).Sent())
}

// The connections of cancelled calls count against the budget until the target has closed them, so that the
// target never holds more connections than the budget.
func TestConnectionsStayWithinTheBudget(t *testing.T) {
	const budget = 3
	f := newFakeTarget(t)
	f.block.Store(true)
	c := f.client(budget)
	for range 20 {
		var wait sync.WaitGroup
		for range 2 * budget {
			wait.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
				defer cancel()
				_, _ = c.Search(ctx, &pb.TargetSearchRequest{RequestId: "r"}, nil)
			})
		}
		wait.Wait()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	require.LessOrEqual(t, f.maxOpen, budget)
	require.Positive(t, f.maxOpen)
}

func TestPeerClosedMeansTheTargetStoppedTheCall(t *testing.T) {
	f := newFakeTarget(t)
	f.block.Store(true)
	c := f.client(1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for f.running.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err := c.Search(ctx, &pb.TargetSearchRequest{RequestId: "r"}, nil)
	<-requireKind(t, target.Unanswered, err).PeerClosed
	require.Zero(t, f.running.Load())
}

func TestResizeLowersTheNumberOfConnections(t *testing.T) {
	f := newFakeTarget(t)
	c := f.client(4)
	var wait sync.WaitGroup
	for range 4 {
		wait.Go(func() { _, _ = c.Search(t.Context(), &pb.TargetSearchRequest{RequestId: "r"}, nil) })
	}
	wait.Wait()
	c.Resize(1, time.Millisecond)
	require.Eventually(t, func() bool { return c.Connections() <= 1 }, 10*time.Second, time.Millisecond)
}

func TestReplyMustMatchTheRequest(t *testing.T) {
	request := &pb.TargetSearchRequest{RequestId: "r", Attempt: 2, Snapshot: 7, Partitions: []string{"p"}}
	validReply := func() *pb.TargetSearchResponse {
		return &pb.TargetSearchResponse{
			RequestId: "r", Attempt: 2, Snapshot: 7, Status: pb.TargetStatus_TARGET_STATUS_OK,
			Results: []*pb.PartitionResult{{Partition: "p", RowCount: 1, Rows: []*pb.Row{{}}}},
		}
	}
	require.NoError(t, target.CheckReply(request, validReply()))
	for name, corrupt := range map[string]func(*pb.TargetSearchResponse){
		"other request":   func(r *pb.TargetSearchResponse) { r.RequestId = "other" },
		"other attempt":   func(r *pb.TargetSearchResponse) { r.Attempt = 1 },
		"other snapshot":  func(r *pb.TargetSearchResponse) { r.Snapshot = 8 },
		"no status":       func(r *pb.TargetSearchResponse) { r.Status = 0 },
		"truncated":       func(r *pb.TargetSearchResponse) { r.Results[0].Rows = nil },
		"other partition": func(r *pb.TargetSearchResponse) { r.Results[0].Partition = "q" },
		"twice":           func(r *pb.TargetSearchResponse) { r.Results = append(r.Results, r.Results[0]) },
	} {
		reply := validReply()
		corrupt(reply)
		require.ErrorIs(t, target.CheckReply(request, reply), target.ErrInvalidReply, name)
	}
}

// Targets must not be asked to compress their replies: the client would pay for the decompression.
func TestRepliesAreNotCompressed(t *testing.T) {
	f := newFakeTarget(t)
	_, err := f.client(1).Search(t.Context(), &pb.TargetSearchRequest{RequestId: "r", Attempt: 1}, nil)
	require.NoError(t, err)
	require.NotContains(t, f.acceptEncoding.Load(), "gzip")
}

func TestReplyWithoutEndIsCutOff(t *testing.T) {
	const maxReplyBytes, maxAcceptedBytes = 1 << 20, 24 << 20
	for name, reply := range testkit.EndlessReplies() {
		t.Run(name, func(t *testing.T) {
			s, err := testkit.StartEndlessServer(reply)
			require.NoError(t, err)
			defer s.Close()
			c := target.New(target.Options{Address: s.Address(), Connections: 1, MaxReplyBytes: maxReplyBytes})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err = c.Apply(ctx, &pb.TargetApplyRequest{Token: "t"}, nil)
			var failure *target.Error
			require.ErrorAs(t, err, &failure)
			require.NotEqual(t, target.Withheld, failure.Kind, "the change may have run")
			require.NoError(t, ctx.Err(), "the reply is cut off before its deadline")
			require.Eventually(t, func() bool { return s.ClosedByClient() == 1 }, 5*time.Second, time.Millisecond)
			require.Less(t, s.Sent(), int64(maxAcceptedBytes))
		})
	}
}
