package e2e_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/standin/users"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

// gatheringShards is the number of shards of the gathering route in these tests.
const gatheringShards = 15

// gatheringRoute returns a gathering route under /g/, followed by a comma.
func gatheringRoute() string {
	shards := make([]string, gatheringShards)
	for i := range shards {
		shards[i] = fmt.Sprintf(`"s%d"`, i)
	}
	return fmt.Sprintf(`{"name":"g","host":"h","prefix":"/g/","route_type":"idempotent","timeout_ms":5000,"target_latency_ms":500,`+
		`"gather":[%s],"max_attempts":2,"top_k":4,"min_coverage":0.5},`, strings.Join(shards, ","))
}

// slowDown makes all targets of shards reply late, and forget bodies.
func slowDown(d *testkit.UsersDeployment) {
	for _, target := range d.Targets {
		if target.Service != "old" {
			target.SetBehavior(users.Behavior{Delay: 300 * time.Millisecond, DiscardBody: true})
		}
	}
}

// Guards against a VM that runs out of memory through bodies of legal size which are sent to
// many shards: each attempt held a copy of its own.
func TestGatheredBodiesDoNotExhaustAVM(t *testing.T) {
	const callers = 100
	d, vm := startSmallVMWith(t, smallVMOptions{routes: gatheringRoute(), services: gatheringShards})
	slowDown(d)
	crowd{
		address: vm.RouteAddress, request: testkit.WholeBody(hostileIdentity, "/g/x"), callers: callers,
		from: []string{"127.0.1.1", "127.0.1.2", "127.0.1.3"},
	}.withstand(t, d, vm, "127.0.0.2")
}

// Guards against a VM that runs out of descriptors through the connections to the targets of many
// shards, whose services accept more of them than it has.
func TestAttemptsDoNotExhaustTheDescriptors(t *testing.T) {
	const callers, connectionsPerTarget = 60, 400
	d, vm := startSmallVMWith(t, smallVMOptions{routes: gatheringRoute(), services: gatheringShards, maxConnections: connectionsPerTarget})
	slowDown(d)
	crowd{
		address: vm.RouteAddress, request: testkit.WholeBody(hostileIdentity, "/g/x"), callers: callers,
		from: []string{"127.0.1.1", "127.0.1.2", "127.0.1.3"},
	}.withstand(t, d, vm, "127.0.0.2")
}

// Guards against uploads that stop short and take the places of running requests, so that all
// other callers are refused.
func TestUnfinishedUploadsTakeNoPlaceOfARunningRequest(t *testing.T) {
	const callers, places = 60, 20
	settings := fmt.Sprintf("[routes]\nmax_waiting_requests = %d\n", places)
	d, vm := startSmallVMWith(t, smallVMOptions{settings: settings})
	crowd{
		address: vm.RouteAddress, request: testkit.SlowBody(hostileIdentity), callers: callers,
		from: []string{"127.0.1.1", "127.0.1.2", "127.0.1.3"},
	}.withstand(t, d, vm, "127.0.0.2")
}

// Guards against heads that grow by little all the time, hold all connections and shut out an
// ordinary caller of the same address, as behind a balancer.
func TestSlowHeadsDoNotShutOutOrdinaryCallers(t *testing.T) {
	const callers, headerTimeoutMs = 400, 60000
	d, vm := startSmallVMWith(t, smallVMOptions{headerTimeoutMs: headerTimeoutMs})
	crowd{
		address: vm.RouteAddress, request: testkit.SlowHead(hostileIdentity), callers: callers, from: []string{"127.0.0.1"},
	}.withstand(t, d, vm, "127.0.0.1")
}

// Guards against uploads that grow by little all the time, hold all connections and shut out an
// ordinary caller of the same address.
func TestSlowUploadsDoNotShutOutOrdinaryCallers(t *testing.T) {
	const callers = 400
	d, vm := startSmallVM(t)
	crowd{
		address: vm.RouteAddress, request: testkit.TricklingBody(hostileIdentity), callers: callers, from: []string{"127.0.0.1"},
	}.withstand(t, d, vm, "127.0.0.1")
}

// Guards against a VM that runs out of memory through the bodies that other VMs let in and
// delegate to it.
func TestDelegatedBodiesDoNotExhaustAGatherer(t *testing.T) {
	d, vm := startSmallVMWith(t, smallVMOptions{routes: gatheringRoute(), services: gatheringShards})
	slowDown(d)
	delegated := testkit.UnfinishedBody(hostileIdentity + "\r\nCarawayreel-Route-Version: 1\r\nCarawayreel-Elapsed-Us: 1000")
	crowd{
		address: vm.GatherAddress, request: delegated, callers: hostileCallers,
		from: []string{"127.0.1.1", "127.0.1.2", "127.0.1.3", "127.0.1.4", "127.0.1.5", "127.0.1.6", "127.0.1.7"},
	}.withstand(t, d, vm, "127.0.0.2")
}

// Guards against a VM that runs out of memory through answers that their callers do not read.
func TestUnreadAnswersDoNotExhaustAVM(t *testing.T) {
	const callers, answerBytes = 100, 6 << 20
	d, vm := startSmallVM(t)
	large := d.AddTarget("large", "large", "a", []byte(strings.Repeat("a", answerBytes)))
	large.SetBehavior(users.Behavior{DiscardBody: true})
	d.Store.Put("op/config", `{"version":2,"routes":[
	  {"name":"l","host":"h","prefix":"/l/","route_type":"idempotent","timeout_ms":5000,"target_latency_ms":500,"service":"large","max_attempts":2},
	  {"name":"e","host":"h","prefix":"/e/","route_type":"non_idempotent","timeout_ms":5000,"target_latency_ms":500,"service":"old","max_attempts":2}],
	  "services":[{"name":"old","max_conns":16},{"name":"large","max_conns":400}],
	  "limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`)
	require.NoError(t, testkit.Poll(t.Context(), 10*time.Second, func() bool {
		status, _, body := sendRequest(vm, newClient(), "GET", "/l/x")
		return status == 200 && len(body) == answerBytes
	}), "the route is in force")
	crowd{
		address: vm.RouteAddress, request: testkit.UnreadAnswer(hostileIdentity, "/l/x"), callers: callers,
		from: []string{"127.0.1.1", "127.0.1.2", "127.0.1.3"},
	}.withstand(t, d, vm, "127.0.0.2")
}
