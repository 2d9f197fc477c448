package coordinator_test

import (
	"fmt"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

const (
	frontName = "zoekportaal"
	inService = pb.ServingState_SERVING_STATE_IN_SERVICE
	takenOut  = pb.ServingState_SERVING_STATE_TAKEN_OUT
)

// shape is the size of a synthetic deployment.
type shape struct {
	services   int
	replicas   int
	partitions int
	slots      uint32
	snapshots  []uint64
}

func typicalShape() shape {
	return shape{services: 10, replicas: 3, partitions: 2, slots: 2, snapshots: []uint64{1}}
}

func serviceName(s int) string   { return fmt.Sprintf("s%d", s) }
func partitionName(p int) string { return fmt.Sprintf("p%d", p) }
func targetName(s, r int) string { return fmt.Sprintf("s%d-r%d", s, r) }
func domainName(r int) string    { return string(rune('a' + r%3)) }

// configuration returns a configuration that spreads the replicas of each service over
// three failure domains.
func configuration(s shape) *pb.Configuration {
	front := &pb.Front{
		Name:   frontName,
		Limits: &pb.FrontLimits{DefaultTimeLimitMs: 140, DefaultRowLimit: 1000, ExtraLoadPercent: 5},
	}
	for i := range s.services {
		service := &pb.Service{Name: serviceName(i)}
		for r := range s.replicas {
			service.Targets = append(service.Targets, &pb.Target{
				Id:            targetName(i, r),
				Address:       "127.0.0.1:1",
				FailureDomain: domainName(r),
				Slots:         s.slots,
				Connections:   25,
				ColdLimit:     1,
				State:         inService,
			})
		}
		front.Services = append(front.Services, service)
	}
	for _, version := range s.snapshots {
		front.Snapshots = append(front.Snapshots, snapshotOf(s, version))
	}
	return &pb.Configuration{
		Revision: 1,
		FailureDomains: []*pb.FailureDomain{
			{Name: "a", State: inService}, {Name: "b", State: inService}, {Name: "c", State: inService},
		},
		Fronts: []*pb.Front{front},
	}
}

// snapshotOf returns a snapshot. Even versions split the first partition of each
// service in two.
func snapshotOf(s shape, version uint64) *pb.Snapshot {
	snapshot := &pb.Snapshot{Version: version}
	for i := range s.services {
		entry := &pb.ServicePartitions{Service: serviceName(i)}
		for p := range s.partitions {
			entry.Partitions = append(entry.Partitions, partitionName(p))
		}
		if version%2 == 0 {
			entry.Partitions = append(entry.Partitions[1:], "p0-left", "p0-right")
		}
		snapshot.Services = append(snapshot.Services, entry)
	}
	return snapshot
}

// vms returns three VMs in each of three failure domains.
func vms() []view.VM {
	members := make([]view.VM, 0, 9)
	for i := range 9 {
		members = append(members, view.VM{
			ID:            fmt.Sprintf("vm-%d", i),
			FailureDomain: domainName(i),
			PeerAddress:   fmt.Sprintf("127.0.0.1:%d", 7200+i),
			State:         pb.MemberState_MEMBER_STATE_ALIVE,
		})
	}
	return members
}

func viewOf(c *pb.Configuration, self int) *view.View {
	members := vms()
	return view.Build(view.Input{Self: members[self], VMs: members, Configuration: c}, nil)
}

// source is a view.Source for single-goroutine tests.
type source struct{ v *view.View }

func (s *source) Current() *view.View { return s.v }

func request(id string) *pb.SearchRequest {
	return &pb.SearchRequest{
		RequestId:   id,
		Front:       frontName,
		Conditions:  []*pb.Condition{{Field: "name", Operator: pb.Operator_OPERATOR_PREFIX, Value: "Jan"}},
		TimeLimitMs: 140,
		RowLimit:    1000,
	}
}

// requestField is the field of each generated row that holds the identifier of the
// request that the row was generated for.
const requestField = "request"

// goodReply returns a successful reply with two rows per partition.
func goodReply(r *pb.SubRequest) *pb.SubReply {
	const rowsPerPartition = 2
	reply := &pb.SubReply{
		RequestId: r.RequestId, Attempt: r.Attempt, Target: r.Target,
		Status: pb.SubStatus_SUB_STATUS_OK, Snapshot: r.Snapshot,
	}
	for _, partition := range r.Partitions {
		result := &pb.PartitionResult{Partition: partition, RowCount: rowsPerPartition}
		for n := range rowsPerPartition {
			result.Rows = append(result.Rows, &pb.Row{
				RecordId: fmt.Sprintf("%s:%s-%d", r.Service, partition, n),
				Service:  r.Service, Partition: partition, Snapshot: r.Snapshot,
				Fields: []*pb.Field{{Name: requestField, Value: r.RequestId}},
			})
		}
		reply.Results = append(reply.Results, result)
	}
	return reply
}

func statusReply(r *pb.SubRequest, status pb.SubStatus) *pb.SubReply {
	return &pb.SubReply{RequestId: r.RequestId, Attempt: r.Attempt, Target: r.Target, Status: status}
}
