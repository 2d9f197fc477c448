package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/fanout"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/quarantine"
)

// unusualReserve is the part of the rate limiter's burst that is reserved for log lines
// about unusual requests and events.
const unusualReserve = 0.5

// requestLogger logs one line for each unusual request, that is one that was refused,
// failed, late, partial or sent more than once, and for a sample of the ordinary others.
// It also logs changes of targets, failure domains and routes. Lines beyond the rate
// limit are counted instead.
type requestLogger struct {
	logger  zerolog.Logger
	limiter *rate.Limiter
	sample  uint64
	burst   float64
	dropped *metrics.Counter
}

func newRequestLogger(logger zerolog.Logger, settings *pb.LogSettings, set *metrics.Set) *requestLogger {
	lines := int(settings.GetLinesPerS())
	return &requestLogger{
		logger:  logger,
		limiter: rate.NewLimiter(rate.Limit(lines), lines),
		sample:  uint64(settings.GetDecisionSample()),
		burst:   float64(lines),
		dropped: set.NewCounter("carawayreel_log_lines_dropped_total"),
	}
}

// trace records the attempts of a request for the log.
type trace struct {
	attempts      []attemptTrace
	extraAttempts int
}

// attemptTrace is an attempt as it is logged.
type attemptTrace struct {
	target, domain, service string
	// relay is the VM that relayed the attempt; empty if it was sent directly.
	relay      string
	reason     fanout.Reason
	sent, took time.Duration
	result     string
}

func (t *trace) sent(send fanout.Send, at time.Duration) {
	if send.Reason != fanout.FirstAttempt {
		t.extraAttempts++
	}
	if missing := send.Attempt + 1 - len(t.attempts); missing > 0 {
		t.attempts = append(t.attempts, make([]attemptTrace, missing)...)
	}
	t.attempts[send.Attempt] = attemptTrace{
		target: send.Target.ID, domain: send.Target.FailureDomain, service: send.Target.Service,
		reason: send.Reason, sent: at, result: "running",
	}
}

func (t *trace) ended(id int, reply *backend.Reply, err error, at time.Duration) {
	attempt := &t.attempts[id]
	attempt.took = at - attempt.sent
	switch {
	case err != nil:
		attempt.result = err.Error()
	case reply.NotRun:
		attempt.result = "not run"
	case reply.Successful():
		attempt.result = "ok"
	default:
		attempt.result = "failed"
	}
}

// MarshalZerologObject encodes one attempt.
func (a attemptTrace) MarshalZerologObject(e *zerolog.Event) {
	if a.relay != "" {
		e.Str("relay", a.relay)
	}
	e.Str("service", a.service).Str("target", a.target).Str("domain", a.domain).Str("reason", string(a.reason)).
		Int64("sent_us", a.sent.Microseconds()).Int64("took_us", a.took.Microseconds()).Str("result", a.result)
}

// MarshalZerologArray encodes the attempts. If a request has many, it encodes only those
// that were extra or did not succeed.
func (t *trace) MarshalZerologArray(a *zerolog.Array) {
	const few = 3
	for _, attempt := range t.attempts {
		if len(t.attempts) <= few || attempt.reason != fanout.FirstAttempt || attempt.result != "ok" {
			a.Object(attempt)
		}
	}
}

// allow reports whether a line may be written, and takes a token for it if so. Ordinary
// lines leave a reserve for unusual ones.
func (l *requestLogger) allow(ordinary bool) bool {
	if ordinary && l.limiter.Tokens() < l.burst*unusualReserve {
		l.dropped.Inc()
		return false
	}
	if !l.limiter.Allow() {
		l.dropped.Inc()
		return false
	}
	return true
}

func (l *requestLogger) sampled(id string) bool {
	return l.sample > 0 && xxhash.Sum64String(id)%l.sample == 0
}

// finished logs the outcome of a request.
func (l *requestLogger) finished(c *call, t *trace, answer *fanout.Answer) {
	took := time.Since(c.received)
	ordinary := answer.Outcome == fanout.Complete && t.extraAttempts == 0 && (c.route.Goal == 0 || took < c.route.Goal)
	if ordinary && !l.sampled(c.id) || !l.allow(ordinary) {
		return
	}
	event := l.logger.Info()
	if refusal := answer.Refusal; refusal != nil {
		event = event.Str("reason", string(refusal.Reason)).Str("service", refusal.Service).
			Float64("pressure", refusal.Pressure).Int64("pressure_age_ms", refusal.PressureAge.Milliseconds())
	}
	event.Str("request", c.id).Str("content", c.contentID()).Str("route", c.route.Name).
		Uint64("version", c.compiled.table.Version).Uint64("revision", c.compiled.table.Revision).
		Int64("configuration_age_ms", c.compiled.view.ConfigurationAge(c.received).Milliseconds()).
		Func(c.addOrganisation).Str("outcome", answer.Outcome.String()).Str("cause", answer.Cause).
		Int("missing", answer.Missing).Int("attempts", len(t.attempts)).Int("extra", t.extraAttempts).
		Bool("delegated", c.delegated).Dur("took", took).Dur("retry_after", answer.RetryAfter).Array("sends", t).Msg("request")
}

