package standin

import (
	"bytes"
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
)

// maxValueBytes is the maximum size of a value in the store.
const maxValueBytes = 1 << 20

var (
	errOutage      = errors.New("store is unavailable")
	errRateLimited = errors.New("rate limit exceeded")
	errTooLarge    = errors.New("value exceeds 1 MiB")
	errNoLease     = errors.New("lease does not exist")
)

// entry is a stored value with its version and the lease it is bound to; lease
// is zero for a value without one.
type entry struct {
	value   []byte
	version uint64
	lease   uint64
}

// lease bounds the lifetime of the keys written under it. They are removed when
// it expires.
type lease struct {
	duration time.Duration
	expires  time.Time
	timer    *time.Timer
}

// store is the platform's key-value service. It is safe for concurrent use.
type store struct {
	writes *rate.Limiter
	reads  *rate.Limiter

	mu          sync.Mutex
	entries     map[string]entry
	leases      map[uint64]*lease
	lastLeaseID uint64
	// version is the version of the latest write to any key.
	version uint64
	// changed is closed on the next write, lease expiry or change of the faults.
	changed  chan struct{}
	faults   *standinv1.SetStoreFaultRequest
	counters standinv1.StoreCounters
}

func newStore(writesPerSecond, readsPerSecond int) *store {
	return &store{
		writes:  rate.NewLimiter(rate.Limit(writesPerSecond), writesPerSecond),
		reads:   rate.NewLimiter(rate.Limit(readsPerSecond), readsPerSecond),
		entries: make(map[string]entry),
		leases:  make(map[uint64]*lease),
		changed: make(chan struct{}),
		faults:  &standinv1.SetStoreFaultRequest{},
	}
}

// admit counts a call and applies the rate limit and the injected faults to it.
func (s *store) admit(ctx context.Context, limiter *rate.Limiter, count *uint64) error {
	s.mu.Lock()
	*count++
	if !limiter.Allow() {
		s.counters.RateLimited++
		s.mu.Unlock()
		return connect.NewError(connect.CodeResourceExhausted, errRateLimited)
	}
	delay := time.Duration(s.faults.DelayMs) * time.Millisecond
	s.mu.Unlock()
	if err := sleep(ctx, delay); err != nil {
		return err
	}
	return s.checkOutage(ctx)
}

// checkOutage returns an error during an outage. If the outage is set to hang,
// it blocks until the request's context ends before it returns the error.
func (s *store) checkOutage(ctx context.Context) error {
	s.mu.Lock()
	outage, hang := s.faults.Outage, s.faults.Hang
	if outage {
		s.counters.Failed++
	}
	s.mu.Unlock()
	if !outage {
		return nil
	}
	if hang {
		<-ctx.Done()
	}
	return connect.NewError(connect.CodeUnavailable, errOutage)
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return connect.NewError(connect.CodeCanceled, ctx.Err())
	}
}

// Get returns the value of a key.
func (s *store) Get(
	ctx context.Context, request *connect.Request[pb.KeyValueGetRequest],
) (*connect.Response[pb.KeyValueGetResponse], error) {
	if err := s.admit(ctx, s.reads, &s.counters.Gets); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[request.Msg.Key]
	return connect.NewResponse(&pb.KeyValueGetResponse{Value: e.value, Version: e.version}), nil
}

// Put writes a key if its current version equals the expected one or the request
// is unconditional.
func (s *store) Put(
	ctx context.Context, request *connect.Request[pb.KeyValuePutRequest],
) (*connect.Response[pb.KeyValuePutResponse], error) {
	r := request.Msg
	if len(r.Value) > maxValueBytes {
		return nil, connect.NewError(connect.CodeInvalidArgument, errTooLarge)
	}
	if err := s.admit(ctx, s.writes, &s.counters.Puts); err != nil {
		return nil, err
	}
	response, loseResponse, err := s.put(r)
	if err != nil {
		return nil, err
	}
	if loseResponse {
		abort()
	}
	return connect.NewResponse(response), nil
}

