package users

import (
	"encoding/json"
	"time"
)

// Order writes an operator's order to move a service to a version within the ramp.
func (s *Store) Order(service, version string, ramp time.Duration) {
	s.Put("op/rollout/"+service, map[string]any{
		"service": service, "target_version": version, "ramp_s": ramp.Seconds(),
	})
}

// RolloutStatus is the status of an order as a VM wrote it.
type RolloutStatus struct {
	State         string  `json:"state"`
	TargetVersion string  `json:"target_version"`
	Share         float64 `json:"share"`
	Reason        string  `json:"reason"`
}

// RolloutStatuses returns all statuses that were written for the orders of a service.
func (s *Store) RolloutStatuses(service string) []RolloutStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	var statuses []RolloutStatus
	for _, entry := range s.history {
		var status RolloutStatus
		if entry.Key == "status/rollout/"+service && !entry.Tombstone && json.Unmarshal(entry.Value, &status) == nil {
			statuses = append(statuses, status)
		}
	}
	return statuses
}

// RolloutState returns the state of the service's newest status; empty if there is none.
func (s *Store) RolloutState(service string) string {
	statuses := s.RolloutStatuses(service)
	if len(statuses) == 0 {
		return ""
	}
	return statuses[len(statuses)-1].State
}
