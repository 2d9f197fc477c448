package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

func init() { cases["crash"] = crash }

// crash sends a request again and again that crashes each searcher which begins to run it. The
// searchers send the head of an answer without a length before they work on it, unless HEAD=0.
func crash(d *Deployment, trouble bool) (string, error) {
	const (
		retries    = 20
		downFor    = 3 * time.Second
		timeBudget = 5 * time.Second
	)
	var mu sync.Mutex
	var crashes []time.Time
	reached := map[string]bool{}
	reachedAt := map[string]time.Time{}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i := range 9 {
		s, err := d.AddSearcher(fmt.Sprintf("i-read-%d", i), "reading", zones[i%3])
		if err != nil {
			return "", err
		}
		s.Handle = func(c *Connection, r *Request) bool {
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nConnection: close\r\n\r\n", wire.AttemptID, r.ID, wire.Seal, s.Seal(r))
			if r.URI != "/read/poison" {
				time.Sleep(5 * time.Millisecond)
				_, _ = c.Write([]byte(head + "answer"))
				return false
			}
			mu.Lock()
			reached[r.ID] = true
			if _, ok := reachedAt[r.ID]; !ok {
				reachedAt[r.ID] = time.Now()
			}
			mu.Unlock()
			if !trouble {
				_, _ = c.Write([]byte(head + "answer"))
				return false
			}
			d.Record.Line("%s begins to run %s, and crashes", s.ID, r.ID)
			if os.Getenv("HEAD") != "0" {
				_, _ = c.Write([]byte(head))
			}
			time.Sleep(5 * time.Millisecond)
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			s.Crash()
			time.AfterFunc(downFor, func() {
				if err := s.Restart(); err != nil {
					d.Record.Say("%s did not come back: %v", s.ID, err)
				}
			})
			return false
		}
	}
	d.Configure(3, []map[string]any{route("reads", "read.example", "/read/", "idempotent", "reading")}, []map[string]any{service("reading")})
	if err := d.Start(zones...); err != nil {
		return "", err
	}
	time.Sleep(stableWindow)
	consumer := newConsumer(d.Record)
	for i := range retries {
		for j := range 5 {
			consumer.Send(d.VMs[j%3], Ask{ID: fmt.Sprintf("other-%d-%d", i, j), Method: "GET", Host: "read.example", Path: "/read/1", Deadline: timeBudget})
		}
		id := fmt.Sprintf("poison-%d", i)
		a := consumer.Send(d.VMs[i%3], Ask{ID: id, Method: "GET", Host: "read.example", Path: "/read/poison", Deadline: timeBudget})
		d.Record.Line("consumer gets for %s: %s", id, a)
		time.Sleep(time.Second)
	}
	late := 0
	mu.Lock()
	defer mu.Unlock()
	for id, at := range reachedAt {
		if len(crashes) >= 3 && at.Sub(crashes[2]) > stableWindow {
			late++
			d.Record.Line("%s reached a searcher %.1f s after the third crash", id, at.Sub(crashes[2]).Seconds())
		}
	}
	d.Record.Say("%d crashes; retries that reached a searcher later than %s after the third: %d", len(crashes), stableWindow, late)
	if late > 3 {
		return fmt.Sprintf("BUDGET: %d retries of a request that crashes searchers reached one later than stable_window_ms after the third crash", late), nil
	}
	return "", nil
}
