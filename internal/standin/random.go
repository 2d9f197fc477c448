package standin

import (
	"context"
	"math/rand/v2"
	"time"

	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
)

// randomFaultSeed separates the faults' random numbers from the records'.
const randomFaultSeed = 0x5eed

// randomFault draws a fault of one of the targets, and how long it lasts.
func randomFault(random *rand.Rand, targets []*target) (*target, *standinv1.Fault, time.Duration) {
	const (
		longestMs   = 4000
		slowestTime = 20
	)
	t := targets[random.IntN(len(targets))]
	duration := uint32(random.IntN(longestMs))
	choices := []*standinv1.Fault{
		{Kind: standinv1.FaultKind_FAULT_KIND_STRAGGLE, Factor: random.Float64() * slowestTime},
		{Kind: standinv1.FaultKind_FAULT_KIND_CRASH, DurationMs: duration},
		{Kind: standinv1.FaultKind_FAULT_KIND_FREEZE, DurationMs: duration},
		{Kind: standinv1.FaultKind_FAULT_KIND_DROP_ANSWER, Count: 1},
		{Kind: standinv1.FaultKind_FAULT_KIND_REFUSE},
		{Kind: standinv1.FaultKind_FAULT_KIND_TURN_COLD, DropConnections: true},
	}
	return t, choices[random.IntN(len(choices))], time.Duration(duration) * time.Millisecond
}

// switchRandomFaults switches faults drawn from the seed until the context
// ends, each for a few seconds.
func (s *Standin) switchRandomFaults(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.options.Profile.Seed, randomFaultSeed))
	for ctx.Err() == nil {
		wait := time.Duration(random.ExpFloat64() * float64(s.options.FaultInterval))
		if pause(ctx, wait) != nil {
			return
		}
		t, fault, duration := randomFault(random, s.targets)
		t.setFault(fault)
		s.running.Go(func() {
			if pause(ctx, duration) == nil {
				t.setFault(&standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_CLEAR})
			}
		})
	}
}
