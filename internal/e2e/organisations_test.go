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

// keyTransport adds a key, and a name that the caller chose, to requests.
type keyTransport string

func (k keyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set("X-Credential", string(k))
	r.Header.Set("X-Tenant", "chosen")
	return http.DefaultTransport.RoundTrip(r)
}

// awaitStatus waits until all VMs answer requests with the key with the status. A configuration
// must be in force within 5 s, and is unconfirmed 5 s after the last answer of the store.
func awaitStatus(t *testing.T, d *testkit.UsersDeployment, key string, status int, within time.Duration) {
	t.Helper()
	caller := &http.Client{Transport: keyTransport(key), Timeout: 5 * time.Second}
	require.NoError(t, testkit.Poll(t.Context(), within, func() bool {
		for _, vm := range d.VMs {
			if got, _, _ := sendRequest(vm, caller, "POST", "/e/x"); got != status {
				return false
			}
		}
		return true
	}), "status %d for %s", status, key)
}

// Guards against keys that are not in force everywhere in time, that reach targets or logs, or
// are asked for again by a gatherer, and against VMs without the store that refuse for good what
// a newer configuration may allow.
func TestUsersKeysAreCheckedByEveryVM(t *testing.T) {
	const firstKey, secondKey, wrongKey = "first-key-0123456789", "second-key-012345678", "wrong-key-0123456789"
	const applyTime = 5 * time.Second
	d := startUsersWithProcessors(t, 0.2, 0.2, 0.8)
	awaitDelegation(t, d.VMs[0])
	declare := func(version int, key string) {
		list := fmt.Sprintf(`,"tenants":[{"name":"kami","api_keys":["%s"]}]}`, key)
		d.Store.Put("op/config", strings.TrimSuffix(routesDocument(version, "old"), "}")+list)
	}
	declare(2, firstKey)
	awaitStatus(t, d, wrongKey, 401, applyTime)
	since, before := time.Now(), delegated(t, d.VMs[0])
	require.NoError(t, testkit.Poll(t.Context(), 20*time.Second, func() bool {
		status, _, _ := sendRequest(d.VMs[0], &http.Client{Transport: keyTransport(firstKey)}, "GET", "/g/x")
		return status == 200 && delegated(t, d.VMs[0]) != before
	}), "a gatherer serves the request")
	declare(3, secondKey)
	awaitStatus(t, d, secondKey, 200, applyTime)
	awaitStatus(t, d, firstKey, 401, applyTime)
	d.Store.SetFault(users.Unavailable)
	awaitStatus(t, d, wrongKey, 503, 3*applyTime)
	awaitStatus(t, d, secondKey, 200, applyTime)
	d.Store.SetFault(users.None)
	awaitStatus(t, d, wrongKey, 401, applyTime)
	for _, target := range d.Targets {
		for _, arrival := range target.Arrivals() {
			if arrival.At.After(since) {
				require.Equal(t, []string{"kami"}, arrival.Header["X-Tenant"])
				require.NotContains(t, fmt.Sprint(arrival.Header), "-key-")
			}
		}
	}
	for _, vm := range d.VMs {
		require.NotContains(t, d.Log(vm), "-key-")
	}
}
