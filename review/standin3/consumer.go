package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// exchange is one consumer attempt.
type exchange struct {
	id, host, method, path string
	machine                *machine
	sentAt, endedAt        time.Time
	// status is 0 if there was no answer.
	status int
	seal   string
	body   string
}

// consumers send requests to machines and keep what was answered.
type consumers struct {
	rec     *record
	clients map[*machine]*http.Client

	mu        sync.Mutex
	exchanges []*exchange
}

func newConsumers(d *deployment) *consumers {
	c := &consumers{rec: d.rec, clients: map[*machine]*http.Client{}}
	for _, m := range d.machines {
		c.clients[m] = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}}
	}
	return c
}

// send sends one request and returns when it has ended.
func (c *consumers) send(m *machine, method, host, path, body string, budget time.Duration) *exchange {
	e := &exchange{id: fmt.Sprintf("%016x", rand.Uint64()), host: host, method: method, path: path, machine: m}
	ctx, cancel := context.WithTimeout(context.Background(), budget+200*time.Millisecond)
	defer cancel()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.front()+path, reader)
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set(wire("attempt"), e.id)
	request.Header.Set(wire("deadline"), fmt.Sprint(budget.Milliseconds()))
	e.sentAt = time.Now()
	c.rec.log("send %s to %s: %s %s%s", e.id, m.name, method, host, path)
	response, err := c.clients[m].Do(request)
	if err == nil {
		text, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err = readErr; err == nil {
			e.status, e.seal, e.body = response.StatusCode, response.Header.Get(wire("seal")), string(text)
		}
	}
	e.endedAt = time.Now()
	if err != nil {
		c.rec.log("none %s: %v", e.id, err)
	} else {
		c.rec.log("got  %s: %d %s %q", e.id, e.status, e.seal, e.body)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchanges = append(c.exchanges, e)
	return e
}

// all returns the exchanges that have ended.
func (c *consumers) all() []*exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*exchange(nil), c.exchanges...)
}

// stream sends requests at an even rate, to each machine in turn, until the context ends. It returns when all
// have ended.
func (c *consumers) stream(ctx context.Context, machines []*machine, perSecond float64, method, path string, budget time.Duration) {
	var running sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			running.Wait()
			return
		case <-ticker.C:
			running.Go(func() { c.send(machines[i%len(machines)], method, host, path, "", budget) })
		}
	}
}
