package registry

import "maps"

// maxAbsent is the maximum number of targets without an entry whose last reports are kept. Of
// targets beyond it, a report in a copy of the store that is older than the last one can be
// used until the target reports again.
const maxAbsent = 1024

// absentTargets holds the last reports of targets that have no entry any more, by the keys
// that their entries had.
type absentTargets struct {
	reports map[string]sequencedRegistration
	// keys lists the keys, longest absent first.
	keys []string
}

func newAbsentTargets() absentTargets {
	return absentTargets{reports: map[string]sequencedRegistration{}}
}

// add records the last report of a target without an entry.
func (a *absentTargets) add(key string, last sequencedRegistration) {
	if _, ok := a.reports[key]; !ok {
		a.keys = append(a.keys, key)
	}
	a.reports[key] = last
	for len(a.keys) > maxAbsent {
		delete(a.reports, a.keys[0])
		a.keys = a.keys[1:]
	}
}

// lastReports returns the last known report of each target, by the key of its entry.
func (s *storeState) lastReports() map[string]sequencedRegistration {
	reports := maps.Clone(s.absent.reports)
	maps.Copy(reports, s.registrations)
	return reports
}
