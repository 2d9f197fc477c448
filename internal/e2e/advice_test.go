package e2e_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/standin/users"
)

// Guards against a target that names a limit in its replies being sent more than that by all
// VMs together.
func TestNamedRateLimitIsKeptByAllVMs(t *testing.T) {
	const window = 4 * time.Second
	limits := map[string]float64{"s0a": 12, "s0b": 12, "s1a": 1, "s2c": 40}
	d := startUsers(t)
	for _, target := range d.Targets {
		target.SetBehavior(users.Behavior{Delay: 5 * time.Millisecond})
	}
	load := startCleanLoad(d)
	time.Sleep(time.Second)
	for id, limit := range limits {
		d.Targets[id].SetBehavior(users.Behavior{
			Delay: 5 * time.Millisecond, Header: http.Header{"Server-Limit": {strconv.FormatFloat(limit, 'f', -1, 64)}},
		})
	}
	named := time.Now()
	time.Sleep(window + 5*time.Second)
	load.stop(t)
	for id, limit := range limits {
		allowed := int(1.5*limit*window.Seconds()) + 5
		most := mostInWindow(d.Targets[id].Arrivals(), named.Add(window), window)
		t.Logf("%s: %d requests in 4 s, allowed %d", id, most, allowed)
		require.LessOrEqual(t, most, allowed, id)
		require.GreaterOrEqual(t, most, int(limit*window.Seconds()/3), "%s: the limit is made use of", id)
	}
}

// Guards against requests that reach a target later than the drain time after it has said
// in its replies that it leaves, while its registration still says that it is ready.
func TestLeavingTargetIsNotUsed(t *testing.T) {
	const drain = 3 * time.Second
	d := startUsers(t)
	load := startCleanLoad(d)
	time.Sleep(time.Second)
	target := d.Targets["s0a"]
	target.SetBehavior(users.Behavior{Header: http.Header{"Server-Leaving": {"1"}}})
	time.Sleep(drain)
	before := len(target.Arrivals())
	vm := d.VMs[1]
	vm.Process().Kill()
	require.NoError(t, d.StartVM(vm))
	time.Sleep(3 * time.Second)
	load.cancel()
	load.done.Wait()
	after := target.Arrivals()[before:]
	t.Logf("%d requests before, %d after the drain time and a restart", before, len(after))
	require.Positive(t, before)
	require.LessOrEqual(t, len(after), 1, "a restarted VM may not know it yet")
}

// Guards against requests to a target that has turned one away with 503 and Retry-After
// before that time is over.
func TestTargetThatAsksForAPauseGetsIt(t *testing.T) {
	const pause = 3 * time.Second
	d := startUsers(t)
	load := startCleanLoad(d)
	time.Sleep(time.Second)
	targets := []*users.Target{d.Targets["s0a"], d.Targets["s0b"], d.Targets["s0c"]}
	arrivals := func() int {
		n := 0
		for _, target := range targets {
			n += len(target.Arrivals())
		}
		return n
	}
	for _, target := range targets {
		target.SetBehavior(users.Behavior{Shed: true, Header: http.Header{"Retry-After": {"3"}}})
	}
	time.Sleep(500 * time.Millisecond)
	before := arrivals()
	time.Sleep(pause - time.Second)
	during := arrivals() - before
	for _, target := range targets {
		target.SetBehavior(users.Behavior{})
	}
	time.Sleep(1500 * time.Millisecond)
	load.stop(t)
	t.Logf("%d requests in the pause, %d after it", during, arrivals()-before-during)
	require.LessOrEqual(t, during, 2*len(d.VMs)*len(targets))
	require.Greater(t, arrivals()-before-during, 10, "the targets are used again")
}

// mostInWindow returns the largest number of arrivals in any window that begins at or after
// from.
func mostInWindow(arrivals []users.Arrival, from time.Time, window time.Duration) int {
	most := 0
	for i, first := range arrivals {
		if first.At.Before(from) {
			continue
		}
		count := 0
		for _, arrival := range arrivals[i:] {
			if arrival.At.Sub(first.At) < window {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}
