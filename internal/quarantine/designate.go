package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// rotation is how long a target stays designated. After that the next one is, so
// that a content is not held up by a designated target that is down.
const rotation = 2 * time.Second

// Designate returns the one target among the candidates on which a suspect
// content may run, by rendezvous hashing over the content and the target, so
// that all owners that know of the same crashes choose the same one. Targets
// that crashed are chosen only when there is no other. The age is the time since
// the last crash. It returns nothing when there is no candidate.
func Designate(digest uint64, candidates, crashed []string, age time.Duration) string {
	ranked := slices.DeleteFunc(slices.Clone(candidates), func(target string) bool {
		return slices.Contains(crashed, target)
	})
	if len(ranked) == 0 {
		ranked = slices.Clone(candidates)
	}
	if len(ranked) == 0 {
		return ""
	}
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(weightOf(digest, b), weightOf(digest, a)), cmp.Compare(a, b))
	})
	return ranked[int(max(age, 0)/rotation)%len(ranked)]
}

func weightOf(digest uint64, target string) uint64 {
	var hash xxhash.Digest
	hash.ResetWithSeed(digest)
	_, _ = hash.WriteString(target)
	var sum [8]byte
	binary.LittleEndian.PutUint64(sum[:], hash.Sum64())
	return xxhash.Sum64(sum[:])
}
