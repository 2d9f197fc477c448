// Package trace records the events and actions of a coordinator's searches as JSON
// lines, and replays such traces through the same state machine in virtual time.
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

// Writer records events in the order in which the machines handle them. A nil Writer
// records nothing. It is safe for concurrent use.
type Writer struct {
	// eventMu is held while an event is handled and recorded.
	eventMu sync.Mutex
	out     io.Writer
	logger  zerolog.Logger
	view    *view.View
	// failed is set by the first write error; nothing is written after it.
	failed bool

	mu       sync.Mutex
	searches uint64
}

// NewWriter returns a Writer and writes the header line.
func NewWriter(out io.Writer, policy search.Policy, logger zerolog.Logger) *Writer {
	w := &Writer{out: out, logger: logger}
	w.write(&pb.CoordinatorTraceLine{Line: &pb.CoordinatorTraceLine_Header{Header: headerMessage(policy)}})
	return w
}

// NextSearch returns the number of a new search, starting at 1, or 0 for a nil Writer.
func (w *Writer) NextSearch() uint64 {
	if w == nil {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.searches++
	return w.searches
}

// LockEvents blocks the handling of other events until unlock is called, so that the
// trace has a total order.
func (w *Writer) LockEvents() (unlock func()) {
	if w == nil {
		return func() {}
	}
	w.eventMu.Lock()
	return w.eventMu.Unlock
}

// Record writes one event and the resulting actions, preceded by the view when it
// changed. The caller must hold the lock of LockEvents.
func (w *Writer) Record(number uint64, in search.Input, env search.Environment, e search.Event, a search.Actions) {
	if w == nil || w.failed {
		return
	}
	if w.view != env.View {
		w.view = env.View
		w.write(&pb.CoordinatorTraceLine{Line: &pb.CoordinatorTraceLine_View{View: viewMessage(env.View)}})
	}
	event := eventMessage(number, in, env, e)
	event.Decided = actionsMessage(a)
	w.write(&pb.CoordinatorTraceLine{Line: &pb.CoordinatorTraceLine_Event{Event: event}})
}

func (w *Writer) write(line *pb.CoordinatorTraceLine) {
	data, err := protojson.Marshal(line)
	if err == nil {
		_, err = w.out.Write(append(data, '\n'))
	}
	if err != nil {
		w.failed = true
		w.logger.Error().Err(err).Msg("trace stopped: failed to write a line")
	}
}
