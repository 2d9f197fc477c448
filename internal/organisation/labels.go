package organisation

import (
	"slices"
	"strings"
	"time"
)

const (
	// OtherLabel is the label of all organisations that have none of their own.
	OtherLabel = "other"
	// labelInterval is the time between two choices of the organisations with labels. A
	// dashboard reads metrics several times in it.
	labelInterval = time.Minute
	// labelKeepFactor is how many times the requests of an organisation with a label another
	// one needs to take its place. Organisations of similar size would otherwise alternate.
	labelKeepFactor = 2
	// minLabelCount is the decayed number of requests below which an organisation is
	// forgotten.
	minLabelCount = 0.5
)

// Labels decides which organisations have a label of their own in metrics: the ones with the
// most requests, up to a maximum. It is not safe for concurrent use.
type Labels struct {
	limit    int
	counts   map[string]float64
	labelled map[string]bool
	chosenAt time.Time
}

// NewLabels returns Labels for at most limit organisations.
func NewLabels(limit int) *Labels {
	return &Labels{limit: limit, counts: map[string]float64{}, labelled: map[string]bool{}}
}

// Count counts a request of the organisation and returns its label, and the labels that no
// organisation has any more.
func (l *Labels) Count(name string, now time.Time) (label string, dropped []string) {
	if l.chosenAt.IsZero() {
		l.chosenAt = now
	}
	l.counts[name]++
	if now.Sub(l.chosenAt) >= labelInterval {
		l.chosenAt = now
		dropped = l.choose()
	}
	if !l.labelled[name] && len(l.labelled) < l.limit && name != OtherLabel {
		l.labelled[name] = true
	}
	if l.labelled[name] {
		return name, dropped
	}
	return OtherLabel, dropped
}

// choose gives the labels to the organisations with the most requests, and lets the counts
// decay. It returns the labels that were taken away.
func (l *Labels) choose() []string {
	names := make([]string, 0, len(l.counts))
	weights := make(map[string]float64, len(l.counts))
	for name, count := range l.counts {
		if l.labelled[name] {
			count *= labelKeepFactor
		}
		names, weights[name] = append(names, name), count
	}
	slices.SortFunc(names, func(a, b string) int {
		if weights[a] != weights[b] {
			return compareDescending(weights[a], weights[b])
		}
		return strings.Compare(a, b)
	})
	chosen := map[string]bool{}
	for _, name := range names {
		if len(chosen) < l.limit && name != OtherLabel {
			chosen[name] = true
		}
	}
	var dropped []string
	for name := range l.labelled {
		if !chosen[name] {
			dropped = append(dropped, name)
		}
	}
	slices.Sort(dropped)
	l.labelled = chosen
	for name := range l.counts {
		if l.counts[name] /= 2; l.counts[name] < minLabelCount {
			delete(l.counts, name)
		}
	}
	return dropped
}

func compareDescending(a, b float64) int {
	if a > b {
		return -1
	}
	return 1
}
