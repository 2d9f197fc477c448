package main

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["watchers"] = watchers
	cases["gone"] = gone
}

// smallZones are the zones of the machines of casgen-reel.
var smallZones = []string{"zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c"}

// downFor is how long killed machines are down.
const downFor = 3500 * time.Millisecond

// countWatches returns the number of watches of each VM since the start; it is set up before
// the VMs are started.
func (d *Deployment) countWatches() func(vm *VM) int64 {
	counts := make([]atomic.Int64, len(d.VMs))
	index := map[*VM]int{}
	for i, vm := range d.VMs {
		index[vm] = i
		vm.StoreGate.watches.Store(&counts[i])
	}
	return func(vm *VM) int64 { return counts[index[vm]].Load() }
}

// splitZoneA returns the VMs of zone-a that watch the store, the one that doesn't, and the VMs of
// the other zones.
func (d *Deployment) splitZoneA() (watching []*VM, other *VM, elsewhere []*VM, err error) {
	watches := d.countWatches()
	time.Sleep(stableWindow + time.Second)
	for _, vm := range d.VMs {
		d.Record.Say("%s made %d watches in %s", vm.Name, watches(vm), stableWindow+time.Second)
		switch {
		case vm.Zone != "zone-a":
			elsewhere = append(elsewhere, vm)
		case watches(vm) > 0:
			watching = append(watching, vm)
		default:
			other = vm
		}
	}
	if other == nil || len(watching) != 2 {
		return nil, nil, nil, errors.New("zone-a does not have two VMs that watch the store and one that does not")
	}
	return watching, other, elsewhere, nil
}

// killFor kills the VMs and starts them again after downFor.
func (d *Deployment) killFor(vms []*VM) {
	for _, vm := range vms {
		vm.Kill()
		d.Record.Line("%s is killed", vm.Name)
	}
	time.AfterFunc(downFor, func() {
		for _, vm := range vms {
			if err := d.StartVM(vm); err != nil {
				d.Record.Say("%s did not start again: %v", vm.Name, err)
			}
		}
	})
}

