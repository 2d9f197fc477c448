package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"sync"
	"time"
)

const (
	// valueBytes is the greatest value that the store takes, and applyTime the time in which a
	// configuration has to be in force.
	valueBytes = 1048576
	applyTime  = 3 * time.Second
)

// caseKeys: the configuration holds many keys, fewer than the store takes, and a version moves a
// route to another service and takes a key away.
func caseKeys(trouble bool) int {
	const watched = 20 * time.Second
	tenants, keys := 40, 800
	if !trouble {
		tenants, keys = 76, 2
	}
	d := newDeployment()
	d.extra["vm"] = machineSettings
	for i := range machines {
		d.addVM(zones[i%len(zones)])
	}
	var searchers []*searcher
	for _, service := range []string{"desk", "gate"} {
		for i := range 6 {
			s := startSearcher(fmt.Sprintf("i-%s%d", service, i), service, zones[i%len(zones)], 3, 12, 20*time.Millisecond, []byte("record of "+service))
			searchers = append(searchers, s)
			s.register(d.store, "ready", 1)
		}
	}
	var list []map[string]any
	for t := range tenants {
		var held []string
		for k := range keys {
			held = append(held, fmt.Sprintf("p4zhpfd4n8h%04d%05d", t, k))
		}
		list = append(list, map[string]any{"name": fmt.Sprintf("tenant%d", t), wire["keys"]: held, "priority": 0})
	}
	version := func(number int, service string) map[string]any {
		c := config("idempotent", "/fetch/")
		c["version"], c["tenants"] = number, list
		if service == "gate" {
			first := maps.Clone(list[0])
			first[wire["keys"]] = list[0][wire["keys"]].([]string)[1:]
			c["tenants"] = append([]map[string]any{first}, list[1:]...)
		}
		routes := c["routes"].([]map[string]any)
		routes[1]["service"] = service
		c["routes"] = routes[1:]
		return c
	}
	text, err := json.Marshal(version(8, "gate"))
	must(err)
	note("the configuration has %d keys and %d bytes, of %d allowed", tenants*keys, len(text), valueBytes)
	if len(text) > valueBytes {
		return cannotRun
	}
	d.store.put(wire["config"], version(7, "desk"))
	d.startAll()
	if !d.awaitReady(20 * time.Second) {
		return cannotRun
	}
	time.Sleep(15 * time.Second)
	d.store.put(wire["config"], version(8, "gate"))
	ack := time.Now()
	note("the store has acknowledged version 8, which moves the route from desk to gate and takes a key away")
	type tally struct {
		late, old, withdrawn int
		last                 time.Duration
	}
	tallies := make([]tally, machines)
	var callers sync.WaitGroup
	for i, v := range d.vms {
		callers.Go(func() {
			for time.Since(ack) < watched {
				sentAt := time.Since(ack)
				held := list[0][wire["keys"]].([]string)
				a := send("127.0.0.2", v.front, "GET", "/fetch/2f", nil, 2*time.Second, held[1])
				b := send("127.0.0.2", v.front, "GET", "/fetch/2f", nil, 2*time.Second, held[0])
				if sentAt > applyTime {
					tallies[i].late += 2
					if string(a.body) == "record of desk" {
						tallies[i].old++
						tallies[i].last = sentAt
					}
					if b.status == 200 {
						tallies[i].withdrawn++
						tallies[i].last = sentAt
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	result := held
	for i, v := range d.vms {
		note("%s: ready %v; %d requests sent later than %s after the acknowledgement, %d of them run by the old service, %d with the withdrawn key, the last sent after %s",
			v.name, v.isReady(), tallies[i].late, applyTime, tallies[i].old, tallies[i].withdrawn, tallies[i].last.Round(time.Millisecond))
		if tallies[i].old+tallies[i].withdrawn > 0 {
			result = broken
		}
	}
	return result
}
