package e2e_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/standin/users"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

// Bounds of the users' small sites.
const (
	configApply = 3 * time.Second
	drainBound  = 3 * time.Second
	evacuation  = 5 * time.Second
)

// storeAway is how long the store is away before it comes back from a copy.
const storeAway = 800 * time.Millisecond

// returnStore takes the store away and lets it come back from a copy, with the given writes.
func returnStore(d *testkit.UsersDeployment, c users.Copy, first ...users.Written) {
	d.Store.SetFault(users.Unavailable)
	time.Sleep(storeAway)
	d.Store.Return(c, first...)
	d.Store.SetFault(users.None)
}

// routesDocumentWith returns routesDocument with more idempotent routes, to the service old.
func routesDocumentWith(version int, editService string, added ...string) string {
	routes := ""
	for _, prefix := range added {
		routes += fmt.Sprintf(`{"name":"%s","host":"h","prefix":"/%s/","route_type":"idempotent","timeout_ms":500,"target_latency_ms":120,"service":"old","max_attempts":2},`, prefix, prefix)
	}
	return strings.Replace(routesDocument(version, editService), `"routes":[`, `"routes":[`+routes, 1)
}

// serves reports whether the VM serves a request with the given body.
func serves(vm *testkit.UsersVM, method, uri, want string) bool {
	status, _, body := sendRequest(vm, newClient(), method, uri)
	return status == http.StatusOK && body == want
}

// awaitServed waits until each VM serves a request with the given body.
func awaitServed(t *testing.T, d *testkit.UsersDeployment, within time.Duration, method, uri, want string) {
	t.Helper()
	end := time.Now().Add(within)
	for _, vm := range d.VMs {
		require.NoError(t, testkit.Poll(context.Background(), time.Until(end), func() bool { return serves(vm, method, uri, want) }),
			"%s does not serve %s as %q", vm.ID, uri, want)
	}
}

// Guards against versions, evacuations and drains that no VM follows because the store gave out
// their revisions before it came back from a copy (review/11).
func TestChangesAfterAReturnOfTheStoreAreFollowed(t *testing.T) {
	d := startUsers(t)
	copied := d.Store.Copy()
	const lost = 8
	for version := 2; version < 2+lost; version++ {
		d.Store.Put("op/config", routesDocument(version, "old"))
		time.Sleep(100 * time.Millisecond)
	}
	returnStore(d, copied, users.Written{Key: "op/config", Value: routesDocument(1+lost, "old")})
	time.Sleep(time.Second)

	d.Store.Put("op/config", routesDocument(2+lost, "new"))
	d.Store.Put("op/evacuate/b", "{}")
	draining := d.Targets["newa"]
	d.Store.Register(draining, users.Draining, 2)
	acknowledged := time.Now()
	awaitServed(t, d, configApply, "POST", "/e/x", "new")
	time.Sleep(time.Until(acknowledged.Add(evacuation)))
	evacuated := d.Targets["newb"]
	before := []int{len(draining.Runs()), len(evacuated.Runs())}
	served := 0
	for range 20 {
		for _, vm := range d.VMs {
			if serves(vm, "POST", "/e/x", "new") {
				served++
			}
		}
	}
	require.Positive(t, served)
	require.Equal(t, before, []int{len(draining.Runs()), len(evacuated.Runs())}, "requests after the drain and the evacuation")
}

// Guards against a watch that goes on from a revision of an earlier era and misses the version
// that got this revision after the store came back from a copy (review/12).
func TestVersionAtALostRevisionIsFollowed(t *testing.T) {
	d := startUsers(t)
	copied := d.Store.Copy()
	d.Store.Register(d.Targets["newa"], users.Ready, 2)
	time.Sleep(time.Second)
	returnStore(d, copied, users.Written{Key: "op/config", Value: routesDocument(2, "new")})
	returned := time.Now()
	time.Sleep(700 * time.Millisecond)
	d.Store.Register(d.Targets["newa"], users.Ready, 3)
	awaitServed(t, d, time.Until(returned.Add(configApply)), "POST", "/e/x", "new")
}

// Guards against an older configuration in the store's copy that replaces the one in force until
// the operator writes again, and against targets that left or drain and get requests by their
// old entries.
func TestCopyOfTheStoreReplacesNothingNewer(t *testing.T) {
	d := startUsers(t)
	copied := d.Store.Copy()
	d.Store.Put("op/config", routesDocumentWith(2, "new", "added"))
	draining, left := d.Targets["newa"], d.Targets["newb"]
	d.Store.Register(draining, users.Draining, 2)
	d.Store.Delete("servers/newb")
	awaitServed(t, d, configApply, "POST", "/e/x", "new")
	time.Sleep(drainBound)
	before := []int{len(draining.Runs()), len(left.Runs())}

	returnStore(d, copied)
	requireNewestServed(t, d.VMs, 2*time.Second)
	d.Store.Put("op/config", routesDocumentWith(2, "new", "added"))
	requireNewestServed(t, d.VMs, time.Second)
	require.Equal(t, before, []int{len(draining.Runs()), len(left.Runs())}, "requests to targets that drain or left")
	d.Store.Put("op/config", routesDocumentWith(3, "old", "added"))
	awaitServed(t, d, configApply, "POST", "/e/x", "old")
}

// Guards against a VM that starts after a return, knows the copy's older configuration only, and
// spreads it or keeps it although the others know a newer one.
func TestVMStartedAfterAReturnLearnsTheNewestRoutes(t *testing.T) {
	d := startUsers(t)
	copied := d.Store.Copy()
	d.Store.Put("op/config", routesDocumentWith(2, "new", "added"))
	awaitServed(t, d, configApply, "POST", "/e/x", "new")
	restarted := d.VMs[2]
	restarted.Process().Kill()
	returnStore(d, copied)
	require.NoError(t, d.StartVM(restarted))
	requireNewestServed(t, d.VMs[:2], 2*time.Second)
	awaitServed(t, d, configApply, "POST", "/e/x", "new")
	requireNewestServed(t, d.VMs, time.Second)
}

// requireNewestServed requires for some time that the VMs serve as the second version of
// routesDocumentWith has it: no request is run by the old service or finds no route.
func requireNewestServed(t *testing.T, vms []*testkit.UsersVM, duration time.Duration) {
	t.Helper()
	served := map[string]int{}
	for since := time.Now(); time.Since(since) < duration; time.Sleep(20 * time.Millisecond) {
		for _, vm := range vms {
			status, _, body := sendRequest(vm, newClient(), "POST", "/e/x")
			if status == http.StatusOK {
				require.Equal(t, "new", body, "%s, after %v", vm.ID, time.Since(since))
				served[vm.ID]++
			}
			status, _, _ = sendRequest(vm, newClient(), "GET", "/added/x")
			require.NotEqual(t, http.StatusNotFound, status, "%s, after %v", vm.ID, time.Since(since))
		}
	}
	for _, vm := range vms {
		require.Positive(t, served[vm.ID], vm.ID)
	}
}
