package report

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// VMs returns the section that lists the cluster members known to the reporting VM.
func VMs(status *pb.GetStatusResponse) Section {
	owned := map[string]int{}
	for _, target := range status.Targets {
		owned[target.Owner]++
	}
	members := slices.Clone(status.Members)
	slices.SortFunc(members, func(a, b *pb.Member) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Vm, b.Vm))
	})
	section := Section{
		Key: "vms", Title: "VMS", Unit: "VMS", Groups: []string{"failure domain"},
		Columns: []Column{
			{Header: "vm", Width: 24}, {Header: "state", Width: 10}, {Header: "peer address", Width: 24},
			{Header: "targets owned", Width: 13, Right: true},
		},
	}
	for _, member := range members {
		section.Rows = append(section.Rows, Row{
			Groups: []string{member.FailureDomain},
			Cells: []string{
				member.Vm, strings.TrimPrefix(member.State.String(), "MEMBER_STATE_"),
				member.PeerAddress, strconv.Itoa(owned[member.Vm]),
			},
		})
	}
	return section
}

// OwnedTargets returns the section that lists targets with their owners' status
// reports.
func OwnedTargets(status *pb.GetStatusResponse) Section {
	targets := slices.Clone(status.Targets)
	slices.SortStableFunc(targets, func(a, b *pb.TargetStatusReport) int {
		return cmp.Or(cmp.Compare(a.Front, b.Front), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Target, b.Target))
	})
	section := Section{
		Key: "targets", Title: "TARGETS AND THEIR OWNERS", Unit: "TARGETS", Groups: []string{"front", "service"},
		Columns: []Column{
			{Header: "target", Width: 24}, {Header: "owner", Width: 18}, {Header: "phase", Width: 8},
			{Header: "limit", Width: 6, Right: true}, {Header: "running", Width: 7, Right: true},
			{Header: "queued", Width: 7, Right: true}, {Header: "conns", Width: 6, Right: true},
			{Header: "dispatched", Width: 12, Right: true}, {Header: "refused", Width: 10, Right: true},
		},
	}
	for _, target := range targets {
		section.Rows = append(section.Rows, Row{
			Groups: []string{target.Front, target.Service},
			Cells:  ownedTargetCells(target),
		})
	}
	return section
}

func ownedTargetCells(target *pb.TargetStatusReport) []string {
	return []string{
		target.Target, target.Owner, PhaseName(target.Phase), formatCount(target.Limit), formatCount(target.Running),
		formatCount(target.Queued), formatCount(target.OpenConnections),
		strconv.FormatUint(target.Dispatched, 10), strconv.FormatUint(target.Refused, 10),
	}
}

// PhaseName returns the printed name of a target's phase, as its owner reports it.
func PhaseName(phase pb.TargetPhase) string {
	return strings.TrimPrefix(phase.String(), "TARGET_PHASE_")
}

// StatusNotes returns notes on the state of the VM that responded.
func StatusNotes(status *pb.GetStatusResponse) []Line {
	ready := "YES"
	if !status.Ready {
		ready = "NO - " + status.NotReadyReason
	}
	return []Line{
		{"ANSWERED BY", fmt.Sprintf("%s IN FAILURE DOMAIN %s", status.Vm, status.FailureDomain)},
		{"READY", ready},
		{"CONFIGURATION", fmt.Sprintf("REVISION %d CONFIRMED %d MS AGO", status.ConfigurationRevision, status.ConfigurationAgeMs)},
		{"HEDGE BUDGET", fmt.Sprintf("%d SUBREQUESTS LEFT", status.HedgeBudgetLeft)},
		{"CHANGE RECORDS", strconv.FormatUint(status.ChangeRecords, 10)},
		{"QUARANTINED", quarantinedText(status.Quarantined)},
	}
}

func quarantinedText(digests []string) string {
	if len(digests) == 0 {
		return "NONE"
	}
	return strings.Join(digests, " ")
}

// phases lists the target phases in the column order of ServiceSummary.
var phases = []pb.TargetPhase{
	pb.TargetPhase_TARGET_PHASE_WARM, pb.TargetPhase_TARGET_PHASE_RAMP, pb.TargetPhase_TARGET_PHASE_COLD,
	pb.TargetPhase_TARGET_PHASE_GUARD, pb.TargetPhase_TARGET_PHASE_LEAVING, pb.TargetPhase_TARGET_PHASE_DOWN,
}

// ServiceSummary returns the section that counts the targets of each service by
// phase. It summarizes a deployment on one screen.
func ServiceSummary(status *pb.GetStatusResponse) Section {
	section := Section{
		Key: "services", Title: "SERVICES: TARGETS BY PHASE", Unit: "SERVICES", Groups: []string{"front"},
		Columns: []Column{{Header: "service", Width: 24}, {Header: "targets", Width: 8, Right: true}},
	}
	for _, phase := range phases {
		section.Columns = append(section.Columns, Column{Header: PhaseName(phase), Width: 7, Right: true})
	}
	section.Columns = append(section.Columns,
		Column{Header: "limit", Width: 6, Right: true}, Column{Header: "running", Width: 7, Right: true},
		Column{Header: "queued", Width: 7, Right: true}, Column{Header: "refused", Width: 10, Right: true})
	targets := slices.Clone(status.Targets)
	slices.SortStableFunc(targets, func(a, b *pb.TargetStatusReport) int {
		return cmp.Or(cmp.Compare(a.Front, b.Front), cmp.Compare(a.Service, b.Service))
	})
	for len(targets) > 0 {
		first := targets[0]
		n := slices.IndexFunc(targets, func(t *pb.TargetStatusReport) bool {
			return t.Front != first.Front || t.Service != first.Service
		})
		if n < 0 {
			n = len(targets)
		}
		section.Rows = append(section.Rows, Row{
			Groups: []string{first.Front},
			Cells:  append([]string{first.Service}, summaryCells(targets[:n])...),
		})
		targets = targets[n:]
	}
	return section
}

func summaryCells(targets []*pb.TargetStatusReport) []string {
	byPhase := map[pb.TargetPhase]int{}
	var limit, running, queued uint32
	var refused uint64
	for _, target := range targets {
		byPhase[target.Phase]++
		limit += target.Limit
		running += target.Running
		queued += target.Queued
		refused += target.Refused
	}
	cells := []string{strconv.Itoa(len(targets))}
	for _, phase := range phases {
		cells = append(cells, strconv.Itoa(byPhase[phase]))
	}
	return append(cells, formatCount(limit), formatCount(running), formatCount(queued), strconv.FormatUint(refused, 10))
}
