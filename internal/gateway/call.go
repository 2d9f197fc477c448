package gateway

import (
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/delegation"
	"github.com/carawayreel/carawayreel/internal/fanout"
	"github.com/carawayreel/carawayreel/internal/intake"
	"github.com/carawayreel/carawayreel/internal/organisation"
	"github.com/carawayreel/carawayreel/internal/quarantine"
	"github.com/carawayreel/carawayreel/internal/routing"
)

// call is a caller's HTTP request and its response.
type call struct {
	gateway *Gateway
	writer  http.ResponseWriter
	http    *http.Request
	// arrived is when this VM received the request, and received when the first VM did.
	// They differ if the request was delegated to this VM.
	arrived   time.Time
	received  time.Time
	delegated bool
	// relay is what another VM told this one to relay; nil for a request that is gathered.
	relay *delegation.Request

	id       string
	compiled *compiledTable
	route    *routing.Route
	// organisation is the one that the caller's key belongs to; nil if there is none.
	organisation *organisation.Organisation
	// holdsPlace is true while the call counts as running.
	holdsPlace bool
	// charged is true while the request counts towards the organisation's allowance.
	charged bool
	request *backend.Request
	content quarantine.Content
}

// startupRetryAfter is the retry delay told to callers of a VM that has no routes yet:
// about as long as a VM takes to start.
const startupRetryAfter = 500 * time.Millisecond

// pauseRetryAfter is the retry delay told to callers of a VM that was paused: about the
// time of a few heartbeats, which confirm the configuration.
const pauseRetryAfter = 200 * time.Millisecond

func (c *call) serve() {
	c.id = c.gateway.options.Dialect.RequestID(c.http.Header)
	c.compiled = c.gateway.table(c.arrived)
	c.organisation = c.identify()
	if !c.mayTake() || !c.match() || !c.authenticate() || !c.withinAllowance() {
		return
	}
	body, err := c.readBody(c.compiled.table.Limits.GetMaxBodyBytes())
	if err != nil || !c.renewRoute() || !c.takePlace() {
		return
	}
	defer c.releasePlace()
	c.setRequest(body)
	if admission, until := c.gateway.options.Guard.Check(c.content, c.arrived); admission == quarantine.Refused {
		c.recordContentRefused(until.Sub(c.arrived))
		c.notRun("targets crashed while they ran requests with this content", until.Sub(c.arrived))
		return
	}
	switch {
	case c.relay != nil:
		c.runRelay()
	case !c.runDelegated():
		c.run()
	}
}

// mayTake reports whether this VM can take a request now. If not, the caller has been answered.
func (c *call) mayTake() bool {
	switch {
	case !intake.FromContext(c.http.Context()).Admitted():
		c.notRun(intake.ErrNoMemory.Error(), intake.RetryAfter)
	case c.gateway.paused(c.arrived):
		c.notRun("this VM was paused and its configuration is not confirmed yet", pauseRetryAfter)
	case !c.compiled.table.HasRouteTable():
		c.notRun("no configuration is known yet", startupRetryAfter)
	default:
		return true
	}
	return false
}

// match finds the route and checks the head of the request. If it reports false, the caller has
// been answered.
func (c *call) match() bool {
	g, table := c.gateway, c.compiled.table
	c.route = table.Match(hostOf(c.http.Host), pathOf(c.http.RequestURI))
	switch {
	case c.route == nil:
		c.refuseIfConfirmed(http.StatusNotFound, "no route for the host and path")
	case c.id == "":
		c.refuse(http.StatusBadRequest, "the request has no identity")
	case !c.delegated && c.headBytes() > int(table.Limits.GetMaxHeaderBytes()) && table.Limits.GetMaxHeaderBytes() > 0:
		c.refuse(http.StatusRequestHeaderFieldsTooLarge, "the header is too large")
	case g.running.Load() >= g.places():
		c.notRun(tooManyRunning, overloadRetryAfter)
	default:
		return true
	}
	return false
}

// tooManyRunning is the cause of a refusal for lack of a place.
const tooManyRunning = "too many requests are running"

// places returns the number of requests that may run at once.
func (g *Gateway) places() int64 { return int64(g.settings.Load().GetMaxWaitingRequests()) }

// takePlace makes a request that has arrived whole count as running. If it reports false, there are
// too many and the caller has been answered. What only waits for its caller, for the rest of a body
// or to read the answer, holds no place: a caller could hold it for as long as it likes.
func (c *call) takePlace() bool {
	if c.gateway.running.Add(1) > c.gateway.places() {
		c.gateway.running.Add(-1)
		c.notRun(tooManyRunning, overloadRetryAfter)
		return false
	}
	c.holdsPlace = true
	return true
}

