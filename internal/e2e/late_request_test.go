package e2e_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/standin/users"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

// callerResult is what the caller of one request saw; status 0 means that the connection
// ended without an answer.
type callerResult struct {
	id     string
	status int
}

// Guards against requests that arrive during the grace of a planned stop, on connections that
// their callers keep open until the process is gone, being passed on and then cut. The route
// may not repeat.
func TestRequestsLateInTheGraceOfAStopAreAnsweredOrNotRun(t *testing.T) {
	for _, grace := range []time.Duration{6 * time.Second, 3 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			d := startUsers(t)
			for _, target := range d.Targets {
				target.SetBehavior(users.Behavior{Delay: 900 * time.Millisecond})
			}
			vm := d.VMs[0]
			restartWithGrace(t, d, vm, grace)
			callers := startLateCallers(vm)
			time.Sleep(2500 * time.Millisecond)
			vm.Process().Signal(syscall.SIGTERM)
			ctx, cancel := context.WithTimeout(context.Background(), grace+2*time.Second)
			defer cancel()
			code, err := vm.Process().Wait(ctx)
			callers.stop()
			require.NoError(t, err)
			require.Zero(t, code, d.Log(vm))
			requireAnsweredOrNotRun(t, d, callers.results)
		})
	}
}

// restartWithGrace restarts a VM with the given time limit of a planned stop.
func restartWithGrace(t *testing.T, d *testkit.UsersDeployment, vm *testkit.UsersVM, grace time.Duration) {
	t.Helper()
	settings, err := os.ReadFile(vm.SettingsPath)
	require.NoError(t, err)
	text := strings.Replace(string(settings), "stop_timeout_ms = 6000", fmt.Sprintf("stop_timeout_ms = %d", grace.Milliseconds()), 1)
	require.NoError(t, os.WriteFile(vm.SettingsPath, []byte(text), 0o600))
	vm.Process().Kill()
	require.NoError(t, d.StartVM(vm))
	require.NoError(t, d.AwaitReady(t.Context()))
}

// lateCallers send requests one after the other until they are stopped, also to a VM that
// stops.
type lateCallers struct {
	mu      sync.Mutex
	results []callerResult
	done    sync.WaitGroup
	gone    chan struct{}
}

func startLateCallers(vm *testkit.UsersVM) *lateCallers {
	const callers, spacing, pause = 30, 37 * time.Millisecond, 20 * time.Millisecond
	l := &lateCallers{gone: make(chan struct{})}
	for i := range callers {
		l.done.Go(func() {
			client := newClient()
			time.Sleep(time.Duration(i) * spacing)
			for n := 0; l.running(); n++ {
				result := sendNamed(vm, client, fmt.Sprintf("late-%d-%d", i, n))
				l.mu.Lock()
				l.results = append(l.results, result)
				l.mu.Unlock()
				if result.status != http.StatusOK {
					time.Sleep(pause)
				}
			}
		})
	}
	return l
}

func (l *lateCallers) running() bool {
	select {
	case <-l.gone:
		return false
	default:
		return true
	}
}

func (l *lateCallers) stop() {
	close(l.gone)
	l.done.Wait()
}

func sendNamed(vm *testkit.UsersVM, client *http.Client, id string) callerResult {
	return sendTo(vm, client, id, "/e/"+id)
}

// sendTo sends one request with the given ID and reads the whole answer.
func sendTo(vm *testkit.UsersVM, client *http.Client, id, uri string) callerResult {
	request, err := http.NewRequest(http.MethodPost, "http://"+vm.RouteAddress+uri, http.NoBody)
	if err != nil {
		return callerResult{id: id}
	}
	request.Host = "h"
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", "2500")
	response, err := client.Do(request)
	if err != nil {
		return callerResult{id: id}
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return callerResult{id: id}
	}
	return callerResult{id: id, status: response.StatusCode}
}

// requireAnsweredOrNotRun checks that each request that a target ran was answered with
// success, and each other one was not run.
func requireAnsweredOrNotRun(t *testing.T, d *testkit.UsersDeployment, results []callerResult) {
	t.Helper()
	runs := map[string]int{}
	for _, target := range d.Targets {
		for _, run := range target.Runs() {
			runs[run.ID]++
		}
	}
	counts := map[int]int{}
	for _, result := range results {
		counts[result.status]++
		switch result.status {
		case http.StatusOK:
			require.Equal(t, 1, runs[result.id], result.id)
		case 0, http.StatusServiceUnavailable:
			require.Zero(t, runs[result.id], "%s was run, its caller got status %d", result.id, result.status)
		default:
			require.Failf(t, "unexpected status", "%s: %d", result.id, result.status)
		}
	}
	t.Logf("requests by status: %v", counts)
	require.Greater(t, counts[http.StatusOK], 50)
}
