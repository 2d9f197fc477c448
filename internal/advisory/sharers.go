package advisory

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Sharers are the VMs that share the limits of targets. A nil Sharers is one VM. It is
// immutable.
type Sharers struct {
	self    string
	vms     []string
	atLeast int
}

// NewSharers returns the sharers with the given IDs. This VM, self, is one of them only if it
// is listed. While it does not know all of them, atLeast is the number to assume.
func NewSharers(self string, vms []string, atLeast int) *Sharers {
	return &Sharers{self: self, vms: slices.Clone(vms), atLeast: atLeast}
}

// Count returns the number of VMs, at least 1.
func (s *Sharers) Count() int {
	if s == nil {
		return 1
	}
	return max(len(s.vms), s.atLeast, 1)
}

// rank returns the position of this VM in an order of the sharers that differs by target and
// that all VMs agree on, or a number of at least limit if it is not among the first ones.
func (s *Sharers) rank(target string, limit int) int {
	if s == nil || len(s.vms) == 0 {
		return 0
	}
	if !slices.Contains(s.vms, s.self) {
		return limit
	}
	if len(s.vms) <= limit {
		return 0
	}
	own, before := hash(target, s.self), 0
	for _, vm := range s.vms {
		if hash(target, vm) < own {
			before++
		}
	}
	return before
}

func hash(target, vm string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(target)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(vm)
	return digest.Sum64()
}
