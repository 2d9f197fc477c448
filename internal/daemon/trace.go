package daemon

import (
	"bufio"
	"io"
	"os"
	"sync"

	"github.com/pkg/errors"
)

// traces holds the trace files of the roles that record a trace.
type traces struct {
	control     traceFile
	owner       traceFile
	coordinator traceFile
}

// newTraces returns trace files that are not open yet.
func newTraces() traces {
	return traces{
		control:     traceFile{role: "control"},
		owner:       traceFile{role: "owner"},
		coordinator: traceFile{role: "coordinator"},
	}
}

func (t *traces) close() {
	t.control.close()
	t.owner.close()
	t.coordinator.close()
}

// traceFile is the trace file of one role. Write is safe for concurrent use.
type traceFile struct {
	role string

	mu     sync.Mutex
	buffer *bufio.Writer
	file   *os.File
}

// open opens the file for appending. Its name is the path, a dot and the role.
func (t *traceFile) open(path string) error {
	file, err := os.OpenFile(path+"."+t.role, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "trace file")
	}
	t.file = file
	t.buffer = bufio.NewWriter(file)
	return nil
}

// writer returns t, or a nil io.Writer if the file is not open.
func (t *traceFile) writer() io.Writer {
	if t.file == nil {
		return nil
	}
	return t
}

// Write appends one line, which must end with a line feed.
func (t *traceFile) Write(line []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, err := t.buffer.Write(line)
	return n, errors.Wrap(err, "write trace")
}

func (t *traceFile) close() {
	if t.file == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.buffer.Flush()
	_ = t.file.Close()
}
