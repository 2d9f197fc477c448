package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/carawayreel/carawayreel/internal/allowance"
	"github.com/carawayreel/carawayreel/internal/organisation"
)

// Allowances decides on the requests of organisations; see allowance.Service, which implements
// it.
type Allowances interface {
	Admit(o *organisation.Organisation, now time.Time) allowance.Decision
	// Refund gives back a request that was admitted and that no target ran.
	Refund(o *organisation.Organisation, now time.Time)
}

// withinAllowance reports whether the organisation's allowance admits the request. If not, the
// caller has been answered. Only the VM that the caller reached counts a request.
func (c *call) withinAllowance() bool {
	allowances := c.gateway.options.Allowances
	if allowances == nil || c.organisation == nil || c.delegated {
		return true
	}
	decision := allowances.Admit(c.organisation, time.Now())
	if decision.Admitted {
		c.charged = true
		return true
	}
	c.gateway.log.beyondAllowance(c, decision)
	c.gateway.counters.refused.Inc()
	c.writer.Header().Set("Retry-After", formatRetryAfter(decision.RetryAfter))
	c.writer.WriteHeader(http.StatusTooManyRequests)
	return false
}

// refund gives the request back to the allowance because no target has run it or will run it.
func (c *call) refund() {
	if c.charged {
		c.charged = false
		c.gateway.options.Allowances.Refund(c.organisation, time.Now())
	}
}

// formatRetryAfter returns the delay in seconds, with milliseconds.
func formatRetryAfter(delay time.Duration) string {
	return strconv.FormatFloat(delay.Seconds(), 'f', 3, 64)
}

// beyondAllowance logs a request that was refused for the allowance of its organisation.
func (l *requestLogger) beyondAllowance(c *call, d allowance.Decision) {
	if !l.allow(false) {
		return
	}
	l.logger.Info().Str("request", c.id).Int("status", http.StatusTooManyRequests).Str("cause", "the organisation's allowance is used up").
		Str("organisation", c.organisation.Name).Str("basis", d.Basis.String()).Int64("grant_age_ms", d.Age.Milliseconds()).
		Dur("retry_after", d.RetryAfter).Uint64("version", c.compiled.table.Version).Uint64("revision", c.compiled.table.Revision).
		Msg("request refused")
}