// put writes a key. The returned bool reports whether the response must be lost.
func (s *store) put(r *pb.KeyValuePutRequest) (*pb.KeyValuePutResponse, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.entries[r.Key]
	if !r.Unconditional && current.version != r.ExpectedVersion {
		s.counters.Conflicts++
		return &pb.KeyValuePutResponse{Version: current.version, Value: current.value}, false, nil
	}
	if _, exists := s.leases[r.Lease]; r.Lease != 0 && !exists {
		return nil, false, connect.NewError(connect.CodeFailedPrecondition, errNoLease)
	}
	s.version++
	s.entries[r.Key] = entry{value: bytes.Clone(r.Value), version: s.version, lease: r.Lease}
	s.broadcast()
	loseResponse := s.faults.LosePutAnswers > 0
	if loseResponse {
		s.faults.LosePutAnswers--
		s.counters.AnswersLost++
	}
	return &pb.KeyValuePutResponse{Written: true, Version: s.version}, loseResponse, nil
}

// broadcast wakes all pending watches. The caller holds the lock.
func (s *store) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Watch waits for a version of the key above AfterVersion. If AfterVersion is not
// zero, the removal of the key is reported as a change to version zero.
func (s *store) Watch(
	ctx context.Context, request *connect.Request[pb.KeyValueWatchRequest],
) (*connect.Response[pb.KeyValueWatchResponse], error) {
	if err := s.admit(ctx, s.reads, &s.counters.Watches); err != nil {
		return nil, err
	}
	r := request.Msg
	s.addWaitingWatches(1)
	defer s.addWaitingWatches(-1)
	timer := time.NewTimer(time.Duration(r.WaitMs) * time.Millisecond)
	defer timer.Stop()
	for {
		response, changed := s.watchResponse(r)
		if response != nil {
			return connect.NewResponse(response), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return connect.NewResponse(&pb.KeyValueWatchResponse{Version: r.AfterVersion}), nil
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
		if err := s.checkOutage(ctx); err != nil {
			return nil, err
		}
	}
}

// watchResponse returns the response to a watch, or the channel to wait on if
// there is no change yet.
func (s *store) watchResponse(r *pb.KeyValueWatchRequest) (*pb.KeyValueWatchResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[r.Key]
	removed := e.version == 0 && r.AfterVersion > 0
	if s.faults.LoseWatches || (e.version <= r.AfterVersion && !removed) {
		return nil, s.changed
	}
	return &pb.KeyValueWatchResponse{Changed: true, Value: e.value, Version: e.version}, nil
}

func (s *store) addWaitingWatches(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.WatchesWaiting = uint32(int(s.counters.WatchesWaiting) + delta)
}

// GrantLease grants a lease for the requested duration.
func (s *store) GrantLease(
	ctx context.Context, request *connect.Request[pb.GrantLeaseRequest],
) (*connect.Response[pb.GrantLeaseResponse], error) {
	if err := s.admit(ctx, s.writes, &s.counters.LeaseCalls); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLeaseID++
	id := s.lastLeaseID
	duration := time.Duration(request.Msg.DurationMs) * time.Millisecond
	timer := time.AfterFunc(duration, func() { s.expireLease(id) })
	s.leases[id] = &lease{duration: duration, expires: time.Now().Add(duration), timer: timer}
	return connect.NewResponse(&pb.GrantLeaseResponse{Lease: id}), nil
}

// expireLease removes a lease and its keys, unless the lease was kept alive after
// the timer was set.
func (s *store) expireLease(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	granted, alive := s.leases[id]
	if !alive || time.Now().Before(granted.expires) {
		return
	}
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.lease == id {
			delete(s.entries, key)
		}
	}
	s.broadcast()
}

// KeepAlive renews a lease for its full duration. Alive is false in the response
// if the lease has expired.
func (s *store) KeepAlive(
	ctx context.Context, request *connect.Request[pb.KeepAliveRequest],
) (*connect.Response[pb.KeepAliveResponse], error) {
	if err := s.admit(ctx, s.writes, &s.counters.LeaseCalls); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	granted, alive := s.leases[request.Msg.Lease]
	if alive {
		granted.expires = time.Now().Add(granted.duration)
		granted.timer.Reset(granted.duration)
	}
	return connect.NewResponse(&pb.KeepAliveResponse{Alive: alive}), nil
}

func (s *store) setFaults(r *standinv1.SetStoreFaultRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = proto.Clone(r).(*standinv1.SetStoreFaultRequest)
	s.broadcast()
}

func (s *store) snapshotCounters() *standinv1.StoreCounters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return proto.Clone(&s.counters).(*standinv1.StoreCounters)
}
