package main

import (
	"fmt"
	"time"
)

// skewMax is by how much an unstable store stretches the bound of a configuration at most.
const skewMax = 12 * time.Second

// playEra lets a server write to the store shortly before the store comes back from a copy that is some seconds
// old. The first write after that, the operator's next version, gets the revision that the server's write had. The
// server then writes again.
func playEra(rec *record, trouble bool) (bool, error) {
	p, err := newPlay(rec)
	if err != nil {
		return false, err
	}
	defer p.close()
	d := p.deployment
	copied := d.store.copyOf()
	rec.say("%s: the copy of the store is taken, revision %d", rec.since(time.Now()), copied.revision)
	time.Sleep(1500 * time.Millisecond)
	cold := d.searchers[len(d.searchers)-1]
	d.reportCold(cold, 6*time.Second)
	rec.say("%s: %s reports that it is cold again, revision %d", rec.since(time.Now()), cold.id, d.store.copyOf().revision)
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		rec.say("%s: the store is away", rec.since(time.Now()))
		d.store.close()
		time.Sleep(800 * time.Millisecond)
		d.store.restore(copied)
	}
	moved := append([]route(nil), p.routes...)
	moved[0].service = "boombeheer"
	revision := d.store.put(wire("config"), configuration(2, p.services, moved...))
	ack := time.Now()
	if trouble {
		if err := d.store.open(); err != nil {
			return false, err
		}
	}
	rec.say("%s: version 2 moves %s to boombeheer, acknowledged, revision %d", rec.since(ack), recordFor, revision)
	time.Sleep(700 * time.Millisecond)
	d.reportCold(cold, 2*time.Second)
	rec.say("%s: %s reports again, revision %d", rec.since(time.Now()), cold.id, d.store.copyOf().revision)
	time.Sleep(time.Until(ack.Add(configApply + skewMax + 8*time.Second)))
	p.stopTraffic()
	served, old := p.servedSince(ack.Add(configApply + skewMax))
	rec.say("CONFIG: of %d requests sent later than config_apply_ms + skew_max_ms after the ack of version 2 and served, %d were run by the old service", served, old)
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return old > 0, nil
}

// reportCold writes that a searcher stays cold for so long.
func (d *deployment) reportCold(s *searcher, left time.Duration) {
	d.seq++
	entry := s.entry("ready", d.seq)
	entry[wire("coldLeft")] = left.Milliseconds()
	d.store.put("servers/"+s.id, entry)
}
