package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// designationPeriod is how long a target stays designated before the next one is. The rotation keeps a
// content from waiting indefinitely for a designated target that is down.
const designationPeriod = 2 * time.Second

// Designate returns the only candidate on which a suspect content may run. It uses rendezvous hashing over
// the content and the target, so that all owners that know of the same crashes choose the same target.
// Targets that crashed are chosen only if there are no others. It returns an empty string if there are no
// candidates.
func Designate(digest uint64, candidates, crashed []string, sinceLastCrash time.Duration) string {
	eligible := slices.DeleteFunc(slices.Clone(candidates), func(target string) bool {
		return slices.Contains(crashed, target)
	})
	if len(eligible) == 0 {
		eligible = slices.Clone(candidates)
	}
	if len(eligible) == 0 {
		return ""
	}
	slices.SortFunc(eligible, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(digest, b), rendezvousWeight(digest, a)), cmp.Compare(a, b))
	})
	return eligible[int(max(sinceLastCrash, 0)/designationPeriod)%len(eligible)]
}

// rendezvousWeight returns the weight of a target for a content; the highest weight ranks first.
func rendezvousWeight(digest uint64, target string) uint64 {
	var hash xxhash.Digest
	hash.ResetWithSeed(digest)
	_, _ = hash.WriteString(target)
	var sum [8]byte
	binary.LittleEndian.PutUint64(sum[:], hash.Sum64())
	return xxhash.Sum64(sum[:])
}
