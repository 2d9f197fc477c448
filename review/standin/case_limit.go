package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["limit"] = limit }

// limit lets a searcher name a limit in all its answers, keeps its route idle for a while, and
// sends a burst of requests then.
func limit(d *Deployment, trouble bool) (string, error) {
	const (
		perSecond  = 2.0
		idle       = 40 * time.Second
		burst      = 60
		timeBudget = 5 * time.Second
	)
	var mu sync.Mutex
	var arrivals []time.Time
	s, err := d.AddSearcher("i-read-0", "reading", "zone-a")
	if err != nil {
		return "", err
	}
	s.Handle = func(c *Connection, r *Request) bool {
		mu.Lock()
		arrivals = append(arrivals, r.Arrived)
		mu.Unlock()
		d.Record.Line("%s reaches %s", r.ID, s.ID)
		time.Sleep(60 * time.Millisecond)
		return c.Reply(r, 200, map[string][]string{wire.Seal: {s.Seal(r)}, wire.Limit: {fmt.Sprint(perSecond)}}, []byte("answer"))
	}
	d.Configure(3, []map[string]any{route("reads", "read.example", "/read/", "idempotent", "reading")}, []map[string]any{service("reading")})
	if err := d.Start("zone-a", "zone-b", "zone-c"); err != nil {
		return "", err
	}
	consumer := newConsumer(d.Record)
	// Each VM passes on answers that name the limit.
	for i := range 6 {
		a := consumer.Send(d.VMs[i%3], Ask{ID: fmt.Sprintf("first-%d", i), Method: "GET", Host: "read.example", Path: "/read/1", Deadline: timeBudget})
		d.Record.Say("first-%d: %s", i, a)
		time.Sleep(700 * time.Millisecond)
	}
	pause := idle
	if !trouble {
		pause = 5 * time.Second
	}
	time.Sleep(pause)
	var all sync.WaitGroup
	for i := range burst {
		all.Go(func() {
			a := consumer.Send(d.VMs[i%3], Ask{ID: fmt.Sprintf("burst-%d", i), Method: "GET", Host: "read.example", Path: "/read/1", Deadline: timeBudget})
			d.Record.Line("burst-%d: %s", i, a)
		})
	}
	all.Wait()
	most := 0
	for i := range arrivals {
		n := 0
		for _, at := range arrivals[i:] {
			if at.Sub(arrivals[i]) < 4*time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	bound := int(1.5*perSecond*4) + 5
	d.Record.Say("most requests in 4 s: %d, bound %d", most, bound)
	if most > bound {
		return fmt.Sprintf("LIMIT: %d requests in 4 s; %d are allowed", most, bound), nil
	}
	return "", nil
}
