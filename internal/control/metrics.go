package control

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/membership"
)

// counts are the counters of the machine and its member table as of the last event.
type counts struct {
	machine machineStats
	table   membership.Stats
}

// traffic counts the encoded bytes of control messages, without transport headers.
type traffic struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

func (t *traffic) count(sent, received proto.Message) {
	t.sent.Add(uint64(proto.Size(sent)))
	t.received.Add(uint64(proto.Size(received)))
}

// Metrics returns the metrics of c, for metrics.RegisterSet.
func (c *Control) Metrics() *metrics.Set {
	set := metrics.NewSet()
	gauge := func(name string, value func() float64) { set.NewGauge("carawayreel_"+name, value) }
	gauge("configuration_revision", func() float64 { return float64(c.Current().Revision()) })
	gauge("configuration_age_seconds", func() float64 { return c.Current().ConfigurationAge(time.Now()).Seconds() })
	gauge("paused", func() float64 { return boolToFloat(c.Current().Paused) })
	gauge("owned_targets", func() float64 { return float64(len(c.Current().OwnedTargets())) })
	for value, name := range pb.MemberState_name {
		state := pb.MemberState(value)
		if state == pb.MemberState_MEMBER_STATE_UNSPECIFIED {
			continue
		}
		label := strings.ToLower(strings.TrimPrefix(name, "MEMBER_STATE_"))
		gauge(fmt.Sprintf("members{state=%q}", label), func() float64 { return float64(c.membersIn(state)) })
	}
	c.registerCounters(gauge)
	return set
}

func (c *Control) registerCounters(gauge func(string, func() float64)) {
	count := func(name string, value func(counts) uint64) {
		gauge(name, func() float64 { return float64(value(c.status.Load().counts)) })
	}
	count("store_calls_total", func(n counts) uint64 { return n.machine.storeCalls })
	count("store_failures_total", func(n counts) uint64 { return n.machine.storeFailures })
	count("heartbeats_sent_total", func(n counts) uint64 { return n.machine.heartbeatsSent })
	count("heartbeats_received_total", func(n counts) uint64 { return n.machine.heartbeatsReceived })
	count("configurations_adopted_total", func(n counts) uint64 { return n.machine.adopted })
	count("deltas_refused_total", func(n counts) uint64 { return n.machine.deltasRefused })
	count("configuration_overdue_reads_total", func(n counts) uint64 { return n.machine.overdueReads })
	count("configuration_routes_kept_total", func(n counts) uint64 { return n.machine.routesKept })
	count("configuration_routes_taken_total", func(n counts) uint64 { return n.machine.routesTaken })
	gauge("configuration_offers_failed_total", func() float64 { return float64(c.offerFailures.Load()) })
	gauge("configuration_fetches_failed_total", func() float64 { return float64(c.fetchFailures.Load()) })
	count("clock_gaps_total", func(n counts) uint64 { return n.machine.clockGaps })
	count("suspicions_total", func(n counts) uint64 { return n.table.Suspicions })
	count("deaths_total", func(n counts) uint64 { return n.table.Deaths })
	count("suspicions_refuted_total", func(n counts) uint64 { return n.table.Refuted })
	count("own_refutations_total", func(n counts) uint64 { return n.table.OwnRefutations })
	gauge("views_built_total", func() float64 { return float64(c.viewsBuilt.Load()) })
	gauge("control_bytes_sent_total", func() float64 { return float64(c.traffic.sent.Load()) })
	gauge("control_bytes_received_total", func() float64 { return float64(c.traffic.received.Load()) })
}

func (c *Control) membersIn(state pb.MemberState) int {
	found := 0
	for _, member := range c.Members() {
		if member.State == state {
			found++
		}
	}
	return found
}

func boolToFloat(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
