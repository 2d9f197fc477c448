package e2e_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/standin/users"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

const (
	rolloutRamp = 12 * time.Second
	// rolloutPause is the time between two requests of each of the 8 callers of a VM, about
	// 300 requests a second in all.
	rolloutPause = 80 * time.Millisecond
)

// rolloutLoad counts the requests to a service with an order.
type rolloutLoad struct {
	d       *testkit.UsersDeployment
	stop    context.CancelFunc
	done    sync.WaitGroup
	failed  atomic.Int64
	answers atomic.Int64
	started time.Time
}

// orderUnderLoad starts targets of version v2 that behave as given, sends requests to all VMs
// and orders the version.
func orderUnderLoad(t *testing.T, d *testkit.UsersDeployment, b users.Behavior) *rolloutLoad {
	t.Helper()
	usual := users.Behavior{Delay: 8 * time.Millisecond}
	for _, domain := range []string{"a", "b", "c"} {
		d.Targets["old"+domain].SetBehavior(usual)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &rolloutLoad{d: d, stop: cancel}
	for _, vm := range d.VMs {
		for range 8 {
			l.done.Go(func() { l.send(ctx, vm) })
		}
	}
	time.Sleep(2 * time.Second)
	l.started = time.Now()
	d.Store.Order("old", "v2", rolloutRamp)
	for _, domain := range []string{"a", "b", "c"} {
		target := d.AddTargetVersion("next"+domain, "old", domain, "v2", []byte("next"))
		target.SetBehavior(b)
	}
	t.Cleanup(l.end)
	return l
}

func (l *rolloutLoad) send(ctx context.Context, vm *testkit.UsersVM) {
	client := newClient()
	for ctx.Err() == nil {
		if status, _, _ := sendRequest(vm, client, "GET", "/i/x"); status == 200 {
			l.answers.Add(1)
		} else if ctx.Err() == nil {
			l.failed.Add(1)
		}
		time.Sleep(rolloutPause)
	}
}

func (l *rolloutLoad) end() {
	l.stop()
	l.done.Wait()
}

// exposure returns the requests that reached the targets of each version in a time after the
// order.
func (l *rolloutLoad) exposure(from, to time.Duration) (ordered, others int) {
	for id, target := range l.d.Targets {
		if target.Service != "old" {
			continue
		}
		n := 0
		for _, arrival := range target.Arrivals() {
			if after := arrival.At.Sub(l.started); after >= from && after < to {
				n++
			}
		}
		if strings.HasPrefix(id, "next") {
			ordered += n
		} else {
			others += n
		}
	}
	return ordered, others
}

// await waits until the order has a final state, and returns when.
func (l *rolloutLoad) await(t *testing.T, limit time.Duration) (string, time.Duration) {
	t.Helper()
	var state string
	_ = testkit.Poll(context.Background(), limit, func() bool {
		state = l.d.Store.RolloutState("old")
		return state == "completed" || state == "rolled_back"
	})
	return state, time.Since(l.started)
}

// require checks the bounds on the requests to the ordered version, and logs the steps.
func (l *rolloutLoad) requireBounds(t *testing.T, state string, at time.Duration) {
	t.Helper()
	ordered, others := l.exposure(0, rolloutRamp)
	t.Logf("%s after %s; %d requests to the ordered version, %d to others within the ramp; %d answers, %d failed",
		state, at.Round(10*time.Millisecond), ordered, others, l.answers.Load(), l.failed.Load())
	for _, status := range l.d.Store.RolloutStatuses("old") {
		t.Logf("%+v", status)
	}
	if state == "rolled_back" {
		require.Less(t, float64(ordered), 0.1*float64(ordered+others)+50)
		late, _ := l.exposure(at+5*time.Second, time.Hour)
		require.Zero(t, late, "nothing is sent after the roll-back is in force")
	}
}

// Guards against a version that is as good as the present one and is not completed in time, or
// whose completion leaves requests at targets that stop at once.
func TestRolloutOfAGoodVersion(t *testing.T) {
	d := startUsers(t)
	l := orderUnderLoad(t, d, users.Behavior{Delay: 8 * time.Millisecond})
	state, at := l.await(t, rolloutRamp+4*time.Second)
	for _, domain := range []string{"a", "b", "c"} {
		old := d.Targets["old"+domain]
		old.Server.CloseClientConnections()
		d.Store.Delete("servers/" + old.ID)
	}
	before := l.failed.Load()
	time.Sleep(2 * time.Second)
	l.end()
	l.requireBounds(t, state, at)
	require.Equal(t, "completed", state)
	require.Less(t, at, rolloutRamp)
	require.Equal(t, before, l.failed.Load(), "the old targets are not needed any more")
	_, others := l.exposure(at+time.Second, time.Hour)
	require.Zero(t, others, "a completed roll-out uses the ordered version only")
}

// Guards against a version that fails a third of its requests, or is slow in a part of them,
// and gets more requests than allowed.
func TestRolloutOfABadVersion(t *testing.T) {
	for name, b := range map[string]users.Behavior{
		"fails": {Delay: 8 * time.Millisecond, FailPart: 0.3},
		"slow":  {Delay: 8 * time.Millisecond, SlowPart: 0.4, SlowDelay: 80 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			l := orderUnderLoad(t, startUsers(t), b)
			state, at := l.await(t, rolloutRamp+4*time.Second)
			time.Sleep(max(rolloutRamp+time.Second-time.Since(l.started), 6*time.Second))
			l.end()
			l.requireBounds(t, state, at)
			require.Equal(t, "rolled_back", state)
			require.Less(t, at, rolloutRamp)
		})
	}
}

