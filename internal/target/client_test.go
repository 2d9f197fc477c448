package target_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
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
)

// slowCancellation is how long the fake goes on after a cancellation.
const slowCancellation = 20 * time.Millisecond

// fake is a target that counts effects and connections.
type fake struct {
	carawayreelv1connect.UnimplementedTargetServiceHandler
	*httptest.Server
	effects atomic.Int64
	// cut closes the connection after the effect, without an answer.
	cut atomic.Bool
	// hold keeps searches running until they are cancelled.
	hold    atomic.Bool
	running atomic.Int64

	// encodings holds the encodings of replies that the last search accepted.
	encodings atomic.Value

	mu   sync.Mutex
	open int
	most int
}

// countingListener counts the connections that the fake holds open, each until
// just before it is closed.
type countingListener struct {
	net.Listener
	fake *fake
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.fake.count(1)
	return &countedConn{Conn: c, fake: l.fake}, nil
}

type countedConn struct {
	net.Conn
	fake *fake
	once sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.fake.count(-1) })
	return c.Conn.Close()
}

func (f *fake) count(change int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open += change
	f.most = max(f.most, f.open)
}

func newFake(t *testing.T) *fake {
	f := &fake{}
	mux := http.NewServeMux()
	mux.Handle(carawayreelv1connect.NewTargetServiceHandler(f))
	f.Server = httptest.NewUnstartedServer(mux)
	f.Listener = &countingListener{Listener: f.Listener, fake: f}
	f.Start()
	t.Cleanup(f.Close)
	return f
}

func (f *fake) Apply(_ context.Context, r *connect.Request[pb.TargetApplyRequest]) (*connect.Response[pb.TargetApplyResponse], error) {
	f.effects.Add(1)
	if f.cut.Load() {
		panic(http.ErrAbortHandler)
	}
	return connect.NewResponse(&pb.TargetApplyResponse{Token: r.Msg.Token, Status: pb.TargetStatus_TARGET_STATUS_OK}), nil
}

func (f *fake) Search(ctx context.Context, r *connect.Request[pb.TargetSearchRequest]) (*connect.Response[pb.TargetSearchResponse], error) {
	f.running.Add(1)
	defer f.running.Add(-1)
	f.encodings.Store(r.Header().Get("Accept-Encoding"))
	if f.hold.Load() {
		<-ctx.Done()
		time.Sleep(slowCancellation)
		return nil, ctx.Err()
	}
	return connect.NewResponse(&pb.TargetSearchResponse{
		RequestId: r.Msg.RequestId, Attempt: r.Msg.Attempt, Status: pb.TargetStatus_TARGET_STATUS_OK, Snapshot: r.Msg.Snapshot,
	}), nil
}

