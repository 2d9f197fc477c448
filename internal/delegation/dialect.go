package delegation

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/carawayreel/carawayreel/internal/backend"
)

// MetricPrefix is the prefix of the metrics of the client that sends to gatherers.
const MetricPrefix = "carawayreel_delegation"

// Headers of delegated requests and their answers.
const (
	// versionHeader is the version of the route table that the delegating VM uses. A
	// gatherer with another one does not run the request.
	versionHeader = "Carawayreel-Route-Version"
	// elapsedHeader is the time since the request was received, in microseconds.
	elapsedHeader = "Carawayreel-Elapsed-Us"
	// targetsHeader lists the IDs of the targets that a relay asks, separated by commas. A
	// delegated request without it is gathered.
	targetsHeader = "Carawayreel-Targets"
	// stragglerHeader is the time in microseconds after which a relay returns without the
	// last few replies.
	stragglerHeader = "Carawayreel-Straggler-Us"
	// authenticatedHeader is set if the delegating VM knows organisations, so that it has
	// replaced the caller's key by the name of the organisation.
	authenticatedHeader = "Carawayreel-Authenticated"
	// contentRefusedHeader is the time in microseconds for which a gatherer refuses the content
	// of the request.
	contentRefusedHeader = "Carawayreel-Content-Refused-Us"
	// admissionRefusedHeader states the delay that admission control told the caller.
	admissionRefusedHeader = "Carawayreel-Admission-Refused-Us"
	// answerToHeader is the ID of the request that an answer belongs to.
	answerToHeader = "Carawayreel-Answer-To"
)

// keepAlive tells the delegating VM how long a connection stays open. A VM delegates a
// request every few seconds.
const keepAlive = "timeout=60"

// Request is what a delegating VM states about a request or a batch.
type Request struct {
	// RouteVersion is the version of the route table that the request was matched with.
	RouteVersion uint64
	// Elapsed is the time since the delegating VM received the request.
	Elapsed time.Duration
	// Targets are the IDs of the targets that a relay asks; none if the request is to be
	// gathered.
	Targets []string
	// StragglerDelay is the time after which a relay returns without the last few replies.
	StragglerDelay time.Duration
	// Authenticated is true if the delegating VM knows organisations: the request then carries
	// the name of the caller's organisation, if it has one, and not its key.
	Authenticated bool
}

// SetHeaders replaces the statements in the headers of a delegated request.
func (r Request) SetHeaders(h http.Header) {
	// A caller may have set any of them.
	for _, name := range []string{targetsHeader, stragglerHeader, authenticatedHeader} {
		h.Del(name)
	}
	if r.Authenticated {
		h.Set(authenticatedHeader, "1")
	}
	h.Set(versionHeader, strconv.FormatUint(r.RouteVersion, 10))
	h.Set(elapsedHeader, strconv.FormatInt(r.Elapsed.Microseconds(), 10))
	if len(r.Targets) > 0 {
		h.Set(targetsHeader, strings.Join(r.Targets, ","))
		h.Set(stragglerHeader, strconv.FormatInt(r.StragglerDelay.Microseconds(), 10))
	}
}

// TakeRequest removes the statements of the delegating VM from the headers and returns
// them. It reports false if they are missing or malformed.
func TakeRequest(h http.Header) (Request, bool) {
	version, versionErr := strconv.ParseUint(take(h, versionHeader), 10, 64)
	elapsed, elapsedErr := microseconds(take(h, elapsedHeader))
	r := Request{RouteVersion: version, Elapsed: elapsed, Authenticated: take(h, authenticatedHeader) != ""}
	ok := versionErr == nil && elapsedErr == nil
	if targets := take(h, targetsHeader); targets != "" {
		var err error
		r.Targets = strings.Split(targets, ",")
		r.StragglerDelay, err = microseconds(take(h, stragglerHeader))
		ok = ok && err == nil
	}
	return r, ok
}

func take(h http.Header, name string) string {
	value := h.Get(name)
	h.Del(name)
	return value
}

func microseconds(text string) (time.Duration, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	return time.Duration(n) * time.Microsecond, err
}

// SetAnswerHeaders sets the headers that the answer to a delegated request carries.
func SetAnswerHeaders(h http.Header, id string) {
	h.Set(answerToHeader, id)
	h.Set("Keep-Alive", keepAlive)
}

// SetContentRefused states in the answer to a delegated request that its content is refused
// for so long.
func SetContentRefused(h http.Header, length time.Duration) {
	h.Set(contentRefusedHeader, strconv.FormatInt(length.Microseconds(), 10))
}

// SetAdmissionRefused states in the answer to a delegated request that admission control
// refused it, and the delay after which such a request is expected to be admitted.
func SetAdmissionRefused(h http.Header, retryAfter time.Duration) {
	h.Set(admissionRefusedHeader, strconv.FormatInt(retryAfter.Microseconds(), 10))
}

// Dialect is the dialect between a delegating VM and a gatherer: requests carry the headers
// of the embedded platform's dialect, and answers those of a gathered answer. The answer of
// a relay is a RelayedReplies message.
type Dialect struct{ backend.Dialect }

// ParseReply implements backend.Dialect. A gatherer answers 503 or 4xx if it did not run
// the request. The ID of the request stands for the receipt of a target.
func (Dialect) ParseReply(status int, h http.Header) backend.ReplyMetadata {
	id := h.Get(answerToHeader)
	h.Del(answerToHeader)
	metadata := backend.ReplyMetadata{RequestID: id, Delegated: true}
	if refused := take(h, contentRefusedHeader); refused != "" {
		// A gatherer of another version may write what this one cannot read; its own list
		// arrives by heartbeats.
		metadata.ContentRefusedFor, _ = microseconds(refused)
	}
	if refused := take(h, admissionRefusedHeader); refused != "" {
		// What cannot be read counts as a rejection by the gatherer.
		metadata.AdmissionRefusedFor, _ = microseconds(refused)
	}
	metadata.NotRun = status == http.StatusServiceUnavailable || status >= 400 && status < 500
	if status == http.StatusOK {
		metadata.Receipt = id
	}
	return metadata
}
