package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the small deployments.
const (
	stableWindow = 4 * time.Second
	configApply  = 3 * time.Second
	evacuate     = 5 * time.Second
	drainTime    = 3 * time.Second
)

const (
	host      = "front.example"
	recordFor = "/record/"
)

// play is a small deployment with two services of four searchers each, one machine in each zone, and traffic on
// one route to the first service.
type play struct {
	deployment *deployment
	users      *consumers
	services   []string
	routes     []route
	stop       context.CancelFunc
	streams    sync.WaitGroup
}

func newPlay(rec *record) (*play, error) {
	d, err := newDeployment(rec)
	if err != nil {
		return nil, err
	}
	p := &play{deployment: d, services: []string{"erfgenaam", "boombeheer"}, stop: func() {}}
	p.routes = []route{{name: "stamkaart", host: host, prefix: recordFor, service: "erfgenaam", idempotent: true, timeoutMs: 2500}}
	if err := p.begin(); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

func (p *play) begin() error {
	d := p.deployment
	d.store.put(wire("config"), configuration(1, p.services, p.routes...))
	zones := []string{"nl-west-a", "nl-west-b", "nl-west-c"}
	for _, service := range p.services {
		for _, zone := range []string{zones[0], zones[1], zones[2], zones[1]} {
			if _, err := d.addSearcher(service, zone, 20*time.Millisecond); err != nil {
				return err
			}
		}
	}
	if err := d.startMachines(zones...); err != nil {
		return err
	}
	ready, cancelReady := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancelReady()
	if err := d.awaitReady(ready); err != nil {
		return err
	}
	// Traffic starts some seconds after the machines do.
	time.Sleep(5 * time.Second)
	p.users = newConsumers(d)
	var traffic context.Context
	traffic, p.stop = context.WithCancel(context.Background())
	p.streams.Go(func() { p.users.stream(traffic, d.machines, 45, http.MethodGet, recordFor+"1", 2500*time.Millisecond) })
	time.Sleep(2 * time.Second)
	return nil
}

func (p *play) stopTraffic() {
	p.stop()
	p.streams.Wait()
}

func (p *play) close() {
	p.stopTraffic()
	p.deployment.close()
}

// servedSince returns how many of the requests that were sent later than the given time were served, and how many
// of these by the first service.
func (p *play) servedSince(since time.Time) (served, byFirst int) {
	for _, e := range p.users.all() {
		if e.sentAt.Before(since) || e.status != http.StatusOK {
			continue
		}
		served++
		if strings.HasPrefix(e.body, p.services[0]+" ") {
			byFirst++
		}
	}
	return served, byFirst
}

// playDrill lets the operator change the configuration some times in quick succession. Then the store is away for
// a moment and comes back from a copy some seconds old; the operator writes its newest configuration again. Long
// after that the operator moves a route to another service, takes a zone out of service, and a searcher drains.
func playDrill(rec *record, trouble bool) (bool, error) {
	p, err := newPlay(rec)
	if err != nil {
		return false, err
	}
	defer p.close()
	d, services, routes, version := p.deployment, p.services, p.routes, 1

	copied := d.store.copyOf()
	rec.say("%s: the copy of the store is taken, revision %d", rec.since(time.Now()), copied.revision)
	for range 8 {
		time.Sleep(330 * time.Millisecond)
		version++
		routes = append(routes, route{
			name: fmt.Sprintf("extra-%d", version), host: host, prefix: fmt.Sprintf("/extra-%d/", version), service: "boombeheer",
			idempotent: true, timeoutMs: 2500,
		})
		revision := d.store.put(wire("config"), configuration(version, services, routes...))
		rec.say("%s: version %d of the configuration is acknowledged, revision %d", rec.since(time.Now()), version, revision)
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		rec.say("%s: the store is away", rec.since(time.Now()))
		d.store.close()
		time.Sleep(800 * time.Millisecond)
		d.store.restore(copied)
		if err := d.store.open(); err != nil {
			return false, err
		}
		// The operator writes its newest configuration again. The servers' entries are in the copy.
		revision := d.store.put(wire("config"), configuration(version, services, routes...))
		rec.say("%s: the store is back from the copy; version %d is written again, revision %d", rec.since(time.Now()), version, revision)
	}
	time.Sleep(stableWindow + 4*time.Second)
	return p.changeAndCheck(version, routes)
}

// changeAndCheck makes three changes, each acknowledged while the store is stable, and checks that they are in
// force after their bounds.
func (p *play) changeAndCheck(version int, routes []route) (bool, error) {
	d, rec, services := p.deployment, p.deployment.rec, p.services
	moved := append([]route(nil), routes...)
	moved[0].service = "boombeheer"
	version++
	revision := d.store.put(wire("config"), configuration(version, services, moved...))
	configAck := time.Now()
	rec.say("%s: version %d moves %s to boombeheer, acknowledged, revision %d", rec.since(configAck), version, recordFor, revision)

	d.store.put(wire("evacuation")+"nl-west-b", map[string]any{})
	evacuationAck := time.Now()
	rec.say("%s: the evacuation of nl-west-b is acknowledged", rec.since(evacuationAck))

	leaving := d.searchers[2]
	d.report(leaving, "draining")
	drainAck := time.Now()
	rec.say("%s: %s reports draining, acknowledged", rec.since(drainAck), leaving.id)

	time.Sleep(10 * time.Second)
	p.stopTraffic()
	served, old := p.servedSince(configAck.Add(configApply))
	inZone, atLeaving := 0, 0
	for _, s := range d.searchers {
		for _, a := range s.seen() {
			if s.zone == "nl-west-b" && a.at.After(evacuationAck.Add(evacuate)) {
				inZone++
			}
			if s == leaving && a.at.After(drainAck.Add(drainTime)) {
				atLeaving++
			}
		}
	}
	rec.say("CONFIG: of %d requests sent later than config_apply_ms after the ack of version %d and served, %d were run by the old service", served, version, old)
	rec.say("EVAC: %d requests reached searchers in nl-west-b later than evacuate_ms after the ack", inZone)
	rec.say("DRAIN: %d requests reached the draining searcher later than drain_ms after the ack", atLeaving)
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return old > 0 || inZone > 0 || atLeaving > 0, nil
}
