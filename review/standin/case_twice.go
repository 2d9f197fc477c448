package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["twice"] = twice }

// twice sends edits, which may run once at most, to a service whose searchers are full for a
// moment. One searcher hands out a second copy of its rejection late: when the next request on
// that connection has arrived.
func twice(d *Deployment, trouble bool) (string, error) {
	const (
		rounds = 12
		// The copies are at most 3 in 100 of the garbling searcher's answers.
		readsPerRound = 60
		fullFor       = 20 * time.Millisecond
		editWork      = 60 * time.Millisecond
		timeBudget    = 5 * time.Second
	)
	var mu sync.Mutex
	fullUntil := map[string]time.Time{}
	runs := map[string][]string{}
	copies := 0
	handle := func(s *Searcher, garbles bool) func(*Connection, *Request) bool {
		return func(c *Connection, r *Request) bool {
			if r.Method == "GET" {
				return c.Succeed(r, time.Millisecond)
			}
			mu.Lock()
			if fullUntil[r.ID].IsZero() {
				fullUntil[r.ID] = time.Now().Add(fullFor)
			}
			full := time.Now().Before(fullUntil[r.ID])
			if !full {
				runs[r.ID] = append(runs[r.ID], s.ID)
			}
			mu.Unlock()
			if full {
				d.Record.Line("edit %s reaches %s, which is full: 503, not run", r.ID, s.ID)
				if garbles {
					mu.Lock()
					copies++
					mu.Unlock()
					c.Late = Message(r.ID, 503, map[string][]string{wire.NotExecuted: {"1"}}, nil)
				}
				return c.Shed(r)
			}
			d.Record.Line("edit %s runs on %s", r.ID, s.ID)
			return c.Succeed(r, editWork)
		}
	}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i, zone := range zones {
		s, err := d.AddSearcher(fmt.Sprintf("i-edit-%d", i), "editing", zone)
		if err != nil {
			return "", err
		}
		s.Handle = handle(s, trouble && i == 0)
	}
	d.Configure(3, []map[string]any{
		route("edits", "edit.example", "/edit/", "non_idempotent", "editing"),
		route("reads", "edit.example", "/read/", "idempotent", "editing"),
	}, []map[string]any{service("editing")})
	if err := d.Start(zones...); err != nil {
		return "", err
	}
	consumer := newConsumer(d.Record)
	vm := d.VMs[0]
	twiceRun, refusedRun := 0, 0
	for round := range rounds {
		for i := range readsPerRound {
			consumer.Send(vm, Ask{ID: fmt.Sprintf("read-%d-%d", round, i), Method: "GET", Host: "edit.example", Path: "/read/1", Deadline: timeBudget})
		}
		id := fmt.Sprintf("edit-%d", round)
		d.Record.Line("consumer sends edit %s to %s", id, vm.Name)
		a := consumer.Send(vm, Ask{ID: id, Method: "POST", Host: "edit.example", Path: "/edit/record", Body: payload(300), Deadline: timeBudget})
		d.Record.Line("consumer gets for edit %s: %s", id, a)
		time.Sleep(3 * editWork)
		mu.Lock()
		on := runs[id]
		mu.Unlock()
		if len(on) > 1 {
			twiceRun++
			d.Record.Say("edit %s ran %d times, on %v", id, len(on), on)
		}
		if a.Status == 503 && len(on) > 0 {
			refusedRun++
			d.Record.Say("edit %s was answered 503, not run, and ran on %v", id, on)
		}
	}
	garbler := d.Searchers[0]
	garbler.mu.Lock()
	answers := garbler.answers
	garbler.mu.Unlock()
	d.Record.Say("%d edits; %s sent %d answers and a second copy of %d of them; edits that ran more than once: %d; refused though run: %d",
		rounds, garbler.ID, answers, copies, twiceRun, refusedRun)
	if twiceRun+refusedRun > 0 {
		return fmt.Sprintf("TWICE: %d of %d edits ran more than once; REFUSED: %d were answered 503 and had run", twiceRun, rounds, refusedRun), nil
	}
	return "", nil
}
