package backend

import "github.com/cespare/xxhash/v2"

// maxCarriedIDs bounds the request IDs that a connection remembers. A second copy of a
// reply arrives no later than the next replies on its connection, where it is detected
// unless the request has the same ID.
const maxCarriedIDs = 32

// carriedIDs holds hashes of the IDs of the last requests on a connection.
//
// A reply states the ID of its request, which is the caller's and the same for each send.
// On a connection that has already carried the ID, a reply may therefore be a late copy of
// the reply to the earlier send, so that a request must not be sent on it again.
type carriedIDs struct {
	hashes [maxCarriedIDs]uint64
	count  int
}

func (c *carriedIDs) add(id string) {
	c.hashes[c.count%maxCarriedIDs] = xxhash.Sum64String(id)
	c.count++
}

func (c *carriedIDs) has(id string) bool {
	hash := xxhash.Sum64String(id)
	for _, carried := range c.hashes[:min(c.count, maxCarriedIDs)] {
		if carried == hash {
			return true
		}
	}
	return false
}
