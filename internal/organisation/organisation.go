// Package organisation finds the organisation that a caller's key belongs to.
package organisation

import (
	"crypto/sha256"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Digest is the SHA-256 digest of a key. Keys are held and passed on as digests only.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Organisation is a group of callers that share keys, a priority and an allowance. It is
// immutable.
type Organisation struct {
	Name string
	// Priority takes precedence over that of the route if HasPriority is set. Zero is the
	// highest.
	Priority    uint32
	HasPriority bool
	// RequestsPerSecond and Burst are the allowance over all VMs; a rate of zero means no
	// limit.
	RequestsPerSecond float64
	Burst             float64
}

// PriorityOr returns the priority of the organisation's requests on a route with the given
// priority. A nil Organisation has none of its own.
func (o *Organisation) PriorityOr(route uint32) uint32 {
	if o == nil || !o.HasPriority {
		return route
	}
	return o.Priority
}

// Directory holds the organisations of one route table. It is immutable; a nil Directory is
// empty.
type Directory struct {
	byDigest map[Digest]*Organisation
	byName   map[string]*Organisation
	// declared is true if the operators' list is not empty. It may hold invalid entries only.
	declared bool
}

// DirectoryOf returns the directory of a route table.
func DirectoryOf(table *pb.RouteTable) *Directory {
	d := NewDirectory(table.GetOrganisations())
	d.declared = d.declared || table.GetOrganisationsDeclared()
	return d
}

// NewDirectory returns the directory of the organisations.
func NewDirectory(organisations []*pb.Organisation) *Directory {
	d := &Directory{
		byDigest: map[Digest]*Organisation{}, byName: map[string]*Organisation{}, declared: len(organisations) > 0,
	}
	for _, declared := range organisations {
		organisation := &Organisation{
			Name: declared.GetName(), Priority: declared.GetPriority(), HasPriority: declared.Priority != nil,
			RequestsPerSecond: declared.GetRequestsPerS(), Burst: declared.GetBurst(),
		}
		d.byName[organisation.Name] = organisation
		for _, digest := range declared.GetKeyDigests() {
			if len(digest) == sha256.Size {
				d.byDigest[Digest(digest)] = organisation
			}
		}
	}
	return d
}

// Empty reports whether no organisations are declared, so that no request needs a key.
func (d *Directory) Empty() bool { return d == nil || !d.declared }

// ByKey returns the organisation that holds the key, or nil if there is none.
func (d *Directory) ByKey(key string) *Organisation {
	if d == nil || key == "" {
		return nil
	}
	return d.byDigest[DigestOf(key)]
}

// ByName returns the organisation with the name, or nil if there is none.
func (d *Directory) ByName(name string) *Organisation {
	if d == nil {
		return nil
	}
	return d.byName[name]
}
