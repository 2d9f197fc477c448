package rollout

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// simSeeds is the number of seeds of each case. CARAWAYREEL_SEEDS replaces it.
const simSeeds = uint64(30)

// tally counts the results of the seeds of one case.
type tally struct{ wrong, late, overExposed, lateSends, contradicted int }

func (tl *tally) count(s *simulation, want pb.RolloutState) {
	if s.store.State != want {
		tl.wrong++
	}
	if s.finalAt == 0 || s.finalAt > simRamp {
		tl.late++
	}
	if want == pb.RolloutState_ROLLOUT_STATE_ROLLED_BACK {
		if float64(s.exposed) > exposureShare*float64(s.total)+exposureSlack {
			tl.overExposed++
		}
		if s.lateSends > 0 {
			tl.lateSends++
		}
	}
	finals := 0
	for _, status := range s.history {
		if final(status.State) {
			finals++
		}
	}
	if finals > 1 {
		tl.contradicted++
	}
}

func play(t *testing.T, want pb.RolloutState, change func(*simulation)) {
	t.Helper()
	var total tally
	exposure := 0.0
	seeds := simSeeds
	if n, err := strconv.ParseUint(os.Getenv("CARAWAYREEL_SEEDS"), 10, 32); err == nil {
		seeds = n
	}
	for seed := range seeds {
		s := newSimulation(seed)
		change(s)
		s.run()
		total.count(s, want)
		exposure = max(exposure, float64(s.exposed)/float64(s.total))
		if s.store.State != want {
			t.Logf("seed %d: %v at %v, %s", seed, s.store.State, s.finalAt, s.store.Reason)
		}
	}
	t.Logf("%d seeds: %+v, greatest exposure %.3f", seeds, total, exposure)
	require.Equal(t, tally{}, total)
}

// Guards against a bad version that is completed, or gets more requests than allowed or for
// longer. Load: 150 to 750 requests a second at 9 VMs of unequal load, ramp 12 s.
func TestBadVersionsAreRolledBackInTime(t *testing.T) {
	isBad := func(s *simulation) bool { return s.random.Float64() < s.part }
	for name, ordered := range map[string]behavior{
		"fails at once": func(s *simulation, _ time.Duration, _ int, _ float64) (bool, float64) { return isBad(s), 1 },
		"slow at once": func(s *simulation, _ time.Duration, _ int, _ float64) (bool, float64) {
			return false, map[bool]float64{true: 4, false: 1}[isBad(s)]
		},
		"fails later": func(s *simulation, at time.Duration, _ int, _ float64) (bool, float64) {
			return at > s.begins && isBad(s), 1
		},
		"slow later": func(s *simulation, at time.Duration, _ int, _ float64) (bool, float64) {
			return false, map[bool]float64{true: 4, false: 1}[at > s.begins && isBad(s)]
		},
		"fails under load": func(s *simulation, _ time.Duration, _ int, load float64) (bool, float64) {
			return load > 0.6 && isBad(s), 1
		},
		"fails on one route": func(s *simulation, _ time.Duration, route int, _ float64) (bool, float64) {
			return route == 1 && isBad(s), 1
		},
	} {
		for _, trouble := range []string{"calm", "deciders restart", "answers lost"} {
			t.Run(name+", "+trouble, func(t *testing.T) {
				t.Parallel()
				play(t, pb.RolloutState_ROLLOUT_STATE_ROLLED_BACK, func(s *simulation) { s.ordered = ordered; s.disturb(trouble) })
			})
		}
	}
}

func (s *simulation) disturb(trouble string) {
	switch trouble {
	case "deciders restart":
		s.restart = 1200 * time.Millisecond
	case "answers lost":
		s.lostShare = 0.25
	case "store down":
		s.downFrom, s.downTo = 2*time.Second, 7*time.Second
	}
}

// Guards against a good version that is rolled back for faults that the other version has too,
// or is completed late.
func TestGoodVersionsAreCompletedInTime(t *testing.T) {
	crashes := func(s *simulation, at time.Duration, _ int, _ float64) (bool, float64) {
		return at > s.begins && at < s.begins+150*time.Millisecond, 1
	}
	during := func(s *simulation, at time.Duration) bool { return at > s.begins && at < s.begins+3*time.Second }
	for name, both := range map[string]behavior{
		"no fault": usual,
		"both fail for a while": func(s *simulation, at time.Duration, _ int, _ float64) (bool, float64) {
			return during(s, at) && s.random.Float64() < 0.4*s.part, 1
		},
		"both slow for a while": func(s *simulation, at time.Duration, _ int, _ float64) (bool, float64) {
			return false, map[bool]float64{true: 5, false: 1}[during(s, at) && s.random.Float64() < s.part]
		},
		"both fail throughout": func(s *simulation, _ time.Duration, _ int, _ float64) (bool, float64) {
			return s.random.Float64() < 0.3*s.part, 1
		},
		"one route fails": func(s *simulation, _ time.Duration, route int, _ float64) (bool, float64) {
			return route == 1 && s.random.Float64() < s.part, 1
		},
	} {
		for _, trouble := range []string{"calm", "deciders restart", "answers lost", "store down"} {
			t.Run(name+", "+trouble, func(t *testing.T) {
				t.Parallel()
				play(t, pb.RolloutState_ROLLOUT_STATE_COMPLETED, func(s *simulation) { s.both = both; s.disturb(trouble) })
			})
		}
	}
	t.Run("the target in use crashes", func(t *testing.T) {
		t.Parallel()
		play(t, pb.RolloutState_ROLLOUT_STATE_COMPLETED, func(s *simulation) { s.ordered = crashes })
	})
}

