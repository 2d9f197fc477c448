// Package trace records what a coordinator decided as JSON lines, and replays
// such lines through the same decision code in virtual time.
package trace

import (
	"io"
	"sync"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/carawayreel/carawayreel/internal/coordinator/search"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

// Writer records events in the order in which they are decided. A nil Writer
// records nothing. It is safe for concurrent use.
type Writer struct {
	// step is held from before an event is decided until it is recorded.
	step   sync.Mutex
	out    io.Writer
	logger zerolog.Logger
	view   *view.View
	// failed is set after the first error of out; nothing is written after it.
	failed bool

	mu       sync.Mutex
	searches uint64
}

// NewWriter returns a Writer and writes the header line.
func NewWriter(out io.Writer, policy search.Policy, logger zerolog.Logger) *Writer {
	w := &Writer{out: out, logger: logger}
	w.write(&pb.CoordinatorTraceLine{Line: &pb.CoordinatorTraceLine_Header{Header: header(policy)}})
	return w
}

// NextSearch numbers a search.
func (w *Writer) NextSearch() uint64 {
	if w == nil {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.searches++
	return w.searches
}

// Exclusive keeps other events from being decided until the returned function is
// called, so that the trace has one order.
func (w *Writer) Exclusive() (release func()) {
	if w == nil {
		return func() {}
	}
	w.step.Lock()
	return w.step.Unlock
}

// Record writes one event with what was decided on it. The caller holds the
// Writer by Exclusive.
func (w *Writer) Record(number uint64, in search.Input, c search.Context, e search.Event, a search.Actions) {
	if w == nil || w.failed {
		return
	}
	if w.view != c.View {
		w.view = c.View
		w.write(&pb.CoordinatorTraceLine{Line: &pb.CoordinatorTraceLine_View{View: viewMessage(c.View)}})
	}
	event := eventMessage(number, in, c, e)
	event.Decided = decidedMessage(a)
	w.write(&pb.CoordinatorTraceLine{Line: &pb.CoordinatorTraceLine_Event{Event: event}})
}

func (w *Writer) write(line *pb.CoordinatorTraceLine) {
	data, err := protojson.Marshal(line)
	if err == nil {
		_, err = w.out.Write(append(data, '\n'))
	}
	if err != nil {
		w.failed = true
		w.logger.Error().Err(err).Msg("trace ends: a line could not be written")
	}
}
