package e2e_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/standin/users"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

const (
	firstKey  = "first-key-0123456789"
	secondKey = "second-key-012345678"
	wrongKey  = "wrong-key-0123456789"
)

// organisationsDocument returns the operator's configuration with one organisation that holds
// the keys.
func organisationsDocument(version int, keys ...string) string {
	list := fmt.Sprintf(`,"tenants":[{"name":"kami","api_keys":["%s"]}]}`, strings.Join(keys, `","`))
	return strings.TrimSuffix(routesDocument(version, "old"), "}") + list
}

// sendWithKey sends a request with a key and a name that the caller chose, and returns the
// status and the headers.
func sendWithKey(vm *testkit.UsersVM, method, uri, key string) (int, http.Header) {
	r, err := http.NewRequest(method, "http://"+vm.RouteAddress+uri, http.NoBody)
	if err != nil {
		return 0, nil
	}
	r.Host = "h"
	r.Header = http.Header{
		"X-Attempt-Id": {fmt.Sprintf("r%d", requestNumber.Add(1))}, "X-Deadline-Ms": {"2500"},
		"X-Credential": {key}, "X-Tenant": {"chosen"},
	}
	response, err := newClient().Do(r)
	if err != nil {
		return 0, nil
	}
	_ = response.Body.Close()
	return response.StatusCode, response.Header
}

// awaitStatus waits until all VMs answer a request with the key with the status, for at most
// the time within which a configuration must be in force.
func awaitStatus(t *testing.T, d *testkit.UsersDeployment, key string, status int) {
	t.Helper()
	const applyTime = 5 * time.Second
	require.NoError(t, testkit.Poll(t.Context(), applyTime, func() bool {
		for _, vm := range d.VMs {
			if got, _ := sendWithKey(vm, "POST", "/e/x", key); got != status {
				return false
			}
		}
		return true
	}), "status %d for %s", status, key)
}

// requireNoKeys checks that no request at a target and no log holds a key, and that the targets
// got the name of the organisation in each request after the time.
func requireNoKeys(t *testing.T, d *testkit.UsersDeployment, since time.Time) {
	t.Helper()
	named := 0
	for _, target := range d.Targets {
		for _, arrival := range target.Arrivals() {
			if arrival.At.Before(since) {
				continue
			}
			named++
			require.Equal(t, []string{"kami"}, arrival.Header["X-Tenant"])
			require.NotContains(t, fmt.Sprint(arrival.Header), "-key-")
		}
	}
	require.Positive(t, named)
	for _, vm := range d.VMs {
		require.NotContains(t, d.Log(vm), "-key-")
	}
}

// Guards against keys that are not in force everywhere in time, that reach targets or logs, and
// against a VM without the store that refuses for good what a newer configuration may allow.
func TestUsersKeysAreCheckedByEveryVM(t *testing.T) {
	d := startUsers(t)
	d.Store.Put("op/config", organisationsDocument(2, firstKey))
	awaitStatus(t, d, wrongKey, http.StatusUnauthorized)
	since := time.Now()
	awaitStatus(t, d, firstKey, http.StatusOK)
	d.Store.Put("op/config", organisationsDocument(3, secondKey))
	awaitStatus(t, d, secondKey, http.StatusOK)
	awaitStatus(t, d, firstKey, http.StatusUnauthorized)
	d.Store.SetFault(users.Unavailable)
	require.NoError(t, testkit.Poll(t.Context(), 15*time.Second, func() bool {
		for _, vm := range d.VMs {
			status, header := sendWithKey(vm, "POST", "/e/x", wrongKey)
			if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
				return false
			}
		}
		return true
	}), "VMs that don't reach the store answer 503")
	awaitStatus(t, d, secondKey, http.StatusOK)
	d.Store.SetFault(users.None)
	awaitStatus(t, d, wrongKey, http.StatusUnauthorized)
	requireNoKeys(t, d, since)
}

// Guards against delegated requests that are refused for want of a key, or pass it on.
func TestUsersDelegatedRequestsCarryTheNameInPlaceOfTheKey(t *testing.T) {
	d := startUsersWithProcessors(t, 0.2, 0.2, 0.8)
	awaitDelegation(t, d.VMs[0])
	d.Store.Put("op/config", organisationsDocument(2, firstKey))
	awaitStatus(t, d, wrongKey, http.StatusUnauthorized)
	since := time.Now()
	before := delegated(t, d.VMs[0])
	require.NoError(t, testkit.Poll(t.Context(), 20*time.Second, func() bool {
		status, _ := sendWithKey(d.VMs[0], "GET", "/g/x", firstKey)
		return status == http.StatusOK && delegated(t, d.VMs[0]) != before
	}))
	requireNoKeys(t, d, since)
}
