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

// maxValueBytes is the largest value that the store holds.
const maxValueBytes = 1 << 20

var (
	errOutage      = errors.New("store is out of service")
	errRateLimited = errors.New("too many calls a second")
	errTooLarge    = errors.New("value is larger than a megabyte")
	errNoLease     = errors.New("lease does not exist")
)

// entry is a stored value.
type entry struct {
	value   []byte
	version uint64
	lease   uint64
}

// lease removes its keys when its timer fires.
type lease struct {
	duration time.Duration
	expires  time.Time
	timer    *time.Timer
}

// store is the platform's key-value service. It is safe for concurrent use.
type store struct {
	writes *rate.Limiter
	reads  *rate.Limiter

	mu        sync.Mutex
	entries   map[string]entry
	leases    map[uint64]*lease
	lastLease uint64
	// version is the version of the newest write of any key.
	version uint64
	// changed is closed at the next write or change of the faults.
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

// admit applies the rates and the faults to a call that was counted.
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
	if err := pause(ctx, delay); err != nil {
		return err
	}
	return s.awaitOutage(ctx)
}

// awaitOutage fails during an outage, or hangs until the caller gives up if
// the outage does.
func (s *store) awaitOutage(ctx context.Context) error {
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

func pause(ctx context.Context, d time.Duration) error {
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

// Put writes a key if its version is the expected one.
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
	response, lost, err := s.put(r)
	if err != nil {
		return nil, err
	}
	if lost {
		abort()
	}
	return connect.NewResponse(response), nil
}

// put writes a key. It reports true when the answer must be lost.
func (s *store) put(r *pb.KeyValuePutRequest) (*pb.KeyValuePutResponse, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := s.entries[r.Key]
	if !r.Unconditional && present.version != r.ExpectedVersion {
		s.counters.Conflicts++
		return &pb.KeyValuePutResponse{Version: present.version, Value: present.value}, false, nil
	}
	if _, granted := s.leases[r.Lease]; r.Lease != 0 && !granted {
		return nil, false, connect.NewError(connect.CodeFailedPrecondition, errNoLease)
	}
	s.version++
	s.entries[r.Key] = entry{value: bytes.Clone(r.Value), version: s.version, lease: r.Lease}
	s.broadcast()
	lost := s.faults.LosePutAnswers > 0
	if lost {
		s.faults.LosePutAnswers--
		s.counters.AnswersLost++
	}
	return &pb.KeyValuePutResponse{Written: true, Version: s.version}, lost, nil
}

// broadcast wakes all waiting watches. The caller holds the lock.
func (s *store) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Watch waits for a version above the one that the caller knows. A removal of
// a key that the caller knows is a change to version zero.
func (s *store) Watch(
	ctx context.Context, request *connect.Request[pb.KeyValueWatchRequest],
) (*connect.Response[pb.KeyValueWatchResponse], error) {
	if err := s.admit(ctx, s.reads, &s.counters.Watches); err != nil {
		return nil, err
	}
	r := request.Msg
	s.countWaiting(1)
	defer s.countWaiting(-1)
	timer := time.NewTimer(time.Duration(r.WaitMs) * time.Millisecond)
	defer timer.Stop()
	for {
		response, changed := s.newer(r)
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
		if err := s.awaitOutage(ctx); err != nil {
			return nil, err
		}
	}
}

// newer returns the answer of a watch, or the channel to wait on.
func (s *store) newer(r *pb.KeyValueWatchRequest) (*pb.KeyValueWatchResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[r.Key]
	removed := e.version == 0 && r.AfterVersion > 0
	if s.faults.LoseWatches || (e.version <= r.AfterVersion && !removed) {
		return nil, s.changed
	}
	return &pb.KeyValueWatchResponse{Changed: true, Value: e.value, Version: e.version}, nil
}

func (s *store) countWaiting(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.WatchesWaiting = uint32(int(s.counters.WatchesWaiting) + change)
}

// GrantLease starts a lease.
func (s *store) GrantLease(
	ctx context.Context, request *connect.Request[pb.GrantLeaseRequest],
) (*connect.Response[pb.GrantLeaseResponse], error) {
	if err := s.admit(ctx, s.writes, &s.counters.LeaseCalls); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	id := s.lastLease
	duration := time.Duration(request.Msg.DurationMs) * time.Millisecond
	timer := time.AfterFunc(duration, func() { s.lapse(id) })
	s.leases[id] = &lease{duration: duration, expires: time.Now().Add(duration), timer: timer}
	return connect.NewResponse(&pb.GrantLeaseResponse{Lease: id}), nil
}

// lapse ends a lease, unless it was kept alive, and removes its keys.
func (s *store) lapse(id uint64) {
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

// KeepAlive starts a lease's duration anew.
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
