package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["upload"] = upload }

// upload sends an edit whose body takes some seconds to arrive, and a searcher begins to drain
// while it does.
func upload(d *Deployment, trouble bool) (string, error) {
	const (
		rounds     = 4
		bodyBytes  = 200 << 10
		sendFor    = 3800 * time.Millisecond
		timeBudget = 5 * time.Second
	)
	type arrival struct {
		id, searcher string
		at           time.Time
	}
	var mu sync.Mutex
	var arrivals []arrival
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i, zone := range zones {
		s, err := d.AddSearcher(fmt.Sprintf("i-edit-%d", i), "editing", zone)
		if err != nil {
			return "", err
		}
		s.Handle = func(c *Connection, r *Request) bool {
			mu.Lock()
			arrivals = append(arrivals, arrival{r.ID, s.ID, r.Arrived})
			mu.Unlock()
			d.Record.Line("%s reaches %s and runs", r.ID, s.ID)
			return c.Succeed(r, 60*time.Millisecond)
		}
	}
	d.Configure(3, []map[string]any{route("edits", "edit.example", "/edit/", "non_idempotent", "editing")},
		[]map[string]any{service("editing")})
	if err := d.Start(zones...); err != nil {
		return "", err
	}
	// VMs are in touch after the stable window.
	time.Sleep(stableWindow)
	consumer := newConsumer(d.Record)
	leaving, late := d.Searchers[0], 0
	for round := range rounds {
		id := fmt.Sprintf("edit-%d", round)
		var acknowledged time.Time
		done := make(chan struct{})
		go func() {
			time.Sleep(300 * time.Millisecond)
			if trouble {
				leaving.Register("draining")
				acknowledged = time.Now()
				d.Record.Line("the store acknowledges that %s drains", leaving.ID)
			}
			close(done)
		}()
		d.Record.Line("consumer begins to send %s", id)
		a := consumer.Send(d.VMs[0], Ask{ID: id, Method: "POST", Host: "edit.example", Path: "/edit/record", Body: payload(bodyBytes), SendFor: sendFor, Deadline: timeBudget})
		d.Record.Line("consumer gets for %s: %s", id, a)
		<-done
		mu.Lock()
		for _, at := range arrivals {
			if at.id == id && trouble && at.searcher == leaving.ID && at.at.Sub(acknowledged) > drain {
				late++
				d.Record.Say("%s reached %s %.3f s after the acknowledgement", id, leaving.ID, at.at.Sub(acknowledged).Seconds())
			}
		}
		mu.Unlock()
		if trouble {
			// The searcher has left, and another start of it takes its place.
			time.Sleep(500 * time.Millisecond)
			leaving.mu.Lock()
			leaving.born, leaving.sequence = time.Now().UnixMilli(), 0
			leaving.mu.Unlock()
			leaving.Register("ready")
			time.Sleep(time.Second)
		}
	}
	if late > 0 {
		return fmt.Sprintf("DRAIN: %d of %d requests reached the searcher later than drain_ms after the store had acknowledged that it drains", late, rounds), nil
	}
	return "", nil
}
