package e2e_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/standin/users"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

const (
	// crashStableWindow is the bounds' stable_window_ms of the users' sites.
	crashStableWindow = 4 * time.Second
	// maxSendsAfterCrashes is how many retries the rule BUDGET allows after that window.
	maxSendsAfterCrashes = 3
	crashedTargetDown    = 800 * time.Millisecond
)

// Guards against a request that crashes each target that runs it being sent to further
// targets without end, at all VMs, while its caller repeats it.
func TestCrashingRequestIsNotSentWithoutEnd(t *testing.T) {
	for _, path := range []string{"/g/poison", "/e/poison"} {
		t.Run(path, func(t *testing.T) {
			repeatCrashing(t, path, func(int) string { return path }, crashingBehavior)
		})
	}
}

// Guards against a request that crashes its targets being taken for a new one at each
// repeat because its query changes.
func TestCrashingRequestWithOtherQueriesIsNotSentWithoutEnd(t *testing.T) {
	for _, path := range []string{"/g/poison", "/e/poison", "/i/poison"} {
		t.Run(path, func(t *testing.T) {
			repeatCrashing(t, path, func(n int) string { return fmt.Sprintf("%s?page=%d&sort=new", path, n) }, crashingBehavior)
		})
	}
}

// Guards against a crash being overlooked because the target has sent the head of its reply
// before it crashed.
func TestRequestThatCrashesTargetsAfterTheHeadIsNotSentWithoutEnd(t *testing.T) {
	for _, path := range []string{"/g/poison", "/e/poison", "/i/poison"} {
		t.Run(path, func(t *testing.T) {
			behavior := crashingBehavior
			behavior.EarlyHead = true
			repeatCrashing(t, path, func(int) string { return path }, behavior)
		})
	}
}

// crashingBehavior is that of a target which crashes on the repeated request.
var crashingBehavior = users.Behavior{Delay: 5 * time.Millisecond, CrashOn: "poison", Down: crashedTargetDown}

// repeatCrashing repeats a request at any VM, beside requests that crash no target, and
// checks the rule BUDGET for its path. uri returns the URI of the n-th repeat.
func repeatCrashing(t *testing.T, path string, uri func(n int) string, behavior users.Behavior) {
	t.Helper()
	d := startUsers(t)
	for _, target := range d.Targets {
		target.SetBehavior(behavior)
		target.OnRestart(func() { d.Store.Register(target, users.Ready, 1) })
	}
	load := startCleanLoad(d)
	random := rand.New(rand.NewPCG(1, 2))
	for n := range 60 {
		vm := d.VMs[random.IntN(len(d.VMs))]
		sendRequest(vm, newClient(), "POST", uri(n))
		time.Sleep(150 * time.Millisecond)
	}
	load.stop(t)
	requireFewSends(t, d, path)
}

// requireFewSends checks the rule BUDGET for a request that crashes its targets, whatever
// its query.
func requireFewSends(t *testing.T, d *testkit.UsersDeployment, path string) {
	t.Helper()
	var crashes []time.Time
	for _, target := range d.Targets {
		crashes = append(crashes, target.Crashes()...)
	}
	sortTimes(crashes)
	t.Logf("%d crashes", len(crashes))
	if len(crashes) < 3 {
		return
	}
	late := map[string]bool{}
	for _, target := range d.Targets {
		for _, run := range target.Runs() {
			if pathOf(run.URI) == path && run.At.After(crashes[2].Add(crashStableWindow)) {
				late[fmt.Sprintf("%s at %s", run.ID, target.ID)] = true
			}
		}
	}
	require.LessOrEqual(t, len(late), maxSendsAfterCrashes, "sends after the third crash: %v", late)
}

// pathOf returns the URI without its query.
func pathOf(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	return path
}

func sortTimes(times []time.Time) { slices.SortFunc(times, time.Time.Compare) }

// cleanLoad sends requests that crash no target, half of them under one path.
type cleanLoad struct {
	cancel         context.CancelFunc
	done           sync.WaitGroup
	mu             sync.Mutex
	served, others int
}

func startCleanLoad(d *testkit.UsersDeployment) *cleanLoad {
	ctx, cancel := context.WithCancel(context.Background())
	l := &cleanLoad{cancel: cancel}
	for i, vm := range d.VMs {
		l.done.Go(func() {
			client := newClient()
			for n := 0; ctx.Err() == nil; n++ {
				uri := fmt.Sprintf("/g/clean-%d-%d", i, n)
				if n%2 == 1 {
					uri = fmt.Sprintf("/g/search?q=%d-%d", i, n)
				}
				status, _, _ := sendRequest(vm, client, "GET", uri)
				l.record(status)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	return l
}

func (l *cleanLoad) record(status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if status == 200 {
		l.served++
		return
	}
	l.others++
}

// stop ends the load and checks that clean requests were served.
func (l *cleanLoad) stop(t *testing.T) {
	t.Helper()
	l.cancel()
	l.done.Wait()
	t.Logf("clean requests: %d served, %d others", l.served, l.others)
	require.Greater(t, l.served, 9*l.others)
}