// watchers cuts the two VMs of a zone that watch the store off from it, kills the VMs of the
// other zones for a while, and changes the configuration. The third VM of the zone reaches the
// store all the time.
func watchers(d *Deployment, trouble bool) (string, error) {
	const timeBudget = 5 * time.Second
	var mu sync.Mutex
	ranOn := map[string]string{}
	var leavingReached []time.Time
	searchers := map[string]*Searcher{}
	for _, service := range []string{"old", "new", "drains"} {
		for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
			s, err := d.AddSearcher(fmt.Sprintf("i-%s-%d", service, i), service, zone)
			if err != nil {
				return "", err
			}
			searchers[s.ID] = s
			s.Handle = func(c *Connection, r *Request) bool {
				mu.Lock()
				ranOn[r.ID] = s.Service
				if s.ID == "i-drains-0" {
					leavingReached = append(leavingReached, r.Arrived)
				}
				mu.Unlock()
				d.Record.Line("%s runs on %s", r.ID, s.ID)
				return c.Succeed(r, 5*time.Millisecond)
			}
		}
	}
	services := []map[string]any{service("old"), service("new"), service("drains")}
	steady := route("drains", "read.example", "/drains/", "idempotent", "drains")
	d.Configure(3, []map[string]any{route("moves", "read.example", "/moves/", "idempotent", "old"), steady}, services)
	if err := d.Start(smallZones...); err != nil {
		return "", err
	}
	watching, survivor, elsewhere, err := d.splitZoneA()
	if err != nil {
		return "", err
	}
	consumer := newConsumer(d.Record)
	get := func(id, path string) Answer {
		a := consumer.Send(survivor, Ask{ID: id, Method: "GET", Host: "read.example", Path: path, Deadline: timeBudget})
		d.Record.Line("consumer gets for %s (%s) from %s: %s", id, path, survivor.Name, a)
		return a
	}
	get("before-1", "/moves/1")
	get("before-2", "/drains/1")
	if trouble {
		for _, vm := range watching {
			vm.StoreGate.Cut()
			d.Record.Say("%s is cut off from the store", vm.Name)
		}
		time.Sleep(1600 * time.Millisecond)
		d.killFor(elsewhere)
	}
	time.Sleep(50 * time.Millisecond)
	d.Configure(5, []map[string]any{
		route("moves", "read.example", "/moves/", "idempotent", "new"), steady,
		route("added", "read.example", "/added/", "idempotent", "new"),
	}, services)
	searchers["i-drains-0"].Register("draining")
	acknowledged := time.Now()
	d.Record.Say("the store acknowledges version 5, and that i-drains-0 drains")
	stale, total := 0, 0
	for i := 0; time.Since(acknowledged) < downFor-100*time.Millisecond; i++ {
		late := time.Since(acknowledged) > configApply
		moved, added, drains := fmt.Sprintf("moved-%d", i), fmt.Sprintf("added-%d", i), fmt.Sprintf("drains-%d", i)
		get(moved, "/moves/1")
		a := get(added, "/added/1")
		get(drains, "/drains/1")
		if late {
			total += 2
			mu.Lock()
			if ranOn[moved] == "old" {
				stale++
			}
			mu.Unlock()
			if a.Status == 404 {
				stale++
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	drained := 0
	mu.Lock()
	for _, at := range leavingReached {
		if at.Sub(acknowledged) > drain {
			drained++
		}
	}
	mu.Unlock()
	d.Record.Say("requests sent later than config_apply_ms after the acknowledgement: %d, handled as only the older version allows: %d", total, stale)
	d.Record.Say("requests that reached i-drains-0 later than drain_ms after the acknowledgement: %d", drained)
	if stale+drained > 0 {
		return fmt.Sprintf("CONFIG: %d of %d requests were handled as only an older version allows; DRAIN: %d reached a searcher that drains", stale, total, drained), nil
	}
	return "", nil
}

// gone kills all VMs but one, which does not watch the store, and removes the entry of a searcher.
func gone(d *Deployment, trouble bool) (string, error) {
	const (
		timeBudget = 5 * time.Second
		work       = 30 * time.Millisecond
		together   = 16
		each       = 100 * time.Millisecond
	)
	var mu sync.Mutex
	var reached []time.Time
	var leaving *Searcher
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		s, err := d.AddSearcher(fmt.Sprintf("i-read-%d", i), "reading", zone)
		if err != nil {
			return "", err
		}
		if i == 0 {
			leaving = s
		}
		slots := make(chan struct{}, s.Slots)
		waiting := make(chan struct{}, s.Slots+12)
		s.Handle = func(c *Connection, r *Request) bool {
			if s == leaving {
				mu.Lock()
				reached = append(reached, r.Arrived)
				mu.Unlock()
				d.Record.Line("%s reaches %s", r.ID, s.ID)
			}
			select {
			case waiting <- struct{}{}:
			default:
				return c.Shed(r)
			}
			defer func() { <-waiting }()
			slots <- struct{}{}
			defer func() { <-slots }()
			return c.Succeed(r, work)
		}
	}
	d.Configure(3, []map[string]any{route("reads", "read.example", "/read/", "idempotent", "reading")}, []map[string]any{service("reading")})
	if err := d.Start(smallZones...); err != nil {
		return "", err
	}
	watching, survivor, elsewhere, err := d.splitZoneA()
	if err != nil {
		return "", err
	}
	consumer := newConsumer(d.Record)
	if trouble {
		d.killFor(append(watching, elsewhere...))
	}
	time.Sleep(50 * time.Millisecond)
	d.Store.Delete(wire.ServersPrefix + leaving.ID)
	acknowledged := time.Now()
	d.Record.Say("the store acknowledges that %s is gone; it serves on", leaving.ID)
	var all sync.WaitGroup
	for i := 0; time.Since(acknowledged) < 5*time.Second; i++ {
		for j := range together {
			all.Go(func() {
				id := fmt.Sprintf("read-%d-%d", i, j)
				a := consumer.Send(survivor, Ask{ID: id, Method: "GET", Host: "read.example", Path: "/read/1", Deadline: timeBudget})
				d.Record.Line("consumer gets for %s: %s", id, a)
			})
		}
		time.Sleep(each)
	}
	all.Wait()
	late := 0
	var last time.Duration
	mu.Lock()
	for _, at := range reached {
		if at.Sub(acknowledged) > drain {
			late++
		}
		last = max(last, at.Sub(acknowledged))
	}
	mu.Unlock()
	d.Record.Say("requests that reached %s later than drain_ms after the acknowledgement: %d, the last one after %.3f s", leaving.ID, late, last.Seconds())
	if late > 0 {
		return fmt.Sprintf("DRAIN: %d requests reached a searcher later than drain_ms after the store had acknowledged that it is gone", late), nil
	}
	return "", nil
}
