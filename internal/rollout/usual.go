package rollout

import (
	"time"

	"github.com/carawayreel/carawayreel/internal/coordinator/latency"
)

const (
	// minUsualSamples is the number of replies of the other versions from which their usual
	// time is known. Until then, no reply counts as slow.
	minUsualSamples = 8
	// farAllowance is subtracted from the times of targets in another failure domain while
	// the usual time of such targets is not known: requests prefer near targets, and the few
	// targets of an ordered version that are in use are far from most VMs.
	farAllowance = 8 * time.Millisecond
)

// path is a route and whether its replies come from another failure domain.
type path struct {
	route string
	far   bool
}

// usualTimes holds the reply times of the versions other than the ordered one at this VM. The
// usual time of a route over all its services would not do: the shards of a gathered answer may
// differ by more than a slow version does.
type usualTimes map[path]*latency.Histogram

// classOf returns the class of a reply's time, and records it if it is not one of the ordered
// version.
func (u usualTimes) classOf(r Reply, ordered bool) int {
	if r.Failed || r.Cold {
		return 0
	}
	usual, took := u.median(path{r.Route, r.Far}), r.Took
	if near := u.median(path{r.Route, false}); usual == 0 && r.Far && near > 0 {
		usual, took = near, max(took-farAllowance, 0)
	}
	if !ordered && !r.Abandoned {
		u.add(path{r.Route, r.Far}, r.Took)
	}
	if usual == 0 {
		return 0
	}
	return ClassOf(took, usual)
}

// median returns the usual time, or zero if it is not known.
func (u usualTimes) median(p path) time.Duration {
	histogram := u[p]
	if histogram == nil {
		return 0
	}
	summary := histogram.Summary()
	if summary.Samples < minUsualSamples {
		return 0
	}
	return max(summary.Median, minUsual)
}

// minUsual is the shortest usual time: shorter ones can't be told from noise.
const minUsual = time.Millisecond

func (u usualTimes) add(p path, took time.Duration) {
	histogram := u[p]
	if histogram == nil {
		histogram = &latency.Histogram{}
		u[p] = histogram
	}
	histogram.Add(took)
}
