package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

const (
	// detectionLimit bounds the time until every other VM considers a killed or
	// frozen VM dead.
	detectionLimit = 3 * time.Second
	// detectionTimeout is the timeout for a state change to be detected.
	detectionTimeout = 20 * time.Second
	statusTimeout    = time.Second
)

// membershipRun holds the measurements for one number of VMs.
type membershipRun struct {
	killed, frozen detection
	// suspicions counts pairs of healthy VMs of which one considered the other
	// suspect or dead.
	suspicions int
}

// detection holds the times until the first and the last VM considered the victim
// dead.
type detection struct {
	first, last time.Duration
}

func (d detection) String() string {
	return fmt.Sprintf("%d to %d ms", d.first.Milliseconds(), d.last.Milliseconds())
}

// membership measures how soon the VMs detect that one was killed or frozen, and
// how often they falsely suspect a healthy VM.
func membership(ctx context.Context, h *harness) (verdict, error) {
	ok := true
	var parts []string
	for _, vms := range h.VMs {
		run, err := h.measureMembership(ctx, vms)
		if err != nil {
			return verdict{}, err
		}
		parts = append(parts, fmt.Sprintf("%d VMs: killed VM dead at the others after %s, frozen %s, %d false suspicions in %s",
			vms, run.killed, run.frozen, run.suspicions, h.Duration))
		ok = ok && run.suspicions == 0 && run.killed.last <= detectionLimit && run.frozen.last <= detectionLimit
	}
	return verdict{
		figures: strings.Join(parts, "; "),
		bound:   fmt.Sprintf("every VM knows within %d ms, 0 false suspicions", detectionLimit.Milliseconds()),
		ok:      ok,
	}, nil
}

func (h *harness) measureMembership(ctx context.Context, vms int) (membershipRun, error) {
	var run membershipRun
	d, err := h.deployment(ctx, vms/domains, nil)
	if err != nil {
		return run, err
	}
	defer d.Close()
	run.suspicions = falseSuspicions(ctx, d, h.Duration)
	victim := d.VMs[len(d.VMs)-1]
	if run.killed, err = detect(ctx, d, victim, victim.Kill); err != nil {
		return run, err
	}
	if err := d.StartVM(victim); err != nil {
		return run, err
	}
	if err := d.AwaitReady(ctx); err != nil {
		return run, err
	}
	if err := awaitAlive(ctx, d, victim); err != nil {
		return run, err
	}
	run.frozen, err = detect(ctx, d, victim, victim.Pause)
	victim.Resume()
	return run, err
}

// falseSuspicions counts the pairs of VMs of which one considered the other
// suspect or dead at any time during the duration.
func falseSuspicions(ctx context.Context, d *testkit.Deployment, duration time.Duration) int {
	var mu sync.Mutex
	suspected := map[string]struct{}{}
	var pollers sync.WaitGroup
	end := time.Now().Add(duration)
	for _, observer := range d.VMs {
		pollers.Go(func() {
			for time.Now().Before(end) {
				for _, member := range members(ctx, observer) {
					if member.State == pb.MemberState_MEMBER_STATE_SUSPECT || member.State == pb.MemberState_MEMBER_STATE_DEAD {
						mu.Lock()
						suspected[observer.ID+" "+member.Vm] = struct{}{}
						mu.Unlock()
					}
				}
				time.Sleep(pollInterval)
			}
		})
	}
	pollers.Wait()
	for pair := range suspected {
		fmt.Println("false suspicion:", pair)
	}
	return len(suspected)
}

// detect injects a fault into the victim and waits until every other VM considers
// it dead.
func detect(ctx context.Context, d *testkit.Deployment, victim *testkit.VM, injectFault func()) (detection, error) {
	began := time.Now()
	injectFault()
	result := detection{first: detectionTimeout}
	var mu sync.Mutex
	var failed error
	var pollers sync.WaitGroup
	for _, observer := range d.VMs {
		if observer == victim {
			continue
		}
		pollers.Go(func() {
			err := testkit.Poll(ctx, detectionTimeout, func() bool {
				time.Sleep(pollInterval)
				return memberState(ctx, observer, victim) == pb.MemberState_MEMBER_STATE_DEAD
			})
			took := time.Since(began)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = errors.Wrapf(err, "%s did not detect the failure of %s", observer.ID, victim.ID)
			}
			result.first = min(result.first, took)
			result.last = max(result.last, took)
		})
	}
	pollers.Wait()
	return result, failed
}

// awaitAlive waits until every VM considers the given VM alive.
func awaitAlive(ctx context.Context, d *testkit.Deployment, vm *testkit.VM) error {
	for _, observer := range d.VMs {
		err := testkit.Poll(ctx, detectionTimeout, func() bool {
			return memberState(ctx, observer, vm) == pb.MemberState_MEMBER_STATE_ALIVE
		})
		if err != nil {
			return errors.Wrapf(err, "%s does not consider %s alive", observer.ID, vm.ID)
		}
	}
	return nil
}

func memberState(ctx context.Context, observer, vm *testkit.VM) pb.MemberState {
	for _, member := range members(ctx, observer) {
		if member.Vm == vm.ID {
			return member.State
		}
	}
	return pb.MemberState_MEMBER_STATE_UNSPECIFIED
}

// members returns the membership list of a VM, or nil if the VM does not answer.
func members(ctx context.Context, observer *testkit.VM) []*pb.Member {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := observer.Admin.GetStatus(ctx, connect.NewRequest(&pb.GetStatusRequest{}))
	if err != nil {
		return nil
	}
	return status.Msg.Members
}
