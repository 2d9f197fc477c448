package daemon

import (
	"bufio"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// lineWriter serializes the lines that several goroutines write to a trace.
type lineWriter struct {
	mu     sync.Mutex
	buffer *bufio.Writer
	file   io.Closer
}

func newLineWriter(file io.WriteCloser) *lineWriter {
	return &lineWriter{buffer: bufio.NewWriter(file), file: file}
}

// Write writes one line, which must end with a line feed.
func (w *lineWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := w.buffer.Write(line)
	return n, errors.Wrap(err, "trace")
}

// Close writes what is buffered and closes the file.
func (w *lineWriter) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.buffer.Flush(); err != nil {
		return errors.Wrap(err, "trace")
	}
	return errors.Wrap(w.file.Close(), "trace")
}
