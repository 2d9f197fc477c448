package view_test

import (
	"fmt"
	"testing"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

// The size that the system is designed for.
const (
	sizeDomains  = 9
	sizeVMs      = 3000
	sizeTargets  = 14000
	sizeServices = 680
)

func sizeDomain(i int) string { return fmt.Sprintf("domain-%d", i%sizeDomains) }

func sizeMembers() []view.VM {
	vms := make([]view.VM, sizeVMs)
	for i := range vms {
		vms[i] = view.VM{
			ID: fmt.Sprintf("vm-%04d", i), FailureDomain: sizeDomain(i), PeerAddress: fmt.Sprintf("10.0.%d.%d:7200", i/250, i%250),
			State: pb.MemberState_MEMBER_STATE_ALIVE,
		}
	}
	return vms
}

func sizeConfiguration() *pb.Configuration {
	c := &pb.Configuration{Revision: 1}
	for i := range sizeDomains {
		c.FailureDomains = append(c.FailureDomains, &pb.FailureDomain{Name: sizeDomain(i), State: pb.ServingState_SERVING_STATE_IN_SERVICE})
	}
	front := &pb.Front{Name: "front"}
	for i := range sizeServices {
		front.Services = append(front.Services, &pb.Service{Name: fmt.Sprintf("service-%03d", i)})
	}
	for i := range sizeTargets {
		service := front.Services[i%sizeServices]
		service.Targets = append(service.Targets, &pb.Target{
			Id: fmt.Sprintf("%s-%d", service.Name, i), Address: fmt.Sprintf("10.1.%d.%d:7300", i/250, i%250),
			FailureDomain: sizeDomain(i / sizeServices), Slots: 2, Connections: 25, ConnectionSetupUs: 5000, ColdLimit: 1,
			State: pb.ServingState_SERVING_STATE_IN_SERVICE,
		})
	}
	c.Fronts = []*pb.Front{front}
	return c
}

// BenchmarkBuild measures one build of the view at the size that the system is
// designed for: the first one, after another VM of a failure domain is gone,
// after a new revision, and when only the time of confirmation changed.
func BenchmarkBuild(b *testing.B) {
	all, config := sizeMembers(), sizeConfiguration()
	input := view.Input{Self: all[0], VMs: all, Configuration: config}
	first := view.Build(input, nil)
	without := input
	without.VMs = all[:sizeVMs-1]
	revised := input
	revised.Configuration = sizeConfiguration()
	confirmed := input
	confirmed.ConfirmedAt = time.Now()
	cases := []struct {
		name     string
		input    view.Input
		previous *view.View
	}{
		{"first", input, nil},
		{"VM gone", without, first},
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
