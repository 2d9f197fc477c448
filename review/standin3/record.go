package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

func (r *record) log(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// since returns a time as seconds since the start.
func (r *record) since(at time.Time) string { return fmt.Sprintf("%.3f s", at.Sub(r.start).Seconds()) }

// say writes a line to the record and to standard output.
func (r *record) say(format string, arguments ...any) {
	r.log(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}
