package standin

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1/carawayreelv1connect"
	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
	"github.com/carawayreel/carawayreel/internal/gen/standin/v1/standinv1connect"
	"github.com/carawayreel/carawayreel/internal/profile"
)

const (
	// waitTimeout limits the wait for a condition that must become true.
	waitTimeout    = 20 * time.Second
	pollInterval   = 5 * time.Millisecond
	archiveTarget  = "archive-01-1"
	registerTarget = "register-1"
)

// portBlocks counts the blocks of ports that the tests have tried.
var portBlocks atomic.Int32

// fixture is a running stand-in with the demo profile.
type fixture struct {
	t       testing.TB
	standin *Standin
	options Options
	admin   standinv1connect.AdminServiceClient
}

// startFixture starts a stand-in whose targets respond without delay. modify, if
// not nil, changes its options.
func startFixture(t testing.TB, modify func(*Options)) *fixture {
	t.Helper()
	// The ports lie below the ephemeral port range, from which the operating system
	// assigns ports to outgoing connections.
	const (
		firstPort  = 23000
		blockSize  = 32
		blockCount = 250
	)
	for range blockCount {
		port := firstPort + blockSize*int(portBlocks.Add(1)%blockCount)
		p, err := profile.New("demo", port, 1)
		require.NoError(t, err)
		options := DefaultOptions(p)
		options.PlatformAddress = hostPort(port + p.TargetCount())
		options.AdminAddress = hostPort(port + p.TargetCount() + 1)
		options.ServiceTime = 0
		options.ReportLag = 0
		options.DownTime = 0
		if modify != nil {
			modify(&options)
		}
		s := New(options)
		ctx, cancel := context.WithCancel(context.Background())
		if s.Start(ctx) != nil {
			cancel()
			continue
		}
		t.Cleanup(func() {
			cancel()
			s.Wait()
		})
		client := httpClient(t, "")
		return &fixture{t: t, standin: s, options: options,
			admin: standinv1connect.NewAdminServiceClient(client, "http://"+options.AdminAddress)}
	}
	require.Fail(t, "no free ports")
	return nil
}

func hostPort(port int) string {
	return net.JoinHostPort(profile.Host, strconv.Itoa(port))
}

// httpClient returns a client that connects from the source address of the
// failure domain, or from any address if domain is empty.
func httpClient(t testing.TB, domain string) *http.Client {
	transport := &http.Transport{DialContext: dialer(domain).DialContext}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func dialer(domain string) *net.Dialer {
	d := &net.Dialer{}
	if domain != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(profile.SourceAddress(domain))}
	}
	return d
}

func (f *fixture) targetClient(id string) carawayreelv1connect.TargetServiceClient {
	return carawayreelv1connect.NewTargetServiceClient(httpClient(f.t, ""), "http://"+f.targetAddress(id))
}

func (f *fixture) targetAddress(id string) string {
	for _, t := range f.standin.targets {
		if t.config.Id == id {
			return t.config.Address
		}
	}
	require.Fail(f.t, "no target "+id)
	return ""
}

func (f *fixture) injectFault(id string, fault *standinv1.Fault) {
	f.t.Helper()
	response, err := f.admin.SetFault(f.t.Context(), connect.NewRequest(&standinv1.SetFaultRequest{
		Selector: &standinv1.Selector{Targets: []string{id}},
		Fault:    fault,
	}))
	require.NoError(f.t, err)
	require.Equal(f.t, []string{id}, response.Msg.Targets)
}

func (f *fixture) counters(id string) *standinv1.TargetCounters {
	f.t.Helper()
	response, err := f.admin.GetCounters(f.t.Context(), connect.NewRequest(&standinv1.GetCountersRequest{
		Selector: &standinv1.Selector{Targets: []string{id}},
	}))
	require.NoError(f.t, err)
	require.Len(f.t, response.Msg.Targets, 1)
	return response.Msg.Targets[0]
}

// awaitCounters waits until the target's counters satisfy the condition.
func (f *fixture) awaitCounters(id string, condition func(*standinv1.TargetCounters) bool) {
	f.t.Helper()
	require.Eventually(f.t, func() bool { return condition(f.counters(id)) }, waitTimeout, pollInterval)
}

func searchRequest(id string) *pb.TargetSearchRequest {
	return &pb.TargetSearchRequest{
		RequestId:   id,
		Attempt:     1,
		Service:     "archive-01",
		Snapshot:    profile.NewestVersion,
		Partitions:  []string{"p0", "p1"},
		RemainingUs: time.Minute.Microseconds(),
	}
}

func (f *fixture) search(ctx context.Context, r *pb.TargetSearchRequest) (*pb.TargetSearchResponse, error) {
	response, err := f.targetClient(archiveTarget).Search(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// searchStatus runs a search that must get a response and returns its status.
func (f *fixture) searchStatus(r *pb.TargetSearchRequest) pb.TargetStatus {
	f.t.Helper()
	response, err := f.search(f.t.Context(), r)
	require.NoError(f.t, err)
	return response.Status
}

// searchAsync runs a search in the background. The channel receives its error or
// nil.
func (f *fixture) searchAsync(ctx context.Context, id string) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := f.search(ctx, searchRequest(id))
		done <- err
	}()
	return done
}

// newStuckFault returns a STRAGGLE fault without a factor: tasks do not finish until
// the fault is cleared.
func newStuckFault() *standinv1.Fault {
	return &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_STRAGGLE}
}

func newFault(kind standinv1.FaultKind) *standinv1.Fault {
	return &standinv1.Fault{Kind: kind}
}

// requireReset requires that the other side closes a new connection. The reset may
// already arrive while connecting.
func requireReset(t *testing.T, d *net.Dialer, address string) {
	t.Helper()
	conn, err := d.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, err = conn.Read(make([]byte, 1))
	require.Error(t, err)
}
