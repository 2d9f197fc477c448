package e2e_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/standin/users"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

const shardCount = 4

// routesDocument returns the operator's configuration as JSON: a scatter-gather
// route under /g/, a non-idempotent route under /e/ to editService and an idempotent one
// under /i/ to the service old.
func routesDocument(version int, editService string) string {
	shards := make([]string, 0, shardCount)
	services := make([]string, 0, shardCount)
	for i := range shardCount {
		shards = append(shards, fmt.Sprintf(`"s%d"`, i))
		services = append(services, fmt.Sprintf(`{"name":"s%d","max_conns":26}`, i))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[
	  {"name":"g","host":"h","prefix":"/g/","route_type":"idempotent","timeout_ms":800,"target_latency_ms":200,"gather":[%s],"max_attempts":2,"top_k":4,"min_coverage":0.5},
	  {"name":"e","host":"h","prefix":"/e/","route_type":"non_idempotent","timeout_ms":2500,"target_latency_ms":500,"service":"%s","max_attempts":2},
	  {"name":"i","host":"h","prefix":"/i/","route_type":"idempotent","timeout_ms":500,"target_latency_ms":120,"service":"old","max_attempts":2}],
	  "services":[%s],"limits":{"max_header_bytes":16384,"max_body_bytes":262144}}`,
		version, strings.Join(shards, ","), editService, strings.Join(services, ","))
}

func startUsers(t *testing.T) *testkit.UsersDeployment {
	t.Helper()
	return startUsersWithProcessors(t, 0, 0, 0)
}

// startUsersWithProcessors starts VMs in the failure domains a, b and c that advertise the
// given processor cores.
func startUsersWithProcessors(t *testing.T, cores ...float64) *testkit.UsersDeployment {
	t.Helper()
	d, err := testkit.StartUsersDeploymentWithProcessors(testDir(t), cores, "a", "b", "c")
	require.NoError(t, err)
	t.Cleanup(d.Close)
	for _, domain := range []string{"a", "b", "c"} {
		for i := range shardCount {
			d.AddTarget(fmt.Sprintf("s%d%s", i, domain), fmt.Sprintf("s%d", i), domain, bytes.Repeat([]byte{byte(i)}, 16))
		}
		d.AddTarget("old"+domain, "old", domain, []byte("old"))
		d.AddTarget("new"+domain, "new", domain, []byte("new"))
	}
	d.Store.Put("op/config", routesDocument(1, "old"))
	require.NoError(t, d.AwaitReady(context.Background()))
	return d
}

var requestNumber atomic.Int64

// sendRequest sends one request and returns the status, the headers and the body.
// Status 0 means that there was no complete response; the body is then the error.
func sendRequest(vm *testkit.UsersVM, httpClient *http.Client, method, uri string) (int, http.Header, string) {
	r, err := http.NewRequest(method, "http://"+vm.RouteAddress+uri, http.NoBody)
	if err != nil {
		return 0, nil, err.Error()
	}
	r.Host = "h"
	r.Header.Set("X-Attempt-Id", fmt.Sprintf("r%d", requestNumber.Add(1)))
	r.Header.Set("X-Deadline-Ms", "2500")
	response, err := httpClient.Do(r)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, err.Error()
	}
	return response.StatusCode, response.Header, string(body)
}

func newClient() *http.Client {
	return &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{}}
}

func TestUsersRoutesAreServedByEveryVM(t *testing.T) {
	d := startUsers(t)
	for _, vm := range d.VMs {
		status, header, body := sendRequest(vm, newClient(), "GET", "/g/x")
		require.Equal(t, 200, status)
		require.Equal(t, "0", header.Get("X-Missing-Parts"))
		require.Len(t, body, shardCount*16)
		require.Equal(t, byte(shardCount-1), body[0])
		status, header, body = sendRequest(vm, newClient(), "POST", "/e/x")
		require.Equal(t, 200, status)
		require.Equal(t, "old", body)
		require.NotEmpty(t, header.Get("X-Server-Seal"))
		status, _, _ = sendRequest(vm, newClient(), "GET", "/none/")
		require.Equal(t, 404, status)
	}
}

// The store may serve only one of the three VMs; that VM passes configuration
// changes and draining targets on to the others. All VMs keep serving during a store
// outage, and list the store again if its history was compacted meanwhile.
func TestUsersConfigurationPropagatesDuringStoreOutage(t *testing.T) {
	d := startUsers(t)
	d.Store.Put("op/config", routesDocument(2, "new"))
	for _, vm := range d.VMs {
		require.NoError(t, testkit.Poll(context.Background(), 2*time.Second, func() bool {
			_, _, body := sendRequest(vm, newClient(), "POST", "/e/x")
			return body == "new"
		}))
	}
	d.Store.SetFault(users.Hang)
	time.Sleep(2 * time.Second)
	for _, vm := range d.VMs {
		status, _, body := sendRequest(vm, newClient(), "POST", "/e/x")
		require.Equal(t, 200, status, "every VM serves during a store outage")
		require.Equal(t, "new", body)
	}
	d.Store.Put("op/config", routesDocument(3, "old"))
	d.Store.Compact()
	d.Store.SetFault(users.None)
	for _, vm := range d.VMs {
		require.NoError(t, testkit.Poll(context.Background(), 3*time.Second, func() bool {
			_, _, body := sendRequest(vm, newClient(), "POST", "/e/x")
			return body == "old"
		}), "the VM lists the store again after its history was compacted")
	}
}

func TestUsersDrainingTargetReceivesNoNewRequests(t *testing.T) {
	d := startUsers(t)
	draining := d.Targets["olda"]
	d.Store.Register(draining, users.Draining, 2)
	time.Sleep(1500 * time.Millisecond)
	before := len(draining.Runs())
	for range 20 {
		for _, vm := range d.VMs {
			status, _, _ := sendRequest(vm, newClient(), "POST", "/e/x")
			require.Equal(t, 200, status)
		}
	}
	require.Len(t, draining.Runs(), before)
}

// Callers reuse their keep-alive connections throughout a graceful stop: every
// request gets its complete response, and every edit runs once.
func TestUsersGracefulStopDropsNoRequest(t *testing.T) {
	d := startUsers(t)
	for _, target := range d.Targets {
		target.SetBehavior(users.Behavior{Delay: 30 * time.Millisecond})
	}
	vm := d.VMs[0]
	var dropped, served atomic.Int64
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			httpClient := newClient()
			for {
				select {
				case <-stop:
					return
				default:
				}
				status, _, _ := sendRequest(vm, httpClient, "POST", "/e/x")
				switch {
				case status == 200:
					served.Add(1)
				case status == 0 && vm.Ready():
					dropped.Add(1)
				case status == 0:
					return
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	vm.Process().Signal(syscall.SIGTERM)
	require.NoError(t, testkit.Poll(context.Background(), time.Second, func() bool { return !vm.Ready() }))
	ctx, cancel := context.WithTimeout(context.Background(), 7*time.Second)
	defer cancel()
	code, err := vm.Process().Wait(ctx)
	close(stop)
	callers.Wait()
	require.NoError(t, err)
	require.Zero(t, code, d.Log(vm))
	require.Zero(t, dropped.Load())
	require.Greater(t, served.Load(), int64(300))
	runs := map[string]int{}
	for _, domain := range []string{"a", "b", "c"} {
		for _, run := range d.Targets["old"+domain].Runs() {
			runs[run.ID]++
			require.Equal(t, 1, runs[run.ID], "run twice: %s", run.ID)
		}
	}
}

// The peers don't answer, as behind a network partition. Notifying them runs
// concurrently with the balancer's notice period, so the stop ends at least a
// second before its limit. That margin absorbs delays on a busy machine.
func TestUsersGracefulStopIsBoundedWhilePeersAreSilent(t *testing.T) {
	d := startUsers(t)
	for _, vm := range d.VMs[1:] {
		vm.Process().Signal(syscall.SIGSTOP)
	}
	const limit, earliest = 6 * time.Second, 2 * time.Second
	began := time.Now()
	d.VMs[0].Process().Signal(syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	code, err := d.VMs[0].Process().Wait(ctx)
	require.NoError(t, err)
	require.Zero(t, code, d.Log(d.VMs[0]))
	require.Greater(t, time.Since(began), earliest, "the stop waits for the balancer's notice period")
	require.Less(t, time.Since(began), limit-time.Second, "the stop leaves a reserve for a busy machine")
}

func TestUsersSettingsAreReloaded(t *testing.T) {
	d := startUsers(t)
	vm := d.VMs[0]
	require.NoError(t, d.WriteSettings(vm, "[routes]\nextra_load_share = 0.1"))
	vm.Process().Signal(syscall.SIGHUP)
	logged := func(text string) func() bool {
		return func() bool { return strings.Contains(d.Log(vm), text) }
	}
	require.NoError(t, testkit.Poll(context.Background(), 3*time.Second, logged("settings reloaded")))
	require.NoError(t, d.WriteSettings(vm, "[routes]\nextra_load_share = many"))
	require.NoError(t, testkit.Poll(context.Background(), 5*time.Second, logged("settings not reloaded")))
	status, _, _ := sendRequest(vm, newClient(), "GET", "/g/x")
	require.Equal(t, 200, status)
}

func TestUsersVMsRecoverAfterAllAreKilled(t *testing.T) {
	d := startUsers(t)
	for _, vm := range d.VMs {
		vm.Process().Kill()
	}
	for _, vm := range d.VMs {
		require.NoError(t, d.StartVM(vm))
	}
	for _, vm := range d.VMs {
		require.NoError(t, testkit.Poll(context.Background(), 3*time.Second, func() bool {
			status, _, _ := sendRequest(vm, newClient(), "GET", "/g/x")
			return status == 200
		}))
	}
}

// The only seed VM is down; the other VMs discover each other through the store.
func TestUsersVMsDiscoverEachOtherWithoutSeeds(t *testing.T) {
	d := startUsers(t)
	for _, vm := range d.VMs {
		vm.Process().Kill()
	}
	for _, vm := range d.VMs[1:] {
		require.NoError(t, d.StartVM(vm))
	}
	sharing := func() bool { return strings.Contains(d.Log(d.VMs[1]), `"vms":2`) }
	require.NoError(t, testkit.Poll(context.Background(), 10*time.Second, func() bool {
		_, _, _ = sendRequest(d.VMs[1], newClient(), "GET", "/g/x")
		return sharing()
	}), "the second VM shares its limits with the third")
}
