package e2e_test

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/testkit"
)

// What the VM of the hostile callers may use. The crowd exceeds both by far on a VM without
// bounds: 700 unfinished bodies take over 250 MB and 700 connections.
const (
	hostileCallers     = 700
	hostileMegabytes   = 96
	hostileDescriptors = 500
)

// hostileIdentity is the header line that identifies the requests of the crowd.
const hostileIdentity = "X-Attempt-Id: hostile"

// Guards against a VM that runs out of memory or descriptors through bodies of legal size
// that stop just short of their end.
func TestUnfinishedBodiesDoNotExhaustAVM(t *testing.T) {
	withstandCrowd(t, testkit.UnfinishedBody(hostileIdentity))
}

// Guards against a VM that runs out of memory or descriptors through bodies of legal size
// that arrive in chunks, piece by piece, and stop just short of their end.
func TestUnfinishedChunksDoNotExhaustAVM(t *testing.T) {
	withstandCrowd(t, testkit.UnfinishedChunks(hostileIdentity))
}

// Guards against a VM that runs out of memory or descriptors through heads of legal size with
// thousands of names, of requests whose bodies are left open.
func TestManyHeaderLinesDoNotExhaustAVM(t *testing.T) {
	withstandCrowd(t, testkit.ManyHeaderLines(hostileIdentity))
}

// Guards against a VM that runs out of memory or descriptors through heads of legal size with
// thousands of empty lines of one name, of requests whose bodies are left open.
func TestEmptyHeaderLinesDoNotExhaustAVM(t *testing.T) {
	withstandCrowd(t, testkit.EmptyHeaderLines(hostileIdentity))
}

// Guards against a VM that runs out of memory or descriptors through header lines without end.
func TestEndlessHeadsDoNotExhaustAVM(t *testing.T) {
	withstandCrowd(t, testkit.EndlessHead(hostileIdentity))
}

// Guards against a VM that runs out of memory or descriptors through a header line without end.
func TestEndlessHeaderLineDoesNotExhaustAVM(t *testing.T) {
	withstandCrowd(t, testkit.EndlessHeaderLine(hostileIdentity))
}

// Guards against a VM that runs out of memory or descriptors through empty lines without end
// where a request should begin.
func TestEndlessEmptyLinesDoNotExhaustAVM(t *testing.T) {
	withstandCrowd(t, testkit.EndlessEmptyLines())
}

