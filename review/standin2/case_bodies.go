package main

import (
	"bytes"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// caseBodies: a crowd sends bodies of legal size to a route that gathers, to two machines, a few
// times each. The platform kills a process that takes more than the memory of its machine, and
// starts it again.
func caseBodies(trouble bool) int {
	const (
		crowd  = 185
		rounds = 9
		beset  = 2
		enough = 3
		// each caller of the crowd sends so many requests, one after the other.
		each         = 4
		restartDelay = time.Second
		deadline     = 1200 * time.Millisecond
	)
	d := newDeployment()
	d.extra["vm"] = machineSettings
	for i := range machines {
		d.addVM(zones[i%len(zones)])
	}
	for i := range shards {
		for j, zone := range zones {
			s := startSearcher(fmt.Sprintf("i-%02d%s", i, zone), fmt.Sprintf("ledger%d", i), zone, 3, 18, 15*time.Millisecond, someRecords(byte('a'+i), 25))
			s.pauseEvery, s.pauseFor = 3600*time.Millisecond, 150*time.Millisecond
			s.offset = time.Duration(i*97+j*1201) * time.Millisecond
			s.register(d.store, "ready", 1)
		}
	}
	d.store.put(wire["config"], config("idempotent", "/fetch/"))
	d.startAll()
	if !d.awaitReady(20 * time.Second) {
		return cannotRun
	}
	time.Sleep(4 * time.Second)
	size := maxBodyBytes
	if !trouble {
		size = 300
	}
	body := bytes.Repeat([]byte("a"), size)
	ends := map[string]int{}
	for round := range rounds {
		for _, v := range d.vms[:beset] {
			if ends[v.name] == enough {
				continue
			}
			before := send("127.0.0.2", v.front, "GET", "/sweep/2f", nil, deadline)
			now, _ := v.memory()
			note("round %d, %s: %d MB; an ordinary request gets %d, missing parts %q", round+1, v.name, now, before.status, before.header.Get(wire["missing"]))
			if before.status != 200 {
				return cannotRun
			}
			stop := make(chan struct{})
			killed := make(chan int, 1)
			go func() { killed <- d.platformWatches(v, stop) }()
			statuses := map[int]int{}
			var mu sync.Mutex
			var callers sync.WaitGroup
			for i := range crowd {
				callers.Go(func() {
					for range each {
						if v.hasEnded() {
							return
						}
						a := send(fmt.Sprintf("127.0.1.%d", 1+i%7), v.front, "POST", "/sweep/2f", body, deadline)
						mu.Lock()
						statuses[a.status]++
						mu.Unlock()
					}
				})
			}
			callers.Wait()
			time.Sleep(300 * time.Millisecond)
			close(stop)
			at := <-killed
			note("  %d callers, bodies of %d bytes, of %d allowed: answers by status (0: none) %v", crowd, size, maxBodyBytes, statuses)
			if at == 0 {
				_, peak := v.memory()
				note("  the process took %d MB at most, of %d MB", peak, memoryMB)
				continue
			}
			ends[v.name]++
			note("  the process took %d MB, of %d MB, and was killed", at, memoryMB)
			time.Sleep(restartDelay)
			d.start(v)
			if !v.awaitReady(15 * time.Second) {
				return cannotRun
			}
		}
	}
	note("ends of processes: %v; a fault if processes of %d of %d machines end %d times", ends, beset, machines, enough)
	faulty := 0
	for _, n := range ends {
		if n >= enough {
			faulty++
		}
	}
	if faulty >= beset {
		return broken
	}
	return held
}

// platformWatches kills the VM's process when it takes more than the machine's memory, and returns
// what it took then; 0 if it did not until the channel is closed.
func (d *deployment) platformWatches(v *vm, stop <-chan struct{}) int {
	for {
		select {
		case <-stop:
			return 0
		case <-time.After(2 * time.Millisecond):
		}
		if now, _ := v.memory(); now > memoryMB {
			v.signal(syscall.SIGKILL)
			<-v.ended
			return now
		}
	}
}
