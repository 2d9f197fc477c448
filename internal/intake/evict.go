package intake

import (
	"cmp"
	"slices"
	"time"
)

// idleFactor lowers the weight of idle connections: their callers did nothing wrong, but a
// request may be on its way to them.
const idleFactor = 1.0 / 16

// victim is a connection that may be closed, and how much speaks for closing it.
type victim struct {
	entry  *entry
	weight float64
}

// evict chooses connections to close so that the entry may get the amount of the resource, and
// marks them. It chooses none if all that may be chosen do not free what is missing.
func (b *Budget) evict(now time.Time, e *entry, r resource, want, missing int64) []Eviction {
	if now.Sub(b.fruitlessSince) >= searchInterval {
		clear(b.fruitless)
		b.fruitlessSince = now
	}
	tried := b.fruitless[e.share.address]
	if tried[r] > 0 {
		return nil
	}
	victims, available := b.victims(now, e, r, want)
	if available < missing {
		tried[r] = 1
		b.fruitless[e.share.address] = tried
		return nil
	}
	slices.SortFunc(victims, func(x, y victim) int {
		return cmp.Or(cmp.Compare(y.weight, x.weight), cmp.Compare(x.entry.id, y.entry.id))
	})
	wanted := max(missing, b.limits[r]/batchDivisor)
	var evictions []Eviction
	for freed := int64(0); freed < wanted && len(victims) > 0; victims = victims[1:] {
		chosen := victims[0].entry
		freed += chosen.held[r]
		chosen.evicted = true
		b.closing.add(chosen.held, 1)
		evictions = append(evictions, Eviction{ID: chosen.id, Phase: chosen.phase, Bytes: chosen.held[memory]})
	}
	return evictions
}

// victims returns the connections that may be closed for the entry, and what they hold together.
func (b *Budget) victims(now time.Time, e *entry, r resource, want int64) ([]victim, int64) {
	fair := b.fairShare(r)
	var victims []victim
	available := int64(0)
	for _, other := range b.entries {
		if other == e || other.closed || other.evicted || !other.mayClose(now) || !b.yields(now, other, e, r, want) {
			continue
		}
		idle := now.Sub(other.progressAt).Seconds()
		weight := float64(other.held[r]) * idle * max(1, float64(other.share.held[r])/float64(fair))
		if other.phase == Idle {
			weight *= idleFactor
		}
		victims = append(victims, victim{entry: other, weight: weight})
		available += other.held[r]
	}
	return victims, available
}

// mayClose reports whether the phase of the connection allows to close it.
func (e *entry) mayClose(now time.Time) bool {
	switch e.phase {
	case Running:
		return false
	case Answering:
		return e.stalled(now)
	default:
		return true
	}
}

func (e *entry) stalled(now time.Time) bool { return now.Sub(e.progressAt) >= stallTime }

// yields reports whether a connection gives way to the entry. An address beyond its fair share
// gives way to those that hold less; a connection without progress gives way to those of its own
// address, and to addresses within their fair share.
func (b *Budget) yields(now time.Time, other, e *entry, r resource, want int64) bool {
	fair := b.fairShare(r)
	stalled := other.stalled(now)
	after := e.share.held[r] + want
	switch {
	case other.share == e.share:
		return stalled
	case other.share.held[r] > fair && other.share.held[r] > after:
		return true
	default:
		return stalled && after <= fair
	}
}
