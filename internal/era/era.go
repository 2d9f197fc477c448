// Package era orders the revisions of a store that may come back from an older copy of
// itself. Its revisions then go back and are given out again, and the store begins a new era
// with a higher number.
//
// The rest of the product compares positions: one number that is higher for a later era, and
// within an era for a later revision. It calls them revisions. Only the code that speaks to the
// store takes them apart.
package era

import (
	"math"

	"github.com/pkg/errors"
)

// revisionsPerEra is the number of revisions that an era has room for: those of 79 years at
// the 400 writes a second that the users' stores take. As it is a power of ten, a position
// shows both parts in logs.
const revisionsPerEra = 1_000_000_000_000

// maxEra is the highest era whose positions fit into 64 bits.
const maxEra = math.MaxUint64/revisionsPerEra - 1

// ErrRange means that an era or a revision is too high to have a position.
var ErrRange = errors.New("era or revision of the store is out of range")

// Join returns the position of a revision of an era. A store that names no eras has the era
// zero, in which positions are its revisions. Join returns ErrRange if the position does not
// exist.
func Join(era, revision uint64) (uint64, error) {
	if era > maxEra || revision >= revisionsPerEra {
		return 0, errors.Wrapf(ErrRange, "era %d, revision %d", era, revision)
	}
	return era*revisionsPerEra + revision, nil
}

// Split returns the era and the revision of a position.
func Split(position uint64) (era, revision uint64) {
	return position / revisionsPerEra, position % revisionsPerEra
}

// Of returns the era of a position.
func Of(position uint64) uint64 { return position / revisionsPerEra }
