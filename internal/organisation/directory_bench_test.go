package organisation_test

import (
	"fmt"
	"testing"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/organisation"
)

// BenchmarkByKey shows that the time of a look-up does not grow with the number of keys beyond
// what misses of the processor's cache cost.
func BenchmarkByKey(b *testing.B) {
	for _, count := range []int{76, 100_000} {
		organisations := make([]*pb.Organisation, count)
		for i := range organisations {
			digest := organisation.DigestOf(fmt.Sprintf("key-%016d", i))
			organisations[i] = &pb.Organisation{Name: fmt.Sprintf("o%d", i), KeyDigests: [][]byte{digest[:]}}
		}
		directory := organisation.NewDirectory(organisations)
		for name, key := range map[string]string{"known": "key-0000000000000042", "unknown": "yek-0000000000000042"} {
			b.Run(fmt.Sprintf("%d/%s", count, name), func(b *testing.B) {
				for b.Loop() {
					_ = directory.ByKey(key)
				}
			})
		}
	}
}
