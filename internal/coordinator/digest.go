package coordinator

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Digest returns the digest of a search's content: its front and its
// conditions, whose order does not matter. Everything else, such as the request
// identifier and the time limit, is left out, so that a re-send has the digest
// of the first send.
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
	writeText(d, r.Front)
	for _, c := range conditions {
		writeText(d, c.Field)
		writeNumber(d, uint64(c.Operator))
		writeText(d, c.Value)
	}
	return d.Sum64()
}

// writeText adds a text with its length, so that neighbours cannot be confused.
func writeText(d *xxhash.Digest, text string) {
	writeNumber(d, uint64(len(text)))
	_, _ = d.WriteString(text)
}

func writeNumber(d *xxhash.Digest, n uint64) {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], n)
	_, _ = d.Write(buffer[:])
}
