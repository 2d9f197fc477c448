package fanout_test

import (
	"math"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/fanout"
	"github.com/carawayreel/carawayreel/internal/routing"
)

// searcher serves like the searchers of the standard days: 7.5 ms with a spread
// and a tail, slower by the factor that slow gives.
func searcher(slow func(w *world, t *routing.Target) float64) func(*world, *routing.Target) (time.Duration, *backend.Reply, error) {
	return func(w *world, t *routing.Target) (time.Duration, *backend.Reply, error) {
		ms := 7.5 * math.Exp(0.35*w.random.NormFloat64())
		if w.random.Float64() < 0.01 {
			ms *= 5
		}
		return time.Duration(ms * slow(w, t) * float64(time.Millisecond)), good(t.ID), nil
	}
}

// credit is the mean square of the coverage of answers in time.
func credit(w *world, goal time.Duration, from, to time.Duration) float64 {
	sum, n := 0.0, 0
	for _, a := range w.answers {
		if a.at.Before(start.Add(from)) || !a.at.Before(start.Add(to)) {
			continue
		}
		n++
		if covered := float64(len(a.answer.Replies)); a.took < goal {
			share := covered / (covered + float64(a.answer.Missing))
			sum += share * share
		}
	}
	return sum / float64(n)
}

// One in seven targets of a gathered route turns eight times slower for some
// seconds: the pattern of each standard day (srv_slow across). Without hedging
// and without leaving slow targets, the share of searches in time is below 0.3.
func TestSlowTargetsAcrossShardsCostLittle(t *testing.T) {
	slow := func(w *world, t *routing.Target) float64 {
		since := w.now.Sub(start)
		if since > 2*time.Second && since < 8*time.Second && (t.ID == "s3-a" || t.ID == "s7-a" || t.ID == "s5-b" || t.ID == "s1-a") {
			return 8
		}
		return 1
	}
	w := newWorld(1, searcher(slow))
	k := ample()
	route := gathering(services(10))
	for i := range 200 {
		w.after(time.Duration(i)*50*time.Millisecond, func() { w.request(k, route) })
	}
	w.play()
	require.Greater(t, credit(w, route.Goal, 0, 2*time.Second), 0.97)
	require.Greater(t, credit(w, route.Goal, 2500*time.Millisecond, 8*time.Second), 0.93)
}

// Targets pause for 100 ms every 2.4 s, each at its own time.
func TestPausesOfTargetsAreHedged(t *testing.T) {
	pause := func(w *world, target *routing.Target) time.Duration {
		const every, length = 2400 * time.Millisecond, 100 * time.Millisecond
		phase := time.Duration(target.ID[1]-'0')*200*time.Millisecond + time.Duration(target.ID[3]-'a')*70*time.Millisecond
		if in := (w.now.Sub(start) + phase) % every; in < length {
			return length - in
		}
		return 0
	}
	serve := searcher(func(*world, *routing.Target) float64 { return 1 })
	w := newWorld(2, func(w *world, target *routing.Target) (time.Duration, *backend.Reply, error) {
		took, reply, err := serve(w, target)
		return took + pause(w, target), reply, err
	})
	k := ample()
	route := gathering(services(10))
	for i := range 400 {
		w.after(time.Duration(i)*25*time.Millisecond, func() { w.request(k, route) })
	}
	w.play()
	require.Greater(t, credit(w, route.Goal, 0, 10*time.Second), 0.98)
}

// In every window, extra requests of all VMs together stay within the share of
// the requests and the slack, however the targets behave.
func TestExtraRequestsOfAllVMsStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window, slack, vms = 10 * time.Second, 58.0, 9
		bad := rapid.Float64Range(0, 1).Draw(t, "share of slow replies")
		perSecond := rapid.IntRange(1, 12).Draw(t, "requests a second and VM")
		w := newWorld(rapid.Uint64().Draw(t, "seed"), func(w *world, target *routing.Target) (time.Duration, *backend.Reply, error) {
			switch {
			case w.random.Float64() > bad:
				return 5 * time.Millisecond, good(target.ID), nil
			case w.random.IntN(2) == 0:
				return time.Millisecond, failure(), nil
			default:
				return 200 * time.Millisecond, good(target.ID), nil
			}
		})
		for range vms {
			k := fanout.NewKnowledge()
			k.SetLimits(fanout.Limits{Share: 0.2, Slack: slack / vms, Window: window})
			route := gathering(services(2))
			for i := range 13 * perSecond {
				w.after(time.Duration(i)*time.Second/time.Duration(perSecond), func() { w.request(k, route) })
			}
		}
		w.play()
		for service, arrivals := range w.arrivals {
			firsts := w.firsts[service]
			for _, from := range arrivals {
				total := within(arrivals, from, window)
				first := within(firsts, from, window)
				require.LessOrEqual(t, float64(total-first), 0.2*float64(first)+slack)
			}
		}
	})
}

// within counts the times, which ascend, in the window that begins at from.
func within(times []time.Time, from time.Time, window time.Duration) int {
	first := sort.Search(len(times), func(i int) bool { return !times[i].Before(from) })
	end := sort.Search(len(times), func(i int) bool { return !times[i].Before(from.Add(window)) })
	return end - first
}
