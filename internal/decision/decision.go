// Package decision logs routing and placement decisions and remembers the
// newest ones so that a request can be explained afterwards.
package decision

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// remembered is the number of decisions kept for explanation.
const remembered = 16384

// Recorder takes each decision as it is made. Implementations are safe for
// concurrent use and do not keep a reference to the caller's message unless the
// caller gives it up.
type Recorder interface {
	// Record takes ownership of the decision.
	Record(d *pb.Decision)
}

// Log writes one JSON line for each decision of the sampled requests, and for
// each unusual decision of all requests. It is a Recorder.
type Log struct {
	logger zerolog.Logger
	// sample selects one in this many requests; zero selects none.
	sample uint64

	mu   sync.Mutex
	ring []*pb.Decision
	next int
}

// NewLog returns a Log that writes to logger the decisions of one in sample
// requests; with zero it writes only unusual decisions.
func NewLog(logger zerolog.Logger, sample uint32) *Log {
	return &Log{
		logger: logger,
		sample: uint64(sample),
		ring:   make([]*pb.Decision, 0, remembered),
	}
}

// Record logs and remembers the decision.
func (l *Log) Record(d *pb.Decision) {
	if !Unusual(d.Kind) && !l.sampled(d.RequestId) {
		return
	}
	l.remember(d)
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

// Find returns the remembered decisions of a request, oldest first.
func (l *Log) Find(requestID string) []*pb.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []*pb.Decision
	for i := range l.ring {
		d := l.ring[(l.next+i)%len(l.ring)]
		if d.RequestId == requestID {
			found = append(found, d)
		}
	}
	return found
}

func (l *Log) remember(d *pb.Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ring) < cap(l.ring) {
		l.ring = append(l.ring, d)
		return
	}
	l.ring[l.next] = d
	l.next = (l.next + 1) % len(l.ring)
}

// Wants reports whether ordinary decisions of a request are logged, so that they
// need not be made up when they are not.
func (l *Log) Wants(requestID string) bool {
	return l.sampled(requestID)
}

// sampled reports whether a request's decisions are logged. All VMs select the
// same requests, so that a sampled request is logged whole.
func (l *Log) sampled(requestID string) bool {
	if l.sample == 0 {
		return false
	}
	return xxhash.Sum64String(requestID)%l.sample == 0
}

// Unusual reports whether decisions of the kind are logged for every request.
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

// Name returns the short name of a decision's kind, as it stands in the log.
func Name(kind pb.DecisionKind) string {
	const prefix = "DECISION_KIND_"
	return kind.String()[len(prefix):]
}

// Discard is a Recorder that drops every decision.
type Discard struct{}

// Record drops the decision.
func (Discard) Record(*pb.Decision) {}
