package quarantine

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Designate returns the one target among the candidates on which a suspect
// content may run, by rendezvous hashing over the content and the target, so
// that all owners that know of the same crashes choose the same one. Targets
// that crashed are chosen only when there is no other. It returns nothing when
// there is no candidate.
func Designate(digest uint64, candidates, crashed []string) string {
	fresh := slices.DeleteFunc(slices.Clone(candidates), func(target string) bool {
		return slices.Contains(crashed, target)
	})
	if len(fresh) == 0 {
		fresh = candidates
	}
	var best string
	var bestWeight uint64
	for _, target := range fresh {
		weight := weightOf(digest, target)
		if best == "" || weight > bestWeight || (weight == bestWeight && target < best) {
			best, bestWeight = target, weight
		}
	}
	return best
}

func weightOf(digest uint64, target string) uint64 {
	var hash xxhash.Digest
	hash.ResetWithSeed(digest)
	_, _ = hash.WriteString(target)
	var sum [8]byte
	binary.LittleEndian.PutUint64(sum[:], hash.Sum64())
	return xxhash.Sum64(sum[:])
}