// Guards against a decider that never learns that its write took effect, and against two
// deciders whose statuses contradict each other.
func TestWriteWithoutAnswerIsReadBack(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDecider(Order{Service: "s", Version: "v2", Ramp: simRamp, Revision: 7}, now)
	d.Observe(Status{}, Targets{Ordered: 1, Others: 1}, now)
	action, first := d.Next(now)
	require.Equal(t, Write, action)
	require.InDelta(t, firstShare, first.Share, 1e-9)
	action, _ = d.Next(now.Add(time.Second))
	require.Equal(t, ReadBack, action)
	other := first
	other.State, other.Share, other.Revision = pb.RolloutState_ROLLOUT_STATE_ROLLED_BACK, 0, 9
	d.Stored(other, now.Add(time.Second))
	action, _ = d.Next(now.Add(20 * time.Second))
	require.Equal(t, Nothing, action, "the other decider's final status holds")
}

// Guards against a VM that does not know the newest order yet and writes the status of an older
// one over that of the newest.
func TestDeciderOfAnOlderOrderWritesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDecider(Order{Service: "s", Version: "v2", Ramp: simRamp, Revision: 7}, now)
	d.Observe(Status{}, Targets{Ordered: 1, Others: 1}, now)
	action, _ := d.Next(now)
	require.Equal(t, Write, action)
	d.Stored(Status{OrderRevision: 9, Version: "v3", State: pb.RolloutState_ROLLOUT_STATE_RUNNING, Revision: 10}, now)
	for i := range 20 {
		action, _ = d.Next(now.Add(time.Duration(i) * time.Second))
		require.Equal(t, Nothing, action)
	}
}

// Guards against an order that is never ended, or completed, without targets.
func TestOrderWithoutTargets(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDecider(Order{Service: "s", Version: "v2", Ramp: simRamp, Revision: 7}, now)
	step := func(after time.Duration, ordered int) Status {
		at := now.Add(after)
		d.Observe(Status{}, Targets{Ordered: ordered, Others: 3}, at)
		action, status := d.Next(at)
		if action == Write {
			status.Revision = d.status.Revision + 1
			d.Stored(status, at)
		}
		return d.status
	}
	require.Zero(t, step(0, 0).Share, "the roll-out waits for targets")
	require.InDelta(t, firstShare, step(time.Second, 2).Share, 1e-9)
	require.Equal(t, pb.RolloutState_ROLLOUT_STATE_RUNNING, step(2*time.Second, 0).State, "a target may be replaced")
	require.Equal(t, pb.RolloutState_ROLLOUT_STATE_ROLLED_BACK, step(4*time.Second, 0).State)
}

// Guards against a VM cut off from the configuration that raises a share, or goes on sending
// to a version that may have been rolled back meanwhile.
func TestGateOfAVMCutOff(t *testing.T) {
	running := func(revision uint64, share float64) *pb.Rollout {
		return &pb.Rollout{OrderRevision: 7, Version: "v2", State: pb.RolloutState_ROLLOUT_STATE_RUNNING, Share: share, StatusRevision: revision}
	}
	g := NewGate(running(1, 0), 1)
	require.Equal(t, UseOthers, g.Draw(0, 0))
	g.Update(running(2, 0.05), 0)
	require.Equal(t, UseOrdered, g.Draw(0, 0.01))
	g.Update(running(3, 1), 4*time.Second)
	require.Equal(t, UseOthers, g.Draw(4*time.Second, 0.5), "the share is not raised")
	require.Equal(t, UseOrdered, g.Draw(4*time.Second, 0.01))
	require.Equal(t, UseOthers, g.Draw(6*time.Second, 0.01))
	require.Equal(t, UseOrderedFreely, g.Draw(time.Second, 0.5), "it is raised when it is confirmed")
	for range localStopAfter {
		g.Reply(true, 0)
	}
	require.Equal(t, UseOthers, g.Draw(0, 0), "the VM stops by itself")
	answered := running(4, 1)
	answered.Answer = 1
	g.Update(answered, 0)
	require.Equal(t, UseOrderedFreely, g.Draw(0, 0))
}

// Guards against more requests to a version under test than allowed at a VM that alone gets
// requests while the share is high.
func TestGateBoundsTheRequestsOfEachVM(t *testing.T) {
	g := NewGate(&pb.Rollout{OrderRevision: 7, Version: "v2", State: pb.RolloutState_ROLLOUT_STATE_RUNNING, Share: maxLoadShare}, 9)
	ordered := 0
	for i := range 10_000 {
		if g.Draw(0, float64(i%100)/100) == UseOrdered {
			ordered++
		}
	}
	require.InDelta(t, guardShare*10_000, ordered, 10)
	for range 10_000 {
		g.Draw(0, 0.99)
	}
	g.Update(&pb.Rollout{OrderRevision: 9, Version: "v2", State: pb.RolloutState_ROLLOUT_STATE_RUNNING, Share: maxLoadShare}, 0)
	ordered = 0
	for range 100 {
		if g.Draw(0, 0) == UseOrdered {
			ordered++
		}
	}
	require.LessOrEqual(t, ordered, 12, "an order begins without what the one before left over")
}
