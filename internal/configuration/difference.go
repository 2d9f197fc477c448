package configuration

import (
	"fmt"
	"sort"
	"strings"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Difference returns the lines by which two configurations differ, sorted by the
// path of the element described. A line found only in before is prefixed with
// "- ", one found only in after with "+ ". Revisions, authors and comments are
// ignored.
func Difference(before, after *pb.Configuration) []string {
	beforeLines, afterLines := describe(before), describe(after)
	var difference []string
	for _, key := range unionOfKeys(beforeLines, afterLines) {
		if beforeLines[key] == afterLines[key] {
			continue
		}
		if line, ok := beforeLines[key]; ok {
			difference = append(difference, "- "+line)
		}
		if line, ok := afterLines[key]; ok {
			difference = append(difference, "+ "+line)
		}
	}
	return difference
}

// lines maps the path of a configuration element to the line that describes it.
type lines map[string]string

func (l lines) add(path []string, format string, arguments ...any) {
	l[strings.Join(path, "\x00")] = fmt.Sprintf(format, arguments...)
}

func unionOfKeys(a, b lines) []string {
	keys := make([]string, 0, len(a)+len(b))
	for key := range a {
		keys = append(keys, key)
	}
	for key := range b {
		if _, ok := a[key]; !ok {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

func describe(c *pb.Configuration) lines {
	l := lines{}
	for _, domain := range c.GetFailureDomains() {
		l.add([]string{"domain", domain.GetName()}, "failure domain %s: region=%s state=%s", domain.GetName(), domain.GetRegion(), StateName(domain.GetState()))
	}
	for _, front := range c.GetFronts() {
		l.addFront(front)
	}
	return l
}

func (l lines) addFront(front *pb.Front) {
	name, limits := front.GetName(), front.GetLimits()
	l.add([]string{"front", name}, "front %s: time_limit_ms=%d rows=%d extra_load_percent=%d",
		name, limits.GetDefaultTimeLimitMs(), limits.GetDefaultRowLimit(), limits.GetExtraLoadPercent())
	for _, service := range front.GetServices() {
		l.add([]string{"front", name, "service", service.GetName()}, "front %s service %s", name, service.GetName())
		for _, target := range service.GetTargets() {
			l.addTarget(name, service.GetName(), target)
		}
	}
	for _, snapshot := range front.GetSnapshots() {
		l.addSnapshot(name, snapshot)
	}
}

func (l lines) addTarget(front, service string, target *pb.Target) {
	l.add([]string{"front", front, "service", service, "target", target.GetId()},
		"front %s service %s target %s: address=%s failure_domain=%s slots=%d connections=%d setup_us=%d cold_limit=%d state=%s",
		front, service, target.GetId(), target.GetAddress(), target.GetFailureDomain(), target.GetSlots(),
		target.GetConnections(), target.GetConnectionSetupUs(), target.GetColdLimit(), StateName(target.GetState()))
}

func (l lines) addSnapshot(front string, snapshot *pb.Snapshot) {
	version := fmt.Sprintf("%020d", snapshot.GetVersion())
	l.add([]string{"front", front, "snapshot", version}, "front %s snapshot %d", front, snapshot.GetVersion())
	for _, entry := range snapshot.GetServices() {
		l.add([]string{"front", front, "snapshot", version, entry.GetService()}, "front %s snapshot %d service %s: partitions=%s",
			front, snapshot.GetVersion(), entry.GetService(), strings.Join(entry.GetPartitions(), ","))
	}
}

// StateName returns the operator-facing name of a serving state, for example
// "in_service".
func StateName(state pb.ServingState) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), "SERVING_STATE_"))
}