// contentID returns the digest of the request's content as it is logged; empty if the request
// was refused before it was read.
func (c *call) contentID() string {
	if c.request == nil {
		return ""
	}
	return formatDigest(c.content.Exact)
}

func formatDigest(digest uint64) string { return fmt.Sprintf("%016x", digest) }

// undelegated logs that no gatherer ran a request, so that this VM gathers its answer.
func (l *requestLogger) undelegated(c *call, t *trace, cause string) {
	if l.allow(true) {
		l.logger.Info().Str("request", c.id).Str("route", c.route.Name).Uint64("version", c.compiled.table.Version).
			Str("cause", cause).Array("sends", t).Msg("no gatherer ran the request")
	}
}

// relayed logs a batch of which not all targets succeeded.
func (l *requestLogger) relayed(c *call, results []fanout.Result) {
	succeeded := 0
	for _, result := range results {
		if result.Reply != nil && result.Reply.Successful() {
			succeeded++
		}
	}
	if succeeded < len(results) && l.allow(true) {
		l.logger.Info().Str("request", c.id).Str("route", c.route.Name).Uint64("version", c.compiled.table.Version).
			Int("targets", len(results)).Int("succeeded", succeeded).Dur("took", time.Since(c.arrived)).Msg("batch relayed")
	}
}

// refused logs a request that was answered without a target.
func (l *requestLogger) refused(c *call, status int, cause string) {
	if !l.allow(false) {
		return
	}
	l.logger.Info().Str("request", c.id).Str("content", c.contentID()).Int("status", status).Str("cause", cause).
		Func(c.addOrganisation).
		Uint64("version", c.compiled.table.Version).Uint64("revision", c.compiled.table.Revision).
		Int64("configuration_age_ms", c.compiled.view.ConfigurationAge(time.Now()).Milliseconds()).
		Str("host", c.http.Host).Str("uri", c.http.RequestURI).Msg("request refused")
}

// answerNotHeld logs an answer that was replaced by 502 for lack of memory.
func (l *requestLogger) answerNotHeld(c *call, bytes int) {
	if l.allow(false) {
		l.logger.Warn().Str("request", c.id).Int("bytes", bytes).Msg("no memory for the answer")
	}
}

// contentFound logs a change in what is known of a content that may crash targets.
func (l *requestLogger) contentFound(f quarantine.Finding) {
	if !l.allow(f.Admission == quarantine.Admitted) {
		return
	}
	l.logger.Warn().Str("content", formatDigest(f.Digest)).Str("scope", f.Scope.String()).Str("service", f.Ref.Service).
		Str("target", f.Ref.Target).Str("admission", f.Admission.String()).Str("reason", string(f.Reason)).
		Msg("content that may crash targets")
}

// DomainUnreachable implements health.Observer.
func (l *requestLogger) DomainUnreachable(failureDomain string, unresponsiveTargets int) {
	if l.allow(false) {
		l.logger.Warn().Str("domain", failureDomain).Int("silent_targets", unresponsiveTargets).
			Msg("failure domain held to be cut off")
	}
}

// DomainReachable implements health.Observer.
func (l *requestLogger) DomainReachable(failureDomain string) {
	if l.allow(false) {
		l.logger.Info().Str("domain", failureDomain).Msg("failure domain reached again")
	}
}

// routeReachability logs that this VM cannot serve the named route because failure
// domains are unreachable, or, with an empty name, that it can serve all routes again.
func (l *requestLogger) routeReachability(route string) {
	l.logger.Warn().Str("route", route).Bool("reached", route == "").
		Msg("targets of routes beyond cut failure domains")
}

// TargetFailing implements health.Observer.
func (l *requestLogger) TargetFailing(target string, failed, all float64) {
	if l.allow(true) {
		l.logger.Info().Str("target", target).Float64("failed", failed).Float64("requests", all).
			Msg("target held to be failing")
	}
}

// newTable logs that a new route table is in use.
func (l *requestLogger) newTable(c *compiledTable, age time.Duration) {
	if !l.allow(false) {
		return
	}
	t := c.table
	l.logger.Info().Uint64("version", t.Version).Uint64("revision", t.Revision).Int("targets", t.TargetCount()).
		Int("vms", c.vms).Int("gatherers", c.gatherers).Bool("gathers", c.gathers).Int64("confirmed_ms_ago", age.Milliseconds()).Msg("routes in force")
}
