package daemon

import (
	"runtime/debug"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// memoryShare is the share of the VM's memory above which the runtime collects garbage more
// often. The rest is left for what it does not count, such as the buffers of sockets, and for
// garbage that arises while it collects.
const memoryShare = 0.6

// limitMemory sets the memory that the runtime aims at. By default it lets garbage grow to
// the size of the memory in use, which a VM with little memory does not have. A size of 0
// stands for what the operating system states.
func limitMemory(megabytes uint32) error {
	total := uint64(megabytes) << 20
	if total == 0 {
		var info unix.Sysinfo_t
		if err := unix.Sysinfo(&info); err != nil {
			return errors.Wrap(err, "memory of the VM")
		}
		total = info.Totalram * uint64(info.Unit)
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(total)))
	return nil
}
