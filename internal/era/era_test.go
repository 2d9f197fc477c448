package era_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/era"
)

// Guards against an order of revisions in which the lost ones of an earlier era hide those
// that the store gives out after its return.
func TestLaterErasComeAfterAllRevisionsOfEarlierOnes(t *testing.T) {
	const lastRevision, lastEra = 999_999_999_999, 18_446_743
	previous := uint64(0)
	for _, e := range []uint64{0, 1, 2, 3, 1000, lastEra} {
		for _, revision := range []uint64{1, 2, 246, lastRevision} {
			position, err := era.Join(e, revision)
			require.NoError(t, err)
			require.Greater(t, position, previous, "era %d, revision %d", e, revision)
			previous = position
			gotEra, gotRevision := era.Split(position)
			require.Equal(t, []uint64{e, revision}, []uint64{gotEra, gotRevision})
			require.Equal(t, e, era.Of(position))
		}
	}
}

func TestPositionsWithoutEraAreRevisions(t *testing.T) {
	position, err := era.Join(0, 246)
	require.NoError(t, err)
	require.EqualValues(t, 246, position)
}

// Guards against a number that wraps around, so that a later era would come first.
func TestEraOrRevisionBeyondTheRangeIsRefused(t *testing.T) {
	for _, beyond := range [][2]uint64{{18_446_744, 1}, {math.MaxUint64, 1}, {1, 1_000_000_000_000}, {1, math.MaxUint64}} {
		_, err := era.Join(beyond[0], beyond[1])
		require.ErrorIs(t, err, era.ErrRange, "%v", beyond)
	}
}
