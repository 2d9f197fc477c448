package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Streams of random numbers drawn from one seed.
const (
	arrivalStream = 1
	requestStream = 2
	sampleStream  = 3
)

// arrivals returns the intended starts of a Poisson process, from the start of
// the run. It stops after one more than MaxArrivals.
func arrivals(seed uint64, rate float64, length time.Duration) []time.Duration {
	random := rand.New(rand.NewPCG(seed, arrivalStream))
	var offsets []time.Duration
	at := 0.0
	for len(offsets) <= MaxArrivals {
		at += random.ExpFloat64() / rate
		if at >= length.Seconds() {
			break
		}
		offsets = append(offsets, time.Duration(at*float64(time.Second)))
	}
	return offsets
}

// requests draws the searches of a run.
type requests struct {
	options Options
	random  *rand.Rand
	prefix  string
	count   int
}

func newRequests(o Options, start time.Time) *requests {
	return &requests{
		options: o,
		random:  rand.New(rand.NewPCG(o.Parameters.Seed, requestStream)),
		prefix:  fmt.Sprintf("load-%x", start.UnixMilli()),
	}
}

// next returns the next search. It has an identifier of its own, so that it can
// be explained afterwards.
func (r *requests) next() *pb.SearchRequest {
	r.count++
	p := r.options.Parameters
	request := &pb.SearchRequest{
		RequestId:              fmt.Sprintf("%s-%d", r.prefix, r.count),
		Front:                  p.Front,
		TimeLimitMs:            p.TimeLimitMs,
		MinimumCoveragePercent: p.MinimumCoveragePercent,
		RowLimit:               p.RowLimit,
	}
	if n := len(r.options.Conditions); n > 0 {
		request.Conditions = r.options.Conditions[r.random.IntN(n)]
	}
	return request
}

const (
	// typedCharacters is the length of a name's beginning that is searched for.
	typedCharacters = 3
	// maxSampled bounds the conditions that are drawn from rows.
	maxSampled = 200
)

// SampleConditions draws conditions from rows that a front returned, so that
// any front can be loaded with searches that match something: half of them
// for the beginning of a value and half for the whole value. The same rows and
// seed give the same conditions.
func SampleConditions(seed uint64, rows []*pb.Row) [][]*pb.Condition {
	random := rand.New(rand.NewPCG(seed, sampleStream))
	var conditions [][]*pb.Condition
	for range min(len(rows), maxSampled) {
		row := rows[random.IntN(len(rows))]
		if len(row.Fields) == 0 {
			continue
		}
		field := row.Fields[random.IntN(len(row.Fields))]
		condition := &pb.Condition{Field: field.Name, Operator: pb.Operator_OPERATOR_EQUAL, Value: field.Value}
		if random.IntN(2) == 0 {
			runes := []rune(field.Value)
			condition.Operator = pb.Operator_OPERATOR_PREFIX
			condition.Value = string(runes[:min(typedCharacters, len(runes))])
		}
		conditions = append(conditions, []*pb.Condition{condition})
	}
	return conditions
}
