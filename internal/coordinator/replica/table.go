package replica

import (
	"sync"
)

// ServiceKey identifies a service of a front.
type ServiceKey struct {
	Front   string
	Service string
}

// Table holds the groups of all services. It is safe for concurrent use.
type Table struct {
	owners *Owners
	mu     sync.RWMutex
	groups map[ServiceKey]*Group
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{owners: NewOwners(), groups: map[ServiceKey]*Group{}}
}

// Owners returns the state of the VMs that own targets.
func (t *Table) Owners() *Owners {
	return t.owners
}

// Group returns the group of a service, creating it on first use.
func (t *Table) Group(key ServiceKey) *Group {
	t.mu.RLock()
	group, ok := t.groups[key]
	t.mu.RUnlock()
	if ok {
		return group
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if group, ok = t.groups[key]; !ok {
		group = &Group{owners: t.owners}
		t.groups[key] = group
	}
	return group
}

// Keep holds the predicates by which Table.Retain decides what to keep: services and
// targets that are still configured, and VMs that are still members.
type Keep struct {
	Service func(ServiceKey) bool
	Target  func(target string) bool
	VM      func(vm string) bool
}

// Retain removes the services, targets and VMs for which the predicates of keep return
// false, so that the configuration bounds the size of the table. In the remaining
// services, targets with in-flight attempts are kept.
func (t *Table) Retain(keep Keep) {
	t.owners.Retain(keep.VM)
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, group := range t.groups {
		if !keep.Service(key) {
			delete(t.groups, key)
			continue
		}
		group.retain(keep.Target)
	}
}
