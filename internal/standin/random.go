package standin

import (
	"context"
	"math/rand/v2"
	"time"

	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
)

// randomFaultStream is the second PCG seed of the random faults. It keeps their
// random numbers independent of the targets' service times, which use the same
// first seed.
const randomFaultStream = 0x5eed

// randomFault draws a target, a fault and the fault's duration.
func randomFault(random *rand.Rand, targets []*target) (*target, *standinv1.Fault, time.Duration) {
	const (
		maxDurationMs     = 4000
		maxStraggleFactor = 20
	)
	t := targets[random.IntN(len(targets))]
	duration := uint32(random.IntN(maxDurationMs))
	choices := []*standinv1.Fault{
		{Kind: standinv1.FaultKind_FAULT_KIND_STRAGGLE, Factor: random.Float64() * maxStraggleFactor},
		{Kind: standinv1.FaultKind_FAULT_KIND_CRASH, DurationMs: duration},
		{Kind: standinv1.FaultKind_FAULT_KIND_FREEZE, DurationMs: duration},
		{Kind: standinv1.FaultKind_FAULT_KIND_DROP_ANSWER, Count: 1},
		{Kind: standinv1.FaultKind_FAULT_KIND_REFUSE},
		{Kind: standinv1.FaultKind_FAULT_KIND_TURN_COLD, DropConnections: true},
	}
	return t, choices[random.IntN(len(choices))], time.Duration(duration) * time.Millisecond
}

// injectRandomFaults injects faults drawn from the profile's seed until the
// context ends. After the duration of a fault, all faults of its target are cleared.
func (s *Standin) injectRandomFaults(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.options.Profile.Seed, randomFaultStream))
	for ctx.Err() == nil {
		wait := time.Duration(random.ExpFloat64() * float64(s.options.FaultInterval))
		if sleep(ctx, wait) != nil {
			return
		}
		t, fault, duration := randomFault(random, s.targets)
		t.setFault(fault)
		s.wg.Go(func() {
			if sleep(ctx, duration) == nil {
				t.setFault(&standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_CLEAR})
			}
		})
	}
}
