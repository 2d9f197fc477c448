package coordinator

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Digest returns the digest of a search's content: its front and its conditions. The
// order and duplicates of conditions do not change the digest. Other fields, such as the
// request identifier and the time limit, are excluded, so that a retry by the caller has
// the same digest.
func Digest(r *pb.SearchRequest) uint64 {
	conditions := slices.Clone(r.Conditions)
	slices.SortFunc(conditions, func(a, b *pb.Condition) int {
		return cmp.Or(
			cmp.Compare(a.Field, b.Field),
			cmp.Compare(a.Operator, b.Operator),
			cmp.Compare(a.Value, b.Value),
		)
	})
	conditions = slices.CompactFunc(conditions, func(a, b *pb.Condition) bool {
		return a.Field == b.Field && a.Operator == b.Operator && a.Value == b.Value
	})
	d := xxhash.New()
	writeString(d, r.Front)
	for _, c := range conditions {
		writeString(d, c.Field)
		writeUint64(d, uint64(c.Operator))
		writeString(d, c.Value)
	}
	return d.Sum64()
}

// writeString hashes a string with its length, so that adjacent strings are
// unambiguous.
func writeString(d *xxhash.Digest, text string) {
	writeUint64(d, uint64(len(text)))
	_, _ = d.WriteString(text)
}

func writeUint64(d *xxhash.Digest, n uint64) {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], n)
	_, _ = d.Write(buffer[:])
}
