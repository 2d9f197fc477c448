package replica

import (
	"sync"
)

// Place names a service of a front.
type Place struct {
	Front   string
	Service string
}

// Table holds the groups of all services. It is safe for concurrent use.
type Table struct {
	owners *Owners
	mu     sync.RWMutex
	groups map[Place]*Group
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{owners: NewOwners(), groups: map[Place]*Group{}}
}

// Owners returns what is known of the VMs that own targets.
func (t *Table) Owners() *Owners {
	return t.owners
}

// Group returns the group of a service and creates it at first use.
func (t *Table) Group(place Place) *Group {
	t.mu.RLock()
	group, ok := t.groups[place]
	t.mu.RUnlock()
	if ok {
		return group
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if group, ok = t.groups[place]; !ok {
		group = &Group{owners: t.owners}
		t.groups[place] = group
	}
	return group
}

// Kept tells what the configuration and the membership still have.
type Kept struct {
	Place  func(Place) bool
	Target func(target string) bool
	VM     func(vm string) bool
}

// Retain forgets services, targets and VMs that are gone, so that the table's
// size follows the configuration.
func (t *Table) Retain(kept Kept) {
	t.owners.Retain(kept.VM)
	t.mu.Lock()
	defer t.mu.Unlock()
	for place, group := range t.groups {
		if !kept.Place(place) {
			delete(t.groups, place)
			continue
		}
		group.retain(kept.Target)
	}
}
