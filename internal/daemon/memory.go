package daemon

import (
	"math"
	"runtime/debug"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// memoryShare is the share of the VM's memory above which the runtime collects garbage more
// often. The rest is left for what it does not count, such as the buffers of sockets, and for
// garbage that arises while it collects.
const memoryShare = 0.6

// limitMemory sets the memory that the runtime aims at. By default it lets garbage grow to
// the size of the memory in use, which a VM with little memory does not have.
func limitMemory(settings *pb.VmSettings) error {
	total, err := memoryBytes(settings)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(total)))
	return nil
}

// memoryBytes returns the VM's memory. A setting of 0 stands for what the operating system
// states.
func memoryBytes(settings *pb.VmSettings) (int64, error) {
	if settings.MemoryMb > 0 {
		return int64(settings.MemoryMb) << 20, nil
	}
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0, errors.Wrap(err, "memory of the VM")
	}
	return int64(info.Totalram) * int64(info.Unit), nil
}

// maxDescriptors returns the number of descriptors that the process may open: what the setting
// states, but not more than the operating system allows.
func maxDescriptors(settings *pb.VmSettings) (int64, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errors.Wrap(err, "descriptors of the VM")
	}
	allowed := int64(min(limit.Cur, math.MaxInt32))
	if settings.MaxDescriptors == 0 {
		return allowed, nil
	}
	return min(int64(settings.MaxDescriptors), allowed), nil
}
