package intake

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// counters are the metrics of a gate.
type counters struct {
	// connectionsRefused counts the connections that were closed at once, evicted those that gave
	// way to others, by the phase that they were in.
	connectionsRefused *metrics.Counter
	evicted            [phases]*metrics.Counter
	// headsRefused counts the heads that were cut off because they were too long, had too many
	// lines or got no memory.
	headsRefused *metrics.Counter
	// requestsRefused counts the requests that were answered with 503 for lack of memory, and
	// bodiesStalled those that were answered with 408.
	requestsRefused *metrics.Counter
	bodiesStalled   *metrics.Counter
	linesDropped    *metrics.Counter
}

func newCounters(set *metrics.Set, g *Gate) counters {
	c := counters{
		connectionsRefused: set.NewCounter("carawayreel_intake_connections_refused_total"),
		headsRefused:       set.NewCounter("carawayreel_intake_heads_refused_total"),
		requestsRefused:    set.NewCounter("carawayreel_intake_requests_refused_total"),
		bodiesStalled:      set.NewCounter("carawayreel_intake_bodies_stalled_total"),
		linesDropped:       set.NewCounter("carawayreel_intake_log_lines_dropped_total"),
	}
	for phase := range c.evicted {
		c.evicted[phase] = set.NewCounter(fmt.Sprintf("carawayreel_intake_connections_closed_total{phase=%q}", Phase(phase)))
	}
	set.NewGauge("carawayreel_intake_bytes_held", func() float64 { return float64(g.held().Memory) })
	set.NewGauge("carawayreel_intake_connections", func() float64 { return float64(g.held().Connections) })
	return c
}
