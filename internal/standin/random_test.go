package standin

import (
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
	"github.com/carawayreel/carawayreel/internal/profile"
)

// newTestTarget returns a target that does not listen.
func newTestTarget(t *testing.T, modify func(*Options)) *target {
	t.Helper()
	p, err := profile.New("demo", 1, 1)
	require.NoError(t, err)
	options := DefaultOptions(p)
	modify(&options)
	return New(options).targets[0]
}

func TestServiceTimeFollowsItsOptions(t *testing.T) {
	const draws = 2000
	mean := func(modify func(*Options), straggle float64) time.Duration {
		target := newTestTarget(t, modify)
		if straggle > 0 {
			target.setFault(&standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_STRAGGLE, Factor: straggle})
		}
		var total time.Duration
		for range draws {
			d, finite := target.serviceTime()
			require.True(t, finite)
			total += d
		}
		return total / draws
	}
	plain := func(o *Options) { o.SlowShare = 0 }
	slow := func(o *Options) { o.SlowShare = 1 }
	warm := mean(plain, 0)
	require.InEpsilon(t, 3*time.Millisecond, warm, 0.1)
	require.InEpsilon(t, 10*warm, mean(slow, 0), 0.1)
	require.InEpsilon(t, 5*warm, mean(plain, 5), 0.1)
}

func TestSnapshotIsHeldAfterLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := newTestTarget(t, func(*Options) {})
		target.addSnapshot(4, time.Now().Add(time.Second))
		require.False(t, target.holdsSnapshot(4))
		require.Equal(t, []uint64{1, 2, 3}, target.heldVersions())
		time.Sleep(time.Second)
		require.True(t, target.holdsSnapshot(4))
		require.Equal(t, []uint64{2, 3, 4}, target.heldVersions())
	})
}

func TestRandomFaultsAreInjected(t *testing.T) {
	f := startFixture(t, func(o *Options) { o.FaultInterval = time.Millisecond })
	require.Eventually(t, func() bool {
		response, err := f.admin.GetCounters(t.Context(), connect.NewRequest(&standinv1.GetCountersRequest{}))
		require.NoError(t, err)
		crashes := uint64(0)
		for _, target := range response.Msg.Targets {
			crashes += target.Crashes
		}
		return crashes > 0
	}, waitTimeout, pollInterval)
}
