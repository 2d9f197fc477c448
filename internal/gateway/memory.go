package gateway

import (
	"net/http"

	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/intake"
)

// attemptBytes is the memory of an attempt that is counted for its caller: its copy of a small request
// and its goroutine. The connections that attempts use have bounds of their own.
const attemptBytes = 2 * backend.MaxCopiedBytes

// memory returns what the request holds of the memory for callers.
func (c *call) memory() *intake.Request { return intake.FromContext(c.http.Context()) }

// cloneBytes is the memory of a copy of the request for another VM. The body is shared.
func (c *call) cloneBytes() int64 { return intake.HeadMemory(c.http) }

// countAttempt counts the memory of an attempt that none is reserved for.
func (r *fanoutRun) countAttempt() {
	if r.reserved > 0 {
		r.reserved--
		return
	}
	r.call.memory().Take(attemptBytes)
}

// holdAnswer reserves the memory of an answer while the caller reads it. If it reports false, there is
// too little and the caller has been answered. The request has run, so that the status promises nothing.
func (c *call) holdAnswer(body []byte) bool {
	if c.memory().Answer(len(body)) {
		return true
	}
	c.gateway.counters.unheld.Inc()
	c.gateway.log.answerNotHeld(c, len(body))
	c.writeResponse(http.StatusBadGateway, nil)
	return false
}