// Guards against an order that is not decided, or decided twice, when the VM that decides is
// killed.
func TestRolloutWhenTheDeciderIsKilled(t *testing.T) {
	d := startUsers(t)
	l := orderUnderLoad(t, d, users.Behavior{Delay: 8 * time.Millisecond})
	killed := map[string]bool{}
	for len(killed) < 2 && time.Since(l.started) < rolloutRamp {
		time.Sleep(3500 * time.Millisecond)
		for _, vm := range d.VMs {
			if !killed[vm.ID] && strings.Count(d.Log(vm), "status of a roll-out written") > 0 {
				killed[vm.ID] = true
				vm.Process().Kill()
				require.NoError(t, d.StartVM(vm))
				break
			}
		}
	}
	state, at := l.await(t, 2*rolloutRamp)
	l.end()
	l.requireBounds(t, state, at)
	require.Len(t, killed, 2)
	require.Equal(t, "completed", state)
	require.Less(t, at, rolloutRamp)
	final := 0
	for _, status := range d.Store.RolloutStatuses("old") {
		if status.State != "running" {
			final++
		}
	}
	require.Equal(t, 1, final, "a final state is written once")
	requireFinalStateOutlivesItsWriter(t, d)
}

// requireFinalStateOutlivesItsWriter kills the VM that wrote the completion. All VMs go on using
// the ordered version only, and a repeated order is completed at once.
func requireFinalStateOutlivesItsWriter(t *testing.T, d *testkit.UsersDeployment) {
	t.Helper()
	for _, vm := range d.VMs {
		if strings.Contains(d.Log(vm), `"state":"ROLLOUT_STATE_COMPLETED"`) && strings.Contains(d.Log(vm), "status of a roll-out written") {
			vm.Process().Kill()
			require.NoError(t, d.StartVM(vm))
		}
	}
	require.NoError(t, d.AwaitReady(context.Background()))
	written := len(d.Store.RolloutStatuses("old"))
	d.Store.Order("old", "v2", rolloutRamp)
	require.NoError(t, testkit.Poll(context.Background(), 5*time.Second, func() bool {
		return len(d.Store.RolloutStatuses("old")) > written && d.Store.RolloutState("old") == "completed"
	}))
	for _, vm := range d.VMs {
		status, _, body := sendRequest(vm, newClient(), "GET", "/i/x")
		require.Equal(t, 200, status)
		require.Equal(t, "next", body)
	}
}

// Guards against requests to an ordered version that no decider can judge, because the store
// is down from the order on, and against an order that is lost for that.
func TestRolloutWithTheStoreDownFromTheOrderOn(t *testing.T) {
	d := startUsers(t)
	l := orderUnderLoad(t, d, users.Behavior{Delay: 8 * time.Millisecond, FailPart: 0.5})
	d.Store.SetFault(users.Unavailable)
	time.Sleep(6 * time.Second)
	d.Store.SetFault(users.None)
	state, at := l.await(t, rolloutRamp+15*time.Second)
	time.Sleep(6 * time.Second)
	l.end()
	l.requireBounds(t, state, at)
	require.Equal(t, "rolled_back", state)
	for _, vm := range d.VMs {
		require.Contains(t, d.Log(vm), "roll-out step in force", fmt.Sprintf("%s knows the order", vm.ID))
	}
}

// Guards against an operator who goes back to the present version while a roll-out runs and
// causes an outage, or whose order does not end the requests to the new version.
func TestRolloutIsEndedByAnOrderForThePresentVersion(t *testing.T) {
	d := startUsers(t)
	l := orderUnderLoad(t, d, users.Behavior{Delay: 8 * time.Millisecond})
	time.Sleep(4 * time.Second)
	ordered, _ := l.exposure(0, time.Hour)
	require.Positive(t, ordered)
	d.Store.Order("old", "v1", rolloutRamp)
	back := time.Since(l.started)
	state, at := l.await(t, 4*time.Second)
	time.Sleep(2 * time.Second)
	l.end()
	require.Equal(t, "completed", state)
	require.Less(t, at, back+3*time.Second)
	late, _ := l.exposure(at+time.Second, time.Hour)
	require.Zero(t, late)
	require.Zero(t, l.failed.Load())
}
