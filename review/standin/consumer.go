package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Consumer sends requests to one VM.
type Consumer struct {
	record *Record
	client *http.Client
}

func newConsumer(record *Record) *Consumer {
	return &Consumer{record: record, client: &http.Client{
		Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second},
	}}
}

// Ask is a consumer's request.
type Ask struct {
	ID, Method, Host, Path string
	Body                   []byte
	// SendFor is the time over which the body is sent.
	SendFor  time.Duration
	Deadline time.Duration
}

// Answer is what the consumer got; Err is set if there is no complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error
	Took   time.Duration
}

func (a Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("no answer after %.3f s: %v", a.Took.Seconds(), a.Err)
	}
	return fmt.Sprintf("%d after %.3f s, seal %q, %d bytes", a.Status, a.Took.Seconds(), a.Header.Get(wire.Seal), len(a.Body))
}

// Send sends the request and waits for the answer.
func (c *Consumer) Send(vm *VM, ask Ask) Answer {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), ask.Deadline)
	defer cancel()
	var body io.Reader
	if len(ask.Body) > 0 {
		body = &slowReader{data: ask.Body, over: ask.SendFor}
	}
	request, err := http.NewRequestWithContext(ctx, ask.Method, "http://"+vm.Front+ask.Path, body)
	if err != nil {
		return Answer{Err: err}
	}
	request.ContentLength = int64(len(ask.Body))
	request.Host = ask.Host
	request.Header.Set(wire.AttemptID, ask.ID)
	request.Header.Set(wire.Deadline, strconv.FormatInt(ask.Deadline.Milliseconds(), 10))
	response, err := c.client.Do(request)
	if err != nil {
		return Answer{Err: err, Took: time.Since(began)}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Header: response.Header, Body: text, Err: err, Took: time.Since(began)}
}

// slowReader delivers its data in equal pieces over a time.
type slowReader struct {
	data  []byte
	over  time.Duration
	piece int
}

const piecesPerBody = 40

func (r *slowReader) Read(p []byte) (int, error) {
	if len(r.data) == 0 {
		return 0, io.EOF
	}
	if r.piece == 0 {
		r.piece = max(len(r.data)/piecesPerBody, 1)
	}
	n := copy(p, r.data[:min(r.piece, len(r.data))])
	if n == len(r.data) && r.over == 0 {
		r.data = nil
		return n, nil
	}
	time.Sleep(r.over / piecesPerBody)
	r.data = r.data[n:]
	return n, nil
}

func payload(n int) []byte { return bytes.Repeat([]byte("x"), n) }
