package daemon

import (
	"bufio"
	"io"
	"os"
	"sync"

	"github.com/pkg/errors"
)

// traces holds a trace file for each role that records one.
type traces struct {
	control     traceFile
	owner       traceFile
	coordinator traceFile
}

// newTraces returns closed files named after their roles.
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

// traceFile serializes the lines that several goroutines write.
type traceFile struct {
	role string

	mu     sync.Mutex
	buffer *bufio.Writer
	file   *os.File
}

// open creates the file; the role's name is added to the path.
func (t *traceFile) open(path string) error {
	file, err := os.OpenFile(path+"."+t.role, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "trace file")
	}
	t.file = file
	t.buffer = bufio.NewWriter(file)
	return nil
}

// writer returns the file, or nil when none is open.
func (t *traceFile) writer() io.Writer {
	if t.file == nil {
		return nil
	}
	return t
}

// Write writes one line, which must end with a line feed.
func (t *traceFile) Write(line []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, err := t.buffer.Write(line)
	return n, errors.Wrap(err, "trace")
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
