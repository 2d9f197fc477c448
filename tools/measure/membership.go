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
	// detectionLimit is the time in which every VM that is left knows of a VM that
	// was killed or frozen.
	detectionLimit = 3 * time.Second
	// detectionWatch is how long a detection is waited for.
	detectionWatch = 20 * time.Second
	statusTimeout  = time.Second
)

// membershipRun is what one number of VMs came to.
type membershipRun struct {
	killed, frozen detection
	// suspicions counts VMs that another VM held for suspect or dead although
	// nothing was wrong.
	suspicions int
}

// detection is the time until the first and the last VM held another for dead.
type detection struct {
	first, last time.Duration
}

func (d detection) String() string {
	return fmt.Sprintf("%d to %d ms", d.first.Milliseconds(), d.last.Milliseconds())
}

// membership measures how soon the VMs know that one was killed or frozen, and
// how often they suspect a VM that nothing happened to.
func membership(ctx context.Context, l *lab) (verdict, error) {
	ok := true
	var parts []string
	for _, vms := range l.VMs {
		run, err := l.membershipRun(ctx, vms)
		if err != nil {
			return verdict{}, err
		}
		parts = append(parts, fmt.Sprintf("%d VMs: killed VM dead at the others after %s, frozen %s, %d false suspicions in %s",
			vms, run.killed, run.frozen, run.suspicions, l.Duration))
		ok = ok && run.suspicions == 0 && run.killed.last <= detectionLimit && run.frozen.last <= detectionLimit
	}
	return verdict{
		figures: strings.Join(parts, "; "),
		bound:   fmt.Sprintf("every VM knows within %d ms, 0 false suspicions", detectionLimit.Milliseconds()),
		ok:      ok,
	}, nil
}

func (l *lab) membershipRun(ctx context.Context, vms int) (membershipRun, error) {
	var run membershipRun
	d, err := l.deployment(ctx, vms/domains, nil)
	if err != nil {
		return run, err
	}
	defer d.Close()
	run.suspicions = falseSuspicions(ctx, d, l.Duration)
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

// falseSuspicions counts the pairs of VMs of which one held the other for
// suspect or dead during the duration.
func falseSuspicions(ctx context.Context, d *testkit.Deployment, duration time.Duration) int {
	var mu sync.Mutex
	suspected := map[string]struct{}{}
	var asking sync.WaitGroup
	end := time.Now().Add(duration)
	for _, at := range d.VMs {
		asking.Go(func() {
			for time.Now().Before(end) {
				for _, member := range members(ctx, at) {
					if member.State == pb.MemberState_MEMBER_STATE_SUSPECT || member.State == pb.MemberState_MEMBER_STATE_DEAD {
						mu.Lock()
						suspected[at.ID+" "+member.Vm] = struct{}{}
						mu.Unlock()
					}
				}
				time.Sleep(pollPause)
			}
		})
	}
	asking.Wait()
	for pair := range suspected {
		fmt.Println("false suspicion:", pair)
	}
	return len(suspected)
}

// detect disturbs a VM and waits until every other holds it for dead.
func detect(ctx context.Context, d *testkit.Deployment, victim *testkit.VM, disturb func()) (detection, error) {
	began := time.Now()
	disturb()
	found := detection{first: detectionWatch}
	var mu sync.Mutex
	var failed error
	var asking sync.WaitGroup
	for _, at := range d.VMs {
		if at == victim {
			continue
		}
		asking.Go(func() {
			err := testkit.Poll(ctx, detectionWatch, func() bool {
				time.Sleep(pollPause)
				return stateAt(ctx, at, victim) == pb.MemberState_MEMBER_STATE_DEAD
			})
			took := time.Since(began)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = errors.Wrapf(err, "%s does not know of %s", at.ID, victim.ID)
			}
			found.first = min(found.first, took)
			found.last = max(found.last, took)
		})
	}
	asking.Wait()
	return found, failed
}

// awaitAlive waits until every VM holds the VM for alive.
func awaitAlive(ctx context.Context, d *testkit.Deployment, vm *testkit.VM) error {
	for _, at := range d.VMs {
		err := testkit.Poll(ctx, detectionWatch, func() bool {
			return stateAt(ctx, at, vm) == pb.MemberState_MEMBER_STATE_ALIVE
		})
		if err != nil {
			return errors.Wrapf(err, "%s does not know of %s", at.ID, vm.ID)
		}
	}
	return nil
}

func stateAt(ctx context.Context, at, vm *testkit.VM) pb.MemberState {
	for _, member := range members(ctx, at) {
		if member.Vm == vm.ID {
			return member.State
		}
	}
	return pb.MemberState_MEMBER_STATE_UNSPECIFIED
}

// members returns what a VM holds of the others, or nothing when it does not
// answer.
func members(ctx context.Context, at *testkit.VM) []*pb.Member {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := at.Admin.GetStatus(ctx, connect.NewRequest(&pb.GetStatusRequest{}))
	if err != nil {
		return nil
	}
	return status.Msg.Members
}
