package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["mixed"] = mixed }

// mixed sends edits to a service of which one searcher spoils some answers: a byte in the name
// of the header with the receipt is wrong, or the body comes in an encoding.
func mixed(d *Deployment, trouble bool) (string, error) {
	const (
		edits      = 1500
		spoilEach  = 50
		timeBudget = 5 * time.Second
	)
	var mu sync.Mutex
	answered, spoiled := 0, 0
	whole := map[string][]byte{}
	garble := func(s *Searcher) func(*Connection, *Request) bool {
		return func(c *Connection, r *Request) bool {
			time.Sleep(time.Millisecond)
			body := []byte("answer of " + s.ID + " to " + r.ID)
			header := http.Header{wire.Seal: {s.Seal(r)}}
			mu.Lock()
			answered++
			whole[r.ID] = body
			spoil := trouble && s.ID == "i-edit-0" && answered%spoilEach == 0
			if spoil {
				spoiled++
			}
			n := spoiled
			mu.Unlock()
			switch {
			case spoil && n%2 == 1:
				d.Record.Line("%s runs %s; a byte of the receipt's header name is wrong in its answer", s.ID, r.ID)
				name := []byte(wire.Seal)
				name[len(name)-1] = '1'
				header = http.Header{string(name): {s.Seal(r)}}
			case spoil:
				d.Record.Line("%s runs %s; its answer has a Content-Encoding", s.ID, r.ID)
				header["Content-Encoding"] = []string{"gzip"}
				body = []byte("\x1f\x8b\x08 broken")
			}
			return c.Reply(r, 200, header, body)
		}
	}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i, zone := range zones {
		s, err := d.AddSearcher(fmt.Sprintf("i-edit-%d", i), "editing", zone)
		if err != nil {
			return "", err
		}
		s.Handle = garble(s)
	}
	d.Configure(3, []map[string]any{route("edits", "edit.example", "/edit/", "non_idempotent", "editing")},
		[]map[string]any{service("editing")})
	if err := d.Start(zones...); err != nil {
		return "", err
	}
	consumer := newConsumer(d.Record)
	sealless, encoded := 0, 0
	for i := range edits {
		id := fmt.Sprintf("edit-%d", i)
		a := consumer.Send(d.VMs[0], Ask{ID: id, Method: "POST", Host: "edit.example", Path: "/edit/record", Body: payload(300), Deadline: timeBudget})
		d.Record.Line("consumer gets for %s: %s", id, a)
		if a.Err != nil || a.Status < 200 || a.Status > 299 {
			continue
		}
		mu.Lock()
		want := whole[id]
		mu.Unlock()
		switch {
		case a.Header.Get(wire.Seal) == "":
			sealless++
			d.Record.Line("%s: a success without a receipt", id)
		case a.Header.Get("Content-Encoding") != "" || !bytes.Equal(a.Body, want):
			encoded++
			d.Record.Line("%s: a success with a body that is not the searcher's", id)
		}
	}
	d.Record.Say("%d edits, %d answers spoiled; successes without a receipt: %d; with another body: %d", edits, spoiled, sealless, encoded)
	if sealless+encoded > 0 {
		return fmt.Sprintf("MIXED: %d successes without the searcher's receipt, %d with a body that is not the searcher's", sealless, encoded), nil
	}
	return "", nil
}