func (f *fake) client(connections int) *target.Client {
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

var change = &pb.TargetApplyRequest{Token: "t"}

// A change whose connection breaks after the effect runs once, over a reused
// connection too, where net/http would send it again if it could.
func TestChangeIsNeverSentAgainByTheLibrary(t *testing.T) {
	f := newFake(t)
	c := f.client(1)
	_, err := c.Apply(t.Context(), change, nil)
	require.NoError(t, err)
	f.cut.Store(true)
	_, err = c.Apply(t.Context(), change, nil)
	_ = requireKind(t, target.Broken, err)
	require.EqualValues(t, 2, f.effects.Load())
}

// The trap is real: the library alone sends such a request again.
func TestLibraryAloneWouldSendAgain(t *testing.T) {
	f := newFake(t)
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
	f.cut.Store(true)
	send()
	require.Greater(t, f.effects.Load(), int64(2))
}

func TestRedirectIsNotFollowed(t *testing.T) {
	f := newFake(t)
	redirect := httptest.NewServer(http.RedirectHandler(f.URL+carawayreelv1connect.TargetServiceApplyProcedure, http.StatusTemporaryRedirect))
	t.Cleanup(redirect.Close)
	c := target.New(target.Options{Address: redirect.Listener.Addr().String(), Connections: 1})
	_, err := c.Apply(t.Context(), change, nil)
	_ = requireKind(t, target.Invalid, err)
	require.Zero(t, f.effects.Load())
}

func TestFailedCheckWritesNothing(t *testing.T) {
	f := newFake(t)
	c := f.client(2)
	paused := errors.New("paused")
	_, err := c.Apply(t.Context(), change, func() error { return paused })
	failure := requireKind(t, target.Withheld, err)
	require.False(t, failure.Sent())
	require.ErrorIs(t, err, paused)
	require.Zero(t, f.effects.Load())
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	f := newFake(t)
	f.Close()
	_, err := f.client(1).Apply(t.Context(), change, nil)
	require.False(t, requireKind(t, target.Refused, err).Sent())
}

// Cancelled calls count against the budget until the target has closed their
// connections, so that the target never sees more than the budget.
func TestConnectionsStayWithinTheBudget(t *testing.T) {
	const budget = 3
	f := newFake(t)
	f.hold.Store(true)
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
	require.LessOrEqual(t, f.most, budget)
	require.Positive(t, f.most)
}

func TestSettledMeansThatTheTargetRunsItNoMore(t *testing.T) {
	f := newFake(t)
	f.hold.Store(true)
	c := f.client(1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for f.running.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err := c.Search(ctx, &pb.TargetSearchRequest{RequestId: "r"}, nil)
	<-requireKind(t, target.Unanswered, err).Settled
	require.Zero(t, f.running.Load())
}

func TestResizeLowersTheNumberOfConnections(t *testing.T) {
	f := newFake(t)
	c := f.client(4)
	var wait sync.WaitGroup
	for range 4 {
		wait.Go(func() { _, _ = c.Search(t.Context(), &pb.TargetSearchRequest{RequestId: "r"}, nil) })
	}
	wait.Wait()
	c.Resize(1, time.Millisecond)
	require.Eventually(t, func() bool { return c.Connections() <= 1 }, 10*time.Second, time.Millisecond)
}

func TestReplyMustAnswerTheRequest(t *testing.T) {
	request := &pb.TargetSearchRequest{RequestId: "r", Attempt: 2, Snapshot: 7, Partitions: []string{"p"}}
	good := func() *pb.TargetSearchResponse {
		return &pb.TargetSearchResponse{
			RequestId: "r", Attempt: 2, Snapshot: 7, Status: pb.TargetStatus_TARGET_STATUS_OK,
			Results: []*pb.PartitionResult{{Partition: "p", RowCount: 1, Rows: []*pb.Row{{}}}},
		}
	}
	require.NoError(t, target.CheckReply(request, good()))
	for name, spoil := range map[string]func(*pb.TargetSearchResponse){
		"other request":   func(r *pb.TargetSearchResponse) { r.RequestId = "other" },
		"other attempt":   func(r *pb.TargetSearchResponse) { r.Attempt = 1 },
		"other snapshot":  func(r *pb.TargetSearchResponse) { r.Snapshot = 8 },
		"no status":       func(r *pb.TargetSearchResponse) { r.Status = 0 },
		"truncated":       func(r *pb.TargetSearchResponse) { r.Results[0].Rows = nil },
		"other partition": func(r *pb.TargetSearchResponse) { r.Results[0].Partition = "q" },
		"twice":           func(r *pb.TargetSearchResponse) { r.Results = append(r.Results, r.Results[0]) },
	} {
		reply := good()
		spoil(reply)
		require.ErrorIs(t, target.CheckReply(request, reply), target.ErrInvalidReply, name)
	}
}

// Targets are not asked to compress their replies, which the client would pay for.
func TestRepliesAreNotCompressed(t *testing.T) {
	f := newFake(t)
	_, err := f.client(1).Search(t.Context(), &pb.TargetSearchRequest{RequestId: "r", Attempt: 1}, nil)
	require.NoError(t, err)
	require.NotContains(t, f.encodings.Load(), "gzip")
}
