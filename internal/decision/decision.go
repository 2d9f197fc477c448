// Package decision logs routing and placement decisions and keeps the latest ones
// in memory so that the handling of a request can be explained afterwards.
package decision

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// maxKeptDecisions is the maximum number of decisions kept in memory.
const maxKeptDecisions = 16384

// Recorder receives each decision as it is made. Implementations must be safe for
// concurrent use.
type Recorder interface {
	// Record takes ownership of the decision; the caller must not modify it afterwards.
	Record(d *pb.Decision)
}

// Log is a Recorder that writes one JSON line for each decision on a sampled
// request, and for each unusual decision on any request.
type Log struct {
	logger zerolog.Logger
	// sampleInterval is n if one in n requests is selected for logging, and zero if
	// none is.
	sampleInterval uint64

	mu     sync.Mutex
	ring   []*pb.Decision
	oldest int
}

// NewLog returns a Log that writes the decisions on one in sample requests to
// logger. If sample is zero, it writes only unusual decisions.
func NewLog(logger zerolog.Logger, sample uint32) *Log {
	return &Log{
		logger:         logger,
		sampleInterval: uint64(sample),
		ring:           make([]*pb.Decision, 0, maxKeptDecisions),
	}
}

// Record logs the decision and keeps it for Find if its request is sampled or the
// decision is unusual. Otherwise it drops the decision.
func (l *Log) Record(d *pb.Decision) {
	if !Unusual(d.Kind) && !l.sampled(d.RequestId) {
		return
	}
	l.keep(d)
	l.logger.Info().
		Str("request", d.RequestId).
		Str("decision", Name(d.Kind)).
		Uint64("attempt", d.Attempt).
		Str("service", d.Service).
		Str("target", d.Target).
		Str("owner", d.Owner).
		Str("reason", d.Reason).
		Uint64("snapshot", d.Snapshot).
		Int64("offset_us", d.OffsetUs).
		Msg("decision")
}

// Find returns the decisions kept for a request, oldest first.
func (l *Log) Find(requestID string) []*pb.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []*pb.Decision
	for i := range l.ring {
		d := l.ring[(l.oldest+i)%len(l.ring)]
		if d.RequestId == requestID {
			found = append(found, d)
		}
	}
	return found
}

func (l *Log) keep(d *pb.Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ring) < cap(l.ring) {
		l.ring = append(l.ring, d)
		return
	}
	l.ring[l.oldest] = d
	l.oldest = (l.oldest + 1) % len(l.ring)
}

// Sampled reports whether ordinary decisions on a request are logged. If not, callers
// need not build them.
func (l *Log) Sampled(requestID string) bool {
	return l.sampled(requestID)
}

// sampled reports whether a request is selected for logging. All VMs select the
// same requests, so that all decisions on a sampled request are logged.
func (l *Log) sampled(requestID string) bool {
	if l.sampleInterval == 0 {
		return false
	}
	return xxhash.Sum64String(requestID)%l.sampleInterval == 0
}

// Unusual reports whether decisions of this kind are logged for every request.
func Unusual(kind pb.DecisionKind) bool {
	switch kind {
	case pb.DecisionKind_DECISION_KIND_RETRY,
		pb.DecisionKind_DECISION_KIND_DISCARD,
		pb.DecisionKind_DECISION_KIND_GIVE_UP,
		pb.DecisionKind_DECISION_KIND_REFUSE,
		pb.DecisionKind_DECISION_KIND_FORWARD,
		pb.DecisionKind_DECISION_KIND_OWN:
		return true
	default:
		return false
	}
}

// Name returns the short name of a decision kind, as written to the log.
func Name(kind pb.DecisionKind) string {
	const prefix = "DECISION_KIND_"
	return kind.String()[len(prefix):]
}

// Discard is a Recorder that drops every decision.
type Discard struct{}

// Record drops the decision.
func (Discard) Record(*pb.Decision) {}
