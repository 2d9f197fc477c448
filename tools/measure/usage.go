package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

const (
	// clockTick is the unit of CPU times under /proc.
	clockTick = 10 * time.Millisecond
	kbPerMB   = 1024
	// Zero-based indexes of the user and system time among the fields that follow
	// the parenthesized command name in /proc/PID/stat.
	utimeIndex, stimeIndex = 11, 12
)

// cpuTime returns the total CPU time that all VMs have used.
func cpuTime(d *testkit.Deployment) time.Duration {
	var sum time.Duration
	for _, vm := range d.VMs {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", vm.PID()))
		if err != nil {
			continue
		}
		fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
		for _, index := range []int{utimeIndex, stimeIndex} {
			ticks, _ := strconv.ParseInt(fields[index], 10, 64)
			sum += time.Duration(ticks) * clockTick
		}
	}
	return sum
}

// residentMB returns the mean resident set size of the VMs in MB.
func residentMB(d *testkit.Deployment) float64 {
	sum := 0.0
	for _, vm := range d.VMs {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", vm.PID()))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
			if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
				kb, _ := strconv.ParseFloat(strings.Fields(value)[0], 64)
				sum += kb / kbPerMB
			}
		}
	}
	return sum / float64(len(d.VMs))
}

// relayedBytes returns the bytes sent between VMs through relays, in both
// directions.
func relayedBytes(counters *standinv1.GetCountersResponse) uint64 {
	var sum uint64
	for _, relay := range counters.Relays {
		sum += relay.Bytes
	}
	return sum
}
