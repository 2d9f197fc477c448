package e2e_test

import (
	"context"
	"net/http"
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
	for range 20 {
		for _, vm := range d.VMs {
			require.True(t, serves(vm, "POST", "/e/x", "new"))
		}
	}
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
