package view_test

import (
	"fmt"
	"testing"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

// Design limits of a deployment.
const (
	designDomains  = 9
	designVMs      = 3000
	designTargets  = 14000
	designServices = 680
)

func domainName(i int) string { return fmt.Sprintf("domain-%d", i%designDomains) }

func designMembers() []view.VM {
	vms := make([]view.VM, designVMs)
	for i := range vms {
		vms[i] = view.VM{
			ID: fmt.Sprintf("vm-%04d", i), FailureDomain: domainName(i), PeerAddress: fmt.Sprintf("10.0.%d.%d:7200", i/250, i%250),
			State: pb.MemberState_MEMBER_STATE_ALIVE,
		}
	}
	return vms
}

func designConfiguration() *pb.Configuration {
	c := &pb.Configuration{Revision: 1}
	for i := range designDomains {
		c.FailureDomains = append(c.FailureDomains, &pb.FailureDomain{Name: domainName(i), State: pb.ServingState_SERVING_STATE_IN_SERVICE})
	}
	front := &pb.Front{Name: "front"}
	for i := range designServices {
		front.Services = append(front.Services, &pb.Service{Name: fmt.Sprintf("service-%03d", i)})
	}
	for i := range designTargets {
		service := front.Services[i%designServices]
		service.Targets = append(service.Targets, &pb.Target{
			Id: fmt.Sprintf("%s-%d", service.Name, i), Address: fmt.Sprintf("10.1.%d.%d:7300", i/250, i%250),
			FailureDomain: domainName(i / designServices), Slots: 2, Connections: 25, ConnectionSetupUs: 5000, ColdLimit: 1,
			State: pb.ServingState_SERVING_STATE_IN_SERVICE,
		})
	}
	c.Fronts = []*pb.Front{front}
	return c
}

// BenchmarkBuild measures building a view at the design size: from scratch,
// after a VM has left, after a new revision, and when only the confirmation
// time changed.
func BenchmarkBuild(b *testing.B) {
	all, config := designMembers(), designConfiguration()
	input := view.Input{Self: all[0], VMs: all, Configuration: config}
	first := view.Build(input, nil)
	vmGone := input
	vmGone.VMs = all[:designVMs-1]
	revised := input
	revised.Configuration = designConfiguration()
	confirmed := input
	confirmed.ConfirmedAt = time.Now()
	cases := []struct {
		name     string
		input    view.Input
		previous *view.View
	}{
		{"first", input, nil},
		{"VM gone", vmGone, first},
		{"new revision", revised, first},
		{"confirmed", confirmed, first},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				view.Build(c.input, c.previous)
			}
		})
	}
}
