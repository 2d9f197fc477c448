package e2e_test

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/testkit"
)

const endlessShards = 90

// Guards against a VM that runs out of memory, and takes the requests of all its callers with it, while many targets
// send bytes without end in heads and bodies: gathered answers, relays, and VMs that delegate to these.
func TestTargetsThatSendWithoutEndDoNotExhaustTheMemory(t *testing.T) {
	// VMs in d and e gather for the others. Each relays to the targets in its domain.
	cores, domains := []float64{0.2, 0.2, 0.2, 0.8, 0.8}, []string{"a", "b", "c", "d", "e"}
	d, err := testkit.StartUsersDeploymentWithProcessors(testDir(t), cores, domains...)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	for _, domain := range domains {
		d.AddTarget("old"+domain, "old", domain, []byte("old"))
	}
	addEndlessShards(t, d)
	d.Store.Put("op/config", endlessRoutes())
	require.NoError(t, d.AwaitReady(t.Context()))

	ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
	defer cancel()
	var callers sync.WaitGroup
	const gatheringCallers = 8
	gathered := make([]int, len(d.VMs)*gatheringCallers)
	for i := range gathered {
		callers.Go(func() {
			client := newClient()
			for ; ctx.Err() == nil; gathered[i]++ {
				status, _, _ := sendRequest(d.VMs[i%len(d.VMs)], client, "GET", fmt.Sprintf("/g/%d-%d", i, gathered[i]))
				if status == 200 {
					t.Error("bytes without end were passed on as an answer")
				}
			}
		})
	}
	others, failed := 0, 0
	client := newClient()
	for ctx.Err() == nil {
		if status, _, text := sendRequest(d.VMs[others%len(d.VMs)], client, "POST", "/e/x"); status != 200 {
			t.Logf("other request: %d %s", status, text)
			failed++
		}
		others++
		time.Sleep(10 * time.Millisecond)
	}
	callers.Wait()
	total := 0
	for _, n := range gathered {
		total += n
	}
	require.Greater(t, total, len(gathered))
	require.LessOrEqual(t, failed, others/50, "other requests, of %d", others)
	for _, vm := range d.VMs {
		require.False(t, vm.Process().Ended(), vm.ID)
		peak := peakMemory(t, vm.Process().PID())
		t.Logf("%s: at most %d MB", vm.ID, peak>>20)
		require.Less(t, peak, testkit.SmallestVMMegabytes<<20, vm.ID)
	}
	t.Logf("%d gathered requests, %d others", total, others)
}

// addEndlessShards registers two targets of each shard, in d for the even shards and in e for the odd ones. Each
// sends one of the endless replies.
func addEndlessShards(t *testing.T, d *testkit.UsersDeployment) {
	t.Helper()
	addresses := make([]string, 0, len(testkit.EndlessReplies()))
	for _, reply := range testkit.EndlessReplies() {
		s, err := testkit.StartEndlessServer(reply)
		require.NoError(t, err)
		t.Cleanup(s.Close)
		addresses = append(addresses, s.Address())
	}
	for shard := range endlessShards {
		for replica := range 2 {
			d.Store.Put(fmt.Sprintf("servers/s%d-%d", shard, replica), map[string]any{
				"service": fmt.Sprintf("s%d", shard), "address": addresses[(shard/2+replica)%len(addresses)],
				"zone": []string{"d", "e"}[shard%2], "version": "v1", "slots": 7, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1000,
			})
		}
	}
}

func endlessRoutes() string {
	shards, services := make([]string, 0, endlessShards), make([]string, 0, endlessShards)
	for shard := range endlessShards {
		shards = append(shards, fmt.Sprintf("%q", fmt.Sprintf("s%d", shard)))
		services = append(services, fmt.Sprintf(`{"name":"s%d","max_conns":195}`, shard))
	}
	return fmt.Sprintf(`{"version":1,"routes":[
	  {"name":"g","host":"h","prefix":"/g/","route_type":"idempotent","timeout_ms":1200,"target_latency_ms":120,"gather":[%s],"max_attempts":2,"top_k":20,"min_coverage":0.5},
	  {"name":"e","host":"h","prefix":"/e/","route_type":"non_idempotent","timeout_ms":5000,"target_latency_ms":500,"service":"old","max_attempts":2}],
	  "services":[%s],"limits":{"max_header_bytes":16384,"max_body_bytes":262144}}`, strings.Join(shards, ","), strings.Join(services, ","))
}

// peakMemory returns the most memory in bytes that a process has held.
func peakMemory(t *testing.T, pid int) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(value, "kB")))
			require.NoError(t, err)
			return kilobytes << 10
		}
	}
	require.Fail(t, "the process states no peak memory")
	return 0
}
