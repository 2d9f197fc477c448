package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// crashPath is the path of the request that crashes the searchers that run it.
const crashPath = recordFor + "crashing"

// editFor is the prefix of the requests that may not be repeated.
const editFor = "/edit/"

// mostRetries is the number of retries in which a crashing request may reach searchers.
const mostRetries = 3

// playCrashing sends a request that crashes servers, kills all machines at once, and lets the consumer repeat the
// request long after all machines are back.
func playCrashing(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec)
	if err != nil {
		return false, err
	}
	defer d.close()
	stamkaart := route{name: "stamkaart", host: host, prefix: recordFor, service: "boombeheer", idempotent: true, timeoutMs: 2500}
	edit := route{name: "edit", host: host, prefix: editFor, service: "boombeheer", timeoutMs: 2500}
	d.store.put(wire("config"), configuration(1, []string{"boombeheer"}, stamkaart, edit))
	zones := []string{"nl-west-a", "nl-west-b", "nl-west-c"}
	for i := range 9 {
		s, err := d.addSearcher("boombeheer", zones[i%3], 100*time.Millisecond)
		if err != nil {
			return false, err
		}
		s.crashOn, s.crashTime = crashPath, 3*time.Second
		s.onBoot = func() { d.report(s, "ready") }
	}
	var front []string
	for i := range 9 {
		front = append(front, zones[i%3])
	}
	if err := d.startMachines(front...); err != nil {
		return false, err
	}
	ready, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	if err := d.awaitReady(ready); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	p := &play{deployment: d, users: newConsumers(d), services: []string{"boombeheer"}}
	var traffic context.Context
	traffic, p.stop = context.WithCancel(context.Background())
	p.streams.Go(func() { p.users.stream(traffic, d.machines, 45, http.MethodGet, recordFor+"1", 2500*time.Millisecond) })
	p.streams.Go(func() { p.users.stream(traffic, d.machines, 45, http.MethodPost, editFor+"1", 2500*time.Millisecond) })
	defer p.stopTraffic()
	time.Sleep(2 * time.Second)
	rec.say("%s: the crashing request is sent to five machines", rec.since(time.Now()))
	p.sendAtOnce(d.machines[:5]...)
	last, err := d.lastCrash()
	if err != nil {
		return false, err
	}
	rec.say("%s: it has crashed three searchers or more, the last one then", rec.since(last))
	time.Sleep(stableWindow + 4*time.Second)
	if trouble {
		rec.say("%s: all machines are killed", rec.since(time.Now()))
		for _, m := range d.machines {
			m.kill()
		}
		time.Sleep(500 * time.Millisecond)
		for _, m := range d.machines {
			if err := m.start(); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(stableWindow + 6*time.Second)
	rec.say("%s: the consumer repeats the request at all machines, twice at each", rec.since(time.Now()))
	from := time.Now()
	p.sendAtOnce(append(d.machines, d.machines...)...)
	retries, arrivals := map[string]bool{}, 0
	for _, s := range d.searchers {
		for _, a := range s.seen() {
			if a.path == crashPath && a.at.After(from) {
				retries[a.id] = true
				arrivals++
			}
		}
	}
	rec.say("BUDGET: later than stable_window_ms after the third crash the request reached searchers in %d retries (%d arrivals)", len(retries), arrivals)
	p.stopTraffic()
	rec.say("of the edits that other consumers sent meanwhile, %d ran and got no answer of a searcher", p.lostEdits(from))
	return len(retries) > mostRetries, nil
}

// lostEdits returns the number of edits, sent shortly before the given time or later, that ran although their
// consumers got neither a success nor a searcher's answer.
func (p *play) lostEdits(from time.Time) int {
	ran := map[string]bool{}
	for _, s := range p.deployment.searchers {
		for _, a := range s.seen() {
			ran[a.id] = true
		}
	}
	lost := 0
	for _, e := range p.users.all() {
		if e.method == http.MethodPost && e.sentAt.After(from.Add(-time.Second)) && e.seal == "" && ran[e.id] {
			lost++
		}
	}
	return lost
}

// sendAtOnce sends the crashing request to the given machines at once, and waits for the answers.
func (p *play) sendAtOnce(machines ...*machine) {
	var running sync.WaitGroup
	for _, m := range machines {
		running.Go(func() { p.users.send(m, http.MethodGet, host, crashPath, "", 2500*time.Millisecond) })
	}
	running.Wait()
}

// lastCrash returns when the last searcher crashed, and an error if fewer than three did.
func (d *deployment) lastCrash() (time.Time, error) {
	var last time.Time
	crashed := 0
	for _, s := range d.searchers {
		s.mu.Lock()
		for _, at := range s.crashes {
			crashed++
			if at.After(last) {
				last = at
			}
		}
		s.mu.Unlock()
	}
	if crashed < 3 {
		return last, fmt.Errorf("the request crashed %d searchers only", crashed)
	}
	return last, nil
}
