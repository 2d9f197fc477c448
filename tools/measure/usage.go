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
	// clockTick is the unit of processor times under /proc.
	clockTick = 10 * time.Millisecond
	kbPerMB   = 1024
	// Places after the closing bracket of /proc/PID/stat, from 0.
	statUser, statSystem = 11, 12
)

// processorTime returns the processor time that all VMs have used.
func processorTime(d *testkit.Deployment) time.Duration {
	var sum time.Duration
	for _, vm := range d.VMs {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", vm.PID()))
		if err != nil {
			continue
		}
		fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
		for _, place := range []int{statUser, statSystem} {
			ticks, _ := strconv.ParseInt(fields[place], 10, 64)
			sum += time.Duration(ticks) * clockTick
		}
	}
	return sum
}

// residentMB returns the mean resident memory of a VM in MB.
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

// relayed returns the bytes that passed between VMs, in both directions.
func relayed(counters *standinv1.GetCountersResponse) uint64 {
	var sum uint64
	for _, relay := range counters.Relays {
		sum += relay.Bytes
	}
	return sum
}
