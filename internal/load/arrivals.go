package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Stream numbers that select independent PCG sequences of one seed.
const (
	arrivalStream = 1
	requestStream = 2
	sampleStream  = 3
)

// arrivals returns the arrival times of a Poisson process with the given rate
// per second, as offsets from the start of the run. It returns at most
// MaxArrivals+1 offsets, which lets callers detect an overlong run.
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

// requestGenerator generates the searches of a run.
type requestGenerator struct {
	options Options
	random  *rand.Rand
	prefix  string
	count   int
}

func newRequestGenerator(o Options, start time.Time) *requestGenerator {
	return &requestGenerator{
		options: o,
		random:  rand.New(rand.NewPCG(o.Parameters.Seed, requestStream)),
		prefix:  fmt.Sprintf("load-%x", start.UnixMilli()),
	}
}

// next returns the next search. Each search has a unique request ID, so that it
// can be explained after the run.
func (r *requestGenerator) next() *pb.SearchRequest {
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
	// prefixRunes is the length of the prefixes that are searched for.
	prefixRunes = 3
	// maxSampledConditions bounds the number of conditions drawn from rows.
	maxSampledConditions = 200
)

// SampleConditions draws search conditions from rows that a front returned, so
// that load on any front uses searches with matches: about half of them match a
// prefix of a value and the others the whole value. The same rows and seed yield
// the same conditions.
func SampleConditions(seed uint64, rows []*pb.Row) [][]*pb.Condition {
	random := rand.New(rand.NewPCG(seed, sampleStream))
	var conditions [][]*pb.Condition
	for range min(len(rows), maxSampledConditions) {
		row := rows[random.IntN(len(rows))]
		if len(row.Fields) == 0 {
			continue
		}
		field := row.Fields[random.IntN(len(row.Fields))]
		condition := &pb.Condition{Field: field.Name, Operator: pb.Operator_OPERATOR_EQUAL, Value: field.Value}
		if random.IntN(2) == 0 {
			runes := []rune(field.Value)
			condition.Operator = pb.Operator_OPERATOR_PREFIX
			condition.Value = string(runes[:min(prefixRunes, len(runes))])
		}
		conditions = append(conditions, []*pb.Condition{condition})
	}
	return conditions
}
