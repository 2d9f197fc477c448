package control

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/platformclient"
	"github.com/carawayreel/carawayreel/internal/view"
)

var errUnreachable = errors.New("unreachable")

// fakePlatform is an in-memory platform store with watches and a VM list.
type fakePlatform struct {
	mu      sync.Mutex
	entries map[string]platformclient.Entry
	version uint64
	changed chan struct{}
	down    bool
	// dropPutResponses makes each compare-and-swap take effect but return ErrOutcomeUnknown.
	dropPutResponses bool
	vms              []*pb.ListedVm
	// watchesLost makes watches end at their timeout without reporting a change.
	watchesLost bool
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{entries: map[string]platformclient.Entry{}, changed: make(chan struct{})}
}

// set changes the platform's behaviour under its lock.
func (f *fakePlatform) set(change func(*fakePlatform)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakePlatform) Get(_ context.Context, key string) (platformclient.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return platformclient.Entry{}, platformclient.ErrUnavailable
	}
	return f.entries[key], nil
}

func (f *fakePlatform) store(key string, value []byte) {
	f.version++
	f.entries[key] = platformclient.Entry{Value: value, Version: f.version}
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakePlatform) Put(_ context.Context, key string, value []byte, expected uint64) (platformclient.PutResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return platformclient.PutResult{}, platformclient.ErrUnavailable
	}
	if current := f.entries[key]; current.Version != expected {
		return platformclient.PutResult{Version: current.Version, Current: current.Value}, nil
	}
	f.store(key, value)
	if f.dropPutResponses {
		return platformclient.PutResult{}, platformclient.ErrOutcomeUnknown
	}
	return platformclient.PutResult{Written: true, Version: f.version}, nil
}

func (f *fakePlatform) Replace(_ context.Context, key string, value []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return platformclient.ErrUnavailable
	}
	f.store(key, value)
	return nil
}

func (f *fakePlatform) Expire(ctx context.Context, key string, _ time.Duration) error {
	return f.Replace(ctx, key, nil)
}

func (f *fakePlatform) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (platformclient.WatchResult, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		f.mu.Lock()
		entry, down, changed := f.entries[key], f.down, f.changed
		if f.watchesLost {
			changed = nil
		}
		f.mu.Unlock()
		if down {
			return platformclient.WatchResult{}, platformclient.ErrUnavailable
		}
		if entry.Version > after {
			return platformclient.WatchResult{Changed: true, Entry: entry}, nil
		}
		select {
		case <-ctx.Done():
			return platformclient.WatchResult{}, platformclient.ErrUnavailable
		case <-timer.C:
			return platformclient.WatchResult{}, nil
		case <-changed:
		}
	}
}

func (f *fakePlatform) ListVMs(context.Context) ([]*pb.ListedVm, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, platformclient.ErrUnavailable
	}
	return append([]*pb.ListedVm(nil), f.vms...), nil
}

// fakeNetwork connects Controls. Messages are cloned on the way.
type fakeNetwork struct {
	mu          sync.Mutex
	controls    map[string]*Control
	partitioned map[string]bool
}

func (n *fakeNetwork) find(address string) (*Control, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.controls[address]; c != nil && !n.partitioned[address] {
		return c, nil
	}
	return nil, errUnreachable
}

func (n *fakeNetwork) setPartitioned(address string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[address] = partitioned
}

// peerClient calls other VMs over the network on behalf of one VM.
type peerClient struct {
	network *fakeNetwork
	self    string
}

func (p peerClient) call(address string) (*Control, error) {
	if _, err := p.network.find(p.self); err != nil {
		return nil, err
	}
	time.Sleep(time.Millisecond)
	return p.network.find(address)
}

func cloneOf[M proto.Message](m M) M { return proto.Clone(m).(M) }

func (p peerClient) Heartbeat(ctx context.Context, address string, r *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	other, err := p.call(address)
	if err != nil {
		return nil, err
	}
	return cloneOf(other.Heartbeat(ctx, cloneOf(r))), ctx.Err()
}

func (p peerClient) FetchConfiguration(ctx context.Context, address string, r *pb.FetchConfigurationRequest) (*pb.FetchConfigurationResponse, error) {
	other, err := p.call(address)
	if err != nil {
		return nil, err
	}
	return cloneOf(other.FetchConfiguration(ctx, cloneOf(r))), ctx.Err()
}

func (p peerClient) OfferConfiguration(ctx context.Context, address string, r *pb.OfferConfigurationRequest) (*pb.OfferConfigurationResponse, error) {
	other, err := p.call(address)
	if err != nil {
		return nil, err
	}
	return cloneOf(other.OfferConfiguration(ctx, cloneOf(r))), ctx.Err()
}

// cluster is a deployment of Controls in a synctest bubble.
type cluster struct {
	t        *testing.T
	platform *fakePlatform
	network  *fakeNetwork
	controls []*Control
	freezers []*freezer
	cancel   context.CancelFunc
	group    sync.WaitGroup
	ctx      context.Context
}

// freezer is a trace writer that blocks the control goroutine while frozen.
type freezer struct {
	mu   sync.Mutex
	hold chan struct{}
	out  []byte
}

func (f *freezer) Write(p []byte) (int, error) {
	f.mu.Lock()
	hold := f.hold
	f.out = append(f.out, p...)
	f.mu.Unlock()
	if hold != nil {
		<-hold
	}
	return len(p), nil
}

func (f *freezer) freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hold = make(chan struct{})
}

func (f *freezer) thaw() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hold != nil {
		close(f.hold)
		f.hold = nil
	}
}

func testSettings() *pb.Settings {
	header := simulatedHeader("x", "x", 0, 1)
	return &pb.Settings{Platform: header.Platform, Peers: header.Peers, Limits: header.Limits}
}

func newCluster(t *testing.T, names ...string) *cluster {
	s := &cluster{t: t, platform: newFakePlatform(), network: &fakeNetwork{controls: map[string]*Control{}, partitioned: map[string]bool{}}}
	s.ctx, s.cancel = context.WithCancel(t.Context())
	for _, name := range names {
		s.platform.vms = append(s.platform.vms, &pb.ListedVm{Vm: name, FailureDomain: "domain-" + name[:1], PeerAddress: name})
	}
	t.Cleanup(s.stop)
	for _, name := range names {
		s.start(name)
	}
	return s
}

func (s *cluster) start(name string) *Control {
	self := view.VM{ID: name, FailureDomain: "domain-" + name[:1], PeerAddress: name, Incarnation: uint64(time.Now().UnixNano()), State: pb.MemberState_MEMBER_STATE_ALIVE}
	f := &freezer{}
	c, err := New(Options{
		Settings: testSettings(), Self: self, Store: s.platform, VMList: s.platform,
		Peers: peerClient{s.network, name}, Logger: zerolog.Nop(), Trace: f,
	})
	require.NoError(s.t, err)
	s.network.mu.Lock()
	s.network.controls[name] = c
	s.network.mu.Unlock()
	s.controls = append(s.controls, c)
	s.freezers = append(s.freezers, f)
	s.group.Go(func() { _ = c.Serve(s.ctx) })
	return c
}

func (s *cluster) stop() {
	s.cancel()
	for _, f := range s.freezers {
		f.thaw()
	}
	s.group.Wait()
	// Calls still in flight have ended after this time.
	time.Sleep(10 * time.Second)
	synctest.Wait()
}
