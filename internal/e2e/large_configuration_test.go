package e2e_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/testkit"
)

// Guards against a configuration that the store takes, but that is too large to pass from one VM
// to another: VMs that don't watch the store kept serving a withdrawn key for 10 s.
func TestLargeConfigurationReachesEveryVM(t *testing.T) {
	const organisations, keys = 40, 800
	const applyTime = 5 * time.Second
	// Of three VMs of a failure domain, two watch the store.
	d, err := testkit.StartUsersDeployment(testDir(t), "a", "a", "a")
	require.NoError(t, err)
	t.Cleanup(d.Close)
	d.AddTarget("olda", "old", "a", []byte("old"))
	d.AddTarget("newa", "new", "a", []byte("new"))
	key := func(organisation, i int) string { return fmt.Sprintf("key-%05d-%05d-0123", organisation, i) }
	declare := func(version, withdrawn int) {
		list := make([]string, organisations)
		for o := range list {
			held := make([]string, 0, keys)
			for i := range keys {
				if o > 0 || i >= withdrawn {
					held = append(held, key(o, i))
				}
			}
			list[o] = fmt.Sprintf(`{"name":"o%d","api_keys":["%s"]}`, o, strings.Join(held, `","`))
		}
		document := strings.TrimSuffix(routesDocument(version, "old"), "}") + `,"tenants":[` + strings.Join(list, ",") + `]}`
		require.Less(t, len(document), 1<<20, "the store takes values of at most 1 MiB")
		d.Store.Put("op/config", document)
	}
	declare(1, 0)
	require.NoError(t, d.AwaitReady(t.Context()))
	awaitStatus(t, d, key(0, 0), 200, 4*applyTime)
	declare(2, 1)
	awaitStatus(t, d, key(0, 0), 401, applyTime)
	awaitStatus(t, d, key(0, 1), 200, applyTime)
	for _, vm := range d.VMs {
		require.NotContains(t, d.Log(vm), "configuration not passed on")
	}
}