// Guards against bounds that refuse a single request inside the limits of the configuration: a head
// of thousands of lines and a body of the greatest size, at the VM of the hostile callers.
func TestLargestLegalRequestIsServedInCalm(t *testing.T) {
	_, vm := startSmallVM(t)
	const bodyBytes = 262144
	for _, hostile := range []testkit.HostileRequest{testkit.ManyHeaderLines(hostileIdentity), testkit.EmptyHeaderLines(hostileIdentity)} {
		conn, err := net.Dial("tcp", vm.RouteAddress)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		head := strings.Replace(hostile.Prefix, "Content-Length: 1000", fmt.Sprintf("Content-Length: %d", bodyBytes), 1)
		_, err = io.WriteString(conn, head+strings.Repeat("a", bodyBytes))
		require.NoError(t, err)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
}

// Guards against a VM that tells callers apart by their addresses only, and shuts out all of them
// when a balancer hides them behind one.
func TestUnfinishedBodiesFromOneAddressDoNotExhaustAVM(t *testing.T) {
	withstandCrowdFrom(t, testkit.UnfinishedBody(hostileIdentity), "127.0.0.1", "127.0.0.1")
}

func withstandCrowd(t *testing.T, request testkit.HostileRequest) {
	t.Helper()
	withstandCrowdFrom(t, request, "127.0.0.2",
		"127.0.1.1", "127.0.1.2", "127.0.1.3", "127.0.1.4", "127.0.1.5", "127.0.1.6", "127.0.1.7")
}

// withstandCrowdFrom starts a VM of little memory and few descriptors and a crowd of hostile
// callers. It checks that the VM lives and stays within both, and that an ordinary caller of
// the given address is answered while the crowd is still there.
func withstandCrowdFrom(t *testing.T, request testkit.HostileRequest, ordinaryAddress string, crowdAddresses ...string) {
	t.Helper()
	d, vm := startSmallVM(t)
	crowd{address: vm.RouteAddress, request: request, callers: hostileCallers, from: crowdAddresses}.withstand(t, d, vm, ordinaryAddress)
}

// crowd is a number of hostile callers of an address, from loopback addresses.
type crowd struct {
	address string
	request testkit.HostileRequest
	callers int
	from    []string
}

// withstand starts the crowd and checks that the VM lives and stays within its memory and
// descriptors, and that an ordinary caller of the given address is answered while the crowd is
// still there.
func (c crowd) withstand(t *testing.T, d *testkit.UsersDeployment, vm *testkit.UsersVM, ordinaryAddress string) {
	t.Helper()
	ordinary := newClientFrom(ordinaryAddress)
	status, _, text := sendRequest(vm, ordinary, "POST", "/e/x")
	require.Equal(t, 200, status, "before the crowd: %s", text)

	descriptors := watchDescriptors(t, vm)
	crowd := testkit.StartHostileCrowd(c.address, c.request, c.callers, c.from...)
	stopped := false
	t.Cleanup(func() {
		if !stopped {
			crowd.Stop()
		}
	})
	require.NoError(t, testkit.Poll(t.Context(), 30*time.Second, func() bool {
		return vm.Process().Ended() || crowd.Engaged() == c.callers
	}), "%d callers of the crowd came as far as they can", crowd.Engaged())
	// The crowd stays for longer than a head, which the limits of the configuration allow
	// 3 s, may take.
	time.Sleep(4 * time.Second)
	answered := testkit.Poll(t.Context(), 20*time.Second, func() bool {
		status, _, text = sendRequest(vm, ordinary, "POST", "/e/x")
		return status == 200
	})
	peak, open, opened := 0, descriptors(), crowd.Opened()
	if !vm.Process().Ended() {
		peak = peakMemory(t, vm.Process().PID())
	}
	stopped = true
	crowd.Stop()
	t.Logf("peak memory %d MB of %d, open descriptors %d of %d, %d connections opened", peak>>20, hostileMegabytes, open, hostileDescriptors, opened)
	require.False(t, vm.Process().Ended(), d.Log(vm))
	if open > hostileDescriptors {
		t.Errorf("%d open descriptors, bound %d", open, hostileDescriptors)
	}
	if peak > hostileMegabytes<<20 {
		t.Errorf("peak memory %d MB, bound %d", peak>>20, hostileMegabytes)
	}
	require.NoError(t, answered, "ordinary request: %d %s", status, text)
}

// startSmallVM starts a deployment of one VM with the memory and descriptors of these tests.
func startSmallVM(t *testing.T) (*testkit.UsersDeployment, *testkit.UsersVM) {
	t.Helper()
	return startSmallVMWith(t, smallVMOptions{})
}

// smallVMOptions adds to the deployment of startSmallVM.
type smallVMOptions struct {
	// settings are further lines of the settings file, and routes further routes, each followed by a
	// comma.
	settings, routes string
	// services is the number of services named s0, s1 and so on, with a target each that accepts
	// maxConnections connections, by default 16.
	services, maxConnections int
	// headerTimeoutMs is the time limit of heads, by default 3,000.
	headerTimeoutMs int
}

// startSmallVMWith is startSmallVM with options.
func startSmallVMWith(t *testing.T, options smallVMOptions) (*testkit.UsersDeployment, *testkit.UsersVM) {
	t.Helper()
	d, err := testkit.StartUsersDeployment(testDir(t), "a")
	require.NoError(t, err)
	t.Cleanup(d.Close)
	vm := d.VMs[0]
	vm.Process().Kill()
	limits := fmt.Sprintf("[vm]\nmemory_mb = %d\nmax_descriptors = %d\n", hostileMegabytes, hostileDescriptors)
	require.NoError(t, d.WriteSettings(vm, limits+options.settings))
	require.NoError(t, d.StartVM(vm))
	d.AddTarget("olda", "old", "a", []byte("old"))
	declared := `{"name":"old","max_conns":16}`
	for i := range options.services {
		name := fmt.Sprintf("s%d", i)
		d.AddTarget(name+"a", name, "a", []byte("0123456789abcdef"))
		declared += fmt.Sprintf(`,{"name":"%s","max_conns":%d}`, name, cmp.Or(options.maxConnections, 16))
	}
	d.Store.Put("op/config", fmt.Sprintf(`{"version":1,"routes":[%s
	  {"name":"e","host":"h","prefix":"/e/","route_type":"non_idempotent","timeout_ms":5000,"target_latency_ms":500,"service":"old","max_attempts":2}],
	  "services":[%s],
	  "limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":%d,"idle_timeout_ms":15000}}`,
		options.routes, declared, cmp.Or(options.headerTimeoutMs, 3000)))
	require.NoError(t, d.AwaitReady(t.Context()))
	return d, vm
}

// newClientFrom returns a client whose connections come from the loopback address.
func newClientFrom(source string) *http.Client {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	return &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DialContext: dialer.DialContext}}
}

// watchDescriptors counts the open descriptors of the VM's process every few milliseconds
// until the test ends. The function that it returns tells the most so far.
func watchDescriptors(t *testing.T, vm *testkit.UsersVM) func() int {
	t.Helper()
	var most atomic.Int64
	go func() {
		for t.Context().Err() == nil {
			entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", vm.Process().PID()))
			if err == nil && int64(len(entries)) > most.Load() {
				most.Store(int64(len(entries)))
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	return func() int { return int(most.Load()) }
}