// releasePlace gives up the place if the call holds one.
func (c *call) releasePlace() {
	if c.holdsPlace {
		c.holdsPlace = false
		c.gateway.running.Add(-1)
	}
}

// setRequest sets the request to targets and its content.
func (c *call) setRequest(body []byte) {
	c.request = &backend.Request{
		ID: c.id, Method: c.http.Method, URI: c.http.RequestURI, Host: c.http.Host,
		Header: endToEndHeaders(c.http.Header), Body: body,
	}
	c.gateway.options.Dialect.RemoveAttemptHeaders(c.request.Header)
	c.stateOrganisation()
	c.content = contentOf(c.request)
}

// renewRoute replaces the route if the configuration has changed while the body arrived, and
// authenticates the caller again. It reports false if there is no route any more, or the key is
// no longer valid, and the caller has been answered.
func (c *call) renewRoute() bool {
	current := c.gateway.table(time.Now())
	if c.delegated || current.table == c.compiled.table {
		return true
	}
	c.compiled = current
	c.route = current.table.Match(hostOf(c.http.Host), pathOf(c.http.RequestURI))
	if c.route == nil {
		c.refuseIfConfirmed(http.StatusNotFound, "no route for the host and path any more")
		return false
	}
	return c.authenticate()
}

// overloadRetryAfter is the retry delay told to callers of an overloaded VM.
const overloadRetryAfter = 200 * time.Millisecond

// defaultMaxBodyBytes bounds a body, which is held in memory, if the configuration does not.
const defaultMaxBodyBytes = 4 << 20

// readBody reads the whole body. On an error it has already answered the caller.
func (c *call) readBody(limit uint32) ([]byte, error) {
	if limit == 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := intake.ReadBody(c.writer, c.http, int64(limit))
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		c.refuse(http.StatusRequestEntityTooLarge, "the body is too large")
	case errors.Is(err, intake.ErrNoMemory):
		c.notRun(err.Error(), intake.RetryAfter)
	case errors.Is(err, intake.ErrStalled):
		c.refuse(http.StatusRequestTimeout, err.Error())
	case err != nil:
		c.refuse(http.StatusBadRequest, "the body could not be read")
	}
	return body, errors.Wrap(err, "body")
}

// timeLimit returns the time limit of the request: the caller's limit, bounded by that
// of the route.
func (c *call) timeLimit() time.Duration {
	limit := c.gateway.options.Dialect.TimeLimit(c.http.Header)
	if limit == 0 || limit > c.route.TimeLimit {
		return c.route.TimeLimit
	}
	return limit
}

// refuse answers an invalid request with a 4xx status. The request is sent to no target.
func (c *call) refuse(status int, cause string) {
	c.refund()
	c.gateway.log.refused(c, status, cause)
	c.gateway.counters.refused.Inc()
	c.countForOrganisation(resultRefused)
	c.writer.WriteHeader(status)
}

// notRun answers a request that can't be sent to any target now, with 503 and a
// retry delay.
func (c *call) notRun(cause string, retryAfter time.Duration) {
	c.refund()
	c.gateway.log.refused(c, http.StatusServiceUnavailable, cause)
	c.recordOutcome(fanout.NotRun)
	c.writeNotRun(retryAfter)
}

// recordContentRefused counts the request as held back, and tells a VM that delegated it that
// its content is refused, so that it does not send the request itself.
func (c *call) recordContentRefused(length time.Duration) {
	c.gateway.counters.requestsHeldBack.Inc()
	if c.delegated {
		delegation.SetContentRefused(c.writer.Header(), length)
	}
}

func (c *call) writeNotRun(retryAfter time.Duration) {
	c.writer.Header().Set("Retry-After", formatRetryAfter(retryAfter))
	c.writer.WriteHeader(http.StatusServiceUnavailable)
}

func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// pathOf returns the path as the caller wrote it.
func pathOf(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	return path
}

// headBytes returns the size of the head: as it arrived or, if that is less or not known, as it
// was parsed.
func (c *call) headBytes() int {
	parsed, _ := intake.HeaderSize(c.http)
	if arrived := intake.FromContext(c.http.Context()).HeadBytes(); arrived > 0 {
		return min(arrived, parsed)
	}
	return parsed
}

// hopByHopHeaders are the headers that apply to a single connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// endToEndHeaders returns a copy of the headers without the hop-by-hop ones.
func endToEndHeaders(h http.Header) http.Header {
	copied := make(http.Header, len(h))
	for name, values := range h {
		copied[name] = values
	}
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			delete(copied, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(copied, name)
	}
	return copied
}
